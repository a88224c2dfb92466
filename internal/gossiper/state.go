// Package gossiper is what a process knows of the bundle: which revision it
// holds, when the store last confirmed that one as the newest, and whether that
// is fresh enough to take new work. It opens no connection; entries and agents
// feed it what they hear.
package gossiper

import (
	"math"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

// DefaultFreshFor is how long a confirmation lasts when State.FreshFor is zero.
const DefaultFreshFor = 2500 * time.Millisecond

// State is one process's knowledge of the bundle. Set the exported fields before
// first use; all methods are safe for concurrent use.
type State struct {
	Keyring bundler.Keyring
	Clock   clock.PassiveClock
	// FreshFor is for how long after the store confirmed a revision new work may
	// be done by it. It bounds how long a cut-off process serves by an old bundle.
	FreshFor time.Duration
	// Entries is how many entries the deployment has; 0 in agents, which do not
	// judge an outage of the store themselves but rely on their entries' word.
	Entries int
	// ID and Region are this entry's own.
	ID, Region string
	// StoreRegion is where the store runs. If set, an outage of the store needs
	// the word of an entry in that region: a majority that is cut off from the
	// store's region together cannot mistake the cut for an outage.
	StoreRegion string

	mu        sync.Mutex
	bundle    *bundler.Bundle
	record    *bundler.Record
	digest    string
	heldSince time.Time
	// firstHeld is when the first bundle of this process's life arrived.
	firstHeld time.Time
	// confirmed is when the store was asked that last confirmed the held revision.
	confirmed time.Time
	// known is the highest revision heard of, held or not; knownSince is when it
	// went above the held one.
	known      uint64
	knownSince time.Time
	// ahead is the confirmation of a revision whose record is yet to come.
	ahead ahead
	// reached is when this process itself last asked the store with success.
	reached time.Time
	// failed is when the store last left a question of this process unanswered.
	failed time.Time
	// outage is when entries saw the store out with the held revision highest.
	outage  time.Time
	peers   map[uint32]peer
	alarms  map[AlarmKind]*Alarm
	changed chan struct{}
}

type ahead struct {
	revision  uint64
	digest    string
	confirmed time.Time
}

// peer is the last word of another entry about its reach of the store.
type peer struct {
	at    time.Time
	reach reach
	// revision is the one that the entry held, if it reached the store.
	revision uint64
	region   string
}

// reach is how an entry fared with the store. One that has not asked lately, as
// it heard from others, has none.
type reach int

const (
	reachFailed reach = iota
	reachSucceeded
)

// Offer hands the state a record from anywhere. The sign-offs are checked here,
// so it does not matter who sent it. A higher revision takes the held one's
// place at once; an equal or lower one changes nothing.
func (s *State) Offer(r *bundler.Record) (changed bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.record != nil && r.Digest() == s.digest {
		return false, nil
	}
	b, err := r.Open(s.Keyring)
	if err != nil {
		return false, s.alarm(&BadRecordError{Digest: r.Digest(), Err: err})
	}
	if b.Revision < s.revision() {
		return false, nil
	}
	if b.Revision == s.revision() {
		return false, s.alarm(&ForkError{Revision: b.Revision, Held: s.digest, Found: r.Digest()})
	}
	s.hold(b, r)
	return true, nil
}

// hold moves up to a new revision. The old revision's confirmation stays good:
// at that time nothing newer than the old one existed, hence nothing newer than
// the new one either.
func (s *State) hold(b *bundler.Bundle, r *bundler.Record) {
	s.bundle, s.record, s.digest = b, r, r.Digest()
	s.heldSince = s.Clock.Now()
	if s.firstHeld.IsZero() {
		s.firstHeld = s.heldSince
	}
	s.know(b.Revision)
	if s.known == b.Revision {
		s.knownSince = time.Time{}
	}
	s.outage = time.Time{}
	if s.ahead.revision == b.Revision && s.ahead.digest == s.digest {
		s.refresh(s.ahead.confirmed)
	}
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// Confirm says that the store itself named this revision as the newest, in
// answer to a question sent at askedAt. An answer is only as fresh as its
// question: on a slow path it may have been true long before it arrived.
// Revision 0 means that the store holds no bundle.
func (s *State) Confirm(revision uint64, digest string, askedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch held := s.revision(); {
	case revision < held:
		s.lower(revision, askedAt)
	case revision == 0:
		return
	case revision > held:
		s.reached = later(s.reached, askedAt)
		s.learn(revision, digest, askedAt)
	case digest != s.digest:
		_ = s.alarm(&ForkError{Revision: revision, Held: s.digest, Found: digest})
	default:
		s.reached = later(s.reached, askedAt)
		s.refresh(askedAt)
	}
}

// Fail says that the store has left a question of this process unanswered, or
// has not answered it in ReachFor/4 so far.
func (s *State) Fail() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed = s.Clock.Now()
}

// lower handles a store that names a lower revision than the held one. If the
// question was sent before the held one arrived, the answer is merely old.
// Otherwise the store was restored from an old copy or wiped. That must not
// bring an old bundle back into force, so it is counted for the operators and
// otherwise taken as a failure of the store.
func (s *State) lower(revision uint64, askedAt time.Time) {
	if askedAt.Before(s.heldSince) {
		return
	}
	s.failed = s.Clock.Now()
	if revision == 0 {
		_ = s.alarm(&EmptyStoreError{Held: s.revision()})
		return
	}
	_ = s.alarm(&RolledBackError{Held: s.revision(), Found: revision})
}

// Observe takes a record that the store itself gave as the newest, in answer to
// a question sent at askedAt: it is Offer and Confirm in one.
func (s *State) Observe(r *bundler.Record, askedAt time.Time) (changed bool, err error) {
	if held, ok := s.holds(r.Digest()); ok {
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

// holds tells whether a payload is the one in force, which needs no second check
// of its sign-offs.
func (s *State) holds(digest string) (revision uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision(), s.bundle != nil && digest == s.digest
}

// Reject counts a record that could not even be decoded.
func (s *State) Reject(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.alarm(&BadRecordError{Err: err})
}

// Hear takes another entry's word that came unasked. How long it was under way
// is unknown: a connection that stalled, or a process that was paused, delivers
// it as if it were new. So it can tell of a higher revision but refreshes
// nothing.
func (s *State) Hear(e messenger.EntryState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.know(e.Freshness.Revision)
}

// HearAnswer takes another entry's word given in answer to a question sent at
// askedAt. All ages in it count from then, so the time under way is included.
func (s *State) HearAnswer(e messenger.EntryState, askedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hearWord(e.Freshness, askedAt)
	if e.StoreReachable {
		s.vote(voter(e.ID), peer{at: askedAt, reach: reachSucceeded, revision: e.Freshness.Revision, region: e.Region})
	}
}

// HearWord is HearAnswer for what carries only a word, such as an entry's news
// to an agent.
func (s *State) HearWord(w messenger.Freshness, askedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hearWord(w, askedAt)
}

func (s *State) hearWord(w messenger.Freshness, askedAt time.Time) {
	s.know(w.Revision)
	if w.Revision > 0 && w.Revision == s.revision() && w.Digest != s.digest {
		_ = s.alarm(&ForkError{Revision: w.Revision, Held: s.digest, Found: w.Digest})
	}
	if w.AgeMS >= 0 {
		s.learn(w.Revision, w.Digest, askedAt.Add(-w.Age()))
	}
	if w.Outage && w.Revision == s.revision() && w.Digest == s.digest {
		s.outage = later(s.outage, askedAt.Add(-w.OutageAge()))
	}
	for _, v := range w.Disconnected {
		s.hearSilence(v, askedAt)
	}
}

// learn keeps a confirmation if it is of the held revision, or if it is of a
// higher one whose record has yet to come.
func (s *State) learn(revision uint64, digest string, confirmed time.Time) {
	s.know(revision)
	switch held := s.revision(); {
	case revision == held && digest == s.digest:
		s.refresh(confirmed)
	case revision > held && revision >= s.ahead.revision:
		if revision == s.ahead.revision && digest == s.ahead.digest {
			confirmed = later(confirmed, s.ahead.confirmed)
		}
		s.ahead = ahead{revision: revision, digest: digest, confirmed: confirmed}
	}
}

// know notes that a revision exists.
func (s *State) know(revision uint64) {
	s.known = max(s.known, revision)
	if s.known > s.revision() && s.knownSince.IsZero() {
		s.knownSince = s.Clock.Now()
	}
}

// refresh notes a confirmation of the held revision, unless a higher one was
// heard of before: then the store that confirms was rolled back, and a process
// that believed it would serve by an old bundle for as long as that lasts.
func (s *State) refresh(at time.Time) {
	if !s.knownSince.IsZero() && at.After(s.knownSince) {
		return
	}
	s.confirmed = later(s.confirmed, at)
}

// Word is what an entry tells another about its bundle.
func (s *State) Word() messenger.Freshness {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	w := s.word(now)
	w.Disconnected = s.silent(now)
	return w
}

// AgentWord is what an entry tells an agent: the same without the votes, which
// agents do not count.
func (s *State) AgentWord() messenger.Freshness {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.word(s.Clock.Now())
}

func (s *State) word(now time.Time) messenger.Freshness {
	w := messenger.Freshness{Revision: s.revision(), Digest: s.digest, AgeMS: -1}
	if s.bundle == nil {
		return w
	}
	if !s.confirmed.IsZero() {
		w.AgeMS = milliseconds(age(now, s.confirmed))
	}
	if at, ok := s.outageSeen(now); ok {
		w.Outage, w.OutageAgeMS = true, milliseconds(age(now, at))
	}
	return w
}

// Current gives the bundle in force and its record; nil before there is any.
// Neither may be changed.
func (s *State) Current() (*bundler.Bundle, *bundler.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bundle, s.record
}

// RecordFor gives the record that a process with the given word lacks; nil when
// it has as much as this one.
func (s *State) RecordFor(w messenger.Freshness) *bundler.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.Revision >= s.revision() {
		return nil
	}
	return s.record
}

// Changed gives a channel that is closed when the next bundle takes force.
func (s *State) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// MayServe tells whether new work may be done by the bundle in force: nil,
// *NoBundleError or *StaleError. Without this bound an entry or agent that is cut
// off, paused or fed by a dead watch would go on sending work into a failure
// domain that was drained meanwhile.
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
	if at, ok := s.outageSeen(now); ok && s.fresh(now, at) {
		return nil
	}
	e := &StaleError{Revision: s.revision(), Age: -1, Limit: s.freshFor(), Known: s.known}
	if !s.confirmed.IsZero() {
		e.Age = age(now, s.confirmed)
	}
	return e
}

// Age is how long ago the store confirmed the held revision as the newest;
// negative when that was never heard.
func (s *State) Age() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bundle == nil || s.confirmed.IsZero() {
		return -1
	}
	return age(s.Clock.Now(), s.confirmed)
}

// Known is the highest revision heard of; above the held one while its record
// has yet to come.
func (s *State) Known() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known
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
	return !at.IsZero() && age(now, at) <= s.freshFor()
}

// age is the time passed since at by whichever clock went further. The monotonic
// clock stands still while a VM is suspended, and the wall clock can be set back
// while the process runs; either alone would make old news look fresh.
func age(now, at time.Time) time.Duration {
	return max(now.Sub(at), now.Round(0).Sub(at.Round(0)), 0)
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

// milliseconds rounds up, so that a word never seems fresher than it is.
func milliseconds(d time.Duration) int64 {
	return int64(math.Ceil(float64(d) / float64(time.Millisecond)))
}
