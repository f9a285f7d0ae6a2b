package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/go-resty/resty/v2"
	"github.com/google/uuid"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/forwarder"
)

// CallKind describes one kind of call.
type CallKind struct {
	Name   string `yaml:"name"`
	Method string `yaml:"method"`
	Path   string `yaml:"path"`
	// Keyed makes callers send an idempotency key with the call.
	Keyed bool `yaml:"keyed"`
	// Weight is the frequency of the call relative to the other call kinds.
	Weight float64 `yaml:"weight"`
}

// Target is a node to which callers send calls.
type Target struct {
	DataCentre tiller.DataCentre
	Address    tiller.Address
}

const (
	callTimeout       = 8 * time.Second
	resendProbability = 0.3
	maxAttempts       = 4
	retryPause        = 400 * time.Millisecond
)

// ReasonConnection is the reason that a tally counts for calls without an answer, whose connection failed or timed out.
const ReasonConnection = "connection"

// Callers sends calls to nodes and checks the answers. It is safe for concurrent use.
type Callers struct {
	callKinds []CallKind
	targets   atomic.Pointer[[]Target]
	tally     *Tally
	client    *resty.Client
}

// NewCallers returns callers that pick randomly among the given call kinds and targets, and count their results in the tally.
func NewCallers(callKinds []CallKind, targets []Target, tally *Tally) *Callers {
	c := &Callers{callKinds: callKinds, tally: tally, client: resty.New().SetTimeout(callTimeout)}
	c.SetTargets(targets)

	return c
}

// SetTargets replaces the targets for the calls that follow.
func (c *Callers) SetTargets(targets []Target) { c.targets.Store(&targets) }

// Run sends calls one after another, with a pause after each, until the context ends.
func (c *Callers) Run(ctx context.Context, pause time.Duration) {
	for ctx.Err() == nil {
		c.Call(c.pickCallKind())

		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// pickCallKind returns a random call kind, according to the weights.
func (c *Callers) pickCallKind() CallKind {
	total := 0.0
	for _, kind := range c.callKinds {
		total += kind.Weight
	}

	at := rand.Float64() * total
	for _, kind := range c.callKinds {
		if at -= kind.Weight; at < 0 {
			return kind
		}
	}

	return c.callKinds[0]
}

func (c *Callers) target() Target {
	targets := *c.targets.Load()

	return targets[rand.IntN(len(targets))]
}

// Call sends one call. A keyed call is retried through random targets until it is served, and sometimes resent after that; there are at most
// maxAttempts attempts.
func (c *Callers) Call(kind CallKind) {
	t := c.target()
	if !kind.Keyed {
		c.attempt(kind, t, "")

		return
	}

	key := NewKey(t.DataCentre)
	c.tally.addKey(key)

	for range maxAttempts {
		done := c.attempt(kind, t, key)
		if done && rand.Float64() > resendProbability {
			return
		}

		time.Sleep(retryPause)

		t = c.target()
	}
}

// NewKey returns a new idempotency key whose home is the given data centre.
func NewKey(dc tiller.DataCentre) string {
	return string(dc) + "." + uuid.Must(uuid.NewV7()).String()
}

// attempt sends a call once and reports whether it was answered with status 200.
func (c *Callers) attempt(kind CallKind, t Target, key string) bool {
	id := uuid.NewString()

	// The HTTP client sends some requests again by itself when a kept connection breaks. A refusal then speaks of the last one only.
	var sent atomic.Int64

	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Add(1) }})
	r := c.client.R().SetContext(ctx).SetHeader(HeaderAttempt, id)

	expected := id
	if key != "" {
		r.SetHeader(forwarder.HeaderKey, key).SetBody(`{"audition":"` + key + `"}`)
		expected = key
	}

	resp, err := r.Execute(kind.Method, "http://"+string(t.Address)+kind.Path)
	if err != nil {
		c.tally.recordRefused(ReasonConnection, tiller.VerdictMayHaveRun.String(), id)

		return false
	}

	if resp.StatusCode() != http.StatusOK {
		verdict := resp.Header().Get(forwarder.HeaderVerdict)
		if sent.Load() > 1 {
			verdict = tiller.VerdictMayHaveRun.String()
		}

		c.tally.recordRefused(resp.Header().Get(forwarder.HeaderReason), verdict, id)

		return false
	}

	c.checkAnswer(kind, resp, id, key, expected)

	return true
}

// checkAnswer checks an answer with status 200 and counts it.
func (c *Callers) checkAnswer(kind CallKind, resp *resty.Response, id, key, expected string) {
	var e echo
	if err := json.Unmarshal(resp.Body(), &e); err != nil || len(e.Filler) != fillerBytes {
		c.tally.AddViolation("answer to %s is not whole", id)

		return
	}

	if e.ID != expected || e.Path != kind.Path {
		c.tally.AddViolation("answer to %s %s belongs to %s", expected, kind.Path, fmt.Sprint(e.ID, e.Path))

		return
	}

	c.tally.recordServed(kind.Name, id, key)
}
