package planner

import (
	"slices"
	"time"
)

// An agent must have had no chunk of its own to fetch for Patience/takeOverDivisor before
// it takes chunks over from another, and for Patience/slowTakeOverDivisor from a slow one.
// Holdings of others are received with a delay; on fast links they would all appear far
// behind, and chunks be requested from the origin twice.
const (
	takeOverDivisor     = 2
	slowTakeOverDivisor = 8
)

// idleTimer records since when there has been nothing to do.
type idleTimer struct{ since time.Time }

// update records whether there is something to do now, and returns how long there has
// been nothing.
func (i *idleTimer) update(busy bool, now time.Time) time.Duration {
	switch {
	case busy:
		i.since = time.Time{}
		return 0
	case i.since.IsZero():
		i.since = now
	}
	return now.Sub(i.since)
}

// periods is how many times a wait has passed with nothing to do, as of the last
// update.
func (i *idleTimer) periods(wait time.Duration, now time.Time) int {
	if i.since.IsZero() {
		return 0
	}
	return int(now.Sub(i.since) / wait)
}

// takeOverChunk picks a missing chunk of an origin fetcher that has more left than the given
// number of slots when this one has none. An origin fetcher behind a narrow link answers every
// call, so that it isn't skipped as unresponsive, and all agents wait for its chunks while the
// origin's link is idle. Its chunks are taken over by the next in rank, starting from the other
// end, so that few are fetched twice.
func (t *Transfer) takeOverChunk(missing func(int) bool, slots int, idle time.Duration, now time.Time) (int, bool) {
	slow := t.slowOriginFetchers(now)
	for _, d := range t.originFetchers[t.Region] {
		if d.id == t.ID {
			continue
		}
		// The origin fetcher's fetches in flight and latest chunks aren't known here; those of a
		// slow one are fetched once more anyway.
		reserved, wait := slots+1, t.Patience/takeOverDivisor
		if slices.Contains(slow, d.id) {
			reserved, wait = 0, t.Patience/slowTakeOverDivisor
		}
		if idle < wait {
			continue
		}
		remaining := t.remainingChunks(d.id, func(i int) bool { return missing(i) && t.designatedFetcher(i, t.Region, now) == d.id })
		for n := len(remaining) - 1; n >= reserved; n-- {
			if t.unrequested(remaining[n]) && t.topRanked(remaining[n], t.Region, now, append(slow, d.id)) == t.ID {
				return remaining[n], true
			}
		}
	}
	return t.takeOverByRank(missing, int(idle/t.waitLimit()))
}

// takeOverByRank picks a missing chunk for which the higher-ranked origin fetchers have each had a
// period. Origin fetchers behind narrow links are known as slow only to agents that received a
// chunk from them, while others occupy their upload slots; the remaining agents detect them by the
// chunks that stay missing.
func (t *Transfer) takeOverByRank(missing func(int) bool, periods int) (int, bool) {
	if periods == 0 {
		return 0, false
	}
	return t.firstFrom(t.firstChunk(t.ID), func(i int) bool {
		return missing(i) && t.unrequested(i) && t.originFetchersRankedBefore(i) <= periods
	})
}

// originFetchersRankedBefore is how many origin fetchers of this region rank before this one for
// chunk i.
func (t *Transfer) originFetchersRankedBefore(i int) int {
	own, higher := chunkScore(Score(t.Manifest, t.ID), i), 0
	for _, d := range t.originFetchers[t.Region] {
		if chunkScore(d.seed, i) > own {
			higher++
		}
	}
	return higher
}

// remainingChunks lists the chunks that an origin fetcher still has to fetch, the next
// one first.
func (t *Transfer) remainingChunks(id string, accept func(int) bool) []int {
	var chunks []int
	t.firstFrom(t.firstChunk(id), func(i int) bool {
		if accept(i) {
			chunks = append(chunks, i)
		}
		return false
	})
	return chunks
}

// slowOriginFetchers are the origin fetchers of this region whose chunks arrived
// slowly.
func (t *Transfer) slowOriginFetchers(now time.Time) []string {
	var ids []string
	for _, d := range t.originFetchers[t.Region] {
		if p := t.peer(d.id); p != nil && t.isSlowPeer(p, now) {
			ids = append(ids, d.id)
		}
	}
	return ids
}

// isSlowPeer reports whether the last chunk from a peer arrived slowly, or a fetch from
// it is running for too long.
func (t *Transfer) isSlowPeer(p *peer, now time.Time) bool {
	return p.slow || slices.ContainsFunc(t.fetches, func(f fetch) bool {
		return f.Source == FromPeer{ID: p.ID} && t.isSlowFetch(f, now)
	})
}

// firstChunk is the chunk from which an origin fetcher proceeds upward, the same for all
// agents.
func (t *Transfer) firstChunk(id string) int {
	return int(Score(t.Manifest, id) % uint64(t.Chunks))
}

// any picks the first accepted chunk in order from a random start.
func (t *Transfer) any(accept func(int) bool) (int, bool) {
	return t.firstFrom(t.Rand.IntN(t.Chunks), accept)
}

// firstFrom picks the first accepted chunk from start on, wrapping around.
func (t *Transfer) firstFrom(start int, accept func(int) bool) (int, bool) {
	for k := range t.Chunks {
		if i := (start + k) % t.Chunks; accept(i) {
			return i, true
		}
	}
	return 0, false
}

// originRegion is the region that fetches chunk i from the origin.
func (t *Transfer) originRegion(i int) string {
	if len(t.originFetchers[t.SourceRegion]) > 0 {
		return t.SourceRegion
	}
	best, topScore := t.Region, uint64(0)
	for r := range t.originFetchers {
		if s := chunkScore(t.regionSeeds[r], i); s > topScore || s == topScore && r < best {
			best, topScore = r, s
		}
	}
	return best
}

// designatedFetcher is the agent of a region that fetches chunk i into it. Origin fetchers
// that don't answer are skipped, so that their chunks are assigned to the next in rank.
func (t *Transfer) designatedFetcher(i int, region string, now time.Time) string {
	return t.topRanked(i, region, now, nil)
}

// topRanked is the highest-ranked origin fetcher of chunk i that answers and isn't
// excluded.
func (t *Transfer) topRanked(i int, region string, now time.Time, exclude []string) string {
	best, topScore := "", uint64(0)
	for _, d := range t.originFetchers[region] {
		if slices.Contains(exclude, d.id) {
			continue
		}
		if p := t.peer(d.id); p != nil && now.Before(p.avoidUntil) {
			continue
		}
		if s := chunkScore(d.seed, i); best == "" || s > topScore {
			best, topScore = d.id, s
		}
	}
	return best
}

// previousRegion is the region from which chunk i is passed on to this one.
func (t *Transfer) previousRegion(i int) string {
	origin := t.originRegion(i)
	best, highest := origin, uint64(0)
	own := chunkScore(t.regionSeeds[t.Region], i)
	for r, seed := range t.regionSeeds {
		// The region ranked next below this one precedes it; the lowest follows
		// the origin region.
		if s := chunkScore(seed, i); r != origin && s < own && s > highest {
			best, highest = r, s
		}
	}
	return best
}
