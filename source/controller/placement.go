package controller

import (
	"maps"
	"slices"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

const (
	claimGroupSize  = 3
	placementPeriod = 2 * tiller.Second
	// reportMaxAge is how long a data centre's latest report may be used to place claims.
	reportMaxAge = 5 * tiller.Second
	// stableAfter is how long the claim candidates of a data centre must be unchanged before claims are placed.
	stableAfter = 3 * tiller.Second
	// maxGroupChain bounds the previous groups of a placement.
	maxGroupChain = 8
)

// placeClaims proposes a new claim group for each data centre whose group is not filled with live members.
func (c *Core) placeClaims() {
	for _, dc := range sortedKeys(c.reports) {
		r := c.reports[dc]
		if c.now >= tiller.Millis(r.GetAt())+reportMaxAge || c.now < r.stableSince+stableAfter {
			continue
		}

		if p := nextPlacement(c.placement(dc), r.DataCentreReport, c.now); p != nil {
			c.proposeCommand(&wire.Command{At: int64(c.now), Change: &wire.Command_ClaimPlacement{ClaimPlacement: p}})
		}
	}
}

func (c *Core) placement(dc string) *wire.ClaimPlacement {
	for _, p := range c.state.Placements().GetPlacements() {
		if p.GetDataCentre() == dc {
			return p
		}
	}

	return nil
}

// nextPlacement keeps the live members and fills the group up with candidates. It returns nil if the group stays as it is, or if the
// new one would have more than maxGroupChain previous groups.
func nextPlacement(old *wire.ClaimPlacement, r *wire.DataCentreReport, now tiller.Millis) *wire.ClaimPlacement {
	candidates := r.GetClaimCandidates()
	size := min(claimGroupSize, len(candidates))

	var members []string

	for _, id := range old.GetMembers() {
		if slices.Contains(candidates, id) && len(members) < size {
			members = append(members, id)
		}
	}

	if len(members) == len(old.GetMembers()) && len(members) == size {
		return nil
	}

	for _, id := range candidates {
		if len(members) < size && !slices.Contains(members, id) {
			members = append(members, id)
		}
	}

	previous := groupChain(old, r.GetClaimEpoch())
	if len(previous) > maxGroupChain || slices.Equal(members, old.GetMembers()) {
		return nil
	}

	return &wire.ClaimPlacement{
		DataCentre: r.GetDataCentre(), Epoch: old.GetEpoch() + 1, Members: members, Previous: previous, Fence: int64(now),
	}
}

// groupChain returns the groups whose claims a new one must obtain: the last one known to serve and all later ones.
func groupChain(old *wire.ClaimPlacement, servingEpoch uint64) []*wire.ClaimGroup {
	if old == nil {
		return nil
	}

	last := &wire.ClaimGroup{Epoch: old.GetEpoch(), Members: old.GetMembers()}
	if servingEpoch >= old.GetEpoch() {
		return []*wire.ClaimGroup{last}
	}

	return append(slices.Clone(old.GetPrevious()), last)
}

func sortedKeys[T any](m map[string]T) []string {
	return slices.Sorted(maps.Keys(m))
}
