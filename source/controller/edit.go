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

// edit validates a request and proposes it; a resend of a decided edit gets the first answer.
func (c *Core) edit(e Edit) {
	if faults := arbiter.Check(e.Edit); len(faults) > 0 {
		c.reply(e.Token, &wire.ApplyReply{Faults: faults, Verdict: tiller.VerdictNotRun.String()})

		return
	}

	if !c.Current(c.now) {
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
	if len(c.waiting) >= maxWaitingEdits {
		c.reply(e.Token, &wire.ApplyReply{Verdict: tiller.VerdictNotRun.String(), Advice: "too many edits are waiting; send it again later"})

		return
	}

	w := waiting{token: e.Token, edit: e.Edit, until: c.now + editTimeout}
	c.waiting = append(c.waiting, w)

	index := c.proposeCommand(&wire.Command{At: int64(c.now), Change: &wire.Command_Edit{Edit: c.state.Reduce(e.Edit)}})
	for i := range c.waiting {
		if c.waiting[i].token == e.Token {
			c.waiting[i].index = index
			c.waiting[i].term = c.log.Term()
		}
	}
}

func (c *Core) proposeCommand(command *wire.Command) uint64 {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(command)
	if err != nil {
		c.emit(tiller.EventRejected, err.Error())

		return 0
	}

	return c.run(replicator.Propose{Data: data})
}

// settle answers the edits whose fate a committed entry has decided.
func (c *Core) settle(entry *wire.Entry) {
	keep := c.waiting[:0:0]

	for _, w := range c.waiting {
		o, decided := c.state.Outcome(w.edit.GetId())

		switch {
		case decided:
			c.replyOutcome(w.token, w.edit, o)
		case w.index != 0 && w.index <= entry.GetIndex():
			c.reply(w.token, &wire.ApplyReply{
				Verdict: tiller.VerdictNotRun.String(), Leader: string(c.log.Leader()),
				Advice: "another leader's entry took its place; send the same edit id again",
			})
		default:
			keep = append(keep, w)
		}
	}

	c.waiting = keep
}

func (c *Core) expireWaiting() {
	keep := c.waiting[:0:0]

	for _, w := range c.waiting {
		if c.now < w.until {
			keep = append(keep, w)

			continue
		}

		c.reply(w.token, &wire.ApplyReply{
			Verdict: tiller.VerdictMayHaveRun.String(), Leader: string(c.log.Leader()),
			Advice: "no quorum answered in time; send the same edit id again to learn the outcome",
		})
	}

	c.waiting = keep
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
		r.Since = slices.Clone(c.state.Since(tiller.VersionOf(e.GetBase())))
		r.Advice = "the document changed since it was read; read it again and repeat the edit under a new id"
	}

	c.reply(token, r)
}

func (c *Core) reply(token uint64, r *wire.ApplyReply) {
	c.out.Replies = append(c.out.Replies, Reply{token: token, reply: r})
}
