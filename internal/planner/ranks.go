package planner

import (
	"slices"
	"time"
)

// idlePart is the part of Patience for which an agent must have had nothing of its own to
// fetch before it takes chunks over, and slowIdlePart the same for those of an agent that
// was slow. What others hold is heard with a delay; on quick links they would all seem far
// behind, and the origin be asked twice.
const (
	idlePart     = 2
	slowIdlePart = 8
)

// idleness is since when there has been nothing to do.
type idleness struct{ since time.Time }

// lasts notes whether there is something to do now, and gives how long there has been
// nothing.
func (i *idleness) lasts(busy bool, now time.Time) time.Duration {
	switch {
	case busy:
		i.since = time.Time{}
		return 0
	case i.since.IsZero():
		i.since = now
	}
	return now.Sub(i.since)
}

// turns is how many times a wait has passed with nothing to do, as lasts last saw it.
func (i *idleness) turns(wait time.Duration, now time.Time) int {
	if i.since.IsZero() {
		return 0
	}
	return int(now.Sub(i.since) / wait)
}

// takeOver picks a missing chunk of an origin fetcher that has more left than the given number of
// slots when this one has none. An origin fetcher behind a narrow link answers every call, so that
// it isn't passed over for its silence, and all agents wait for its chunks while the
// origin's link stands idle. Its chunks fall to the next in rank, who begins at the other
// end, so that few are fetched twice.
func (t *Transfer) takeOver(missing func(int) bool, slots int, idle time.Duration, now time.Time) (int, bool) {
	slow := t.slowOriginFetchers(now)
	for _, d := range t.originFetchers[t.Region] {
		if d.id == t.ID {
			continue
		}
		// What is on its way to the origin fetcher isn't known here, nor what came to it just now;
		// of a slow one even that is fetched once more.
		spared, wait := slots+1, t.Patience/idlePart
		if slices.Contains(slow, d.id) {
			spared, wait = 0, t.Patience/slowIdlePart
		}
		if idle < wait {
			continue
		}
		left := t.inOrder(d.id, func(i int) bool { return missing(i) && t.originFetcher(i, t.Region, now) == d.id })
		for n := len(left) - 1; n >= spared; n-- {
			if t.open(left[n]) && t.firstRanked(left[n], t.Region, now, append(slow, d.id)) == t.ID {
				return left[n], true
			}
		}
	}
	return t.inherit(missing, int(idle/t.patience()))
}

// inherit picks a missing chunk for which the origin fetchers ranked before this one have had their
// turns. Origin fetchers behind narrow links are known for slow only to those who got a chunk from
// them, and others take their upload slots; to the rest they show by what stays missing.
func (t *Transfer) inherit(missing func(int) bool, turns int) (int, bool) {
	if turns == 0 {
		return 0, false
	}
	return t.upward(t.firstDrawn(t.ID), func(i int) bool {
		return missing(i) && t.open(i) && t.originFetchersBefore(i) <= turns
	})
}

// originFetchersBefore is how many origin fetchers of this region rank before this one for chunk i.
func (t *Transfer) originFetchersBefore(i int) int {
	own, before := mix(Score(t.Manifest, t.ID), i), 0
	for _, d := range t.originFetchers[t.Region] {
		if mix(d.seed, i) > own {
			before++
		}
	}
	return before
}

// inOrder lists the chunks that an origin fetcher is still to fetch, the next one first.
func (t *Transfer) inOrder(id string, good func(int) bool) []int {
	var is []int
	t.upward(t.firstDrawn(id), func(i int) bool {
		if good(i) {
			is = append(is, i)
		}
		return false
	})
	return is
}

// slowOriginFetchers are the origin fetchers of this region whose chunks came slowly.
func (t *Transfer) slowOriginFetchers(now time.Time) []string {
	var ids []string
	for _, d := range t.originFetchers[t.Region] {
		if p := t.peer(d.id); p != nil && t.sluggish(p, now) {
			ids = append(ids, d.id)
		}
	}
	return ids
}

// sluggish tells whether the last chunk from a peer came slowly, or one is on its way for
// too long.
func (t *Transfer) sluggish(p *peer, now time.Time) bool {
	return p.slow || slices.ContainsFunc(t.flights, func(f flight) bool {
		return f.Source == FromPeer{ID: p.ID} && t.slow(f, now)
	})
}

// firstDrawn is the chunk from which an origin fetcher goes upward, the same for all agents.
func (t *Transfer) firstDrawn(id string) int {
	return int(Score(t.Manifest, id) % uint64(t.Chunks))
}

// any picks a chunk by a random start, in order from there.
func (t *Transfer) any(good func(int) bool) (int, bool) {
	return t.upward(t.Rand.IntN(t.Chunks), good)
}

// upward picks the first good chunk from start on, in a circle.
func (t *Transfer) upward(start int, good func(int) bool) (int, bool) {
	for k := range t.Chunks {
		if i := (start + k) % t.Chunks; good(i) {
			return i, true
		}
	}
	return 0, false
}

// home is the region that draws chunk i from the origin.
func (t *Transfer) home(i int) string {
	if len(t.originFetchers[t.SourceRegion]) > 0 {
		return t.SourceRegion
	}
	best, top := t.Region, uint64(0)
	for r := range t.originFetchers {
		if s := mix(t.regionSeeds[r], i); s > top || s == top && r < best {
			best, top = r, s
		}
	}
	return best
}

// originFetcher is the agent of a region that brings chunk i into it. Origin fetchers that
// don't answer are passed over, so that their chunks fall to the next in rank.
func (t *Transfer) originFetcher(i int, region string, now time.Time) string {
	return t.firstRanked(i, region, now, nil)
}

// firstRanked is the highest origin fetcher of chunk i that answers and isn't left out.
func (t *Transfer) firstRanked(i int, region string, now time.Time, without []string) string {
	best, top := "", uint64(0)
	for _, d := range t.originFetchers[region] {
		if slices.Contains(without, d.id) {
			continue
		}
		if p := t.peer(d.id); p != nil && now.Before(p.avoidUntil) {
			continue
		}
		if s := mix(d.seed, i); best == "" || s > top {
			best, top = d.id, s
		}
	}
	return best
}

// before is the region from which chunk i comes into this one.
func (t *Transfer) before(i int) string {
	home := t.home(i)
	best, highest := home, uint64(0)
	own := mix(t.regionSeeds[t.Region], i)
	for r, seed := range t.regionSeeds {
		// Of the regions ranked below this one the nearest comes before it.
		if s := mix(seed, i); r != home && s < own && s > highest {
			best, highest = r, s
		}
	}
	return best
}
