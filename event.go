package sycamoretiller

//go:generate enumer -type=EventKind -trimprefix=Event -transform=snake

// EventKind names what happened.
type EventKind int

// The kinds of event on the time line.
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
)

// Event is one observation for the time line; the recorder adds time and process.
type Event struct {
	kind    EventKind
	version Version
	key     string
	cause   string
	detail  string
}

// EventOption sets an optional part of an event.
type EventOption func(*Event)

// WithVersion names the configuration version that the event is about.
func WithVersion(v Version) EventOption { return func(e *Event) { e.version = v } }

// WithKey names the request key or edit id that the event is about.
func WithKey(key string) EventOption { return func(e *Event) { e.key = key } }

// WithCause names the event, call or process that led to the event.
func WithCause(cause string) EventOption { return func(e *Event) { e.cause = cause } }

// NewEvent returns an event with a text for people.
func NewEvent(kind EventKind, detail string, options ...EventOption) Event {
	e := Event{kind: kind, detail: detail}
	for _, o := range options {
		o(&e)
	}

	return e
}

// Kind returns what happened.
func (e Event) Kind() EventKind { return e.kind }

// Version returns the version that the event is about, zero if none.
func (e Event) Version() Version { return e.version }

// Key returns the request key or edit id, empty if none.
func (e Event) Key() string { return e.key }

// Cause returns what led to the event, empty if unknown.
func (e Event) Cause() string { return e.cause }

// Detail returns the text for people.
func (e Event) Detail() string { return e.detail }

// Recorder keeps events for the time line.
type Recorder interface {
	Record(events ...Event)
}

// RecorderFunc adapts a function to a Recorder.
type RecorderFunc func(events ...Event)

// Record calls the function.
func (f RecorderFunc) Record(events ...Event) { f(events...) }

var _ Recorder = RecorderFunc(nil)
