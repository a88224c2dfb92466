package stager

import (
	"time"
)

const (
	// overtakeWithin is how soon after a version a newer one has to be named, as a part
	// of the bound, for the older to be left out. With more time between them the
	// older one arrives first and its engines switch in turn; the newer one alone would
	// come just before the older one's bound, and all engines would stop at once.
	overtakeWithin = 0.22
	// leastUse is the least time for which a version has to serve, its loading of some
	// 0.5 s included, to be fetched and loaded before a newer one.
	leastUse = 1500 * time.Millisecond
)

// naming is a version and when this agent learned that engines are to hold it.
type naming struct {
	version uint64
	learned time.Time
}

// note keeps a newly named version. The store keeps only the newest, but each has a
// bound of its own.
func (s *Stager) note(model string) {
	w, ok := s.Registrar.View().Weights(model)
	if !ok || len(s.namings) > 0 && s.namings[len(s.namings)-1].version >= w.Version {
		return
	}
	s.namings = append(s.namings, naming{w.Version, w.Learned})
	if len(s.namings) > keptNamings {
		s.namings = s.namings[1:]
	}
}

// keptNamings is how many versions are remembered; older ones are past their bound.
const keptNamings = 8

// newest is the version that the engine should hold, and how long ago it was named.
// Engines that are there from the start may hold the first without its being named.
func (s *Stager) newest() (version uint64, age time.Duration) {
	if len(s.namings) == 0 {
		return firstVersion, time.Hour
	}
	n := s.namings[len(s.namings)-1]
	return n.version, s.Clock.Since(n.learned)
}

// firstVersion is in force until another is named.
const firstVersion = 1

// after lists the versions newer than the one held, the oldest first.
func (s *Stager) after(held uint64) []naming {
	for i, n := range s.namings {
		if n.version > held {
			return s.namings[i:]
		}
	}
	return nil
}

// wantedFor is for how long this agent has looked for a version's chunks. Counted from the
// naming alone, all agents would turn to the origin at once after a restart of all.
func (s *Stager) wantedFor(version uint64) time.Duration {
	if s.wanted != version {
		s.wanted, s.wantedAt = version, s.Clock.Now()
	}
	return s.Clock.Since(s.wantedAt)
}

// next is the version to fetch now: the oldest that is newer than what the engine
// holds, not here yet, and not overtaken.
func (s *Stager) next(model string, held uint64) (version uint64, age time.Duration) {
	newer := s.after(held)
	for i, n := range newer {
		if i+1 < len(newer) && s.overtaken(n, newer[i+1]) || s.passing(n.version) {
			continue
		}
		if !s.whole(model, n.version) {
			return n.version, s.Clock.Since(n.learned)
		}
	}
	return s.newest()
}

func (s *Stager) overtaken(n, by naming) bool {
	return by.learned.Sub(n.learned) < time.Duration(overtakeWithin*float64(s.Bound))
}

// passing tells whether a version must not serve any more by about the time that it could
// be loaded. After the origin was out of reach, an older one that lacks a few chunks would
// else be fetched and loaded first, for nothing, and the newer one comes seconds later.
func (s *Stager) passing(version uint64) bool {
	newer := s.after(version)
	if len(newer) == 0 {
		return false
	}
	return s.Clock.Since(newer[0].learned) > s.Bound-oldMargin-leastUse
}
