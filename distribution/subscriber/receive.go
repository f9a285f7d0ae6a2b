package subscriber

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/distribution/store"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

func (c *Core) receive(e *wire.Envelope) {
	switch b := e.GetBody().(type) {
	case *wire.Envelope_Offer:
		c.onAdvertisement(e.GetFrom(), b.Offer)
	case *wire.Envelope_Probe:
		c.onAdvertisement(e.GetFrom(), b.Probe.GetOffer())
	case *wire.Envelope_ProbeAck:
		c.onAdvertisement(e.GetFrom(), b.ProbeAck.GetOffer())
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

func (c *Core) onAdvertisement(from string, o *wire.Offer) {
	if o == nil {
		return
	}

	if slices.Contains(c.controllers, from) {
		c.onControllerContact(from, o)
		c.updateControllers(o.GetControllers())
	}

	c.contactAt = c.now

	version := tiller.VersionOf(o.GetVersion())
	if o.GetConfirmed() && version == c.store.Version() && !version.IsZero() {
		c.confirmedAt = max(c.confirmedAt, c.now-tiller.Millis(o.GetConfirmedAge()))
		c.updateConfirmed()
	}

	if o.GetPlacementRevision() > c.placements.GetRevision() && !version.NewerThan(c.store.Version()) {
		c.sendPull(from)
	}

	c.compareVersion(from, version)
}

// updateControllers adopts the controllers' advertised addresses. The configured ones are kept as well, since they may return
// after the advertised ones have gone.
func (c *Core) updateControllers(addresses []string) {
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

// onControllerContact resets the backoff and records which controller leads.
func (c *Core) onControllerContact(from string, o *wire.Offer) {
	c.unansweredPulls = 0

	if c.store.Version().IsZero() && tiller.VersionOf(o.GetVersion()).IsZero() {
		c.pullAt = min(c.pullAt, c.now+bootPullPeriod+c.jitter(bootPullPeriod))
	}

	switch {
	case o.GetConfirmed():
		c.leader = from
		c.leaderContactAt = c.now
	case o.GetLeader() != "" && c.leader == "" && slices.Contains(c.controllers, o.GetLeader()):
		c.leader = o.GetLeader()
		c.leaderContactAt = c.now
	}
}

// compareVersion records a peer as an advertiser if its version is newer than the one in force. If it is older, the node
// advertises its own version to the peer.
func (c *Core) compareVersion(from string, version tiller.Version) {
	c.markStale(from, version)

	have := c.store.Version()

	switch {
	case have.NewerThan(version) && !version.IsZero() && !slices.Contains(c.controllers, from):
		c.send(from, &wire.Envelope{Body: &wire.Envelope_Offer{Offer: c.Advertisement()}})
	case !version.NewerThan(have) || version == c.rejected:
	case version.NewerThan(c.best) || len(c.advertisers) == 0:
		if have.IsZero() && c.bootWindowEnd == 0 {
			c.bootWindowEnd = c.now + bootWindow
		}

		c.best = version
		c.advertisers = []string{from}
		c.pullBest()
	case version == c.best && len(c.advertisers) < maxAdvertisers && !slices.Contains(c.advertisers, from):
		c.advertisers = append(c.advertisers, from)
	}
}

func (c *Core) onPull(from string, p *wire.Pull) {
	if d := c.store.Answer(p); d != nil {
		c.send(from, &wire.Envelope{Body: &wire.Envelope_Difference{Difference: d}})
	}

	if p.GetPlacementRevision() < c.placements.GetRevision() {
		c.send(from, &wire.Envelope{Body: &wire.Envelope_ClaimPlacements{ClaimPlacements: c.placements}})
	}
}

func (c *Core) onDifference(from string, d *wire.Difference) {
	c.contactAt = c.now

	target := tiller.VersionOf(d.GetTarget())
	if !target.NewerThan(c.store.Version()) {
		return
	}

	// A peer that was asked over a stream may answer after the pull has moved on to another peer.
	late := d.GetNeedDigests() && c.now < c.streamUntil
	if !late && (!c.pulling.active || c.pulling.from != from) {
		c.onPushedDifference(from, d)

		return
	}

	c.pulling.active = false

	if d.GetNeedDigests() {
		c.wantDigests = true
		c.startPull(from, target)

		return
	}

	err := c.store.Merge(d)

	switch {
	case err == nil:
		c.onApplied(from, d)
	case errors.Is(err, store.ErrBaseMismatch):
		c.startPull(from, target)
	case d.GetWhole():
		c.reject(from, target, err)
	default:
		c.wantFull = true
		c.startPull(from, target)
	}
}

// onPushedDifference merges a difference that was not pulled. If it does not apply, it still advertises the sender's newer version.
func (c *Core) onPushedDifference(from string, d *wire.Difference) {
	if d.GetNeedDigests() || c.store.Merge(d) != nil {
		c.compareVersion(from, tiller.VersionOf(d.GetTarget()))

		return
	}

	c.onApplied(from, d)
}

func (c *Core) onApplied(from string, d *wire.Difference) {
	if !c.best.NewerThan(c.store.Version()) {
		c.advertisers = nil
	}

	// A pending pull for a version that has arrived by another path must not delay the next pull.
	c.pulling.active = c.pulling.active && c.pulling.target.NewerThan(c.store.Version())
	c.out.Applied = true
	c.out.Lag = c.Lag()
	c.emit(tiller.EventApplied, fmt.Sprintf("%s, %d ms behind", differenceText(d), c.Lag()), tiller.WithCause(from))
	c.staleSince = 0
	c.markStale(from, c.best)
	c.push()
	c.sendReport()
	c.pullBest()

	// Pull early, so that the leader confirms the new version before a full period has passed.
	if c.isRelay() && c.unansweredPulls == 0 {
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
		return "difference from an earlier version"
	}
}

// reject records a version whose complete content from a peer was invalid, so that it is not pulled again. A newer version, or a
// valid push of this one, is still accepted.
func (c *Core) reject(from string, target tiller.Version, err error) {
	c.rejected = target
	c.staleSince = 0
	c.advertisers = nil
	c.best = tiller.Version{}
	c.out.Events = append(c.out.Events,
		tiller.NewEvent(tiller.EventRejected, err.Error(), tiller.WithVersion(target), tiller.WithCause(from)))
	c.sendReport()
}

func (c *Core) onBusy(from string, b *wire.Busy) {
	if slices.Contains(c.controllers, from) {
		c.unansweredPulls = 0
		c.pullAt = c.now + tiller.Millis(b.GetRetryAfter()) + c.jitter(tiller.Millis(b.GetRetryAfter()))
	}

	// Another peer may advertise the version meanwhile; this one is asked again with the next regular pull.
	c.pulling.active = false
	c.advertisers = nil
}

func (c *Core) onReport(r *wire.Report) {
	c.reports[r.GetNode()] = nodeReport{version: tiller.VersionOf(r.GetVersion()), at: c.now, claimEpoch: r.GetClaimEpoch()}
}

func (c *Core) onPlacements(p *wire.ClaimPlacements) {
	if p.GetRevision() > c.placements.GetRevision() {
		c.placements = p
		c.out.PlacementsChanged = true
		c.advertise()
	}
}
