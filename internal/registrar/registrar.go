// Package registrar holds a process's view of the deployment: the records of the platform's store,
// each with its revision, and the facts that they state. Records come from the store or from
// another process, and revisions only increase.
package registrar

import (
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/notifier"
)

// ConfirmationTimeout is how old a confirmation may be before a process counts as disconnected from
// the store: three of the waits after which a watch answers without changes.
const ConfirmationTimeout = 3 * time.Second

// changeTime is how long a change may take to be in force everywhere.
const changeTime = 2 * time.Second

// Registrar is safe for concurrent use. Set the exported fields before use.
type Registrar struct {
	// Clock measures the ages of all records, and should count the time for which the VM is
	// suspended.
	Clock clock.PassiveClock
	// WallClock is the time of day, by which upstreams date their starts. If it is nil, any start is believed.
	WallClock clock.PassiveClock
	// Decode decodes a record; a nil fact without an error means an unused record. With an error it returns Weights
	// without a version for a record of a model's weights, nil for others.
	Decode func(key string, value []byte) (Fact, error)
	// Linger is how long an upstream stays in use after its record was deleted while the store was
	// unreachable: leases expire then although the upstream runs, and it registers again soon
	// after. It must be shorter than the time within which a draining upstream must stop getting
	// requests.
	Linger time.Duration
	// Heartbeat is how often upstreams renew their records, which expire after three missed renewals; zero if
	// unknown.
	Heartbeat time.Duration
	// Region is the region of this process.
	Region string

	mu          sync.Mutex
	records     map[string]Record
	facts       map[string]Fact
	lingerUntil map[string]time.Time
	// writtenAt is when an existing record was written, deletedAt when a missing one was deleted.
	writtenAt     map[string]time.Time
	deletedAt     map[string]time.Time
	announcements map[string][]Announcement
	// replaced are the starts of upstreams at whose addresses others were found, by ID.
	replaced map[string]time.Time
	// hidden holds the records of weights that may have stood for a version that was never read.
	hidden map[string]hiddenWeights
	packed map[string]Record
	// selected is the last selection of records for another process; nil once they have changed.
	selected *selection
	// deletionFloor is the revision above which all deletions are kept.
	deletionFloor uint64
	revision      uint64
	// confirmedAt is the last time at which the store is known to have had nothing newer,
	// answeredAt the latest possible time of its last complete answer.
	confirmedAt, answeredAt time.Time
	// partialAnswerAt is when the store last answered with a part of its changes.
	partialAnswerAt time.Time
	// weightsConfirmedAt and weightsAnsweredAt are confirmedAt and answeredAt by answers on weights only.
	weightsConfirmedAt, weightsAnsweredAt time.Time
	// inferredUntil is the end of the last inferred outage. Batches never report it as a confirmation.
	inferredUntil time.Time
	// confirmedBy is the process that received the later of these confirmations from the store.
	confirmedBy string
	// unreachableAt is when the store was last found unreachable, unreachable whether it still is.
	unreachableAt time.Time
	unreachable   bool
	// longOutageEnd is when the last failed call of an outage ended in which upstream records may have expired.
	longOutageEnd time.Time
	// peerOutageUntil is the time until which another process, at least as up to date as this one,
	// has found the store unreachable since its last answer.
	peerOutageUntil time.Time
	// outages holds the known outages of the store by region.
	outages map[string]outageSpan
	// outageRefuted is set while a batch is applied that shows an answer of the store to another
	// process after the last one known here, and before the last failed call.
	outageRefuted bool
	// lastStoreCall is when this process last called the store, and callingSince the time since
	// which it did so without a longer gap.
	lastStoreCall time.Time
	callingSince  time.Time
	// observedBeforeGap is the outage that this process observed before the gap that callingSince ended.
	observedBeforeGap outageSpan
	// startedAt is when this process was first active.
	startedAt time.Time
	// lastActive is when this process was last active, and resumedAt when it became so after a
	// longer gap than maxCallGap; confirmedBeforePause is locallyConfirmedUntil before that gap.
	lastActive           time.Time
	resumedAt            time.Time
	confirmedBeforePause time.Time
	// lastTick is when Tick was last called; between pauseStart and pauseEnd it was due, and this
	// process was suspended.
	lastTick             time.Time
	pauseStart, pauseEnd time.Time
	view                 atomic.Pointer[View]
	confirmation         atomic.Pointer[confirmation]
	change               notifier.Broadcast
}

