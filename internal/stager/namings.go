package stager

import (
	"time"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

const (
	// overtakeWithin is how soon after a version a newer one has to be named, as a part
	// of the bound, for the older to be left out. With more time between them the
	// older one arrives first and its engines switch in turn; the newer one alone would
	// come just before the older one's bound, and all engines would stop at once. After this part
	// of the bound most of the older one has left the origin. If the origin is lost then, only the
	// older one can still be completed in time; if it isn't, the newer one comes less than a second later.
	overtakeWithin = 0.18
	// fetchSpread is what a version's last chunks take to come to all agents once they can be
	// had, and fetchWhole what all of them take to leave the origin besides. After an outage of
	// the origin the last seventh comes to 153 agents within 1.2 s in virtual time.
	fetchSpread = 700 * time.Millisecond
	fetchWhole  = 3 * time.Second
	// loadTime is what an engine takes to load a version that is here, and leastUse the least
	// time for which the version has to serve after that to be loaded before a newer one.
	loadTime = 500 * time.Millisecond
	leastUse = time.Second
)

// newest is the version that the engine should hold, and how long ago it was named.
// Engines that are there from the start may hold the first without its being named.
func (s *Stager) newest() (version uint64, age time.Duration) {
	w, ok := s.Registrar.View().Weights(s.model())
	if !ok {
		return firstVersion, time.Hour
	}
	return w.Version, s.Clock.Since(w.Learned)
}

// firstVersion is in force until another is named.
const firstVersion = 1

// after lists the namings newer than the version held, the oldest first.
func (s *Stager) after(held uint64) []registrar.Announcement {
	w, _ := s.Registrar.View().Weights(s.model())
	return w.NewerThan(held)
}

// superseded is the earliest moment at which a newer version can have been named; false
// while none is.
func (s *Stager) superseded(version uint64) (time.Time, bool) {
	w, _ := s.Registrar.View().Weights(s.model())
	return w.SupersededAt(version)
}

// wantedFor is for how long this agent has looked for a version's chunks. Counted from the
// announcement alone, all agents would turn to the origin at once after a restart of all.
func (s *Stager) wantedFor(version uint64) time.Duration {
	if s.wantedAt == nil {
		s.wantedAt = map[uint64]time.Time{}
	}
	if s.wantedAt[version].IsZero() {
		s.wantedAt[version] = s.Clock.Now()
	}
	return s.Clock.Since(s.wantedAt[version])
}

// pending lists the versions to fetch, the first one first: those newer than what the engine
// holds that aren't complete here and will serve for a while. It is never empty: without any it
// has the newest version.
func (s *Stager) pending(model string, held uint64) []registrar.Announcement {
	var ps []registrar.Announcement
	if s.completesFirst(model, held) {
		ps = append(ps, registrar.Announcement{Version: firstVersion})
	}
	newer := s.after(held)
	for i, n := range newer {
		if i+1 < len(newer) && s.overtaken(n, newer[i+1]) || s.passing(n.Version) {
			continue
		}
		if !s.whole(model, n.Version) {
			ps = append(ps, n)
		}
	}
	if len(ps) == 0 {
		version, age := s.newest()
		ps = append(ps, registrar.Announcement{Version: version, Learned: s.Clock.Now().Add(-age)})
	}
	return ps
}

// completesFirst tells whether an empty engine should still get the first version, although a
// newer one is announced: most of it is here, and the newer one takes seconds longer. Later
// versions are among the announced ones.
func (s *Stager) completesFirst(model string, held uint64) bool {
	if _, superseded := s.superseded(firstVersion); held > 0 || !superseded {
		return false
	}
	progress := s.progress(model, firstVersion)
	return progress >= expected && progress < 1 && !s.passing(firstVersion)
}

func (s *Stager) overtaken(n, by registrar.Announcement) bool {
	return by.Learned.Sub(n.Learned) < time.Duration(overtakeWithin*float64(s.Bound))
}

// passing tells whether a version must not serve any more by about the time that it could
// be loaded. After the origin was out of reach, an older one that lacks a few chunks would
// else be fetched and loaded first, for nothing, and the newer one comes seconds later. It
// comes later by as long as the older one takes the origin's link, so that one has to serve for
// longer.
func (s *Stager) passing(version uint64) bool {
	at, superseded := s.superseded(version)
	if !superseded {
		return false
	}
	var fetch, delay time.Duration
	if missing := 1 - s.progress(s.model(), version); missing > 0 {
		delay = time.Duration(missing * float64(fetchWhole))
		fetch = fetchSpread + delay
	}
	return s.Clock.Since(at)+fetch+loadTime+max(leastUse, delay) > s.Bound-scheduler.OldWeightsMargin
}
