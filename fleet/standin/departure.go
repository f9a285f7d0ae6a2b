package standin

import (
	"context"
	"time"

	"gitlab.com/sycamoretiller/sycamoretiller/membership/registrar"
)

// departure is a server's departure from service, after which it still runs the requests that it gets.
type departure struct {
	// heldUp is an announcement from before the departure, which arrives later.
	heldUp         registrar.Announcement
	acknowledgedAt time.Time
	lateRuns       []time.Time
	bound          time.Duration
}

// Depart announces that the server drains, and reports whether the node has acknowledged that. From then on the server announces nothing. Runs
// that begin later than the bound after the acknowledgement are recorded.
func (b *Backend) Depart(ctx context.Context, bound time.Duration) bool {
	if b.state() != "ready" {
		return false
	}

	heldUp := b.announcement("ready")
	acknowledged := b.post(ctx, b.announcement("draining"))

	b.mu.Lock()
	defer b.mu.Unlock()

	if !acknowledged {
		return false
	}

	b.departure = &departure{heldUp: heldUp, acknowledgedAt: time.Now(), bound: bound}

	return true
}

// AnnounceLate sends the announcement from before the departure.
func (b *Backend) AnnounceLate(ctx context.Context) {
	b.mu.Lock()
	d := b.departure
	b.mu.Unlock()

	if d != nil {
		b.post(ctx, d.heldUp)
	}
}

// Return ends the departure: the server starts again under its instance. It returns when the departure was acknowledged and the times of late runs.
func (b *Backend) Return() (acknowledgedAt time.Time, lateRuns []time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()

	d := b.departure
	if d == nil {
		return time.Time{}, nil
	}

	b.departure = nil
	b.begin()

	return d.acknowledgedAt, d.lateRuns
}

// recordLateRun records a run that begins now if the server has departed for longer than the bound.
func (b *Backend) recordLateRun() {
	b.mu.Lock()
	defer b.mu.Unlock()

	if d := b.departure; d != nil && time.Since(d.acknowledgedAt) > d.bound {
		d.lateRuns = append(d.lateRuns, time.Now())
	}
}
