// Package publisher gets an operator's bundle accepted: one compare-and-swap in
// the platform's store, with lost answers, repeated commands and lost races told
// apart.
package publisher

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/gossiper"
	"github.com/oriolecroft/oriolecroft/internal/storer"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

const (
	// RevisionPrefix is where the history lies, one key for each revision.
	RevisionPrefix = "bundle/revisions/"
	// HistoryKept is how many old revisions stay in the store.
	HistoryKept = 200
)

// attempts bounds how often a call to the store is repeated, pause is the wait
// in between.
const (
	attempts = 5
	pause    = 300 * time.Millisecond
)

// Publisher writes bundles to the store on behalf of an operator.
type Publisher struct {
	Store   storer.Store
	Keyring bundler.Keyring
	// Key is the bundle's key; empty means gossiper.BundleKey.
	Key string
	// Clock paces the repeats; nil means the real one.
	Clock clock.Clock
}

// Result is a bundle that was accepted.
type Result struct {
	Bundle *bundler.Bundle
	// AlreadyAccepted says that this very change stood in the store before the
	// command did anything: an earlier run of it took effect.
	AlreadyAccepted bool
	// AnswerLost says that a write took effect without an answer.
	AnswerLost bool
	// Superseded says that a later revision is in force by now.
	Superseded bool
}

// RaceError reports that another change was accepted at the revision wanted.
type RaceError struct {
	// Accepted is the bundle in force.
	Accepted *bundler.Bundle
	// Ours is the one that was refused.
	Ours *bundler.Bundle
	// Undecided says that ours may have been in force for a while before
	// Accepted took its place: its write got no answer and no history tells.
	Undecided bool
}

func (e *RaceError) Error() string {
	return fmt.Sprintf("revision %d (change %s) is in force; ours was made as revision %d",
		e.Accepted.Revision, e.Accepted.ChangeID, e.Ours.Revision)
}

// GapError reports a bundle that does not follow on the one in the store.
type GapError struct {
	// Present is the store's revision, 0 when it holds none.
	Present, Ours uint64
}

func (e *GapError) Error() string {
	return fmt.Sprintf("the store holds revision %d, so %d cannot be next; was the store rolled back?", e.Present, e.Ours)
}

// CorruptError reports a store whose present bundle cannot be read or lacks
// sign-offs. It is not overwritten.
type CorruptError struct {
	Err error
}

func (e *CorruptError) Error() string { return fmt.Sprintf("bundle in the store: %v", e.Err) }

func (e *CorruptError) Unwrap() error { return e.Err }

// UndecidedError reports that the store stopped answering after a write was
// sent: the change may be in force. Repeating the command will tell.
type UndecidedError struct {
	Err error
}

func (e *UndecidedError) Error() string {
	return fmt.Sprintf("the change may have been accepted, repeat the command to find out: %v", e.Err)
}

func (e *UndecidedError) Unwrap() error { return e.Err }

// present is what the store holds.
type present struct {
	bundle  *bundler.Bundle
	record  *bundler.Record
	version uint64
}

func (p present) revision() uint64 {
	if p.bundle == nil {
		return 0
	}
	return p.bundle.Revision
}

// Current reads the bundle in force; *storer.NotFoundError when there is none.
func (p *Publisher) Current(ctx context.Context) (*bundler.Bundle, *bundler.Record, error) {
	now, err := p.read(ctx)
	if err != nil {
		return nil, nil, err
	}
	if now.bundle == nil {
		return nil, nil, &storer.NotFoundError{Key: p.key()}
	}
	return now.bundle, now.record, nil
}

// Publish gets the record accepted if the store's present revision is the one
// before. It may be repeated after any error: a change that took effect is
// recognised by its ChangeID and digest.
func (p *Publisher) Publish(ctx context.Context, r *bundler.Record) (*Result, error) {
	b, err := r.Open(p.Keyring)
	if err != nil {
		return nil, err
	}
	value, err := r.Encode()
	if err != nil {
		return nil, err
	}
	t := &attempt{p: p, bundle: b, record: r, value: value}
	for n := range attempts {
		if n > 0 {
			p.sleep(ctx)
		}
		res, err := t.once(ctx)
		if res != nil {
			return res, nil
		}
		if !retriable(err) || ctx.Err() != nil {
			return nil, t.failure(err)
		}
		t.last = err
	}
	return nil, t.failure(t.last)
}

// Restore puts a record that is in force in the entries back into a store that
// was wiped or rolled back to a lower revision. Entries never do so by
// themselves: a store that differs is for an operator to look into.
func (p *Publisher) Restore(ctx context.Context, r *bundler.Record) error {
	b, err := r.Open(p.Keyring)
	if err != nil {
		return err
	}
	value, err := r.Encode()
	if err != nil {
		return err
	}
	now, err := p.read(ctx)
	if err != nil {
		return err
	}
	if now.revision() >= b.Revision {
		return &RaceError{Accepted: now.bundle, Ours: b}
	}
	if err := p.announce(ctx, b, r); err != nil {
		return err
	}
	_, err = p.Store.Put(ctx, p.key(), value, now.version, "")
	return err
}

// attempt is one run of Publish.
type attempt struct {
	p      *Publisher
	bundle *bundler.Bundle
	record *bundler.Record
	value  []byte
	// wrote is set once a write was sent whose outcome is unknown.
	wrote bool
	last  error
}

