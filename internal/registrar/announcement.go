package registrar

import (
	"slices"
	"time"

	"k8s.io/klog/v2"
)

// Announcement states when a version of a model's weights became the one to hold. Its times are
// those of the registrar's clock.
type Announcement struct {
	Version uint64
	// Learned is the earliest possible time of the announcement: the last time at which the store
	// is known not to have had it. It is zero if that was before the start of every process that
	// reports it.
	Learned time.Time
	// Replaced is the newest version known to have been in force before; 0 if none was announced.
	// Nothing newer than it was announced before Since. Since is Learned if Replaced was in force
	// until then, earlier if an announcement in between may have been missed, and zero if nothing
	// is known of the time before.
	Replaced uint64
	Since    time.Time
	// Known is the earliest time at which a process is known to have received it; zero if unknown.
	Known time.Time
	// Confirmed is the store's last confirmation before it, where Learned and Since rely on an outage of the store
	// that processes inferred from failed calls; zero where they don't.
	Confirmed time.Time
}

// AnnouncementReport is an announcement as sent between processes, with ages instead of times.
type AnnouncementReport struct {
	Version  uint64        `json:"version"`
	Age      time.Duration `json:"age"`
	Replaced uint64        `json:"replaced,omitempty"`
	SinceAge time.Duration `json:"sinceAge"`
	// KnownAge is the least time since a process received it; zero if unknown.
	KnownAge time.Duration `json:"knownAge,omitempty"`
	// ConfirmedAge is the age of Announcement's Confirmed; zero where that is.
	ConfirmedAge time.Duration `json:"confirmedAge,omitempty"`
}

// maxAnnouncements is how many announcements are kept per model. At one every four seconds, the
// time limit of weights before these expired long ago.
const maxAnnouncements = 8

// addAnnouncements adds the announcements that a record reports. The store keeps only the newest
// version, and a record from another process may stand for several changes, but the time limit of
// old weights counts from the first announcement after them. A process that was suspended over two
// announcements and received only the newest would let replies start on expired weights, so records
// carry all announcements. Where some may still be missing, they count from the last time at which
// there were none.
//
// It returns the newest version, which may be above the record's after the store was restored to an
// older state, and its announcement time.
func (r *Registrar) addAnnouncements(rec Record, w Weights, received time.Time) (Weights, time.Time) {
	known := r.announcements[rec.Key]
	newest := uint64(0)
	if len(known) > 0 {
		newest = known[len(known)-1].Version
	}
	observed := later(r.datesSince(), r.inferredOutageEnd())
	for _, n := range r.announcementsOf(rec, w, received, observed) {
		if len(known) > 0 && n.Version <= newest {
			continue
		}
		if n.Since.IsZero() || n.Replaced != newest {
			n = r.boundAnnouncement(n, rec.Key, newest)
		}
		known = append(known, n)
		newest = n.Version
	}
	r.announcements[rec.Key] = known[max(0, len(known)-maxAnnouncements):]
	delete(r.hidden, rec.Key)
	w.Version = newest
	return w, known[len(known)-1].Learned
}

// applyReportedAges applies the announcement ages that another process reports with a record which
// this one found in the store when it started. Without them it would bound no request on older
// weights. None of the announcements is newer than that record.
func (r *Registrar) applyReportedAges(rec Record, from Batch) bool {
	known, reported := r.announcements[rec.Key], rec.Announcements
	if r.refuteOutages(rec, from.AsOf) {
		return true
	}
	if _, hidden := r.hidden[rec.Key]; hidden || len(known) == 0 || isDated(known) || len(reported) == 0 {
		return false
	}
	newest := reported[len(reported)-1]
	if newest.Age == UnknownAge || newest.Version != known[len(known)-1].Version {
		return false
	}
	w, ok := r.facts[rec.Key].(Weights)
	if !ok {
		return false
	}
	// This process found the version when it started, so it observed no outage before it.
	ns := r.announcementsOf(rec, w, from.AsOf, time.Time{})
	learned := ns[len(ns)-1].Learned
	r.announcements[rec.Key], r.writtenAt[rec.Key] = ns, learned
	fields := []any{"model", w.Model, "version", w.Version, "revision", rec.Revision, "age", r.Clock.Since(learned)}
	klog.InfoS("Weights age received", append(fields, from.Source.logFields()...)...)
	return true
}