// Apply applies a batch and reports whether anything changed. A batch that starts above the known
// revision is ignored.
func (r *Registrar) Apply(b Batch) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordActivity()
	if !b.Whole && b.After > r.revision || b.WeightsOnly && r.records == nil {
		return false
	}
	if b.RecordsAge > 0 {
		b = b.Older(b.RecordsAge)
	}
	records, ok := unpackAll(b.Records)
	if !ok {
		// Applied without that record, the batch would move the revision past it for good.
		return false
	}
	if r.records == nil {
		r.records = map[string]Record{}
		r.facts = map[string]Fact{}
		r.lingerUntil = map[string]time.Time{}
		r.writtenAt = map[string]time.Time{}
		r.deletedAt = map[string]time.Time{}
		r.announcements = map[string][]Announcement{}
		r.hidden = map[string]hiddenWeights{}
	}
	if b.AsOf.IsZero() {
		b.AsOf = r.Clock.Now()
	}
	r.outageRefuted = r.refutesOutage(b)
	changed := r.view.Load() == nil
	for _, rec := range records {
		changed = r.applyRecord(rec, b) || changed
	}
	switch {
	case b.WeightsOnly:
		previous := r.weightsConfirmation()
		r.recordOutageEnd(b.answeredAt())
		r.recordWeightsAnswer(b.answeredAt(), b.Unconfirmed, b.Partial)
		r.recordConfirmer(b, previous)
	case b.At >= r.revision:
		if b.Whole {
			changed = r.deleteMissing(b) || changed
		}
		r.revision = b.At
		r.recordAnswer(b)
	}
	r.outageRefuted = false
	if changed {
		r.selected = nil
		r.publish()
	}
	r.confirm()
	return changed
}

// recordAnswer records when the store answered that nothing is newer than the known state, and how long after that it
// was unreachable for the process that reports it.
func (r *Registrar) recordAnswer(b Batch) {
	answered := b.answeredAt()
	defer r.recordConfirmer(b, r.weightsConfirmation())
	r.recordOutageEnd(b.lastAnswer())
	if b.WeightsUnconfirmed > 0 {
		r.recordWeightsAnswer(b.AsOf.Add(-b.WeightsAge), b.WeightsUnconfirmed, false)
	}
	// Applying a large batch may take longer than a confirmation counts as fresh. If its age counted from its
	// arrival, a process would call the store again right after it.
	if fresh := r.Clock.Now().Add(-b.Age); fresh.After(r.answeredAt) {
		r.recordLongOutage(fresh)
		r.answeredAt = fresh
	}
	if b.Partial {
		r.partialAnswerAt = answered
		return
	}
	if b.Unconfirmed != UnknownAge {
		r.confirmedAt = later(r.confirmedAt, answered.Add(-b.Unconfirmed))
	}
	if until := b.lastAnswer().Add(b.OutageFor); b.OutageFor > 0 && until.After(r.peerOutageUntil) {
		r.peerOutageUntil = until
	}
	for _, o := range b.Outages {
		r.recordRegionOutage(o.Region, outageSpan{since: b.AsOf.Add(-o.Since), until: b.AsOf.Add(-o.Until)})
	}
}

// recordConfirmer records which process the store answered, if a batch has moved the confirmation forward.
func (r *Registrar) recordConfirmer(b Batch, previous time.Time) {
	if r.weightsConfirmation().After(previous) {
		r.confirmedBy = b.ConfirmedBy
	}
}

// recordWeightsAnswer records when the store answered that no newer weights are announced. The other records may have
// changed by then.
func (r *Registrar) recordWeightsAnswer(answered time.Time, unconfirmed time.Duration, partial bool) {
	r.weightsAnsweredAt = later(r.weightsAnsweredAt, answered)
	if partial {
		r.partialAnswerAt = later(r.partialAnswerAt, answered)
		return
	}
	r.weightsConfirmedAt = later(r.weightsConfirmedAt, answered.Add(-unconfirmed))
}

// recordOutageEnd keeps the end of the inferred outage that an answer ends, if any.
func (r *Registrar) recordOutageEnd(answered time.Time) {
	if answered.After(r.unreachableAt) {
		r.inferredUntil = r.confirmedUntil()
	}
}

// applyRecord keeps a record that is newer than the known one.
func (r *Registrar) applyRecord(rec Record, from Batch) bool {
	if known, ok := r.records[rec.Key]; ok && known.Revision >= rec.Revision {
		return known.Revision == rec.Revision && r.applyReportedAges(rec, from)
	}
	r.records[rec.Key] = rec
	delete(r.packed, rec.Key)
	if rec.Deleted {
		r.deletedAt[rec.Key] = r.deletionTime(rec, from)
		r.applyDeletion(rec.Key, from)
		return true
	}
	f, err := r.Decode(rec.Key, rec.Value)
	if err != nil {
		klog.ErrorS(err, "Failed to decode record", "key", rec.Key, "revision", rec.Revision)
		r.dropUnreadable(rec.Key, f)
		return true
	}
	if f == nil {
		return true
	}
	if !r.isNotRollback(rec.Key, f) {
		klog.InfoS("Record ignored: its version is below the one in force", "key", rec.Key, "revision", rec.Revision)
		return true
	}
	r.writtenAt[rec.Key] = writeTime(rec, from.AsOf)
	if w, ok := f.(Weights); ok {
		f, r.writtenAt[rec.Key] = r.addAnnouncements(rec, w, from.AsOf)
	}
	r.facts[rec.Key] = f
	delete(r.lingerUntil, rec.Key)
	r.logFact(f, rec, from.Source)
	return true
}

