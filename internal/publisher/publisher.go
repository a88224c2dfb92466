// Package publisher publishes an operator's bundle with one compare-and-swap in the
// platform's store. It distinguishes lost replies, repeated commands and lost races.
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
	// RevisionPrefix is the prefix of the history's keys, one for each revision.
	RevisionPrefix = "bundle/revisions/"
	// HistoryKept is the number of old revisions that stay in the store.
	HistoryKept = 200
)

// maxAttempts limits the attempts of a publication, retryInterval is the time between
// them.
const (
	maxAttempts   = 5
	retryInterval = 300 * time.Millisecond
)

// Publisher writes bundles to the store on behalf of an operator.
type Publisher struct {
	Store   storer.Store
	Keyring bundler.Keyring
	// Key is the bundle's key; empty means gossiper.BundleKey.
	Key string
	// Clock times the retries; nil means the real clock.
	Clock clock.Clock
}

// Result is a bundle that was accepted.
type Result struct {
	Bundle *bundler.Bundle
	// AlreadyAccepted is set if the store held this change before the command wrote
	// anything: an earlier run of the command took effect.
	AlreadyAccepted bool
	// AnswerLost is set if a write took effect but its reply was lost.
	AnswerLost bool
	// Superseded is set if a later revision is already in force.
	Superseded bool
}

// RaceError reports that another change was accepted at the revision to publish.
type RaceError struct {
	// Accepted is the bundle in force.
	Accepted *bundler.Bundle
	// Ours is the bundle that was refused.
	Ours *bundler.Bundle
	// Undecided is set if Ours may have been in force until Accepted replaced it:
	// its write got no reply, and the history does not have its revision.
	Undecided bool
}

func (e *RaceError) Error() string {
	return fmt.Sprintf("revision %d (change %s) is in force; the change to publish has revision %d",
		e.Accepted.Revision, e.Accepted.ChangeID, e.Ours.Revision)
}

// GapError reports a bundle whose revision does not follow the one in the store.
type GapError struct {
	// Present is the store's revision, 0 if it has none.
	Present, Ours uint64
}

func (e *GapError) Error() string {
	return fmt.Sprintf("the store has revision %d, so revision %d cannot follow; the store may have been rolled back", e.Present, e.Ours)
}

// CorruptError reports a store whose current bundle cannot be read or lacks
// sign-offs. That bundle is not overwritten.
type CorruptError struct {
	Err error
}

func (e *CorruptError) Error() string { return fmt.Sprintf("bundle in the store: %v", e.Err) }

func (e *CorruptError) Unwrap() error { return e.Err }

// UndecidedError reports that the store stopped responding after a write was sent:
// the change may be in force. Repeating the command resolves that.
type UndecidedError struct {
	Err error
}

func (e *UndecidedError) Error() string {
	return fmt.Sprintf("the change may have been accepted, repeat the command to find out: %v", e.Err)
}

func (e *UndecidedError) Unwrap() error { return e.Err }

// storedBundle is the content of the store; its zero value is an empty store.
type storedBundle struct {
	bundle  *bundler.Bundle
	record  *bundler.Record
	version uint64
}

func (p storedBundle) revision() uint64 {
	if p.bundle == nil {
		return 0
	}
	return p.bundle.Revision
}

// Current reads the bundle in force; *storer.NotFoundError if there is none.
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

// Publish writes the record if the store's current revision is the one before it. It
// may be repeated after any error: a change that took effect is recognised by its
// ChangeID and digest.
func (p *Publisher) Publish(ctx context.Context, r *bundler.Record) (*Result, error) {
	b, err := r.Open(p.Keyring)
	if err != nil {
		return nil, err
	}
	value, err := r.Encode()
	if err != nil {
		return nil, err
	}
	t := &publication{publisher: p, bundle: b, record: r, value: value}
	for n := range maxAttempts {
		if n > 0 {
			p.sleep(ctx)
		}
		res, err := t.tryOnce(ctx)
		if res != nil {
			return res, nil
		}
		if !retriable(err) || ctx.Err() != nil {
			return nil, t.finalError(err)
		}
		t.lastErr = err
	}
	return nil, t.finalError(t.lastErr)
}

// Restore writes a record that is in force at the entries back into a store that was
// wiped or rolled back to a lower revision. Entries never do so by themselves: an
// operator has to examine a store that differs.
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
	if err := p.writeHead(ctx, b, r); err != nil {
		return err
	}
	_, err = p.Store.Put(ctx, p.key(), value, now.version, "")
	return err
}

// publication is one run of Publish.
type publication struct {
	publisher *Publisher
	bundle    *bundler.Bundle
	record    *bundler.Record
	value     []byte
	// writeUncertain is set once a write was sent whose outcome is unknown.
	writeUncertain bool
	lastErr        error
}

