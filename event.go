package sycamoretiller

//go:generate enumer -type=EventKind -trimprefix=Event -transform=snake

// EventKind is the kind of an event.
type EventKind int

// The kinds of event in the timeline.
const (
	EventStarted EventKind = iota
	EventStopped
	EventElected
	EventSteppedDown
	EventLeaseLost
	EventMemberChanged
	EventAccepted
	EventConflict
	EventRefused
	EventApplied
	EventRejected
	EventConfirmed
	EventUnconfirmed
	EventRelay
	EventAnnounced
	EventReady
	EventDrained
	EventGone
	EventSuspected
	EventDied
	EventJoined
	EventEjected
	EventRetried
	EventShed
	EventCrashed
	EventQuarantined
	EventLifted
	EventClaimPlaced
	EventClaimFenced
	EventDiskFailed
	EventRecovered
	EventBehind
	EventPulled
	EventPullLost
	EventMembership
	EventCampaign
	EventVoted
	EventJoinRequested
	EventRateLimited
	EventEntryRefused
)

// Event is one entry of the timeline; the recorder adds the time and the process.
type Event struct {
	kind    EventKind
	version Version
	key     string
	cause   string
	detail  string
}

// EventOption sets an optional part of an event.
type EventOption func(*Event)

// WithVersion sets the configuration version that the event is about.
func WithVersion(v Version) EventOption { return func(e *Event) { e.version = v } }

// WithKey sets the request key or edit id that the event is about.
func WithKey(key string) EventOption { return func(e *Event) { e.key = key } }

// WithCause sets the event, call or process that caused the event.
func WithCause(cause string) EventOption { return func(e *Event) { e.cause = cause } }

// NewEvent returns an event with a human-readable detail.
func NewEvent(kind EventKind, detail string, options ...EventOption) Event {
	e := Event{kind: kind, detail: detail}
	for _, o := range options {
		o(&e)
	}

	return e
}

// Kind returns the kind of the event.
func (e Event) Kind() EventKind { return e.kind }

// Version returns the version that the event is about, zero if none.
func (e Event) Version() Version { return e.version }

// Key returns the request key or edit id, empty if none.
func (e Event) Key() string { return e.key }

// Cause returns what caused the event, empty if unknown.
func (e Event) Cause() string { return e.cause }

// Detail returns the human-readable detail.
func (e Event) Detail() string { return e.detail }

// Recorder records events in the timeline.
type Recorder interface {
	Record(events ...Event)
}

// RecorderFunc adapts a function to a Recorder.
type RecorderFunc func(events ...Event)

// Record calls the function.
func (f RecorderFunc) Record(events ...Event) { f(events...) }

var _ Recorder = RecorderFunc(nil)
