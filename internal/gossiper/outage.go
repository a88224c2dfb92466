package gossiper

import (
	"cmp"
	"slices"
	"time"

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
	return !s.reached.IsZero() && age(now, s.reached) <= s.ReachFor()
}

// vote keeps the youngest word of an entry on its reach of the store.
func (s *State) vote(id string, p peer) {
	if s.Entries == 0 {
		return
	}
	if s.peers == nil {
		s.peers = map[string]peer{}
	}
	if old, ok := s.peers[id]; ok && !p.at.After(old.at) {
		return
	}
	s.peers[id] = p
}

// outageSeen tells since when it is certain enough that the store is out rather
// than this process cut off. An agent takes its entries' word. An entry counts:
// more than half of the deployment's entries, itself included, were heard within
// FreshFor, none of them reached the store, one of them is in the store's region
// if that is set, and nobody has a higher revision than the held one. The time
// is that of the oldest word that is needed for the majority.
func (s *State) outageSeen(now time.Time) (time.Time, bool) {
	if s.bundle == nil || s.known > s.revision() {
		return time.Time{}, false
	}
	if s.Entries == 0 {
		return s.outage, !s.outage.IsZero()
	}
	if s.reachable(now) {
		return time.Time{}, false
	}
	return s.majority(now)
}

func (s *State) majority(now time.Time) (time.Time, bool) {
	votes := []peer{{at: now, region: s.Region}}
	for id, p := range s.peers {
		if age(now, p.at) > s.freshFor() {
			delete(s.peers, id)
			continue
		}
		if p.reachable {
			return time.Time{}, false
		}
		votes = append(votes, p)
	}
	needed := s.Entries/2 + 1
	if len(votes) < needed {
		return time.Time{}, false
	}
	slices.SortFunc(votes, func(a, b peer) int { return b.at.Compare(a.at) })
	at := votes[needed-1].at
	if s.StoreRegion == "" {
		return at, true
	}
	i := slices.IndexFunc(votes, func(p peer) bool { return p.region == s.StoreRegion })
	if i < 0 {
		return time.Time{}, false
	}
	if votes[i].at.Before(at) {
		at = votes[i].at
	}
	return at, true
}

// silent lists the entries known not to reach the store, this one included, for
// others to count. Nothing is listed while confirmations arrive.
func (s *State) silent(now time.Time) []messenger.Silence {
	if s.Entries == 0 || s.reachable(now) || s.fresh(now.Add(s.freshFor()/2), s.confirmed) {
		return nil
	}
	list := []messenger.Silence{{ID: s.ID, Region: s.Region}}
	for id, p := range s.peers {
		if !p.reachable && age(now, p.at) <= s.freshFor() {
			list = append(list, messenger.Silence{ID: id, Region: p.region, AgeMS: milliseconds(age(now, p.at))})
		}
	}
	slices.SortFunc(list, func(a, b messenger.Silence) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
