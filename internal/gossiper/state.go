// Package gossiper tracks which bundle revision a process holds, when the store
// last confirmed it as the newest, and whether that is recent enough to accept
// new work. It opens no connections; entries and agents pass in the messages
// they receive.
package gossiper

import (
	"math"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

// DefaultFreshFor is the lifetime of a confirmation if State.FreshFor is zero.
const DefaultFreshFor = 2500 * time.Millisecond

// State is the bundle state of one process. Set the exported fields before first
// use; all methods are safe for concurrent use.
type State struct {
	Keyring bundler.Keyring
	Clock   clock.PassiveClock
	// FreshFor is how long new work is accepted after the store confirmed the
	// revision. It bounds how long a partitioned process serves by an old bundle.
	FreshFor time.Duration
	// Entries is the number of entries in the deployment. It is 0 in agents, which
	// rely on their entries to detect an outage of the store.
	Entries int
	// ID and Region are those of this entry.
	ID, Region string
	// StoreRegion is the region of the store. If set, an outage requires the report
	// of an entry in that region: a majority that is partitioned from it as a whole
	// cannot mistake the partition for an outage.
	StoreRegion string

	mu        sync.Mutex
	bundle    *bundler.Bundle
	record    *bundler.Record
	digest    string
	heldSince time.Time
	// firstHeld is when this process received its first bundle.
	firstHeld time.Time
	// confirmed is when the call was sent that last confirmed the held revision.
	confirmed time.Time
	// knownRevision is the highest known revision, held or not; behindSince is when
	// it exceeded the held one.
	knownRevision uint64
	behindSince   time.Time
	// pending is the confirmation of a revision whose record has not arrived.
	pending pendingConfirmation
	// lastReached is when this process last sent a successful call to the store.
	lastReached time.Time
	// lastFailed is when a call of this process to the store last failed.
	lastFailed time.Time
	// outageConfirmed is when entries saw an outage with the held revision highest.
	outageConfirmed time.Time
	reports         map[uint32]storeReport
	alarms          map[AlarmKind]*Alarm
	changed         chan struct{}
}

type pendingConfirmation struct {
	revision  uint64
	digest    string
	confirmed time.Time
}

// storeReport is the latest outcome of another entry's calls to the store.
type storeReport struct {
	asOf   time.Time
	result storeResult
	// revision is the one the entry held, if it reached the store.
	revision uint64
	region   string
}

// storeResult is the outcome of an entry's calls to the store. Entries without a
// recent call have none.
type storeResult int

const (
	storeFailed storeResult = iota
	storeReached
)

// Offer passes in a record from any source. The sign-offs are verified here, so
// the sender does not matter. A higher revision replaces the held one at once;
// an equal or lower one changes nothing.
func (s *State) Offer(r *bundler.Record) (changed bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.record != nil && r.Digest() == s.digest {
		return false, nil
	}
	b, err := r.Open(s.Keyring)
	if err != nil {
		return false, s.raiseAlarm(&BadRecordError{Digest: r.Digest(), Err: err})
	}
	if b.Revision < s.revision() {
		return false, nil
	}
	if b.Revision == s.revision() {
		return false, s.raiseAlarm(&ForkError{Revision: b.Revision, Held: s.digest, Found: r.Digest()})
	}
	s.install(b, r)
	return true, nil
}

// install switches to a higher revision. The old revision's confirmation remains
// valid: at that time nothing newer than the old revision existed, hence nothing
// newer than this one either.
func (s *State) install(b *bundler.Bundle, r *bundler.Record) {
	s.bundle, s.record, s.digest = b, r, r.Digest()
	s.heldSince = s.Clock.Now()
	if s.firstHeld.IsZero() {
		s.firstHeld = s.heldSince
	}
	s.learnRevision(b.Revision)
	if s.knownRevision == b.Revision {
		s.behindSince = time.Time{}
	}
	s.outageConfirmed = time.Time{}
	if s.pending.revision == b.Revision && s.pending.digest == s.digest {
		s.renewConfirmation(s.pending.confirmed)
	}
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// Confirm records that the store returned this revision as the newest for a call
// sent at askedAt. The answer is only as fresh as the call: on a slow path it
// may have been outdated long before it arrived. Revision 0 means that the store
// holds no bundle.
func (s *State) Confirm(revision uint64, digest string, askedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch held := s.revision(); {
	case revision < held:
		s.handleLowerRevision(revision, askedAt)
	case revision == 0:
		return
	case revision > held:
		s.lastReached = later(s.lastReached, askedAt)
		s.learnConfirmation(revision, digest, askedAt)
	case digest != s.digest:
		_ = s.raiseAlarm(&ForkError{Revision: revision, Held: s.digest, Found: digest})
	default:
		s.lastReached = later(s.lastReached, askedAt)
		s.renewConfirmation(askedAt)
	}
}

// MarkStoreFailed records that a call of this process to the store failed or has
// been unanswered for ReachableFor/4.
func (s *State) MarkStoreFailed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastFailed = s.Clock.Now()
}

// handleLowerRevision handles a store that returns a lower revision than the
// held one. If the call was sent before the held one arrived, the answer is
// merely old. Otherwise the store was restored from an old copy or wiped. That
// must not reinstate an old bundle, so it raises an alarm and otherwise counts
// as a failure of the store.
func (s *State) handleLowerRevision(revision uint64, askedAt time.Time) {
	if askedAt.Before(s.heldSince) {
		return
	}
	s.lastFailed = s.Clock.Now()
	if revision == 0 {
		_ = s.raiseAlarm(&EmptyStoreError{Held: s.revision()})
		return
	}
	_ = s.raiseAlarm(&RolledBackError{Held: s.revision(), Found: revision})
}

// Observe passes in the record that the store returned as the newest for a call
// sent at askedAt. It combines Offer and Confirm.
func (s *State) Observe(r *bundler.Record, askedAt time.Time) (changed bool, err error) {
	if held, ok := s.holdsDigest(r.Digest()); ok {
		s.Confirm(held, r.Digest(), askedAt)
		return false, nil
	}
	b, err := r.Open(s.Keyring)
	if err != nil {
		return false, s.Reject(err)
	}
	changed, err = s.Offer(r)
	if err != nil {
		return changed, err
	}
	s.Confirm(b.Revision, r.Digest(), askedAt)
	return changed, nil
}

// holdsDigest reports whether the payload is the current one, whose sign-offs
// need no second check.
func (s *State) holdsDigest(digest string) (revision uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision(), s.bundle != nil && digest == s.digest
}

// Reject raises an alarm for a record that could not be decoded.
func (s *State) Reject(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.raiseAlarm(&BadRecordError{Err: err})
}

// ReceiveUnsolicited processes another entry's state that was not requested. Its
// time in transit is unknown: a stalled connection or a suspended process
// delivers it as if it were new. So it can reveal a higher revision but renews
// no confirmation.
func (s *State) ReceiveUnsolicited(e messenger.EntryState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learnRevision(e.Freshness.Revision)
}

// ReceiveAnswer processes another entry's answer to a call sent at askedAt. All
// ages in it count from askedAt, which includes the time in transit.
func (s *State) ReceiveAnswer(e messenger.EntryState, askedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyUpdate(e.Freshness, askedAt)
	if e.StoreReachable {
		s.addReport(entryHash(e.ID), storeReport{asOf: askedAt, result: storeReached, revision: e.Freshness.Revision, region: e.Region})
	}
}

// ReceiveUpdate is like ReceiveAnswer for a message that carries only a bundle
// update, such as an entry's message to an agent.
func (s *State) ReceiveUpdate(w messenger.Freshness, askedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyUpdate(w, askedAt)
}

func (s *State) applyUpdate(w messenger.Freshness, askedAt time.Time) {
	s.learnRevision(w.Revision)
	if w.Revision > 0 && w.Revision == s.revision() && w.Digest != s.digest {
		_ = s.raiseAlarm(&ForkError{Revision: w.Revision, Held: s.digest, Found: w.Digest})
	}
	if w.AgeMS >= 0 {
		s.learnConfirmation(w.Revision, w.Digest, askedAt.Add(-w.Age()))
	}
	if w.Outage && w.Revision == s.revision() && w.Digest == s.digest {
		s.outageConfirmed = later(s.outageConfirmed, askedAt.Add(-w.OutageAge()))
	}
	for _, v := range w.Disconnected {
		s.addFailures(v, askedAt)
	}
}

// learnConfirmation keeps a confirmation of the held revision, or of a higher
// one whose record has not arrived.
func (s *State) learnConfirmation(revision uint64, digest string, confirmed time.Time) {
	s.learnRevision(revision)
	switch held := s.revision(); {
	case revision == held && digest == s.digest:
		s.renewConfirmation(confirmed)
	case revision > held && revision >= s.pending.revision:
		if revision == s.pending.revision && digest == s.pending.digest {
			confirmed = later(confirmed, s.pending.confirmed)
		}
		s.pending = pendingConfirmation{revision: revision, digest: digest, confirmed: confirmed}
	}
}

// learnRevision records that a revision exists.
func (s *State) learnRevision(revision uint64) {
	s.knownRevision = max(s.knownRevision, revision)
	if s.knownRevision > s.revision() && s.behindSince.IsZero() {
		s.behindSince = s.Clock.Now()
	}
}

// renewConfirmation records a confirmation of the held revision unless a higher
// one was known before: then the store was rolled back, and relying on it would
// mean serving by an old bundle until it is repaired.
func (s *State) renewConfirmation(confirmed time.Time) {
	if !s.behindSince.IsZero() && confirmed.After(s.behindSince) {
		return
	}
	s.confirmed = later(s.confirmed, confirmed)
}

// StatusUpdate returns the bundle state that is sent to other processes.
func (s *State) StatusUpdate() messenger.Freshness {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	w := s.update(now)
	w.Disconnected = s.failedEntries(now)
	return w
}

// AgentUpdate returns StatusUpdate without the store reports, which agents do
// not count.
func (s *State) AgentUpdate() messenger.Freshness {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.update(s.Clock.Now())
}

func (s *State) update(now time.Time) messenger.Freshness {
	w := messenger.Freshness{Revision: s.revision(), Digest: s.digest, AgeMS: -1}
	if s.bundle == nil {
		return w
	}
	if !s.confirmed.IsZero() {
		w.AgeMS = milliseconds(elapsed(now, s.confirmed))
	}
	if since, ok := s.outageSince(now); ok {
		w.Outage, w.OutageAgeMS = true, milliseconds(elapsed(now, since))
	}
	return w
}

// Current returns the current bundle and its record, nil before the first one.
// Neither may be modified.
func (s *State) Current() (*bundler.Bundle, *bundler.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bundle, s.record
}

// RecordFor returns the record that a process with the given update lacks; nil
// if it is up to date.
func (s *State) RecordFor(w messenger.Freshness) *bundler.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.Revision >= s.revision() {
		return nil
	}
	return s.record
}

