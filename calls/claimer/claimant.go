package claimer

import (
	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// Timeouts of a claim.
const (
	// ClaimTimeout is how long a claimant waits for the votes of a majority.
	ClaimTimeout tiller.Millis = 1000
	// resendPeriod is the time after which members that have not answered are asked again.
	resendPeriod tiller.Millis = 150
	// completeTimeout is how long a completion or release is resent to members that have not acknowledged it.
	completeTimeout = 2 * tiller.Second
)

// Result is the decision of a claim group on a claim.
type Result struct {
	attempt string
	verdict wire.ClaimVerdict
	answer  *wire.Answer
}

// Attempt returns the id of the attempt that made the claim.
func (r Result) Attempt() string { return r.attempt }

// Verdict returns the decision. CLAIM_VERDICT_UNSPECIFIED means that no majority answered in time or that no group is known.
func (r Result) Verdict() wire.ClaimVerdict { return r.verdict }

// Answer returns the stored answer of a completed request, nil if it was too large to store.
func (r Result) Answer() *wire.Answer { return r.answer }

// pendingClaim is a claim, completion or release that waits for the votes of a majority.
type pendingClaim struct {
	claim     *wire.Claim
	members   map[string]tiller.Address
	granted   tiller.Set[string]
	refused   tiller.Set[string]
	sentAt    tiller.Millis
	expiresAt tiller.Millis
}

// Claimant collects the votes of claim groups for the requests of one node. It is not safe for concurrent use.
type Claimant struct {
	address    tiller.Address
	placements map[tiller.DataCentre]*wire.ClaimPlacement
	pending    map[string]*pendingClaim
	order      []string
	out        []*wire.Envelope
	results    []Result
}

// NewClaimant returns a claimant that knows no claim group yet.
func NewClaimant(address tiller.Address) *Claimant {
	return &Claimant{address: address, placements: map[tiller.DataCentre]*wire.ClaimPlacement{}, pending: map[string]*pendingClaim{}}
}

// SetPlacement installs the placement of a data centre's claim group, unless one of the same or a later epoch is known.
func (c *Claimant) SetPlacement(p *wire.ClaimPlacement) {
	dc := tiller.DataCentre(p.GetDataCentre())
	if old := c.placements[dc]; old == nil || p.GetEpoch() > old.GetEpoch() {
		c.placements[dc] = p
	}
}

// Acquire starts a claim of a key for an attempt. If no claim group of the key's home data centre is known, it returns a result without a
// verdict immediately.
func (c *Claimant) Acquire(now tiller.Millis, key Key, digest []byte, attempt string) ([]*wire.Envelope, []Result) {
	c.reset()

	g := c.placements[key.Home()]
	if g == nil {
		return nil, []Result{{attempt: attempt}}
	}

	c.start(now, &wire.Claim{
		Phase: wire.ClaimPhase_CLAIM_PHASE_TAKE, Key: key.String(), Digest: digest, Attempt: attempt,
		Epoch: g.GetEpoch(), DataCentre: g.GetDataCentre(),
	}, g, ClaimTimeout)

	return c.out, c.results
}

// Complete reports to the claim group that an attempt ran, with its answer, or that it did not run. The report is resent until a majority
// has acknowledged it or completeTimeout has passed.
func (c *Claimant) Complete(now tiller.Millis, key Key, digest []byte, attempt string, ran bool, answer *wire.Answer) []*wire.Envelope {
	c.reset()
	c.remove(attempt)

	g := c.placements[key.Home()]
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
	}, g, completeTimeout)

	return c.out
}

func (c *Claimant) reset() {
	c.out = nil
	c.results = nil
}

func (c *Claimant) start(now tiller.Millis, claim *wire.Claim, g *wire.ClaimPlacement, timeout tiller.Millis) {
	r := &pendingClaim{
		claim: claim, members: map[string]tiller.Address{}, granted: tiller.NewSet[string](), refused: tiller.NewSet[string](),
		expiresAt: now + timeout,
	}

	for _, id := range g.GetMembers() {
		if _, _, address, ok := ParseIdentity(id); ok {
			r.members[id] = address
		}
	}

	c.pending[claim.GetAttempt()] = r
	c.order = append(c.order, claim.GetAttempt())
	c.sendClaim(now, r)
}

func (c *Claimant) sendClaim(now tiller.Millis, r *pendingClaim) {
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

// Tick resends unanswered claims and ends those that have timed out.
func (c *Claimant) Tick(now tiller.Millis) ([]*wire.Envelope, []Result) {
	c.reset()

	attempts := c.order
	for _, attempt := range attempts {
		r := c.pending[attempt]

		switch {
		case r == nil:
		case now >= r.expiresAt:
			c.settle(attempt, r, wire.ClaimVerdict_CLAIM_VERDICT_UNSPECIFIED, nil)
		case now >= r.sentAt+resendPeriod:
			c.sendClaim(now, r)
		}
	}

	return c.out, c.results
}

// Receive counts a member's vote.
func (c *Claimant) Receive(e *wire.Envelope) []Result {
	c.reset()

	reply := e.GetClaimReply()
	r := c.pending[reply.GetAttempt()]

	if r == nil || reply.GetPhase() != r.claim.GetPhase() || r.members[reply.GetMember()] == "" {
		return nil
	}

	c.countVote(reply, r)

	return c.results
}

func (c *Claimant) countVote(reply *wire.ClaimReply, r *pendingClaim) {
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

// settle ends a pending claim. Only claims that were started by Acquire have a result.
func (c *Claimant) settle(attempt string, r *pendingClaim, verdict wire.ClaimVerdict, answer *wire.Answer) {
	if r.claim.GetPhase() == wire.ClaimPhase_CLAIM_PHASE_TAKE {
		c.results = append(c.results, Result{attempt: attempt, verdict: verdict, answer: answer})
	}

	c.remove(attempt)
}

func (c *Claimant) remove(attempt string) {
	if c.pending[attempt] == nil {
		return
	}

	delete(c.pending, attempt)

	for i, a := range c.order {
		if a == attempt {
			c.order = append(c.order[:i:i], c.order[i+1:]...)

			return
		}
	}
}

// Pending returns the number of claims in progress.
func (c *Claimant) Pending() int { return len(c.pending) }
