// Package claimer ensures that a request with an idempotency key runs at most once. A claim on a key is granted by a majority of a small
// group of nodes in the key's home data centre, which store it in memory. The epochs of the group are committed through the replicated
// log of the configuration source. A new group either obtains all claims of the previous groups or fences the keys that may have been
// claimed before. The package does no I/O: its types return the messages to send.
package claimer

import (
	"bytes"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

const (
	// MaxAnswerBytes is the size of the largest answer that is stored, to be replayed when a request is resent.
	MaxAnswerBytes = 8 << 10
	// MaxRecords bounds the number of claims that one member stores.
	MaxRecords = 200_000

	fetchPeriod    tiller.Millis = 500
	catchUpTimeout               = 3 * tiller.Second
	sweepPeriod                  = 10 * tiller.Second
)

// Identity returns the identity of one incarnation of a node as a member of a claim group. A restarted node has another identity, because
// it has lost its claims.
func Identity(name string, incarnation uint64, address tiller.Address) string {
	return fmt.Sprintf("%s#%d@%s", name, incarnation, address)
}

// ParseIdentity splits a member's identity into its parts; ok is false if it is malformed.
func ParseIdentity(id string) (name string, incarnation uint64, address tiller.Address, ok bool) {
	at := strings.LastIndex(id, "@")
	hash := strings.LastIndex(id[:max(at, 0)], "#")

	if at < 0 || hash < 0 {
		return "", 0, "", false
	}

	if n, err := fmt.Sscanf(id[hash+1:at], "%d", &incarnation); err != nil || n != 1 {
		return "", 0, "", false
	}

	return id[:hash], incarnation, tiller.Address(id[at+1:]), true
}

// IsTerminated reports whether the process of a member is known to have terminated, so that it cannot grant claims any more.
type IsTerminated func(identity string) bool

// claim is a replica of a granted claim; answer is set once the attempt has completed.
type claim struct {
	digest    []byte
	attempt   string
	completed bool
	answer    *wire.Answer
	created   tiller.Millis
}

// group is the member's state in one epoch.
type group struct {
	placement       *wire.ClaimPlacement
	serving         bool
	responded       tiller.Set[string]
	terminated      tiller.Set[string]
	servedEpoch     uint64
	fetchAt         tiller.Millis
	catchUpDeadline tiller.Millis
}

// Member implements a node's membership of the claim group of its data centre. It is not safe for concurrent use.
type Member struct {
	identity string
	address  tiller.Address
	home     tiller.DataCentre

	group   *group
	records map[string]*claim
	// released holds the attempts that were released, with the wall-clock time of the release.
	released map[string]tiller.Millis
	// fence is the creation time up to which keys without a record are refused.
	fence tiller.Millis
	// servedEpoch is the latest epoch in which the member started to serve.
	servedEpoch uint64
	// sealedBelow is the epoch below which the member grants no claims.
	sealedBelow uint64
	sweepAt     tiller.Millis

	out    []*wire.Envelope
	events []tiller.Event
}

// NewMember returns a member that belongs to no group yet.
func NewMember(identity string, address tiller.Address, home tiller.DataCentre) *Member {
	return &Member{
		identity: identity, address: address, home: home,
		records: map[string]*claim{}, released: map[string]tiller.Millis{},
	}
}

// SetIdentity changes the identity after the incarnation of the node was corrected. Claims stored under the old identity are discarded.
func (m *Member) SetIdentity(identity string) {
	if identity != m.identity {
		*m = *NewMember(identity, m.address, m.home)
	}
}

// SetPlacement installs the placement of a new claim group if its epoch is newer; the member then grants no more claims in the old epoch.
func (m *Member) SetPlacement(p *wire.ClaimPlacement) {
	if p.GetDataCentre() != string(m.home) || p.GetEpoch() <= m.epoch() {
		return
	}

	g := &group{placement: p, responded: tiller.NewSet[string](), terminated: tiller.NewSet[string]()}
	m.group = g

	g.responded.Add(m.identity)
	g.servedEpoch = m.servedEpoch
}

func (m *Member) epoch() uint64 {
	if m.group == nil {
		return 0
	}

	return m.group.placement.GetEpoch()
}

// Seal permanently stops granting claims; it is called before the node stops.
func (m *Member) Seal() { m.sealedBelow = math.MaxUint64 }

// Tick requests the claims of the previous groups until they are complete, and deletes expired claims. now is monotonic time, wall the
// wall-clock time.
func (m *Member) Tick(now, wall tiller.Millis, isTerminated IsTerminated) ([]*wire.Envelope, []tiller.Event) {
	m.reset()

	if m.group == nil {
		return nil, nil
	}

	if !m.group.serving && slices.Contains(m.group.placement.GetMembers(), m.identity) && m.epoch() >= m.sealedBelow {
		m.catchUp(now, wall, isTerminated)
	}

	if now >= m.sweepAt {
		m.sweepAt = now + sweepPeriod
		m.sweep(wall)
	}

	return m.out, m.events
}

func (m *Member) reset() {
	m.out = nil
	m.events = nil
}

func (m *Member) send(to tiller.Address, e *wire.Envelope) {
	e.From = string(m.address)
	e.To = string(to)
	m.out = append(m.out, e)
}

func (m *Member) sweep(wall tiller.Millis) {
	for key, c := range m.records {
		if c.created+KeyWindow+MaxAhead < wall {
			delete(m.records, key)
		}
	}

	for attempt, at := range m.released {
		if at+KeyWindow < wall {
			delete(m.released, attempt)
		}
	}
}

// Receive handles claims and the messages by which claims are transferred to a new group.
func (m *Member) Receive(wall tiller.Millis, e *wire.Envelope) ([]*wire.Envelope, []tiller.Event) {
	m.reset()

	switch b := e.GetBody().(type) {
	case *wire.Envelope_Claim:
		m.onClaim(wall, tiller.Address(e.GetFrom()), b.Claim)
	case *wire.Envelope_ClaimFetch:
		m.onFetch(tiller.Address(e.GetFrom()), b.ClaimFetch)
	case *wire.Envelope_ClaimState:
		m.onState(b.ClaimState)
	default:
	}

	return m.out, m.events
}

func (m *Member) onClaim(wall tiller.Millis, from tiller.Address, c *wire.Claim) {
	verdict, answer := m.decide(wall, c)
	m.send(from, &wire.Envelope{Body: &wire.Envelope_ClaimReply{ClaimReply: &wire.ClaimReply{
		Key: c.GetKey(), Attempt: c.GetAttempt(), Phase: c.GetPhase(), Member: m.identity, Epoch: m.epoch(),
		Verdict: verdict, Answer: answer,
	}}})
}

// decide returns the vote on a claim. Completions and releases are accepted in any epoch, because they only add information.
func (m *Member) decide(wall tiller.Millis, c *wire.Claim) (wire.ClaimVerdict, *wire.Answer) {
	switch c.GetPhase() {
	case wire.ClaimPhase_CLAIM_PHASE_COMPLETE:
		m.complete(c)

		return wire.ClaimVerdict_CLAIM_VERDICT_GRANTED, nil
	case wire.ClaimPhase_CLAIM_PHASE_RELEASE:
		m.release(wall, c)

		return wire.ClaimVerdict_CLAIM_VERDICT_GRANTED, nil
	default:
	}

	if !m.Serving() || c.GetEpoch() != m.epoch() {
		return wire.ClaimVerdict_CLAIM_VERDICT_WRONG_EPOCH, nil
	}

	return m.take(wall, c)
}

func (m *Member) take(wall tiller.Millis, c *wire.Claim) (wire.ClaimVerdict, *wire.Answer) {
	key, err := ParseKey(c.GetKey())
	if err != nil || key.Check(wall) != nil {
		return wire.ClaimVerdict_CLAIM_VERDICT_FENCED, nil
	}

	if old := m.records[c.GetKey()]; old != nil {
		return verdictFor(old, c)
	}

	if _, released := m.released[c.GetAttempt()]; released {
		return wire.ClaimVerdict_CLAIM_VERDICT_TAKEN, nil
	}

	if key.Created() <= m.fence || len(m.records) >= MaxRecords {
		return wire.ClaimVerdict_CLAIM_VERDICT_FENCED, nil
	}

	m.records[c.GetKey()] = &claim{digest: c.GetDigest(), attempt: c.GetAttempt(), created: key.Created()}

	return wire.ClaimVerdict_CLAIM_VERDICT_GRANTED, nil
}

func verdictFor(old *claim, c *wire.Claim) (wire.ClaimVerdict, *wire.Answer) {
	switch {
	case !bytes.Equal(old.digest, c.GetDigest()):
		return wire.ClaimVerdict_CLAIM_VERDICT_MISMATCH, nil
	case old.completed:
		return wire.ClaimVerdict_CLAIM_VERDICT_COMPLETED, old.answer
	case old.attempt == c.GetAttempt():
		return wire.ClaimVerdict_CLAIM_VERDICT_GRANTED, nil
	default:
		return wire.ClaimVerdict_CLAIM_VERDICT_TAKEN, nil
	}
}

func (m *Member) complete(c *wire.Claim) {
	r := m.records[c.GetKey()]
	if r == nil || r.attempt != c.GetAttempt() {
		key, err := ParseKey(c.GetKey())
		if err != nil {
			return
		}

		// The claim was granted by other members. Its outcome takes precedence over a grant that never ran.
		r = &claim{digest: c.GetDigest(), attempt: c.GetAttempt(), created: key.Created()}
		m.records[c.GetKey()] = r
	}

	r.completed = true
	r.answer = c.GetAnswer()
}

// release deletes the claim of an attempt that did not run, and refuses a claim of this attempt that arrives after its release.
func (m *Member) release(wall tiller.Millis, c *wire.Claim) {
	m.released[c.GetAttempt()] = wall

	if r := m.records[c.GetKey()]; r != nil && r.attempt == c.GetAttempt() && !r.completed {
		delete(m.records, c.GetKey())
	}
}

// Serving reports whether the member grants claims.
func (m *Member) Serving() bool {
	return m.group != nil && m.group.serving && m.epoch() >= m.sealedBelow
}

// ServingEpoch returns the epoch in which the member grants claims, zero if it grants none.
func (m *Member) ServingEpoch() uint64 {
	if !m.Serving() {
		return 0
	}

	return m.epoch()
}

// RecordCount returns the number of stored claims.
func (m *Member) RecordCount() int { return len(m.records) }

func majority(n int) int { return n/2 + 1 }

func sortedKeys[T any](m map[string]T) []string {
	return slices.Sorted(maps.Keys(m))
}