// Changed returns a channel that is closed when the next bundle is installed.
func (s *State) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// MayServe reports whether new work is allowed by the current bundle: nil,
// *NoBundleError or *StaleError. Without this limit an entry or agent that is
// partitioned, suspended or reliant on a dead watch would continue to send work
// into a failure domain drained in the meantime.
func (s *State) MayServe() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bundle == nil {
		return &NoBundleError{}
	}
	now := s.Clock.Now()
	if s.fresh(now, s.confirmed) {
		return nil
	}
	if since, ok := s.outageSince(now); ok && s.fresh(now, since) {
		return nil
	}
	e := &StaleError{Revision: s.revision(), Age: -1, Limit: s.freshFor(), Known: s.knownRevision}
	if !s.confirmed.IsZero() {
		e.Age = elapsed(now, s.confirmed)
	}
	return e
}

// ConfirmationAge is the time since the store confirmed the held revision as the
// newest; negative if it never did.
func (s *State) ConfirmationAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bundle == nil || s.confirmed.IsZero() {
		return -1
	}
	return elapsed(s.Clock.Now(), s.confirmed)
}

// KnownRevision is the highest known revision. It exceeds the held one while its
// record has not arrived.
func (s *State) KnownRevision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.knownRevision
}

func (s *State) revision() uint64 {
	if s.bundle == nil {
		return 0
	}
	return s.bundle.Revision
}

func (s *State) freshFor() time.Duration {
	if s.FreshFor > 0 {
		return s.FreshFor
	}
	return DefaultFreshFor
}

func (s *State) fresh(now, at time.Time) bool {
	return !at.IsZero() && elapsed(now, at) <= s.freshFor()
}

// elapsed is the time since a moment by whichever clock advanced further. The
// monotonic clock stops while a VM is suspended, and the wall clock can be set
// back; either alone would make old confirmations look fresh.
func elapsed(now, since time.Time) time.Duration {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)), 0)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// milliseconds rounds up, so that an age is never understated.
func milliseconds(d time.Duration) int64 {
	return int64(math.Ceil(float64(d) / float64(time.Millisecond)))
}
