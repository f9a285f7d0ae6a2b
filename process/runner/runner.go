// Package runner runs the parts of a process together, and stops all of them in reverse order when the context ends or one of them fails.
package runner

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

// StopTimeout is the maximum time for stopping one part.
const StopTimeout = 60 * time.Second

// Part is a component of a process that runs until it is stopped.
type Part struct {
	name string
	run  func(ctx context.Context) error
	stop func(ctx context.Context) error
}

// NewPart returns a part. Its stop function may be nil if cancelling the context of run is enough to stop it.
func NewPart(name string, run, stop func(ctx context.Context) error) Part {
	return Part{name: name, run: run, stop: stop}
}

// Name returns the part's name.
func (p Part) Name() string { return p.name }

// Every returns a run function for NewPart that calls a function once per period until the context ends.
func Every(period time.Duration, call func()) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		t := time.NewTicker(period)
		defer t.Stop()

		for {
			select {
			case <-ctx.Done():
				return nil
			case <-t.C:
				call()
			}
		}
	}
}

// Run runs all parts until the context ends or one part fails, then stops them in reverse order. It returns the errors of running and of stopping
// them.
func Run(ctx context.Context, parts ...Part) error {
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()

	group, failed := errgroup.WithContext(running)
	for _, p := range parts {
		group.Go(func() error { return eris.Wrap(p.run(running), p.name) })
	}

	select {
	case <-ctx.Done():
	case <-failed.Done():
	}

	err := stopAll(context.WithoutCancel(ctx), parts)

	cancel()

	return errors.Join(group.Wait(), err)
}

func stopAll(ctx context.Context, parts []Part) error {
	var errs []error

	for i := len(parts) - 1; i >= 0; i-- {
		if parts[i].stop == nil {
			continue
		}

		bounded, cancel := context.WithTimeout(ctx, StopTimeout)
		errs = append(errs, eris.Wrap(parts[i].stop(bounded), "stop "+parts[i].name))

		cancel()
	}

	return errors.Join(errs...)
}
