package claimer

import (
	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// Timing of a claim.
const (
	// ClaimTimeout is how long a claimant waits for a majority.
	ClaimTimeout tiller.Millis = 1000
	resendPeriod tiller.Millis = 150
	completeFor                = 2 * tiller.Second
)

// Result is the outcome of a claim.
type Result struct {
	attempt string
	verdict wire.ClaimVerdict
	answer  *wire.Answer
}

// Attempt returns the attempt that asked.
func (r Result) Attempt() string { return r.attempt }

// Verdict returns the decision; unspecified means that no majority answered.
func (r Result) Verdict() wire.ClaimVerdict { return r.verdict }

// Answer returns the first result of a completed request, nil if it was too large to keep.
func (r Result) Answer() *wire.Answer { return r.answer }

type request struct {
	claim   *wire.Claim
	members map[string]tiller.Address
	granted tiller.Set[string]
	refused tiller.Set[string]
	sentAt  tiller.Millis
	until   tiller.Millis
}

// Claimant collects the votes of claim groups for the requests of one node.
type Claimant struct {
	address  tiller.Address
	groups   map[tiller.DataCentre]*wire.ClaimPlacement
	requests map[string]*request
	order    []string
	out      []*wire.Envelope
	results  []Result
}

// NewClaimant returns a claimant that knows no group.
func NewClaimant(address tiller.Address) *Claimant {
	return &Claimant{address: address, groups: map[tiller.DataCentre]*wire.ClaimPlacement{}, requests: map[string]*request{}}
}

// Place tells the claimant of a placement.
func (c *Claimant) Place(p *wire.ClaimPlacement) {
	dc := tiller.DataCentre(p.GetDataCentre())
	if old := c.groups[dc]; old == nil || p.GetEpoch() > old.GetEpoch() {
		c.groups[dc] = p
	}
}

// Take starts a claim; a result without a verdict comes at once where the home has no group.
func (c *Claimant) Take(now tiller.Millis, key Key, digest []byte, attempt string) ([]*wire.Envelope, []Result) {
	c.reset()

	g := c.groups[key.Home()]
	if g == nil {
		return nil, []Result{{attempt: attempt}}
	}

	c.start(now, &wire.Claim{
		Phase: wire.ClaimPhase_CLAIM_PHASE_TAKE, Key: key.String(), Digest: digest, Attempt: attempt,
		Epoch: g.GetEpoch(), DataCentre: g.GetDataCentre(),
	}, g, ClaimTimeout)

	return c.out, c.results
}

// Finish tells the group that an attempt ran, with its answer, or that it did not run. A completion is repeated until
// a majority has it.
func (c *Claimant) Finish(now tiller.Millis, key Key, digest []byte, attempt string, ran bool, answer *wire.Answer) []*wire.Envelope {
	c.reset()
	c.forget(attempt)

	g := c.groups[key.Home()]
	if g == nil {
		return nil
	}

	phase := wire.ClaimPhase_CLAIM_PHASE_RELEASE
	if ran {
		phase = wire.ClaimPhase_CLAIM_PHASE_COMPLETE
	}

	c.start(now, &wire.Claim{
		Phase: phase, Key: key.String(), Digest: digest, Attempt: attempt, Epoch: g.GetEpoch(),
		DataCentre: g.GetDataCentre(), Answer: answer,
	}, g, completeFor)

	return c.out
}

func (c *Claimant) reset() {
	c.out = nil
	c.results = nil
}

func (c *Claimant) start(now tiller.Millis, claim *wire.Claim, g *wire.ClaimPlacement, timeout tiller.Millis) {
	r := &request{
		claim: claim, members: map[string]tiller.Address{}, granted: tiller.NewSet[string](), refused: tiller.NewSet[string](),
		until: now + timeout,
	}

	for _, id := range g.GetMembers() {
		if _, _, address, ok := ParseIdentity(id); ok {
			r.members[id] = address
		}
	}

	c.requests[claim.GetAttempt()] = r
	c.order = append(c.order, claim.GetAttempt())
	c.sendTo(now, r)
}

func (c *Claimant) sendTo(now tiller.Millis, r *request) {
	r.sentAt = now

	for _, id := range sortedKeys(r.members) {
		if r.granted.Has(id) || r.refused.Has(id) {
			continue
		}

		c.out = append(c.out, &wire.Envelope{
			From: string(c.address), To: string(r.members[id]), Body: &wire.Envelope_Claim{Claim: r.claim},
		})
	}
}

// Tick resends unanswered claims and gives up on those past their time.
func (c *Claimant) Tick(now tiller.Millis) ([]*wire.Envelope, []Result) {
	c.reset()

	attempts := c.order
	for _, attempt := range attempts {
		r := c.requests[attempt]

		switch {
		case r == nil:
		case now >= r.until:
			c.settle(attempt, r, wire.ClaimVerdict_CLAIM_VERDICT_UNSPECIFIED, nil)
		case now >= r.sentAt+resendPeriod:
			c.sendTo(now, r)
		}
	}

	return c.out, c.results
}

// Receive counts a member's vote.
func (c *Claimant) Receive(e *wire.Envelope) []Result {
	c.reset()

	reply := e.GetClaimReply()
	r := c.requests[reply.GetAttempt()]

	if r == nil || reply.GetPhase() != r.claim.GetPhase() || r.members[reply.GetMember()] == "" {
		return nil
	}

	c.count(reply, r)

	return c.results
}

func (c *Claimant) count(reply *wire.ClaimReply, r *request) {
	needed := majority(len(r.members))

	switch reply.GetVerdict() {
	case wire.ClaimVerdict_CLAIM_VERDICT_GRANTED:
		r.granted.Add(reply.GetMember())

		if r.granted.Len() >= needed {
			c.settle(reply.GetAttempt(), r, wire.ClaimVerdict_CLAIM_VERDICT_GRANTED, nil)
		}
	case wire.ClaimVerdict_CLAIM_VERDICT_COMPLETED, wire.ClaimVerdict_CLAIM_VERDICT_MISMATCH:
		c.settle(reply.GetAttempt(), r, reply.GetVerdict(), reply.GetAnswer())
	default:
		r.refused.Add(reply.GetMember())

		if r.refused.Len() > len(r.members)-needed {
			c.settle(reply.GetAttempt(), r, reply.GetVerdict(), nil)
		}
	}
}

func (c *Claimant) settle(attempt string, r *request, verdict wire.ClaimVerdict, answer *wire.Answer) {
	if r.claim.GetPhase() == wire.ClaimPhase_CLAIM_PHASE_TAKE {
		c.results = append(c.results, Result{attempt: attempt, verdict: verdict, answer: answer})
	}

	c.forget(attempt)
}

func (c *Claimant) forget(attempt string) {
	if c.requests[attempt] == nil {
		return
	}

	delete(c.requests, attempt)

	for i, a := range c.order {
		if a == attempt {
			c.order = append(c.order[:i:i], c.order[i+1:]...)

			return
		}
	}
}

// Pending returns the number of claims in progress.
func (c *Claimant) Pending() int { return len(c.requests) }
