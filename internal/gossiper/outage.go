package gossiper

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
)

// ReachableFor is how long the store counts as reachable after a success. It is
// shorter than FreshFor by enough for the entries to report the store's outage
// to each other before their last confirmation expires; otherwise all would
// briefly refuse work at the start of each outage.
func (s *State) ReachableFor() time.Duration { return s.freshFor() * 2 / 5 }

// StoreReachable reports whether this process itself recently received a valid
// answer from the store.
func (s *State) StoreReachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reachable(s.Clock.Now())
}

func (s *State) reachable(now time.Time) bool {
	return !s.lastReached.IsZero() && !s.lastFailed.After(s.lastReached) && elapsed(now, s.lastReached) <= s.ReachableFor()
}

// unreachable reports whether a recent call of this process to the store failed,
// with no success since. Without a call the store is neither.
func (s *State) unreachable(now time.Time) bool {
	return s.fresh(now, s.lastFailed) && s.lastFailed.After(s.lastReached)
}

// entryHash is the short form of an entry's ID in store reports.
func entryHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// addReport keeps the latest report of an entry about its calls to the store.
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

// addFailures adds the store failures that another entry forwards.
func (s *State) addFailures(v messenger.DisconnectedEntries, askedAt time.Time) {
	for i, id := range v.IDs[:min(len(v.IDs), len(v.AgesMS))] {
		failedAt := askedAt.Add(-time.Duration(v.AgesMS[i]) * time.Millisecond)
		s.addReport(id, storeReport{asOf: failedAt, region: v.Region, result: storeFailed})
	}
}

// outageSince returns the time since which the store counts as down, as opposed
// to this process being partitioned. An agent relies on its entries for this. An
// entry requires that within FreshFor the calls of more than half of the
// deployment's entries, itself included, failed and none succeeded, that one of
// these is in the store's region if that is set, and that no higher revision is
// known. The time is that of the oldest report needed for the majority.
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
	return s.majorityFailedSince(now)
}

// inStartupGrace holds for FreshFor after the first bundle, until the store
// confirms one. If all entries are replaced during an outage, the first process
// to report may hold an older bundle than the next, and an entry that used it at
// once would send work into a drained failure domain.
func (s *State) inStartupGrace(now time.Time) bool {
	return s.confirmed.IsZero() && elapsed(now, s.firstHeld) <= s.freshFor()
}

func (s *State) majorityFailedSince(now time.Time) (time.Time, bool) {
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

// countReports returns the entries whose recent calls to the store failed, this
// one first, and whether another one reaches it. An entry that received less
// than the held revision reached a rolled-back store, which has no newer
// revision to offer, so it counts neither way.
//
// A success counts for ReachableFor after its arrival, when the store's answer
// is at most twice that old. If it counted for FreshFor, it would outlive the
// confirmation behind it: at the start of an outage an entry that doesn't soon
// receive that peer's failure would refuse work for up to ReachableFor despite
// the reports of all others. It is kept for FreshFor, because otherwise an older
// failure of that peer, forwarded by a third, would replace it and be counted.
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

// failedEntries lists the entries whose calls to the store failed, this one
// included, for other entries to count. It is empty if a higher revision than
// the held one is known: entries that don't know it would count the reports for
// a lower one.
func (s *State) failedEntries(now time.Time) []messenger.DisconnectedEntries {
	if s.Entries == 0 || !s.unreachable(now) || s.knownRevision > s.revision() {
		return nil
	}
	byRegion := map[string]*messenger.DisconnectedEntries{}
	add := func(id uint32, p storeReport) {
		v := byRegion[p.region]
		if v == nil {
			v = &messenger.DisconnectedEntries{Region: p.region}
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
	var list []messenger.DisconnectedEntries
	for _, region := range slices.Sorted(maps.Keys(byRegion)) {
		list = append(list, *byRegion[region])
	}
	return list
}

// ConfirmationOverdue reports whether neither the confirmation nor, during an
// outage, the majority's reports are recent. Entries then have to exchange soon,
// or they would refuse work.
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
