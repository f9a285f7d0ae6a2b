package subscriber

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/distribution/holder"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

func (c *Core) receive(e *wire.Envelope) {
	switch b := e.GetBody().(type) {
	case *wire.Envelope_Offer:
		c.onOffer(e.GetFrom(), b.Offer)
	case *wire.Envelope_Probe:
		c.onOffer(e.GetFrom(), b.Probe.GetOffer())
	case *wire.Envelope_ProbeAck:
		c.onOffer(e.GetFrom(), b.ProbeAck.GetOffer())
	case *wire.Envelope_Pull:
		c.onPull(e.GetFrom(), b.Pull)
	case *wire.Envelope_Difference:
		c.onDifference(e.GetFrom(), b.Difference)
	case *wire.Envelope_Busy:
		c.onBusy(e.GetFrom(), b.Busy)
	case *wire.Envelope_Report:
		c.onReport(b.Report)
	case *wire.Envelope_ClaimPlacements:
		c.onPlacements(b.ClaimPlacements)
	default:
	}
}

func (c *Core) onOffer(from string, o *wire.Offer) {
	if o == nil {
		return
	}

	if slices.Contains(c.controllers, from) {
		c.hearController(from, o)
		c.learnControllers(o.GetControllers())
	}

	c.contactAt = c.now

	version := tiller.VersionOf(o.GetVersion())
	if o.GetConfirmed() && version == c.holder.Version() && !version.IsZero() {
		c.confirmedAt = max(c.confirmedAt, c.now-tiller.Millis(o.GetConfirmedAge()))
		c.updateConfirmed()
	}

	if o.GetPlacementRevision() > c.placements.GetRevision() && !version.NewerThan(c.holder.Version()) {
		c.sendPull(from)
	}

	c.consider(from, version)
}

// learnControllers follows controllers to new addresses. The configured ones stay known, since they may be back when those
// that were learnt are gone.
func (c *Core) learnControllers(addresses []string) {
	if len(addresses) == 0 {
		return
	}

	next := slices.Clone(addresses)
	for _, a := range c.configured {
		if !slices.Contains(next, a) {
			next = append(next, a)
		}
	}

	if !slices.Equal(next, c.controllers) {
		c.emit(tiller.EventMemberChanged, "controllers are "+strings.Join(next, ", "))
	}

	c.controllers = next
}

func (c *Core) hearController(from string, o *wire.Offer) {
	c.failures = 0

	if c.holder.Version().IsZero() && tiller.VersionOf(o.GetVersion()).IsZero() {
		c.pullAt = min(c.pullAt, c.now+bootPullPeriod+c.jitter(bootPullPeriod))
	}

	switch {
	case o.GetConfirmed():
		c.leader = from
		c.leaderHeard = c.now
	case o.GetLeader() != "" && c.leader == "" && slices.Contains(c.controllers, o.GetLeader()):
		c.leader = o.GetLeader()
		c.leaderHeard = c.now
	}
}

// consider notes a holder of a newer version; a holder of an older one is told what it misses.
func (c *Core) consider(from string, version tiller.Version) {
	c.noteNewer(from, version)

	have := c.holder.Version()

	switch {
	case have.NewerThan(version) && !version.IsZero() && !slices.Contains(c.controllers, from):
		c.send(from, &wire.Envelope{Body: &wire.Envelope_Offer{Offer: c.Offer()}})
	case !version.NewerThan(have) || version == c.refused:
	case version.NewerThan(c.best) || len(c.holders) == 0:
		if have.IsZero() && c.bootUntil == 0 {
			c.bootUntil = c.now + bootWindow
		}

		c.best = version
		c.holders = []string{from}
		c.pullBest()
	case version == c.best && len(c.holders) < maxHolders && !slices.Contains(c.holders, from):
		c.holders = append(c.holders, from)
	}
}

