package claimer

import (
	"fmt"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// catchUp collects the claims of the previous groups and starts serving once none of them can grant a claim any more. Every granted
// claim is stored by a majority, so responses of all but a minority of a group contain all claims that the group granted. If too many
// members have lost their claims, the remaining ones get until catchUpDeadline to respond; after that, unknown keys that may have been
// created before that moment are fenced.
func (m *Member) catchUp(now, wall tiller.Millis, isTerminated IsTerminated) {
	g := m.group
	previous := g.placement.GetPrevious()

	if len(previous) == 0 {
		m.fence = max(m.fence, tiller.Millis(g.placement.GetFence()))
		m.startServing("first group")

		return
	}

	if g.catchUpDeadline == 0 {
		g.catchUpDeadline = now + catchUpTimeout
	}

	// A member that has served in the oldest previous epoch or later obtained the claims of the epochs before it, or fenced their keys.
	// Before epoch 1 there are none.
	ended, complete := true, g.servedEpoch >= previous[0].GetEpoch() || previous[0].GetEpoch() == 1

	for _, p := range previous {
		responded, terminated := m.countResponses(p, isTerminated)
		needed := len(p.GetMembers()) - majority(len(p.GetMembers())) + 1
		ended = ended && responded+terminated >= needed
		complete = complete && responded >= needed
	}

	switch {
	case complete:
		m.startServing("all earlier claims received")
	case ended && now >= g.catchUpDeadline:
		m.fence = max(m.fence, tiller.Millis(g.placement.GetFence()), wall+MaxAhead+MaxSkew)
		m.startServing("earlier claims were lost; older keys are refused")
	case now >= g.fetchAt:
		g.fetchAt = now + fetchPeriod
		m.requestClaims(previous)
	}
}

// countResponses returns how many members of a group have responded, and how many are known to have terminated without a response.
func (m *Member) countResponses(p *wire.ClaimGroup, isTerminated IsTerminated) (responded, terminated int) {
	for _, id := range p.GetMembers() {
		switch {
		case m.group.responded.Has(id):
			responded++
		case m.group.terminated.Has(id) || isTerminated(id):
			m.group.terminated.Add(id)

			terminated++
		}
	}

	return responded, terminated
}

func (m *Member) startServing(reason string) {
	m.group.serving = true
	m.servedEpoch = m.epoch()
	m.events = append(m.events, tiller.NewEvent(tiller.EventClaimPlaced,
		fmt.Sprintf("serves claims of epoch %d: %s", m.epoch(), reason)))
}

func (m *Member) requestClaims(previous []*wire.ClaimGroup) {
	asked := tiller.NewSet[string]()

	for _, p := range previous {
		for _, id := range p.GetMembers() {
			_, _, address, ok := ParseIdentity(id)
			if !ok || m.group.responded.Has(id) || !asked.Add(id) {
				continue
			}

			m.send(address, &wire.Envelope{Body: &wire.Envelope_ClaimFetch{ClaimFetch: &wire.ClaimFetch{
				DataCentre: string(m.home), Epoch: m.epoch(), Member: id,
			}}})
		}
	}
}

// onFetch seals the epochs before the requested one, so that this member grants no claim in them, and sends all its claims.
func (m *Member) onFetch(from tiller.Address, f *wire.ClaimFetch) {
	if f.GetMember() != m.identity || f.GetDataCentre() != string(m.home) {
		return
	}

	m.sealedBelow = max(m.sealedBelow, f.GetEpoch())
	s := &wire.ClaimState{
		DataCentre: string(m.home), Epoch: f.GetEpoch(), Fence: int64(m.fence), Member: m.identity, ServedEpoch: m.servedEpoch,
	}

	for _, key := range sortedKeys(m.records) {
		r := m.records[key]
		s.Records = append(s.Records, &wire.ClaimRecord{
			Key: key, Digest: r.digest, Attempt: r.attempt, Completed: r.completed, Answer: r.answer,
		})
	}

	m.send(from, &wire.Envelope{Body: &wire.Envelope_ClaimState{ClaimState: s}})
}

func (m *Member) onState(s *wire.ClaimState) {
	if m.group == nil || m.group.serving || s.GetEpoch() != m.epoch() {
		return
	}

	for _, r := range s.GetRecords() {
		m.mergeRecord(r)
	}

	m.fence = max(m.fence, tiller.Millis(s.GetFence()))
	m.group.responded.Add(s.GetMember())
	m.group.servedEpoch = max(m.group.servedEpoch, s.GetServedEpoch())
}

// mergeRecord stores a record of a peer, unless a record that is at least as final is known.
func (m *Member) mergeRecord(r *wire.ClaimRecord) {
	old := m.records[r.GetKey()]
	if old != nil && (old.completed || !r.GetCompleted()) {
		return
	}

	key, err := ParseKey(r.GetKey())
	if err != nil {
		return
	}

	m.records[r.GetKey()] = &claim{
		digest: r.GetDigest(), attempt: r.GetAttempt(), completed: r.GetCompleted(), answer: r.GetAnswer(), created: key.Created(),
	}
}
