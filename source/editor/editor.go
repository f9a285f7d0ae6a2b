// Package editor is the operators' client of the controllers: it finds the leading controller, retries each edit under one
// id until its outcome is known, and reads the configuration in force.
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

// ErrUnreachable is returned if no controller answers.
var ErrUnreachable = eris.New("no controller answered")

// Client sends operators' requests to controllers and nodes.
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

// Status returns the status of the controller that holds the leader lease, or of any other controller if none does.
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

// Show returns the document of the controller that holds the leader lease, or of any other controller if none does.
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

// NewEdit returns an edit with a new id that replaces the version that an operator has read.
func NewEdit(spec tiller.DocumentSpec, base tiller.Version, author, reason string) (*wire.Edit, error) {
	items, err := encoder.Encode(spec)
	if err != nil {
		return nil, err
	}

	return &wire.Edit{Id: uuid.NewString(), Base: base.Wire(), Author: author, Reason: reason, Items: items}, nil
}

// Apply sends an edit until its outcome is known. Retries are safe, since the id makes the edit idempotent. If the outcome is
// still unknown after the last retry, the reply's verdict states whether the edit may have run.
func (c *Client) Apply(ctx context.Context, e *wire.Edit) (*wire.ApplyReply, error) {
	var (
		last   *wire.ApplyReply
		leader tiller.Address
	)

	for range maxRounds {
		for _, a := range c.leaderFirst(leader) {
			r, err := c.operator(a).Apply(ctx, e)
			if err != nil {
				last = preferUnknown(last, noReply())

				continue
			}

			if isFinal(r) {
				return r, nil
			}

			last = preferUnknown(last, r)

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

// leaderFirst returns the controllers with the reported leader first.
func (c *Client) leaderFirst(leader tiller.Address) []tiller.Address {
	if !slices.Contains(c.controllers, leader) {
		return c.controllers
	}

	return append([]tiller.Address{leader}, c.controllers...)
}

func noReply() *wire.ApplyReply {
	return &wire.ApplyReply{
		Verdict: tiller.VerdictMayHaveRun.String(), Advice: "a controller did not answer; send the same edit id again to learn the outcome",
	}
}

// preferUnknown returns the last reply if it leaves the outcome unknown, and r otherwise: a later refusal by another controller does
// not rule out that the edit has run.
func preferUnknown(last, r *wire.ApplyReply) *wire.ApplyReply {
	if last.GetVerdict() == tiller.VerdictMayHaveRun.String() {
		return last
	}

	return r
}

func isFinal(r *wire.ApplyReply) bool {
	return r.GetOutcome() != nil || len(r.GetFaults()) > 0
}

// NodeAddresses returns the addresses of some nodes of each data centre, as reported to the controllers.
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

// Inspect returns the state of the first node that answers.
func (c *Client) Inspect(ctx context.Context, nodes []tiller.Address) (*wire.InspectReply, error) {
	for _, a := range nodes {
		if r, err := c.Inspector(a).Inspect(ctx, &wire.InspectRequest{}); err == nil {
			return r, nil
		}
	}

	return nil, eris.New("no node answered")
}

// Timelines returns the events of the controllers and of the given nodes, and how many events they have dropped. Unresponsive
// processes are left out.
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