// isDated reports whether the time of the newest announcement is known.
func isDated(ns []Announcement) bool { return len(ns) > 0 && !ns[len(ns)-1].Learned.IsZero() }

// NeedsAges reports whether the time of some model's newest announcement is unknown, as its weights were found in the
// store, or relies on an outage, so that others may know better.
func (r *Registrar) NeedsAges() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, ns := range r.announcements {
		if !isDated(ns) || r.reliesOnOutage(ns) {
			return true
		}
	}
	return false
}

// hiddenWeights describes a record of weights that can't be used.
type hiddenWeights struct {
	model string
	// since is the time since which it may have stood for a version that was never read; zero for any time.
	since time.Time
}

// hideWeights records that a model's record can't be used. A version announced before that record
// was written may have been missed, but it replaced the known one.
func (r *Registrar) hideWeights(key, model string) {
	if _, ok := r.hidden[key]; !ok {
		r.hidden[key] = hiddenWeights{model: model, since: r.confirmedUntil()}
	}
}

// unreadableSince returns the times since which unreadable records may have stood for other versions, by model. A
// deleted record announces none.
func (r *Registrar) unreadableSince() map[string]time.Time {
	since := map[string]time.Time{}
	for key, h := range r.hidden {
		if rec, ok := r.records[key]; ok && !rec.Deleted {
			since[h.model] = h.since
		}
	}
	return since
}

// readableUntil returns the time until which nothing newer than the known versions can have been announced.
func (r *Registrar) readableUntil(key string) time.Time {
	until := r.datesSince()
	if h, ok := r.hidden[key]; ok {
		return earlier(h.since, until)
	}
	return until
}

// boundAnnouncement bounds the time of the next announcement after a known version, where others in
// between may have been missed.
func (r *Registrar) boundAnnouncement(n Announcement, key string, known uint64) Announcement {
	since, confirmed := r.readableUntil(key), r.weightsConfirmation()
	if since.After(confirmed) && (n.Confirmed.IsZero() || confirmed.Before(n.Confirmed)) {
		n.Confirmed = confirmed
	}
	if n.Replaced <= known && n.Since.After(since) {
		since = n.Since
	}
	n.Replaced, n.Since = known, since
	if n.Learned.IsZero() {
		// The process that found it has no data from before its own start. It is newer than the
		// known version, which bounds its time all the same.
		n.Learned = since
	}
	return n
}

// announcementsOf lists the announcements that a record reports, the oldest first. Observed is the time until which this
// process takes it that there were none.
func (r *Registrar) announcementsOf(rec Record, w Weights, received, observed time.Time) []Announcement {
	if len(rec.Announcements) == 0 {
		// The store doesn't state when the record was written, and its answer may have been delayed
		// for any time.
		n := Announcement{Version: w.Version, Learned: earlier(r.readableUntil(rec.Key), writeTime(rec, received)), Known: received}
		if confirmed := r.weightsConfirmation(); n.Learned.After(confirmed) {
			n.Confirmed = confirmed
		}
		return []Announcement{n}
	}
	ns := make([]Announcement, 0, len(rec.Announcements))
	for _, p := range rec.Announcements {
		ns = append(ns, withoutForeignOutage(Announcement{
			Version: p.Version, Learned: timeAtAge(received, p.Age), Replaced: p.Replaced, Since: timeAtAge(received, p.SinceAge),
			Known: timeAtPositiveAge(received, p.KnownAge), Confirmed: timeAtPositiveAge(received, p.ConfirmedAge),
		}, observed))
	}
	return ns
}

// withoutForeignOutage dates an announcement that another process has dated by an outage of the store: from the store's
// word before it, or the end of the outage as observed here. A process that was suspended or has just started observed
// none, and the store may have answered others like it all the while.
func withoutForeignOutage(n Announcement, observed time.Time) Announcement {
	if n.Confirmed.IsZero() {
		return n
	}
	limit := later(n.Confirmed, observed)
	n.Learned, n.Since = earlier(n.Learned, limit), earlier(n.Since, limit)
	return n
}