// writeTime returns the latest time at which a received record was written. An upstream's cold time counts from
// there: from an earlier time, it would get a full load while it is cold, and fail.
func writeTime(rec Record, received time.Time) time.Time {
	return received.Add(-max(0, rec.Age))
}

// deletionTime returns the earliest time at which a record was deleted; if it may have expired in an outage, the end
// of the outage, as far as is known.
func (r *Registrar) deletionTime(rec Record, from Batch) time.Time {
	deleted := writeTime(rec, from.AsOf)
	if r.confirmedAt.IsZero() || r.mayHaveExpired(from) {
		return deleted
	}
	return earlier(deleted, r.confirmedAt)
}

// mayHaveExpired reports whether a running upstream may have lost its record in a recent outage.
func (r *Registrar) mayHaveExpired(from Batch) bool {
	r.recordLongOutage(from.AsOf)
	return !r.longOutageEnd.IsZero() && r.Clock.Since(r.longOutageEnd) < ConfirmationTimeout
}

// recordLongOutage records an outage that continues until the given time, or ends then, if upstream records may have
// expired in it: the last renewal before it is up to a heartbeat old.
func (r *Registrar) recordLongOutage(until time.Time) {
	if r.unreachableAt.After(r.answeredAt) && until.Sub(r.answeredAt) >= 2*r.Heartbeat {
		r.longOutageEnd = r.unreachableAt
	}
}

// isNotRollback reports whether a fact's version is no lower than the known one. A store that was
// restored to an older state would otherwise bring back routes and weights that were replaced.
func (r *Registrar) isNotRollback(key string, f Fact) bool {
	switch f := f.(type) {
	case Table:
		old, ok := r.facts[key].(Table)
		return !ok || f.Version >= old.Version
	case Weights:
		old, ok := r.facts[key].(Weights)
		return !ok || f.Version >= old.Version
	default:
		return true
	}
}

// dropUnreadable drops the fact of a key whose new value can't be decoded. A route table and a
// version of weights stay in force, as there is always one; other facts state nothing usable.
func (r *Registrar) dropUnreadable(key string, stated Fact) {
	switch known := r.facts[key].(type) {
	case Table:
	case Weights:
		r.hideWeights(key, known.Model)
	default:
		delete(r.facts, key)
		if w, ok := stated.(Weights); ok {
			r.hideWeights(key, w.Model)
		}
	}
}

// applyDeletion stops the use of a deleted key.
func (r *Registrar) applyDeletion(key string, from Batch) {
	f := r.facts[key]
	switch f := f.(type) {
	case Table:
		klog.InfoS("Deletion ignored", "key", key)
		return
	case Weights:
		klog.InfoS("Deletion ignored", "key", key)
		r.hideWeights(key, f.Model)
		return
	case Upstream:
		if !f.Leaving && r.mayHaveExpired(from) {
			// If this counted from the arrival, each hop would extend it, and requests would reach
			// an upstream that reported its shutdown.
			r.lingerUntil[key] = r.deletedAt[key].Add(r.Linger)
			klog.InfoS("Upstream record expired around a store outage", "upstream", f.ID,
				"keptFor", r.lingerUntil[key].Sub(r.Clock.Now()))
			return
		}
		klog.InfoS("Upstream gone", "upstream", f.ID, "service", f.Service)
	case Member:
		klog.InfoS("Entry gone", "entry", f.ID)
	case Drained:
		klog.InfoS("Failure domain restored", "failureDomain", f.FailureDomain)
	}
	delete(r.facts, key)
}

func (r *Registrar) logFact(f Fact, rec Record, from Source) {
	switch f := f.(type) {
	case Table:
		fields := []any{"version", f.Version, "revision", rec.Revision, "routes", len(f.Routes)}
		if rec.Age != UnknownAge {
			fields = append(fields, "age", rec.Age)
		}
		klog.InfoS("Route table applied", append(fields, from.logFields()...)...)
	case Weights:
		r.logAnnouncement(f, rec, from)
	case Drained:
		klog.InfoS("Failure domain drained", "failureDomain", f.FailureDomain, "revision", rec.Revision)
	case Upstream:
		klog.InfoS("Upstream updated", "upstream", f.ID, "service", f.Service, "address", f.Address,
			"failureDomain", f.FailureDomain, "leaving", f.Leaving, "models", f.Models, "cold", f.Cold, "startedAt", f.StartedAt, "revision", rec.Revision)
	case Member:
		klog.InfoS("Entry updated", "entry", f.ID, "callers", f.Callers, "revision", rec.Revision)
	}
}

