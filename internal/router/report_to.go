package router

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
)

// ReportTo returns the k entries that an agent reports to, best first: by
// rendezvous hash, those of its own region before others, and no draining ones.
// All processes with the same list of entries compute the same ones, and the
// loss of an entry moves only the agents that reported to it.
func ReportTo(agentID, region string, entries []messenger.EntryState, k int) []messenger.EntryState {
	es := slices.DeleteFunc(slices.Clone(entries), func(e messenger.EntryState) bool { return e.Leaving })
	slices.SortFunc(es, func(a, b messenger.EntryState) int {
		if byRegion := cmp.Compare(regionRank(a, region), regionRank(b, region)); byRegion != 0 {
			return byRegion
		}
		return cmp.Or(cmp.Compare(weight(agentID, b.ID), weight(agentID, a.ID)), cmp.Compare(a.ID, b.ID))
	})
	return es[:min(k, len(es))]
}

func regionRank(e messenger.EntryState, region string) int {
	if e.Region == region {
		return 0
	}
	return 1
}

// weight is the rendezvous hash of an agent and an entry.
func weight(agentID, entryID string) uint64 {
	return xxhash.Sum64String(agentID + "\x00" + entryID)
}
