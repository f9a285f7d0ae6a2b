package subscriber

import (
	"fmt"
	"slices"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// pull is the latest pull for an advertised version.
type pull struct {
	from   string
	target tiller.Version
	// deadline is when an unanswered pull counts as lost.
	deadline tiller.Millis
	active   bool
	// attempts counts the pulls for the target.
	attempts int
}

// pullFromController pulls from the leader, or from the controllers in turn while no leader is known. The leader's answer also
// confirms the version in force.
func (c *Core) pullFromController() {
	if len(c.controllers) == 0 {
		return
	}

	to := c.leader
	if to == "" || c.now >= c.leaderContactAt+leaderTimeout {
		to = c.controllers[c.nextController%len(c.controllers)]
		c.nextController++
		c.leader = ""
	}

	c.sendPull(to)

	if to == c.leader {
		c.registerWithOther()
	}

	c.unansweredPulls = min(c.unansweredPulls+1, maxBackoffShift)
	c.pullAt = c.now + c.backoff()
}

// registerWithOther pulls from the controllers beside the leader in turn, which registers this relay with them: the next leader
// can then advertise new versions to it at once.
func (c *Core) registerWithOther() {
	other := c.controllers[c.nextController%len(c.controllers)]
	c.nextController++

	if other != c.leader {
		c.sendPull(other)
	}
}

// backoff returns the time until the next pull: one period after an answer, and an exponential backoff with full jitter while no
// controller answers. The few relays of a settled data centre do not back off: controllers that lost power together know no relay until it
// pulls, and acknowledge edits soon after. A node without a version may be one of a whole fleet that starts.
func (c *Core) backoff() tiller.Millis {
	if c.unansweredPulls <= 1 {
		return pullPeriod
	}

	if !c.store.Version().IsZero() && len(c.view.Peers) > 1 {
		return pullPeriod/2 + c.jitter(pullPeriod/2)
	}

	return pullPeriod/2 + c.jitter(min(pullPeriod<<c.unansweredPulls, maxBackoff))
}

// sendPull sends a pull, and repeats it over a stream while datagrams are being lost.
func (c *Core) sendPull(to string) {
	p := &wire.Pull{
		Have: c.store.Version().Wire(), DataCentre: string(c.dataCentre), Node: c.name,
		PlacementRevision: c.placements.GetRevision(), Whole: c.wantFull,
	}
	if c.wantDigests {
		p.ItemDigests = c.store.Digests()
	}

	c.wantFull = false
	c.wantDigests = false
	c.send(to, &wire.Envelope{Body: &wire.Envelope_Pull{Pull: p}})

	if c.now < c.streamUntil && c.now >= c.streamAt {
		c.streamAt = c.now + differenceTimeout
		c.send(to, &wire.Envelope{Stream: true, Body: &wire.Envelope_Pull{Pull: p}})
	}
}

// rotateAdvertisers moves to the next advertiser of the best version after a pull or its answer was lost. After maxPulls it waits
// for new advertisements.
func (c *Core) rotateAdvertisers() {
	if c.pulling.attempts >= maxPulls {
		c.advertisers = nil
	}

	if len(c.advertisers) > 1 {
		c.advertisers = append(slices.Clone(c.advertisers[1:]), c.advertisers[0])
	}
}

// pullBest pulls the latest version that a peer has advertised. A node without any version first collects advertisements during
// the boot window.
func (c *Core) pullBest() {
	if c.pulling.active || len(c.advertisers) == 0 || !c.best.NewerThan(c.store.Version()) {
		return
	}

	if c.store.Version().IsZero() && c.now < c.bootWindowEnd {
		return
	}

	c.startPull(c.advertisers[0], c.best)
}

// startPull pulls a version from a peer.
func (c *Core) startPull(from string, target tiller.Version) {
	timeout := differenceTimeout
	if c.wantFull || c.wantDigests || c.store.Version().IsZero() {
		timeout = fullTimeout
	}

	attempts := 1
	if target == c.pulling.target {
		attempts += c.pulling.attempts
	}

	c.emit(tiller.EventPulled, fmt.Sprintf("asks for %s %s, try %d, %d ms behind", target, c.pullKind(), attempts, c.Lag()), tiller.WithCause(from))
	c.pulling = pull{from: from, target: target, deadline: c.now + timeout, active: true, attempts: attempts}
	c.sendPull(from)
}

// pullKind describes what the next pull asks for.
func (c *Core) pullKind() string {
	switch {
	case c.wantFull || c.store.Version().IsZero():
		return "as a whole"
	case c.wantDigests:
		return "by item digests"
	default:
		return "as a difference"
	}
}

// markStale records when a version newer than the one in force was first known.
func (c *Core) markStale(from string, version tiller.Version) {
	if c.staleSince != 0 || version == c.rejected || !version.NewerThan(c.store.Version()) {
		return
	}

	c.staleSince = c.now
	c.emit(tiller.EventBehind, version.String()+" is newer", tiller.WithCause(from))
}