// SupersededSince returns the earliest time at which a newer version of a model than the given one can have been
// announced; zero if that may be any time ago. An announcement may not have reached this process, so a version counts
// as superseded since the store's last confirmation that it was the newest. known reports whether a newer one is known.
func (r *Registrar) SupersededSince(model string, version uint64) (at time.Time, known bool) {
	c := r.confirmation.Load()
	if c == nil || c.view == nil {
		return time.Time{}, false
	}
	w, _ := c.view.Weights(model)
	if at, known = w.SupersededAt(version); known {
		return at, true
	}
	if since, ok := c.view.unreadableSince[model]; ok {
		return earlier(since, c.until), false
	}
	return c.until, false
}

// CertainlyCurrentUntil is SupersededSince, less what a date that relies on an inferred outage may be late by: others' calls
// may fail for up to maxLateFailure after the store has answered one process.
func (r *Registrar) CertainlyCurrentUntil(model string, version uint64) time.Time {
	at, _ := r.SupersededSince(model, version)
	newer := r.weights(model).NewerThan(version)
	if len(newer) == 0 || newer[0].Confirmed.IsZero() {
		return at
	}
	return later(earlier(at, newer[0].Confirmed), at.Add(-maxLateFailure))
}

// Outdated reports whether a version of a model's weights may have been superseded longer ago than a bound,
// by the clock that dated the announcements, whatever clock the caller has.
func (r *Registrar) Outdated(model string, version uint64, bound time.Duration) bool {
	at, _ := r.SupersededSince(model, version)
	return r.Clock.Since(at) > bound
}

// KnownOutdated is Outdated by the first known time of an announcement, and false if there is none.
func (r *Registrar) KnownOutdated(model string, version uint64, bound time.Duration) bool {
	left, known := r.TimeLeft(model, version, bound)
	return known && left < 0
}

// TimeLeft returns for how much longer replies may start on a version of a model, under a bound
// counted from the announcement of a newer one, or from the next one whose time is known. It is
// false while there is none.
func (r *Registrar) TimeLeft(model string, version uint64, bound time.Duration) (time.Duration, bool) {
	w := r.weights(model)
	supersededAt, superseded := w.SupersededAt(version)
	if superseded && supersededAt.IsZero() {
		supersededAt = w.firstDatedAfter(version)
	}
	if supersededAt.IsZero() {
		return 0, false
	}
	return bound - r.Clock.Since(supersededAt), true
}

// weights returns the current view of a model; empty while nothing is known.
func (r *Registrar) weights(model string) WeightsView {
	v := r.View()
	if v == nil {
		return WeightsView{}
	}
	w, _ := v.Weights(model)
	return w
}

// Revision returns the revision up to which all changes are known, and the least time since the
// store answered that it is the newest. known is false before the first batch.
func (r *Registrar) Revision() (revision uint64, age time.Duration, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision, r.Clock.Since(r.answeredAt), r.view.Load() != nil
}

// AwaitsRest reports whether the store's last answer may lack some of its changes, so that it confirmed nothing.
func (r *Registrar) AwaitsRest() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.partialAnswerAt.After(r.confirmedAt)
}

// Changed returns a channel that is closed at the next change.
func (r *Registrar) Changed() <-chan struct{} { return r.change.Wait() }

// Tick ends the use of upstreams whose records were not restored. As it is called several times a
// second, gaps between calls show that the process was suspended.
func (r *Registrar) Tick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.recordActivity()
	r.lastTick = now
	ended := false
	for key, until := range r.lingerUntil {
		if now.Before(until) {
			continue
		}
		delete(r.lingerUntil, key)
		delete(r.facts, key)
		klog.InfoS("Upstream gone: its record was not restored", "key", key)
		ended = true
	}
	if ended {
		r.publish()
	}
	r.confirm()
}

func (r *Registrar) publish() {
	r.pruneTombstones()
	r.view.Store(newView(r))
	r.confirm()
	r.change.NotifyAll()
}

// View returns the current facts; nil before the first batch.
func (r *Registrar) View() *View { return r.view.Load() }

// Fresh reports whether all changes that have to be in force are known.
func (r *Registrar) Fresh() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view.Load() != nil && r.Clock.Since(r.confirmedAt) < changeTime
}
