package gossiper

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/storer"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

const (
	// BundleKey is the store's key of the accepted bundle.
	BundleKey = "bundle/current"
	// HeadKey is the store's key of the Head.
	HeadKey = "bundle/head"
)

// Head is the highest revision that may have been accepted. It is written before
// the compare-and-swap that accepts the bundle, so a hundred bytes instead of
// the whole record show an entry with this revision that none is newer. In the
// reverse order, an operator's client that died between the writes would leave
// entries confirming a superseded bundle.
type Head struct {
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
}

// Defaults of Watcher.
const (
	DefaultWait    = 25 * time.Second
	DefaultRearm   = time.Second
	DefaultBackoff = 8 * time.Second
)

// Watcher updates an entry's State from the store. It waits for changes in a
// long poll, and calls the store directly when no confirmation, its own or a
// peer's, is recent enough. It is a suture service.
type Watcher struct {
	Store storer.Store
	State *State
	Clock clock.WithDelayedExecution
	// Key is the bundle's key; empty means BundleKey.
	Key string
	// Wait is the duration of one long poll.
	Wait time.Duration
	// ProbeAge is the age of the last confirmation at which the store is probed; up
	// to half as much is added at random. 0 means a fifth of FreshFor.
	ProbeAge time.Duration
	// Relay reports whether this entry also probes the store for others; nil means
	// it does. Other entries wait for a newer confirmation from a relay until theirs
	// is half of FreshFor old.
	Relay func() bool
	// Rearm is the longest random delay before a watch that returned a change is
	// restarted, Backoff the longest delay after failed watches.
	Rearm, Backoff time.Duration
	// Jitter returns a duration in [0, d); nil means uniformly at random.
	Jitter func(d time.Duration) time.Duration

	version     atomic.Uint64
	deadWatches atomic.Int64
	mu          sync.Mutex
	cancelPoll  context.CancelFunc
	poll        longPoll
}

// longPoll describes the current long poll.
type longPoll struct {
	after uint64
	since time.Time
}

// Serve runs until the context ends.
func (w *Watcher) Serve(ctx context.Context) error {
	var g sync.WaitGroup
	g.Go(func() { w.probeLoop(ctx) })
	g.Go(func() { w.watchLoop(ctx) })
	g.Wait()
	return ctx.Err()
}

// StoreReachable reports whether this process recently reached the store.
func (w *Watcher) StoreReachable() bool { return w.State.StoreReachable() }

// DeadWatches counts the long polls that missed a change.
func (w *Watcher) DeadWatches() int64 { return w.deadWatches.Load() }

// probeLoop probes the store whenever the last confirmation is too old. The
// first probe is delayed as well: after a restart of all entries most of them
// then get the bundle from a peer, and the store is spared a burst of calls.
func (w *Watcher) probeLoop(ctx context.Context) {
	w.sleep(ctx, w.jitter(w.probeAge()))
	for ctx.Err() == nil {
		if wait := w.UntilProbe(); wait > 0 {
			w.sleep(ctx, wait)
			continue
		}
		if err := w.Probe(ctx); err != nil {
			klog.V(2).InfoS("Store probe failed", "err", err)
		}
		w.sleep(ctx, w.probeAge()/2+w.jitter(w.probeAge()))
	}
}

// UntilProbe is the delay before the next probe; it is positive while the last
// confirmation from any source is recent enough.
func (w *Watcher) UntilProbe() time.Duration {
	age := w.State.ConfirmationAge()
	maxAge := w.probeAge()
	if w.Relay != nil && !w.Relay() {
		maxAge = w.State.freshFor() / 2
	}
	if age < 0 || age >= maxAge {
		return 0
	}
	return maxAge - age + w.jitter(w.probeAge()/2)
}

// Probe reads the bundle from the store once. A long poll alone is not enough:
// one that died without an error looks like one that waits for a change.
func (w *Watcher) Probe(ctx context.Context) error {
	defer w.markFailedEvery(w.State.ReachableFor() / 4)()
	if done, err := w.probeHead(ctx); done {
		return err
	}
	askedAt := w.Clock.Now()
	item, err := w.Store.Get(ctx, w.key())
	if err := w.observe(item, err, askedAt); err != nil {
		w.State.MarkStoreFailed()
		return err
	}
	w.endOutdatedWatch(item.Version, askedAt)
	return nil
}

// probeHead reads only the head. It is done if that confirms the held bundle or
// the store fails; otherwise the record has to be read.
func (w *Watcher) probeHead(ctx context.Context) (done bool, err error) {
	_, r := w.State.Current()
	if r == nil {
		return false, nil
	}
	askedAt := w.Clock.Now()
	item, err := w.Store.Get(ctx, HeadKey)
	var missing *storer.NotFoundError
	if errors.As(err, &missing) {
		return false, nil
	}
	if err != nil {
		w.State.MarkStoreFailed()
		return true, err
	}
	var h Head
	if json.Unmarshal(item.Value, &h) != nil || h.Digest != r.Digest() {
		return false, nil
	}
	w.State.Confirm(h.Revision, h.Digest, askedAt)
	return true, nil
}

