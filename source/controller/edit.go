package controller

import (
	"bytes"
	"slices"

	"google.golang.org/protobuf/proto"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/source/arbiter"
	"gitlab.com/sycamoretiller/sycamoretiller/source/replicator"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// edit validates an edit and proposes it. If the edit is a retry of a decided one, its stored outcome is returned.
func (c *Core) edit(e Edit) {
	if faults := arbiter.ValidateEdit(e.Edit); len(faults) > 0 {
		c.reply(e.Token, &wire.ApplyReply{Faults: faults, Verdict: tiller.VerdictNotRun.String()})

		return
	}

	if !c.HoldsLease(c.now) {
		c.reply(e.Token, &wire.ApplyReply{
			Verdict: tiller.VerdictNotRun.String(), Leader: string(c.log.Leader()),
			Advice: "this controller does not lead with a quorum; send the same edit id to the leader",
		})

		return
	}

	if o, ok := c.state.Outcome(e.Edit.GetId()); ok {
		c.replyOutcome(e.Token, e.Edit, o)

		return
	}

	c.propose(e)
}

func (c *Core) propose(e Edit) {
	if len(c.pendingEdits) >= maxPendingEdits {
		c.reply(e.Token, &wire.ApplyReply{Verdict: tiller.VerdictNotRun.String(), Advice: "too many edits are waiting; send it again later"})

		return
	}

	p := pendingEdit{token: e.Token, edit: e.Edit, expiresAt: c.now + editTimeout}
	c.pendingEdits = append(c.pendingEdits, p)

	index := c.proposeCommand(&wire.Command{At: int64(c.now), Change: &wire.Command_Edit{Edit: c.state.DeltaEdit(e.Edit)}})
	for i := range c.pendingEdits {
		if c.pendingEdits[i].token == e.Token {
			c.pendingEdits[i].index = index
			c.pendingEdits[i].term = c.log.Term()
		}
	}
}

func (c *Core) proposeCommand(command *wire.Command) uint64 {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(command)
	if err != nil {
		c.emit(tiller.EventRejected, err.Error())

		return 0
	}

	return c.stepLog(replicator.Propose{Data: data})
}

// resolveEdits answers the pending edits whose outcome a committed entry has decided.
func (c *Core) resolveEdits(entry *wire.Entry) {
	keep := c.pendingEdits[:0:0]

	for _, p := range c.pendingEdits {
		o, decided := c.state.Outcome(p.edit.GetId())

		switch {
		case decided:
			c.replyOutcome(p.token, p.edit, o)
		case p.index != 0 && p.index <= entry.GetIndex():
			c.reply(p.token, &wire.ApplyReply{
				Verdict: tiller.VerdictNotRun.String(), Leader: string(c.log.Leader()),
				Advice: "another leader's entry took its place; send the same edit id again",
			})
		default:
			keep = append(keep, p)
		}
	}

	c.pendingEdits = keep
}

func (c *Core) expirePendingEdits() {
	keep := c.pendingEdits[:0:0]

	for _, p := range c.pendingEdits {
		if c.now < p.expiresAt {
			keep = append(keep, p)

			continue
		}

		c.reply(p.token, &wire.ApplyReply{
			Verdict: tiller.VerdictMayHaveRun.String(), Leader: string(c.log.Leader()),
			Advice: "no quorum answered in time; send the same edit id again to learn the outcome",
		})
	}

	c.pendingEdits = keep
}

func (c *Core) replyOutcome(token uint64, e *wire.Edit, o *wire.Outcome) {
	if !bytes.Equal(o.GetRequestHash(), arbiter.RequestHash(e)) {
		c.reply(token, &wire.ApplyReply{
			Verdict: tiller.VerdictNotRun.String(),
			Faults:  []string{"edit id " + e.GetId() + " was already used for another edit"},
		})

		return
	}

	r := &wire.ApplyReply{Outcome: o, Verdict: tiller.VerdictRan.String()}
	if o.GetConflict() {
		r.Verdict = tiller.VerdictNotRun.String()
		r.Since = slices.Clone(c.state.HistorySince(tiller.VersionOf(e.GetBase())))
		r.Advice = "the document changed since it was read; read it again and repeat the edit under a new id"
	}

	c.reply(token, r)
}

func (c *Core) reply(token uint64, r *wire.ApplyReply) {
	c.out.Replies = append(c.out.Replies, Reply{token: token, reply: r})
}