// tryOnce reads the store and writes if the store has the revision before ours. It
// reads first each time: after a lost reply the change may already be there, and a
// second write would look like a lost race.
func (t *publication) tryOnce(ctx context.Context) (*Result, error) {
	now, err := t.publisher.read(ctx)
	if err != nil {
		return nil, err
	}
	switch {
	case now.bundle != nil && t.isOwn(now.bundle, now.record):
		t.publisher.writeHistory(ctx, now)
		return &Result{Bundle: t.bundle, AlreadyAccepted: !t.writeUncertain, AnswerLost: t.writeUncertain}, nil
	case now.revision() >= t.bundle.Revision:
		return t.resolveSuperseded(ctx, now)
	case now.revision() != t.bundle.Revision-1:
		return nil, &GapError{Present: now.revision(), Ours: t.bundle.Revision}
	}
	return t.write(ctx, now)
}

func (t *publication) write(ctx context.Context, now storedBundle) (*Result, error) {
	// The current revision is written to the history before it is overwritten, so
	// that its operator can still see that it was accepted if the reply was lost.
	t.publisher.writeHistory(ctx, now)
	if err := t.publisher.writeHead(ctx, t.bundle, t.record); err != nil {
		return nil, err
	}
	version, err := t.publisher.Store.Put(ctx, t.publisher.key(), t.value, now.version, "")
	var unknown *storer.UnknownError
	if errors.As(err, &unknown) {
		t.writeUncertain = true
	}
	if err != nil {
		return nil, err
	}
	t.publisher.writeHistory(ctx, storedBundle{bundle: t.bundle, record: t.record, version: version})
	return &Result{Bundle: t.bundle}, nil
}

// writeHead writes the head, which must not lag behind the bundle (gossiper.Head).
// The head alone accepts nothing.
func (p *Publisher) writeHead(ctx context.Context, b *bundler.Bundle, r *bundler.Record) error {
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

// resolveSuperseded determines whether our change was accepted before the one in
// force.
func (t *publication) resolveSuperseded(ctx context.Context, now storedBundle) (*Result, error) {
	race := &RaceError{Accepted: now.bundle, Ours: t.bundle}
	if now.revision() == t.bundle.Revision {
		return nil, race
	}
	i, err := t.publisher.Store.Get(ctx, historyKey(t.bundle.Revision))
	if err != nil {
		race.Undecided = true
		return nil, race
	}
	old, err := t.publisher.decode(i)
	if err != nil || !t.isOwn(old.bundle, old.record) {
		return nil, race
	}
	return &Result{Bundle: t.bundle, AlreadyAccepted: !t.writeUncertain, AnswerLost: t.writeUncertain, Superseded: true}, nil
}

func (t *publication) isOwn(b *bundler.Bundle, r *bundler.Record) bool {
	return b.ChangeID == t.bundle.ChangeID && r.Digest() == t.record.Digest()
}

// finalError returns the error to report: *UndecidedError if a write may have taken
// effect.
func (t *publication) finalError(err error) error {
	if t.writeUncertain && (retriable(err) || err == nil) {
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

// read returns the content of the store, the zero value if it has no bundle.
func (p *Publisher) read(ctx context.Context) (storedBundle, error) {
	i, err := p.Store.Get(ctx, p.key())
	var missing *storer.NotFoundError
	if errors.As(err, &missing) {
		return storedBundle{}, nil
	}
	if err != nil {
		return storedBundle{}, err
	}
	return p.decode(i)
}

func (p *Publisher) decode(i storer.Item) (storedBundle, error) {
	r, err := bundler.DecodeRecord(i.Value)
	if err != nil {
		return storedBundle{}, &CorruptError{Err: err}
	}
	b, err := r.Open(p.Keyring)
	if err != nil {
		return storedBundle{}, &CorruptError{Err: err}
	}
	return storedBundle{bundle: b, record: r, version: i.Version}, nil
}

// writeHistory adds a revision to the history unless it is there, and deletes the one
// HistoryKept before it. The history is informational, so failures are only logged.
func (p *Publisher) writeHistory(ctx context.Context, now storedBundle) {
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
		klog.V(1).InfoS("Failed to write bundle history", "revision", now.revision(), "err", err)
		return
	}
	if err == nil && now.revision() > HistoryKept {
		p.deleteHistory(ctx, now.revision()-HistoryKept)
	}
}

func (p *Publisher) deleteHistory(ctx context.Context, revision uint64) {
	i, err := p.Store.Get(ctx, historyKey(revision))
	if err != nil {
		return
	}
	if err := p.Store.Delete(ctx, i.Key, i.Version); err != nil {
		klog.V(1).InfoS("Failed to delete bundle history", "revision", revision, "err", err)
	}
}

func (p *Publisher) sleep(ctx context.Context) {
	c := p.Clock
	if c == nil {
		c = clock.RealClock{}
	}
	t := c.NewTimer(retryInterval)
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