// markFailedEvery marks the store as failed at intervals of d until stopped. A
// store that never answers would otherwise be detected only by the timeout,
// after the last confirmation has expired and all entries refuse work.
func (w *Watcher) markFailedEvery(d time.Duration) (stop func()) {
	var stopped atomic.Bool
	var markFailed func()
	markFailed = func() {
		if stopped.Load() {
			return
		}
		w.State.MarkStoreFailed()
		w.Clock.AfterFunc(d, markFailed)
	}
	t := w.Clock.AfterFunc(d, markFailed)
	return func() {
		stopped.Store(true)
		t.Stop()
	}
}

// observe passes the store's answer to the state.
func (w *Watcher) observe(item storer.Item, err error, askedAt time.Time) error {
	var missing *storer.NotFoundError
	if errors.As(err, &missing) {
		w.version.Store(0)
		w.State.Confirm(0, "", askedAt)
		return nil
	}
	if err != nil {
		return err
	}
	w.version.Store(item.Version)
	r, err := bundler.DecodeRecord(item.Value)
	if err != nil {
		return w.State.Reject(err)
	}
	changed, err := w.State.Observe(r, askedAt)
	if changed {
		b, _ := w.State.Current()
		klog.InfoS("Received bundle from store", "revision", b.Revision, "changeId", b.ChangeID)
	}
	return err
}

// endOutdatedWatch cancels a long poll that missed a change, or that waits for
// versions which a restored store reaches only much later. Without it the
// process would learn of changes only as often as it probes.
func (w *Watcher) endOutdatedWatch(version uint64, askedAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancelPoll == nil || version == w.poll.after || askedAt.Before(w.poll.since.Add(w.probeAge())) {
		return
	}
	w.deadWatches.Add(1)
	klog.InfoS("Watch missed a change", "after", w.poll.after, "version", version)
	w.cancelPoll()
}

func (w *Watcher) watchLoop(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		if !w.mayWatch() {
			w.sleep(ctx, w.probeAge()/2+w.jitter(w.probeAge()))
			continue
		}
		switch err := w.watchOnce(ctx); {
		case err == nil:
			failures = 0
			w.sleep(ctx, w.jitter(orDefault(w.Rearm, DefaultRearm)))
		case isUnchanged(err):
			failures = 0
		default:
			failures++
			w.sleep(ctx, w.backoff(failures))
		}
	}
}

// mayWatch reports whether to start a watch. Only relays do, as each watch
// transfers the whole record over the link between regions, and only if the
// store was recently reachable for this process or a peer.
func (w *Watcher) mayWatch() bool {
	if w.Relay != nil && !w.Relay() {
		return false
	}
	if w.State.StoreReachable() {
		return true
	}
	age := w.State.ConfirmationAge()
	return w.version.Load() > 0 && age >= 0 && age <= w.State.ReachableFor()
}

// watchOnce performs one long poll.
func (w *Watcher) watchOnce(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	askedAt := w.Clock.Now()
	after := w.version.Load()
	w.setPoll(cancel, longPoll{after: after, since: askedAt})
	defer w.setPoll(nil, longPoll{})
	item, err := w.Store.Watch(ctx, w.key(), after, orDefault(w.Wait, DefaultWait))
	return w.observe(item, err, askedAt)
}

func (w *Watcher) setPoll(cancel context.CancelFunc, poll longPoll) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancelPoll, w.poll = cancel, poll
}

// backoff doubles with each failure up to a limit; half of it is random.
func (w *Watcher) backoff(failures int) time.Duration {
	maxBackoff := orDefault(w.Backoff, DefaultBackoff)
	d := w.probeAge()
	for range failures {
		d = min(2*d, maxBackoff)
	}
	return d/2 + w.jitter(d/2)
}

func (w *Watcher) sleep(ctx context.Context, d time.Duration) {
	t := w.Clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C():
	}
}

func (w *Watcher) jitter(d time.Duration) time.Duration {
	if w.Jitter != nil {
		return w.Jitter(d)
	}
	return time.Duration(rand.Int64N(int64(d) + 1))
}

func (w *Watcher) probeAge() time.Duration { return orDefault(w.ProbeAge, w.State.freshFor()/5) }

func (w *Watcher) key() string {
	if w.Key == "" {
		return BundleKey
	}
	return w.Key
}

func isUnchanged(err error) bool {
	var unchanged *storer.UnchangedError
	return errors.As(err, &unchanged)
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}