func (c *Core) onPull(from string, p *wire.Pull) {
	if d := c.holder.Answer(p); d != nil {
		c.send(from, &wire.Envelope{Body: &wire.Envelope_Difference{Difference: d}})
	}

	if p.GetPlacementRevision() < c.placements.GetRevision() {
		c.send(from, &wire.Envelope{Body: &wire.Envelope_ClaimPlacements{ClaimPlacements: c.placements}})
	}
}

func (c *Core) onDifference(from string, d *wire.Difference) {
	c.contactAt = c.now

	target := tiller.VersionOf(d.GetTarget())
	if !target.NewerThan(c.holder.Version()) {
		return
	}

	// A holder that was asked over a stream may answer when another one is being asked already.
	late := d.GetNeedDigests() && c.now < c.streamUntil
	if !late && (!c.pulling.active || c.pulling.from != from) {
		c.onPushed(from, d)

		return
	}

	c.pulling.active = false

	if d.GetNeedDigests() {
		c.wantDigest = true
		c.startPull(from, target)

		return
	}

	err := c.holder.Merge(d)

	switch {
	case err == nil:
		c.applied(from, d)
	case errors.Is(err, holder.ErrOtherBase):
		c.startPull(from, target)
	case d.GetWhole():
		c.reject(from, target, err)
	default:
		c.wantWhole = true
		c.startPull(from, target)
	}
}

// onPushed takes a difference that was not asked for; one that does not apply here still tells who holds a newer version.
func (c *Core) onPushed(from string, d *wire.Difference) {
	if d.GetNeedDigests() || c.holder.Merge(d) != nil {
		c.consider(from, tiller.VersionOf(d.GetTarget()))

		return
	}

	c.applied(from, d)
}

func (c *Core) applied(from string, d *wire.Difference) {
	if !c.best.NewerThan(c.holder.Version()) {
		c.holders = nil
	}

	// A pull for a version that has come by another way must not hold up the next one.
	c.pulling.active = c.pulling.active && c.pulling.target.NewerThan(c.holder.Version())
	c.out.Applied = true
	c.out.Lag = c.Lag()
	c.emit(tiller.EventApplied, fmt.Sprintf("%s, %d ms behind", differenceText(d), c.Lag()), tiller.WithCause(from))
	c.behindSince = 0
	c.noteNewer(from, c.best)
	c.push()
	c.report()
	c.pullBest()

	// The source's next answer confirms the new version without waiting for a whole period.
	if c.isRelay() && c.failures == 0 {
		c.pullAt = min(c.pullAt, c.now+pullPeriod/4)
	}
}

func differenceText(d *wire.Difference) string {
	switch {
	case d.GetWhole():
		return "whole version"
	case d.GetFromDigests():
		return "difference by item digests"
	default:
		return "difference to the version before"
	}
}

// reject remembers a version that this holder cannot offer validly; a newer or an intact one is still taken.
func (c *Core) reject(from string, target tiller.Version, err error) {
	c.refused = target
	c.behindSince = 0
	c.holders = nil
	c.best = tiller.Version{}
	c.out.Events = append(c.out.Events,
		tiller.NewEvent(tiller.EventRejected, err.Error(), tiller.WithVersion(target), tiller.WithCause(from)))
	c.report()
}

func (c *Core) onBusy(from string, b *wire.Busy) {
	if slices.Contains(c.controllers, from) {
		c.failures = 0
		c.pullAt = c.now + tiller.Millis(b.GetRetryAfter()) + c.jitter(tiller.Millis(b.GetRetryAfter()))
	}

	// Another holder may offer the version meanwhile; this one is asked again with the next regular pull.
	c.pulling.active = false
	c.holders = nil
}

func (c *Core) onReport(r *wire.Report) {
	c.reports[r.GetNode()] = reported{version: tiller.VersionOf(r.GetVersion()), at: c.now, claimEpoch: r.GetClaimEpoch()}
}

func (c *Core) onPlacements(p *wire.ClaimPlacements) {
	if p.GetRevision() > c.placements.GetRevision() {
		c.placements = p
		c.out.Placed = true
		c.pushOffers()
	}
}
