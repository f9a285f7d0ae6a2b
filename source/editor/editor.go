// Package editor is the operators' side of the protocol: it finds the leading controller, sends edits under one id until
// their outcome is known, and reads back what is in force.
package editor

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/claimer"
	"gitlab.com/sycamoretiller/sycamoretiller/document/encoder"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

const (
	requestTimeout = 8 * time.Second
	retryPause     = 300 * time.Millisecond
	maxRounds      = 5
)

// ErrUnreachable means that no controller or node answered.
var ErrUnreachable = eris.New("no controller answered")

// Client talks to controllers and nodes.
type Client struct {
	controllers []tiller.Address
	http        *http.Client
}

// New returns a client of the given controllers.
func New(controllers []tiller.Address) *Client {
	return &Client{controllers: controllers, http: &http.Client{Timeout: requestTimeout}}
}

func (c *Client) operator(a tiller.Address) wire.Operator {
	return wire.NewOperatorProtobufClient("http://"+string(a), c.http)
}

// Inspector returns the operators' interface of a node.
func (c *Client) Inspector(a tiller.Address) wire.Inspector {
	return wire.NewInspectorProtobufClient("http://"+string(a), c.http)
}

// Operator returns the operators' interface of a controller.
func (c *Client) Operator(a tiller.Address) wire.Operator { return c.operator(a) }

// Statuses returns the status of every controller that answers.
func (c *Client) Statuses(ctx context.Context) []*wire.StatusReply {
	var out []*wire.StatusReply

	for _, a := range c.controllers {
		if s, err := c.operator(a).Status(ctx, &wire.StatusRequest{}); err == nil {
			out = append(out, s)
		}
	}

	return out
}

// Status returns the status of the leading controller, or of any other when none is current.
func (c *Client) Status(ctx context.Context) (*wire.StatusReply, error) {
	all := c.Statuses(ctx)
	if len(all) == 0 {
		return nil, ErrUnreachable
	}

	if i := slices.IndexFunc(all, (*wire.StatusReply).GetCurrent); i >= 0 {
		return all[i], nil
	}

	return all[0], nil
}

// Show returns the document of the leading controller, or of any other when none is current.
func (c *Client) Show(ctx context.Context) (*wire.ShowReply, error) {
	var stale *wire.ShowReply

	for _, a := range c.controllers {
		r, err := c.operator(a).Show(ctx, &wire.ShowRequest{})
		if err != nil {
			continue
		}

		if r.GetCurrent() {
			return r, nil
		}

		stale = r
	}

	if stale == nil {
		return nil, ErrUnreachable
	}

	return stale, nil
}

// NewEdit returns an edit of the version that an operator has read.
func NewEdit(spec tiller.DocumentSpec, base tiller.Version, author, reason string) (*wire.Edit, error) {
	items, err := encoder.Encode(spec)
	if err != nil {
		return nil, err
	}

	return &wire.Edit{Id: uuid.NewString(), Base: base.Wire(), Author: author, Reason: reason, Items: items}, nil
}

// Apply sends an edit until its outcome is known. Sending it again is safe, since the id makes it idempotent.
func (c *Client) Apply(ctx context.Context, e *wire.Edit) (*wire.ApplyReply, error) {
	var (
		last   *wire.ApplyReply
		leader tiller.Address
	)

	for range maxRounds {
		for _, a := range c.order(leader) {
			r, err := c.operator(a).Apply(ctx, e)
			if err != nil {
				last = keepUnknown(last, lostAnswer())

				continue
			}

			if settled(r) {
				return r, nil
			}

			last = keepUnknown(last, r)

			if r.GetLeader() != "" && tiller.Address(r.GetLeader()) != a {
				leader = tiller.Address(r.GetLeader())
			}
		}

		select {
		case <-ctx.Done():
			return last, ctx.Err()
		case <-time.After(retryPause):
		}
	}

	return last, nil
}

// order puts the leader that a controller named first.
func (c *Client) order(leader tiller.Address) []tiller.Address {
	if !slices.Contains(c.controllers, leader) {
		return c.controllers
	}

	return append([]tiller.Address{leader}, c.controllers...)
}

func lostAnswer() *wire.ApplyReply {
	return &wire.ApplyReply{
		Verdict: tiller.VerdictMayHaveRun.String(), Advice: "a controller did not answer; send the same edit id again to learn the outcome",
	}
}

// keepUnknown keeps the answer that leaves the outcome open, whatever other controllers say.
func keepUnknown(last, r *wire.ApplyReply) *wire.ApplyReply {
	if last.GetVerdict() == tiller.VerdictMayHaveRun.String() {
		return last
	}

	return r
}

func settled(r *wire.ApplyReply) bool {
	return r.GetOutcome() != nil || len(r.GetFaults()) > 0
}

// NodeAddresses returns the addresses of some nodes of each data centre, as the controllers heard of them.
func NodeAddresses(s *wire.StatusReply) []tiller.Address {
	var out []tiller.Address

	for _, r := range s.GetReports() {
		for _, id := range r.GetClaimCandidates() {
			if _, _, a, ok := claimer.ParseIdentity(id); ok {
				out = append(out, a)
			}
		}
	}

	return out
}

// Inspect returns what the first answering node knows.
func (c *Client) Inspect(ctx context.Context, nodes []tiller.Address) (*wire.InspectReply, error) {
	for _, a := range nodes {
		if r, err := c.Inspector(a).Inspect(ctx, &wire.InspectRequest{}); err == nil {
			return r, nil
		}
	}

	return nil, eris.New("no node answered")
}

// Timelines collects the events of controllers and of all nodes that a node knows; silent processes are left out.
func (c *Client) Timelines(ctx context.Context, nodes []tiller.Address) (lines [][]*wire.Event, dropped uint64) {
	add := func(r *wire.TimelineReply, err error) {
		if err == nil {
			lines = append(lines, r.GetEvents())
			dropped += r.GetDropped()
		}
	}

	for _, a := range c.controllers {
		add(c.operator(a).Timeline(ctx, &wire.TimelineRequest{}))
	}

	for _, a := range nodes {
		add(c.Inspector(a).Timeline(ctx, &wire.TimelineRequest{}))
	}

	return lines, dropped
}
