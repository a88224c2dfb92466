package gossiper

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
)

// ReachableFor is how long one success counts as reaching the store. It is shorter
// than FreshFor by enough for the entries to tell each other that the store is
// out before their last confirmation lapses; otherwise each outage would begin
// with a moment in which all refuse work.
func (s *State) ReachableFor() time.Duration { return s.freshFor() * 2 / 5 }

// StoreReachable tells whether this process itself lately got a sound answer
// from the store.
func (s *State) StoreReachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reachable(s.Clock.Now())
}

func (s *State) reachable(now time.Time) bool {
	return !s.lastReached.IsZero() && !s.lastFailed.After(s.lastReached) && elapsed(now, s.lastReached) <= s.ReachableFor()
}

// unreachable tells whether the store lately failed this process, with no
// success since. Not having asked is neither.
func (s *State) unreachable(now time.Time) bool {
	return s.fresh(now, s.lastFailed) && s.lastFailed.After(s.lastReached)
}

// voter is the short form of an entry's name in votes.
func entryHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// vote keeps the youngest word of an entry on its reach of the store.
func (s *State) addReport(id uint32, p storeReport) {
	if s.Entries == 0 || id == entryHash(s.ID) {
		return
	}
	if s.reports == nil {
		s.reports = map[uint32]storeReport{}
	}
	if old, ok := s.reports[id]; ok && !p.asOf.After(old.asOf) {
		return
	}
	s.reports[id] = p
}

// hearSilence counts the votes that another entry passes on.
func (s *State) addFailures(v messenger.Silence, askedAt time.Time) {
	for i, id := range v.IDs[:min(len(v.IDs), len(v.AgesMS))] {
		failedAt := askedAt.Add(-time.Duration(v.AgesMS[i]) * time.Millisecond)
		s.addReport(id, storeReport{asOf: failedAt, region: v.Region, result: storeFailed})
	}
}

// outageSeen tells since when it is certain enough that the store is out rather
// than this process cut off. An agent takes its entries' word. An entry counts:
// more than half of the deployment's entries, itself included, asked the store
// in vain within FreshFor, none reached it, one of them is in the store's region
// if that is set, and nobody has a higher revision than the held one. The time
// is that of the oldest word that is needed for the majority.
func (s *State) outageSince(now time.Time) (time.Time, bool) {
	if s.bundle == nil || s.knownRevision > s.revision() {
		return time.Time{}, false
	}
	if s.Entries == 0 {
		return s.outageConfirmed, !s.outageConfirmed.IsZero()
	}
	if !s.unreachable(now) || s.inStartupGrace(now) {
		return time.Time{}, false
	}
	return s.failedMajority(now)
}

// settling holds for a while after the first bundle, if the store was not heard
// since the start. After all entries were replaced while the store was out, the
// first process to report may hold an older bundle than the next one, and an
// entry that acted on it at once would send work into a drained failure domain.
func (s *State) inStartupGrace(now time.Time) bool {
	return s.confirmed.IsZero() && elapsed(now, s.firstHeld) <= s.freshFor()
}

func (s *State) failedMajority(now time.Time) (time.Time, bool) {
	failed, reached := s.countReports(now)
	needed := s.Entries/2 + 1
	if reached || len(failed) < needed {
		return time.Time{}, false
	}
	slices.SortFunc(failed, func(a, b storeReport) int { return b.asOf.Compare(a.asOf) })
	since := failed[needed-1].asOf
	if s.StoreRegion == "" {
		return since, true
	}
	i := slices.IndexFunc(failed, func(p storeReport) bool { return p.region == s.StoreRegion })
	if i < 0 {
		return time.Time{}, false
	}
	return earlier(since, failed[i].asOf), true
}

// votes lists the entries that lately asked the store in vain, this one first,
// and tells whether another one reaches it. An entry that reached a store which
// gave it less than the held revision found a rolled-back one: that is no store
// from which something newer could come, so it counts neither way.
//
// A success counts for ReachFor after it was heard of, by when the store's answer
// is at most twice that old. If it counted for FreshFor, it would outlive the
// confirmation that it stands for: at the start of an outage an entry that did
// not soon hear the same peer's failure would refuse work for up to ReachFor,
// with the votes of all others in its hands. It is kept for FreshFor all the
// same, or an older failure of that peer, passed on by a third, would take its
// place and be counted.
func (s *State) countReports(now time.Time) (failed []storeReport, reached bool) {
	failed = []storeReport{{asOf: s.lastFailed, region: s.Region}}
	for id, p := range s.reports {
		switch {
		case elapsed(now, p.asOf) > s.freshFor():
			delete(s.reports, id)
		case p.result == storeFailed:
			failed = append(failed, p)
		case p.result == storeReached && p.revision >= s.revision() && elapsed(now, p.asOf) <= s.ReachableFor():
			return nil, true
		}
	}
	return failed, false
}

// silent lists the entries known to ask the store in vain, this one included,
// for others to count. One that knows of a revision that it does not hold gives
// no word: others that have not heard of that one would count it for less.
func (s *State) failedEntries(now time.Time) []messenger.Silence {
	if s.Entries == 0 || !s.unreachable(now) || s.knownRevision > s.revision() {
		return nil
	}
	byRegion := map[string]*messenger.Silence{}
	add := func(id uint32, p storeReport) {
		v := byRegion[p.region]
		if v == nil {
			v = &messenger.Silence{Region: p.region}
			byRegion[p.region] = v
		}
		v.IDs = append(v.IDs, id)
		v.AgesMS = append(v.AgesMS, milliseconds(elapsed(now, p.asOf)))
	}
	add(entryHash(s.ID), storeReport{asOf: s.lastFailed, region: s.Region})
	for id, p := range s.reports {
		if p.result == storeFailed && s.fresh(now, p.asOf) {
			add(id, p)
		}
	}
	var list []messenger.Silence
	for _, region := range slices.Sorted(maps.Keys(byRegion)) {
		list = append(list, *byRegion[region])
	}
	return list
}

// ConfirmationOverdue tells whether neither a confirmation nor, while the store is out, the
// count of those who say so is young. Entries then have to hear of each other
// soon, or they would refuse work.
func (s *State) ConfirmationOverdue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	maxAge := s.ReachableFor()
	if s.knownRevision == 0 || (!s.confirmed.IsZero() && elapsed(now, s.confirmed) <= maxAge) {
		return false
	}
	since, ok := s.outageSince(now)
	return !ok || elapsed(now, since) > maxAge
}
