package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-resty/resty/v2"
	"github.com/google/uuid"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/forwarder"
)

// Script is one kind of call.
type Script struct {
	Name   string  `yaml:"name"`
	Method string  `yaml:"method"`
	Path   string  `yaml:"path"`
	Keyed  bool    `yaml:"keyed"`
	Weight float64 `yaml:"weight"`
}

// Target is where a caller sends calls.
type Target struct {
	DataCentre tiller.DataCentre
	Address    tiller.Address
}

const (
	callTimeout  = 8 * time.Second
	resendChance = 0.3
	maxResends   = 4
	resendPause  = 400 * time.Millisecond
)

// ReasonConnection counts calls whose connection broke without any answer.
const ReasonConnection = "connection"

// Callers send calls to nodes and check the answers.
type Callers struct {
	scripts []Script
	targets atomic.Pointer[[]Target]
	tally   *Tally
	client  *resty.Client
}

// NewCallers returns callers for the given scripts and targets.
func NewCallers(scripts []Script, targets []Target, tally *Tally) *Callers {
	c := &Callers{scripts: scripts, tally: tally, client: resty.New().SetTimeout(callTimeout)}
	c.Aim(targets)

	return c
}

// Aim changes the targets.
func (c *Callers) Aim(targets []Target) { c.targets.Store(&targets) }

// Run sends calls one after another until the context ends.
func (c *Callers) Run(ctx context.Context, pause time.Duration) {
	for ctx.Err() == nil {
		c.Call(c.pick())

		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (c *Callers) pick() Script {
	total := 0.0
	for _, s := range c.scripts {
		total += s.Weight
	}

	at := rand.Float64() * total
	for _, s := range c.scripts {
		if at -= s.Weight; at < 0 {
			return s
		}
	}

	return c.scripts[0]
}

func (c *Callers) target() Target {
	targets := *c.targets.Load()

	return targets[rand.IntN(len(targets))]
}

// Call sends one call; a keyed one is sent again through any node when its outcome is open, and now and then anyway.
func (c *Callers) Call(s Script) {
	t := c.target()
	if !s.Keyed {
		c.send(s, t, "")

		return
	}

	key := NewKey(t.DataCentre)
	c.tally.addKey(key)

	for range maxResends {
		done := c.send(s, t, key)
		if done && rand.Float64() > resendChance {
			return
		}

		time.Sleep(resendPause)

		t = c.target()
	}
}

// NewKey returns an idempotency key at home in a data centre.
func NewKey(dc tiller.DataCentre) string {
	return string(dc) + "." + uuid.Must(uuid.NewV7()).String()
}

// send sends once and reports whether the outcome is settled.
func (c *Callers) send(s Script, t Target, key string) bool {
	id := uuid.NewString()
	r := c.client.R().SetHeader(HeaderSend, id)

	expected := id
	if key != "" {
		r.SetHeader(forwarder.HeaderKey, key).SetBody(`{"audition":"` + key + `"}`)
		expected = key
	}

	resp, err := r.Execute(s.Method, "http://"+string(t.Address)+s.Path)
	if err != nil {
		c.tally.refuse(ReasonConnection, tiller.VerdictMayHaveRun.String(), id)

		return false
	}

	return c.judge(s, resp, id, key, expected)
}

func (c *Callers) judge(s Script, resp *resty.Response, id, key, expected string) bool {
	if resp.StatusCode() != http.StatusOK {
		c.tally.refuse(resp.Header().Get(forwarder.HeaderReason), resp.Header().Get(forwarder.HeaderVerdict), id)

		return false
	}

	var e echo
	if err := json.Unmarshal(resp.Body(), &e); err != nil || len(e.Filler) != fillerBytes {
		c.tally.Breach("answer to %s is not whole", id)

		return true
	}

	if e.ID != expected || e.Path != s.Path {
		c.tally.Breach("answer to %s %s belongs to %s", expected, s.Path, fmt.Sprint(e.ID, e.Path))

		return true
	}

	c.tally.serve(s.Name, id, key)

	return true
}
