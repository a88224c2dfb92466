package registrar

import (
	"slices"
	"time"
)

// Naming is the moment at which a version of a model's weights became the one to hold.
type Naming struct {
	Version uint64
	// Learned is when the naming was known at the latest; zero when that was before any
	// process started that tells of it.
	Learned time.Time
	// Replaced is the newest version known to have been in force before; 0 when none was
	// named. Nothing newer than it was named before Since. Since is Learned when Replaced
	// was in force until then, earlier when another naming in between may have been missed,
	// and zero when nothing is known of the time before.
	Replaced uint64
	Since    time.Time
}

// PastNaming is a naming as one process tells another, with ages instead of moments.
type PastNaming struct {
	Version  uint64        `json:"version"`
	Age      time.Duration `json:"age"`
	Replaced uint64        `json:"replaced,omitempty"`
	SinceAge time.Duration `json:"sinceAge"`
}

const (
	// keptNamings is how many namings of a model are remembered: four seconds apart, the
	// time of those before is long over.
	keptNamings = 8
	// seenWithin is how long after the store's last confirmation a change that it tells of
	// counts as new: a watch answers at once, and after a second without news. A process
	// that took longer stood still, and the change may be as old as that.
	seenWithin = 1200 * time.Millisecond
)

// addNamings takes over what a record says of a model's weights. The store keeps only the
// newest version, and between processes a record may stand for several changes; but the
// time of old weights runs from the first naming after them. Told only of the newest, a
// process that stood still over two namings would let replies begin on weights whose time
// is over. So the namings travel with the record; where some may be missing all the same,
// they count from the last moment at which there were none.
func (r *Registrar) addNamings(rec Record, w Weights) {
	known := r.namings[rec.Key]
	newest := uint64(0)
	if len(known) > 0 {
		newest = known[len(known)-1].Version
	}
	for _, n := range r.told(rec, w) {
		if n.Version <= newest {
			continue
		}
		if n.Since.IsZero() || n.Replaced != newest {
			n.Replaced, n.Since = newest, later(r.confirmed, n.Since, n.Replaced <= newest)
		}
		known = append(known, n)
		newest = n.Version
	}
	r.namings[rec.Key] = known[max(0, len(known)-keptNamings):]
}

// later is the later of two moments, or the first if the second doesn't hold.
func later(t, u time.Time, holds bool) time.Time {
	if holds && u.After(t) {
		return u
	}
	return t
}

// told lists the namings that a record tells of, the oldest first.
func (r *Registrar) told(rec Record, w Weights) []Naming {
	if len(rec.Namings) == 0 {
		return []Naming{r.found(rec, w)}
	}
	now := r.Clock.Now()
	ns := make([]Naming, 0, len(rec.Namings))
	for _, p := range rec.Namings {
		ns = append(ns, Naming{
			Version: p.Version, Learned: moment(now, p.Age), Replaced: p.Replaced, Since: moment(now, p.SinceAge),
		})
	}
	return ns
}

// found is the naming of a record from the store.
func (r *Registrar) found(rec Record, w Weights) Naming {
	now := r.Clock.Now()
	if rec.Age == UnknownAge || !r.confirmed.IsZero() && now.Sub(r.confirmed) > seenWithin {
		return Naming{Version: w.Version, Learned: r.confirmed}
	}
	learned := now.Add(-rec.Age)
	previous, _ := r.facts[rec.Key].(Weights)
	return Naming{Version: w.Version, Learned: learned, Replaced: previous.Version, Since: learned}
}

// history is a model's namings for another process.
func (r *Registrar) history(key string) []PastNaming {
	now := r.Clock.Now()
	var ps []PastNaming
	for _, n := range r.namings[key] {
		ps = append(ps, PastNaming{
			Version: n.Version, Age: age(now, n.Learned), Replaced: n.Replaced, SinceAge: age(now, n.Since),
		})
	}
	return ps
}

func age(now, t time.Time) time.Duration {
	if t.IsZero() {
		return UnknownAge
	}
	return now.Sub(t)
}

func moment(now time.Time, age time.Duration) time.Time {
	if age == UnknownAge {
		return time.Time{}
	}
	return now.Add(-age)
}

// WeightsView is the version of a model that engines are to hold, and the namings that led
// to it.
type WeightsView struct {
	Weights
	// Learned is when the version was known at the latest; zero when that was before any
	// process started that tells of it.
	Learned time.Time
	// Namings are the oldest first and never empty.
	Namings []Naming
}

// After lists the namings newer than a version, the oldest first.
func (w WeightsView) After(version uint64) []Naming {
	i := slices.IndexFunc(w.Namings, func(n Naming) bool { return n.Version > version })
	if i < 0 {
		return nil
	}
	return w.Namings[i:]
}

// Superseded is the earliest moment at which a newer version than the given one can have
// been named; zero when that may be any time ago, and false while none is known.
func (w WeightsView) Superseded(version uint64) (time.Time, bool) {
	newer := w.After(version)
	if len(newer) == 0 {
		return time.Time{}, false
	}
	n := newer[0]
	switch {
	case n.Version == version+1:
		// Nothing fits in between.
		return n.Learned, true
	case n.Replaced <= version:
		return n.Since, true
	default:
		return time.Time{}, true
	}
}