// logAnnouncement logs the newest announcement with its age, the version that it replaced, and how
// long ago another may have come in between; unknown times are omitted. The time since the store's
// last confirmation and the duration of the call show what the age is based on.
func (r *Registrar) logAnnouncement(w Weights, rec Record, from Source) {
	ns, now := r.announcements[rec.Key], r.Clock.Now()
	n := ns[len(ns)-1]
	fields := []any{"model", w.Model, "version", w.Version, "revision", rec.Revision, "replaces", n.Replaced}
	if !n.Learned.IsZero() {
		fields = append(fields, "age", now.Sub(n.Learned))
	}
	if !n.Since.IsZero() {
		fields = append(fields, "oldWeightsAge", now.Sub(n.Since))
	}
	if confirmed := r.weightsConfirmation(); !confirmed.IsZero() {
		fields = append(fields, "confirmedAge", now.Sub(confirmed))
	}
	klog.InfoS("Weights named", append(fields, from.logFields()...)...)
}

// logFields returns log fields that describe the call; none for an unknown one.
func (s Source) logFields() []any {
	if s == (Source{}) {
		return nil
	}
	return []any{"source", s.Name, "took", s.Took, "wait", s.Wait, "held", s.Held}
}

// announcementReports returns a model's announcements for another process.
func (r *Registrar) announcementReports(key string) []AnnouncementReport {
	now := r.Clock.Now()
	var ps []AnnouncementReport
	for _, n := range r.announcements[key] {
		ps = append(ps, AnnouncementReport{
			Version: n.Version, Age: age(now, n.Learned), Replaced: n.Replaced, SinceAge: age(now, n.Since),
			KnownAge: positiveAge(now, n.Known), ConfirmedAge: positiveAge(now, n.Confirmed),
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

func timeAtAge(now time.Time, age time.Duration) time.Time {
	if age == UnknownAge {
		return time.Time{}
	}
	return now.Add(-age)
}

// positiveAge is the age of a time, at least a nanosecond; zero for the zero time.
func positiveAge(now, t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return max(1, now.Sub(t))
}

// timeAtPositiveAge returns the time of a positiveAge.
func timeAtPositiveAge(now time.Time, age time.Duration) time.Time {
	if age <= 0 {
		return time.Time{}
	}
	return now.Add(-age)
}

// WeightsView is the version of a model that engines are to hold, and the announcements that led to
// it.
type WeightsView struct {
	Weights
	// Learned is that of the newest announcement.
	Learned time.Time
	// Announcements are the announcements, the oldest first; never empty.
	Announcements []Announcement
}

// NewerThan lists the announcements newer than a version, the oldest first.
func (w WeightsView) NewerThan(version uint64) []Announcement {
	i := slices.IndexFunc(w.Announcements, func(n Announcement) bool { return n.Version > version })
	if i < 0 {
		return nil
	}
	return w.Announcements[i:]
}

// SupersededAt returns the earliest time at which a newer version than the given one can have been
// announced; zero if that may be any time ago, and false while none is known.
func (w WeightsView) SupersededAt(version uint64) (time.Time, bool) {
	newer := w.NewerThan(version)
	if len(newer) == 0 {
		return time.Time{}, false
	}
	n := newer[0]
	switch {
	case n.Version == version+1:
		// No version lies in between.
		return n.Learned, true
	case n.Replaced <= version:
		return n.Since, true
	default:
		return time.Time{}, true
	}
}

// firstDatedAfter returns when the first newer version with a known time was announced; zero for
// none. The given one was superseded by then at the latest: by an announcement that is not kept, or
// by one without a known time.
func (w WeightsView) firstDatedAfter(version uint64) time.Time {
	for _, n := range w.NewerThan(version) {
		if !n.Learned.IsZero() {
			return n.Learned
		}
	}
	return time.Time{}
}
