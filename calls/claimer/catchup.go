package claimer

import (
	"fmt"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// learn waits until no claim can be granted in an older epoch any more. A claim is held by a majority, so hearing from
// all but a minority of a group tells every claim that it granted. Where too many members lost their memory, those that
// may still answer get some time, then keys from before that moment are refused instead.
func (m *Member) learn(now, wall tiller.Millis, lost Lost) {
	g := m.group
	previous := g.placement.GetPrevious()

	if len(previous) == 0 {
		m.fence = max(m.fence, tiller.Millis(g.placement.GetFence()))
		m.serve("first group")

		return
	}

	if g.giveUpAt == 0 {
		g.giveUpAt = now + learnTimeout
	}

	ended, complete := true, g.served >= previous[0].GetEpoch() || previous[0].GetEpoch() == 1

	for _, p := range previous {
		heard, gone := m.account(p, lost)
		needed := len(p.GetMembers()) - majority(len(p.GetMembers())) + 1
		ended = ended && heard+gone >= needed
		complete = complete && heard >= needed
	}

	switch {
	case complete:
		m.serve("all claims learnt")
	case ended && now >= g.giveUpAt:
		m.fence = max(m.fence, tiller.Millis(g.placement.GetFence()), wall+MaxAhead+MaxSkew)
		m.serve("claims were lost; older keys are refused")
	case now >= g.fetchAt:
		g.fetchAt = now + fetchPeriod
		m.fetch(previous)
	}
}

// account counts the members of a group that were heard and those that are known to have ended unheard.
func (m *Member) account(p *wire.ClaimGroup, lost Lost) (heard, gone int) {
	for _, id := range p.GetMembers() {
		switch {
		case m.group.heard.Has(id):
			heard++
		case m.group.lost.Has(id) || lost(id):
			m.group.lost.Add(id)

			gone++
		}
	}

	return heard, gone
}

func (m *Member) serve(why string) {
	m.group.serving = true
	m.servedEpoch = m.epoch()
	m.events = append(m.events, tiller.NewEvent(tiller.EventClaimPlaced,
		fmt.Sprintf("serves claims of epoch %d: %s", m.epoch(), why)))
}

func (m *Member) fetch(previous []*wire.ClaimGroup) {
	asked := tiller.NewSet[string]()

	for _, p := range previous {
		for _, id := range p.GetMembers() {
			_, _, address, ok := ParseIdentity(id)
			if !ok || m.group.heard.Has(id) || !asked.Add(id) {
				continue
			}

			m.send(address, &wire.Envelope{Body: &wire.Envelope_ClaimFetch{ClaimFetch: &wire.ClaimFetch{
				DataCentre: string(m.home), Epoch: m.epoch(), Member: id,
			}}})
		}
	}
}

// onFetch ends the older epochs here and hands over every claim.
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
	if s.GetEpoch() != m.epoch() || m.group.serving {
		return
	}

	for _, r := range s.GetRecords() {
		m.adopt(r)
	}

	m.fence = max(m.fence, tiller.Millis(s.GetFence()))
	m.group.heard.Add(s.GetMember())
	m.group.served = max(m.group.served, s.GetServedEpoch())
}

func (m *Member) adopt(r *wire.ClaimRecord) {
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