// once looks what the store holds and writes if our turn has come. It looks
// first each time: after a lost answer the change may be there already, and
// writing again would be taken for a lost race.
func (t *attempt) once(ctx context.Context) (*Result, error) {
	now, err := t.p.read(ctx)
	if err != nil {
		return nil, err
	}
	switch {
	case now.bundle != nil && t.ours(now.bundle, now.record):
		t.p.keep(ctx, now)
		return &Result{Bundle: t.bundle, AlreadyAccepted: !t.wrote, AnswerLost: t.wrote}, nil
	case now.revision() >= t.bundle.Revision:
		return t.superseded(ctx, now)
	case now.revision() != t.bundle.Revision-1:
		return nil, &GapError{Present: now.revision(), Ours: t.bundle.Revision}
	}
	return t.write(ctx, now)
}

func (t *attempt) write(ctx context.Context, now present) (*Result, error) {
	// The history of the present revision is made sure of before it is
	// overwritten, so that its own operator, should the answer have been lost,
	// can still find that it was accepted.
	t.p.keep(ctx, now)
	if err := t.p.announce(ctx, t.bundle, t.record); err != nil {
		return nil, err
	}
	version, err := t.p.Store.Put(ctx, t.p.key(), t.value, now.version, "")
	var unknown *storer.UnknownError
	if errors.As(err, &unknown) {
		t.wrote = true
	}
	if err != nil {
		return nil, err
	}
	t.p.keep(ctx, present{bundle: t.bundle, record: t.record, version: version})
	return &Result{Bundle: t.bundle}, nil
}

// announce writes the head, which must not lag behind the bundle (gossiper.Head).
// Nothing is accepted by it.
func (p *Publisher) announce(ctx context.Context, b *bundler.Bundle, r *bundler.Record) error {
	value, err := json.Marshal(gossiper.Head{Revision: b.Revision, Digest: r.Digest()})
	if err != nil {
		return err
	}
	i, err := p.Store.Get(ctx, gossiper.HeadKey)
	var missing *storer.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return err
	}
	if err == nil && bytes.Equal(i.Value, value) {
		return nil
	}
	_, err = p.Store.Put(ctx, gossiper.HeadKey, value, i.Version, "")
	var unknown *storer.UnknownError
	if errors.As(err, &unknown) {
		return &storer.UnavailableError{Op: "put", Key: gossiper.HeadKey, Err: err}
	}
	return err
}

// superseded tells whether our change was accepted before the one in force.
func (t *attempt) superseded(ctx context.Context, now present) (*Result, error) {
	race := &RaceError{Accepted: now.bundle, Ours: t.bundle}
	if now.revision() == t.bundle.Revision {
		return nil, race
	}
	i, err := t.p.Store.Get(ctx, historyKey(t.bundle.Revision))
	if err != nil {
		race.Undecided = true
		return nil, race
	}
	old, err := t.p.open(i)
	if err != nil || !t.ours(old.bundle, old.record) {
		return nil, race
	}
	return &Result{Bundle: t.bundle, AlreadyAccepted: !t.wrote, AnswerLost: t.wrote, Superseded: true}, nil
}

func (t *attempt) ours(b *bundler.Bundle, r *bundler.Record) bool {
	return b.ChangeID == t.bundle.ChangeID && r.Digest() == t.record.Digest()
}

// failure is the error to report at the end: honest about a write under way.
func (t *attempt) failure(err error) error {
	if t.wrote && (retriable(err) || err == nil) {
		return &UndecidedError{Err: err}
	}
	return err
}

func retriable(err error) bool {
	var (
		conflict    *storer.ConflictError
		unknown     *storer.UnknownError
		unavailable *storer.UnavailableError
	)
	return errors.As(err, &conflict) || errors.As(err, &unknown) || errors.As(err, &unavailable)
}

// read gives what the store holds, an empty present when that is nothing.
func (p *Publisher) read(ctx context.Context) (present, error) {
	i, err := p.Store.Get(ctx, p.key())
	var missing *storer.NotFoundError
	if errors.As(err, &missing) {
		return present{}, nil
	}
	if err != nil {
		return present{}, err
	}
	return p.open(i)
}

func (p *Publisher) open(i storer.Item) (present, error) {
	r, err := bundler.DecodeRecord(i.Value)
	if err != nil {
		return present{}, &CorruptError{Err: err}
	}
	b, err := r.Open(p.Keyring)
	if err != nil {
		return present{}, &CorruptError{Err: err}
	}
	return present{bundle: b, record: r, version: i.Version}, nil
}

// keep writes a revision into the history unless it is there, and drops the one
// that has grown too old. The history is for readers; failures are only logged.
func (p *Publisher) keep(ctx context.Context, now present) {
	if now.bundle == nil {
		return
	}
	value, err := now.record.Encode()
	if err != nil {
		return
	}
	_, err = p.Store.Put(ctx, historyKey(now.revision()), value, 0, "")
	var exists *storer.ConflictError
	if err != nil && !errors.As(err, &exists) {
		klog.V(1).InfoS("History not kept", "revision", now.revision(), "err", err)
		return
	}
	if err == nil && now.revision() > HistoryKept {
		p.drop(ctx, now.revision()-HistoryKept)
	}
}

func (p *Publisher) drop(ctx context.Context, revision uint64) {
	i, err := p.Store.Get(ctx, historyKey(revision))
	if err != nil {
		return
	}
	if err := p.Store.Delete(ctx, i.Key, i.Version); err != nil {
		klog.V(1).InfoS("History not dropped", "revision", revision, "err", err)
	}
}

func (p *Publisher) sleep(ctx context.Context) {
	c := p.Clock
	if c == nil {
		c = clock.RealClock{}
	}
	t := c.NewTimer(pause)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C():
	}
}

func (p *Publisher) key() string {
	if p.Key == "" {
		return gossiper.BundleKey
	}
	return p.Key
}

func historyKey(revision uint64) string { return fmt.Sprintf("%s%d", RevisionPrefix, revision) }
