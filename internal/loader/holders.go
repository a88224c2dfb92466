package loader

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/planner"
)

const (
	// holderTTL is how long a holder reported by an entry is kept.
	holderTTL = 10 * time.Second
	// maxPeers limits the peers of one transfer, not counting origin fetchers.
	maxPeers = 16
)

// compareRegions orders agents of a region before others.
func compareRegions(a, b, region string) int {
	switch {
	case a == b || a != region && b != region:
		return 0
	case a == region:
		return -1
	default:
		return 1
	}
}

// holderKey identifies an agent as a holder of one manifest.
type holderKey struct{ manifest, id string }

type reportedHolder struct {
	messenger.Holder
	reportedAt time.Time
}

// selectHolders selects the peers of a transfer: the origin fetchers of each region, and of the
// others those reported last. Among those reported together, each agent prefers its own region and
// orders the rest differently: with the same few peers for all, the other links would be idle.
// Chunks of other regions arrive through the origin fetchers.
func selectHolders(self, region, manifest string, known map[holderKey]reportedHolder) []messenger.Holder {
	var all []reportedHolder
	for k, h := range known {
		if k.manifest == manifest {
			all = append(all, h)
		}
	}
	slices.SortFunc(all, func(a, b reportedHolder) int {
		return cmp.Or(cmp.Compare(planner.Score(manifest, b.ID), planner.Score(manifest, a.ID)), strings.Compare(a.ID, b.ID))
	})
	originFetchers := map[string]int{}
	var hs []messenger.Holder
	var rest []reportedHolder
	for _, h := range all {
		if originFetchers[h.Region]++; originFetchers[h.Region] <= planner.OriginFetchersPerRegion {
			hs = append(hs, h.Holder)
		} else {
			rest = append(rest, h)
		}
	}
	slices.SortFunc(rest, func(a, b reportedHolder) int {
		return cmp.Or(compareRegions(a.Region, b.Region, region), b.reportedAt.Compare(a.reportedAt), cmp.Compare(planner.Score(self, a.ID), planner.Score(self, b.ID)))
	})
	for _, h := range rest[:min(len(rest), maxPeers)] {
		hs = append(hs, h.Holder)
	}
	return hs
}
