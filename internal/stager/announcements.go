package stager

import (
	"time"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

const (
	// maxOvertakeFraction is how soon after a version a newer one must be announced, as a fraction
	// of the bound, for the older to be skipped. With more time between them the older one arrives
	// first and the engines switch to it in turn; the newer one alone would arrive just before the
	// older one's bound, and all engines would stop at once. After this fraction most of the older
	// one has left the origin. If the origin is lost then, only the older one can be completed in
	// time; if not, the newer one arrives less than a second later.
	maxOvertakeFraction = 0.18
	// chunkSpreadTime is how long the last available chunks of a version take to reach all agents,
	// and fullFetchTime what all chunks take to leave the origin besides. After an outage of the
	// origin the last seventh reaches 153 agents within 1.2 s in virtual time.
	chunkSpreadTime = 700 * time.Millisecond
	fullFetchTime   = 3 * time.Second
	// loadTime is how long an engine takes to load a complete version, and minServeTime the least
	// time for which a version must then serve to be loaded before a newer one.
	loadTime     = 500 * time.Millisecond
	minServeTime = time.Second
)

// newestVersion returns the version that the engine should hold, and how long ago it was announced.
// Engines that exist from the start may hold the first without an announcement.
func (s *Stager) newestVersion() (version uint64, age time.Duration) {
	w, ok := s.Registrar.View().Weights(s.model())
	if !ok {
		return firstVersion, time.Hour
	}
	return w.Version, s.Clock.Since(w.Learned)
}

// firstVersion is in force until another version is announced.
const firstVersion = 1

// newerThan lists the announcements of versions newer than the held one, oldest first.
func (s *Stager) newerThan(held uint64) []registrar.Announcement {
	w, _ := s.Registrar.View().Weights(s.model())
	return w.NewerThan(held)
}

// supersededAt returns the earliest time at which a newer version can have been announced; false
// while there is none.
func (s *Stager) supersededAt(version uint64) (time.Time, bool) {
	w, _ := s.Registrar.View().Weights(s.model())
	return w.SupersededAt(version)
}

// wantedDuration is how long this agent has requested a version's chunks. If it were measured from
// the announcement, all agents would ask the origin at once after a restart of all.
func (s *Stager) wantedDuration(version uint64) time.Duration {
	if s.wantedSince == nil {
		s.wantedSince = map[uint64]time.Time{}
	}
	if s.wantedSince[version].IsZero() {
		s.wantedSince[version] = s.Clock.Now()
	}
	return s.Clock.Since(s.wantedSince[version])
}

// pending lists the versions to fetch, most important first: those newer than the engine's that are
// incomplete here and will serve for a while. It is never empty: if there are none it contains the
// newest version.
func (s *Stager) pending(model string, held uint64) []registrar.Announcement {
	var ps []registrar.Announcement
	if s.completesFirstVersion(model, held) {
		ps = append(ps, registrar.Announcement{Version: firstVersion})
	}
	newer := s.newerThan(held)
	for i, n := range newer {
		if i+1 < len(newer) && s.overtaken(n, newer[i+1]) || s.expiresBeforeUse(n.Version) {
			continue
		}
		if !s.isComplete(model, n.Version) {
			ps = append(ps, n)
		}
	}
	if len(ps) == 0 {
		version, age := s.newestVersion()
		ps = append(ps, registrar.Announcement{Version: version, Learned: s.Clock.Now().Add(-age)})
	}
	return ps
}

// completesFirstVersion reports whether an empty engine should still get the first version although
// a newer one is announced: most of it is here, and the newer one takes seconds longer. Later
// versions are among the announced ones.
func (s *Stager) completesFirstVersion(model string, held uint64) bool {
	if _, superseded := s.supersededAt(firstVersion); held > 0 || !superseded {
		return false
	}
	progress := s.progress(model, firstVersion)
	return progress >= expectedCompleteShare && progress < 1 && !s.expiresBeforeUse(firstVersion)
}

func (s *Stager) overtaken(n, newer registrar.Announcement) bool {
	return newer.Learned.Sub(n.Learned) < time.Duration(maxOvertakeFraction*float64(s.Bound))
}

// expiresBeforeUse reports whether a version may no longer serve by about the time that it could be
// loaded. After an outage of the origin, an older version that lacks a few chunks would otherwise
// be fetched and loaded first without use, while the newer one arrives seconds later. Fetching the
// older one delays the newer one by its time on the origin's link, so it must serve for at least
// that long.
func (s *Stager) expiresBeforeUse(version uint64) bool {
	at, superseded := s.supersededAt(version)
	if !superseded {
		return false
	}
	var fetch, delay time.Duration
	if missing := 1 - s.progress(s.model(), version); missing > 0 {
		delay = time.Duration(missing * float64(fullFetchTime))
		fetch = chunkSpreadTime + delay
	}
	return s.Clock.Since(at)+fetch+loadTime+max(minServeTime, delay) > s.Bound-scheduler.OldWeightsMargin
}
