package main

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// arrival is one arrival of the crashing request at a worker.
type arrival struct {
	at     time.Time
	id     string
	worker *machine
}

// poison sends a crashing request again and again, while the processes on the workers' machines are stopped and started in turn. It reports
// whether BUDGET is broken.
func poison(ctx context.Context, f *fleet, trouble bool) (bool, error) {
	return playPoison(ctx, f, poisonCase{
		patienceMs: routes["r-filing"].deadlineMs, roll: trouble, span: 90 * time.Second, caller: serviceBook,
	})
}

// crashDelay is how long a worker runs the request of the case impatient before it crashes.
const crashDelay = 300 * time.Millisecond

// impatient sends a request again and again that crashes a worker after crashDelay, from a client that leaves after half of the target
// latency. It reports whether BUDGET is broken.
func impatient(ctx context.Context, f *fleet, trouble bool) (bool, error) {
	c := poisonCase{patienceMs: routes["r-filing"].deadlineMs, delay: crashDelay, span: 30 * time.Second, caller: serviceBook}
	if trouble {
		c.patienceMs = routes["r-filing"].targetMs / 2
	}

	return playPoison(ctx, f, c)
}

// twin sends a crashing request again and again, while another service sends a harmless request with the same path and body. It reports whether
// BUDGET is broken. Without the trouble there is only the harmless one.
func twin(ctx context.Context, f *fleet, trouble bool) (bool, error) {
	return playPoison(ctx, f, poisonCase{
		patienceMs: routes["r-filing"].deadlineMs, span: 30 * time.Second, caller: serviceBook, twins: true, harmless: !trouble,
	})
}

// poisonCase is a variant of the crashing request.
type poisonCase struct {
	// patienceMs is how long the client waits for an answer; the deadline that it states is that of its route.
	patienceMs int
	// delay is how long a worker runs the request before it crashes.
	delay time.Duration
	// roll restarts the processes on the sidecar machines in turn.
	roll bool
	span time.Duration
	// caller is the service whose request crashes the workers; only the machines of that service send it.
	caller string
	// twins lets the machines of other services send the same path and body.
	twins bool
	// harmless leaves the crashing request out.
	harmless bool
}

// callers returns the machines that send the crashing request, and those that send its harmless twin.
func (c poisonCase) callers(f *fleet) (crashing, harmless []*machine) {
	for _, m := range f.sides {
		if m.service == c.caller {
			crashing = append(crashing, m)
		} else {
			harmless = append(harmless, m)
		}
	}

	return crashing, harmless
}

// returnAfter is how long after a restart of its process the caller comes back to a machine.
const returnAfter = 4 * time.Second

// playPoison sends the same crashing request to one machine after the other.
func playPoison(ctx context.Context, f *fleet, c poisonCase) (bool, error) {
	const (
		path   = prefixFiling + "the-batch-that-crashes"
		body   = "the same batch each time"
		pause  = 700 * time.Millisecond
		before = 6 * time.Second
		// twinPause is the time between two harmless requests.
		twinPause = 200 * time.Millisecond
	)

	crashAfter = c.delay

	var (
		mu       sync.Mutex
		arrivals []arrival
		senders  = map[string]*machine{}
	)

	onRun = func(w *worker, r *http.Request) bool {
		if r.URL.Path != path || r.Header.Get("Sycamoretiller-Caller-Service") != c.caller {
			return false
		}

		mu.Lock()
		defer mu.Unlock()

		arrivals = append(arrivals, arrival{at: time.Now(), id: r.Header.Get("Sycamoretiller-Attempt-Id"), worker: w.machine})
		f.record.note("%.1f s: the crashing request reaches the worker on %s", f.record.seconds(time.Now()), w.machine.name)

		return true
	}

	if err := f.start(ctx, configuration()); err != nil {
		return false, err
	}

	usual, cancel := context.WithCancel(ctx)
	defer cancel()

	t := newTraffic(f.record)
	t.begin(usual, f, 2)

	var resends sync.WaitGroup

	// sendAgain sends the path and body to one of the machines after the other.
	sendAgain := func(machines []*machine, pause time.Duration) {
		for n := 0; wait(usual, pause); n++ {
			m := machines[n%len(machines)]
			if m.out.Load() || m.disturbedWithin(returnAfter) {
				continue
			}

			id := newID()

			mu.Lock()
			senders[id] = m
			mu.Unlock()

			f.record.printf("sent %s POST %s at %s", id, path, m.name)
			f.record.printf("answered %s at %s: %s", id, m.name, send(m, request{
				id: id, method: http.MethodPost, path: path, body: body, deadlineMs: routes["r-filing"].deadlineMs, patienceMs: c.patienceMs,
			}))
		}
	}

	crashing, harmless := c.callers(f)
	if !c.harmless {
		resends.Go(func() { sendAgain(crashing, pause) })
	}

	if c.twins {
		resends.Go(func() { sendAgain(harmless, twinPause) })
	}

	end := time.Now().Add(c.span)
	wait(ctx, before)

	if c.roll {
		if err := rollRestart(ctx, f, end); err != nil {
			return false, err
		}
	}

	wait(ctx, time.Until(end))
	cancel()
	resends.Wait()
	t.report()

	mu.Lock()
	defer mu.Unlock()

	return judgePoison(f, arrivals, senders), nil
}

// rollPause is the time between two restarts.
const rollPause = 8 * time.Second

// rollRestart stops the processes on the machines of recipe-book with SIGTERM one after the other and starts them again, round after round until
// the end.
func rollRestart(ctx context.Context, f *fleet, end time.Time) error {
	for n := 0; time.Until(end) > grace+rollPause; n++ {
		m := f.sides[n%bookWorkers]
		f.record.note("%.1f s: SIGTERM to the process on %s", f.record.seconds(time.Now()), m.name)
		m.stop()

		if err := m.restart(); err != nil {
			return err
		}

		f.record.note("%.1f s: the process on %s is started again", f.record.seconds(time.Now()), m.name)
		wait(ctx, rollPause)
	}

	return nil
}

// judgePoison applies the rule: more than three retries reach workers, sent by machines in touch later than the stability window after the
// request has crashed the third worker.
func judgePoison(f *fleet, arrivals []arrival, senders map[string]*machine) bool {
	const (
		freeCrashes = 3
		freeRetries = 3
	)

	counted := map[string]bool{}

	for i, a := range arrivals {
		if i < freeCrashes {
			continue
		}

		late := a.at.Sub(arrivals[freeCrashes-1].at) > stabilityWindow
		touch := senders[a.id].touchAt(a.at) && a.worker.touchAt(a.at)

		if late && touch {
			counted[a.id] = true
		}

		f.record.note("%.1f s: arrival %d, sent at %s to %s; later than the window after the third crash: %t, both in touch: %t",
			f.record.seconds(a.at), i+1, senders[a.id].name, a.worker.name, late, touch)
	}

	f.record.note("the request crashed workers %d times; %d retries count, %d are allowed", len(arrivals), len(counted), freeRetries)

	return len(counted) > freeRetries
}
