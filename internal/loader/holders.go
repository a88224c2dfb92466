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
	// holdersFor is how long an entry's word of a holder counts.
	holdersFor = 10 * time.Second
	// maxPeers bounds the agents that one transfer deals with, origin fetchers aside.
	maxPeers = 16
)

// compareFar puts agents of a region before others.
func compareFar(a, b, region string) int {
	switch {
	case a == b || a != region && b != region:
		return 0
	case a == region:
		return -1
	default:
		return 1
	}
}

// holderKey names an agent as a holder of one manifest.
type holderKey struct{ manifest, id string }

type reportedHolder struct {
	messenger.Holder
	at time.Time
}

// choose picks the agents that a transfer deals with: the origin fetchers of each region,
// and of the others those heard of last. Of those heard of together each agent takes
// others, and such of its own region first: with the same few for all, the links of
// the rest would stand idle, and chunks of other regions come by way of the origin fetchers.
func choose(self, region, manifest string, known map[holderKey]reportedHolder) []messenger.Holder {
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
		return cmp.Or(compareFar(a.Region, b.Region, region), b.at.Compare(a.at), cmp.Compare(planner.Score(self, a.ID), planner.Score(self, b.ID)))
	})
	for _, h := range rest[:min(len(rest), maxPeers)] {
		hs = append(hs, h.Holder)
	}
	return hs
}
