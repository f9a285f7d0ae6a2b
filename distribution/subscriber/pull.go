package subscriber

import (
	"fmt"
	"slices"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

type pull struct {
	from   string
	target tiller.Version
	until  tiller.Millis
	active bool
	// tries counts the pulls for the target.
	tries int
}

// pullFromSource asks a controller what is new; the leader's answer also confirms the version in force.
func (c *Core) pullFromSource() {
	if len(c.controllers) == 0 {
		return
	}

	to := c.leader
	if to == "" || c.now >= c.leaderHeard+leaderTimeout {
		to = c.controllers[c.nextSource%len(c.controllers)]
		c.nextSource++
		c.leader = ""
	}

	c.sendPull(to)

	if to == c.leader {
		c.registerElsewhere()
	}

	c.failures = min(c.failures+1, maxBackoffShift)
	c.pullAt = c.now + c.backoff()
}

// registerElsewhere makes this relay known to the other controllers in turn, so that whoever leads next offers it new
// versions at once.
func (c *Core) registerElsewhere() {
	other := c.controllers[c.nextSource%len(c.controllers)]
	c.nextSource++

	if other != c.leader {
		c.sendPull(other)
	}
}

// backoff waits one period after an answer and up to a bound, with full jitter, while nobody answers.
func (c *Core) backoff() tiller.Millis {
	if c.failures <= 1 {
		return pullPeriod
	}

	return pullPeriod/2 + c.jitter(min(pullPeriod<<c.failures, maxBackoff))
}

func (c *Core) sendPull(to string) {
	p := &wire.Pull{
		Have: c.holder.Version().Wire(), DataCentre: string(c.dataCentre), Node: c.name,
		PlacementRevision: c.placements.GetRevision(), Whole: c.wantWhole,
	}
	if c.wantDigest {
		p.ItemDigests = c.holder.Digests()
	}

	c.wantWhole = false
	c.wantDigest = false
	c.send(to, &wire.Envelope{Body: &wire.Envelope_Pull{Pull: p}})

	if c.now < c.streamUntil && c.now >= c.streamAt {
		c.streamAt = c.now + differenceTimeout
		c.send(to, &wire.Envelope{Stream: true, Body: &wire.Envelope_Pull{Pull: p}})
	}
}

// nextHolder turns to the next holder of the best version, since a pull or its answer was lost.
func (c *Core) nextHolder() {
	if c.pulling.tries >= maxPulls {
		c.holders = nil
	}

	if len(c.holders) > 1 {
		c.holders = append(slices.Clone(c.holders[1:]), c.holders[0])
	}
}

// pullBest pulls the newest version that a peer has offered. A node without any version first waits for several offers.
func (c *Core) pullBest() {
	if c.pulling.active || len(c.holders) == 0 || !c.best.NewerThan(c.holder.Version()) {
		return
	}

	if c.holder.Version().IsZero() && c.now < c.bootUntil {
		return
	}

	c.startPull(c.holders[0], c.best)
}

// startPull asks a holder for a version.
func (c *Core) startPull(from string, target tiller.Version) {
	timeout := differenceTimeout
	if c.wantWhole || c.wantDigest || c.holder.Version().IsZero() {
		timeout = wholeTimeout
	}

	tries := 1
	if target == c.pulling.target {
		tries += c.pulling.tries
	}

	c.emit(tiller.EventPulled, fmt.Sprintf("asks for %s %s, try %d, %d ms behind", target, c.pullKind(), tries, c.Lag()), tiller.WithCause(from))
	c.pulling = pull{from: from, target: target, until: c.now + timeout, active: true, tries: tries}
	c.sendPull(from)
}

// pullKind returns what the next pull asks for.
func (c *Core) pullKind() string {
	switch {
	case c.wantWhole || c.holder.Version().IsZero():
		return "as a whole"
	case c.wantDigest:
		return "by item digests"
	default:
		return "as a difference"
	}
}

// noteNewer remembers since when a version newer than the one in force is known.
func (c *Core) noteNewer(from string, version tiller.Version) {
	if c.behindSince != 0 || version == c.refused || !version.NewerThan(c.holder.Version()) {
		return
	}

	c.behindSince = c.now
	c.emit(tiller.EventBehind, version.String()+" is newer", tiller.WithCause(from))
}
