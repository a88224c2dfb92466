package gossiper

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
)

// ReachFor is how long one success counts as reaching the store. It is shorter
// than FreshFor by enough for the entries to tell each other that the store is
// out before their last confirmation lapses; otherwise each outage would begin
// with a moment in which all refuse work.
func (s *State) ReachFor() time.Duration { return s.freshFor() * 2 / 5 }

// StoreReachable tells whether this process itself lately got a sound answer
// from the store.
func (s *State) StoreReachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reachable(s.Clock.Now())
}

func (s *State) reachable(now time.Time) bool {
	return !s.reached.IsZero() && !s.failed.After(s.reached) && age(now, s.reached) <= s.ReachFor()
}

// unreachable tells whether the store lately failed this process, with no
// success since. Not having asked is neither.
func (s *State) unreachable(now time.Time) bool {
	return s.fresh(now, s.failed) && s.failed.After(s.reached)
}

// voter is the short form of an entry's name in votes.
func voter(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// vote keeps the youngest word of an entry on its reach of the store.
func (s *State) vote(id uint32, p peer) {
	if s.Entries == 0 || id == voter(s.ID) {
		return
	}
	if s.peers == nil {
		s.peers = map[uint32]peer{}
	}
	if old, ok := s.peers[id]; ok && !p.at.After(old.at) {
		return
	}
	s.peers[id] = p
}

// hearSilence counts the votes that another entry passes on.
func (s *State) hearSilence(v messenger.DisconnectedEntries, askedAt time.Time) {
	for i, id := range v.IDs[:min(len(v.IDs), len(v.AgesMS))] {
		at := askedAt.Add(-time.Duration(v.AgesMS[i]) * time.Millisecond)
		s.vote(id, peer{at: at, region: v.Region, reach: reachFailed})
	}
}

// outageSeen tells since when it is certain enough that the store is out rather
// than this process cut off. An agent takes its entries' word. An entry counts:
// more than half of the deployment's entries, itself included, asked the store
// in vain within FreshFor, none reached it, one of them is in the store's region
// if that is set, and nobody has a higher revision than the held one. The time
// is that of the oldest word that is needed for the majority.
func (s *State) outageSeen(now time.Time) (time.Time, bool) {
	if s.bundle == nil || s.known > s.revision() {
		return time.Time{}, false
	}
	if s.Entries == 0 {
		return s.outage, !s.outage.IsZero()
	}
	if !s.unreachable(now) || s.settling(now) {
		return time.Time{}, false
	}
	return s.majority(now)
}

// settling holds for a while after the first bundle, if the store was not heard
// since the start. After all entries were replaced while the store was out, the
// first process to report may hold an older bundle than the next one, and an
// entry that acted on it at once would send work into a drained failure domain.
func (s *State) settling(now time.Time) bool {
	return s.confirmed.IsZero() && age(now, s.firstHeld) <= s.freshFor()
}

func (s *State) majority(now time.Time) (time.Time, bool) {
	failed, reached := s.votes(now)
	needed := s.Entries/2 + 1
	if reached || len(failed) < needed {
		return time.Time{}, false
	}
	slices.SortFunc(failed, func(a, b peer) int { return b.at.Compare(a.at) })
	at := failed[needed-1].at
	if s.StoreRegion == "" {
		return at, true
	}
	i := slices.IndexFunc(failed, func(p peer) bool { return p.region == s.StoreRegion })
	if i < 0 {
		return time.Time{}, false
	}
	return earlier(at, failed[i].at), true
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
func (s *State) votes(now time.Time) (failed []peer, reached bool) {
	failed = []peer{{at: s.failed, region: s.Region}}
	for id, p := range s.peers {
		switch {
		case age(now, p.at) > s.freshFor():
			delete(s.peers, id)
		case p.reach == reachFailed:
			failed = append(failed, p)
		case p.reach == reachSucceeded && p.revision >= s.revision() && age(now, p.at) <= s.ReachFor():
			return nil, true
		}
	}
	return failed, false
}

// silent lists the entries known to ask the store in vain, this one included,
// for others to count. One that knows of a revision that it does not hold gives
// no word: others that have not heard of that one would count it for less.
func (s *State) silent(now time.Time) []messenger.DisconnectedEntries {
	if s.Entries == 0 || !s.unreachable(now) || s.known > s.revision() {
		return nil
	}
	by := map[string]*messenger.DisconnectedEntries{}
	add := func(id uint32, p peer) {
		v := by[p.region]
		if v == nil {
			v = &messenger.DisconnectedEntries{Region: p.region}
			by[p.region] = v
		}
		v.IDs = append(v.IDs, id)
		v.AgesMS = append(v.AgesMS, milliseconds(age(now, p.at)))
	}
	add(voter(s.ID), peer{at: s.failed, region: s.Region})
	for id, p := range s.peers {
		if p.reach == reachFailed && s.fresh(now, p.at) {
			add(id, p)
		}
	}
	var list []messenger.DisconnectedEntries
	for _, region := range slices.Sorted(maps.Keys(by)) {
		list = append(list, *by[region])
	}
	return list
}

// Restless tells whether neither a confirmation nor, while the store is out, the
// count of those who say so is young. Entries then have to hear of each other
// soon, or they would refuse work.
func (s *State) Restless() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	old := s.ReachFor()
	if s.known == 0 || (!s.confirmed.IsZero() && age(now, s.confirmed) <= old) {
		return false
	}
	at, ok := s.outageSeen(now)
	return !ok || age(now, at) > old
}
