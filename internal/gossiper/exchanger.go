package gossiper

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
)

// Defaults of Exchanger.
const (
	DefaultEvery  = 600 * time.Millisecond
	DefaultFanout = 3
	// DefaultSpread is small compared with the goal of two seconds for a change.
	DefaultSpread = 100 * time.Millisecond
	// urgentFactor is how much more often entries exchange when the latest
	// confirmation is old: they have to establish whether the store is down before
	// that confirmation expires.
	urgentFactor = 5
	// minRelays keeps deployments with three entries per region independent of which
	// of them fails.
	minRelays = 3
)

// Exchanger keeps an entry's bundle in step with the other entries: it pushes
// each change to a few of them at once and polls a relay of its region
// periodically. It is a suture service.
type Exchanger struct {
	State *State
	Clock clock.Clock
	// Self returns this entry's state; Exchanger fills in the bundle fields.
	Self func() messenger.EntryState
	// Peers lists the other entries that are considered alive.
	Peers func() []messenger.EntryState
	// Call sends one exchange to a peer and returns its answer.
	Call func(ctx context.Context, p messenger.EntryState, x messenger.Exchange) (messenger.Exchange, error)
	// Heard, if set, receives each answer for its contents besides the bundle.
	Heard func(x messenger.Exchange)
	// Every is the mean interval between two exchanges in normal operation.
	Every time.Duration
	// Fanout is the number of peers of the region that a change is pushed to, after
	// a random delay of up to Spread.
	Fanout int
	Spread time.Duration
	// Random picks peers and delays; nil means the global source.
	Random *rand.Rand

	mu sync.Mutex
}

// Serve runs until the context ends.
func (e *Exchanger) Serve(ctx context.Context) error {
	var g sync.WaitGroup
	g.Go(func() { e.pollLoop(ctx) })
	g.Go(func() { e.pushLoop(ctx) })
	g.Wait()
	return ctx.Err()
}

func (e *Exchanger) pollLoop(ctx context.Context) {
	for turn := 0; ctx.Err() == nil; turn++ {
		e.Compare(ctx, turn)
		e.sleep(ctx, e.NextPause())
	}
}

// Compare asks a relay, which has the latest confirmation. If that fails, and in
// every other turn while the confirmation is overdue, it asks any peer: the list
// of VMs lags, and all relays may be lost or partitioned together.
func (e *Exchanger) Compare(ctx context.Context, turn int) {
	relays := e.withoutSelf(e.relays())
	if e.State.ConfirmationOverdue() && turn%2 == 1 {
		relays = nil
	}
	for _, p := range e.sample(relays, 1) {
		if e.ExchangeWith(ctx, p) == nil {
			return
		}
	}
	for _, p := range e.sample(e.Peers(), 1) {
		_ = e.ExchangeWith(ctx, p)
	}
}

func (e *Exchanger) pushLoop(ctx context.Context) {
	for {
		changed := e.State.Changed()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		e.sleep(ctx, e.RandomBelow(orDefault(e.Spread, DefaultSpread)))
		e.Push(ctx)
	}
}

// Push exchanges a change with a few peers of this region and one of another, or
// more if the region is small. Bandwidth between regions is scarce, and the
// record is long.
func (e *Exchanger) Push(ctx context.Context) {
	region := e.Self().Region
	var sameRegion, otherRegions []messenger.EntryState
	for _, p := range e.Peers() {
		if p.Region == region {
			sameRegion = append(sameRegion, p)
		} else {
			otherRegions = append(otherRegions, p)
		}
	}
	sameRegion = e.sample(sameRegion, e.fanout())
	otherRegions = e.sample(otherRegions, e.fanout()+1-len(sameRegion))
	for _, p := range slices.Concat(sameRegion, otherRegions) {
		_ = e.ExchangeWith(ctx, p)
	}
}

// NextPause returns the delay before the next exchange. Half of it is random, so
// that entries started together don't stay synchronized.
func (e *Exchanger) NextPause() time.Duration {
	every := orDefault(e.Every, DefaultEvery)
	if e.State.ConfirmationOverdue() {
		every /= urgentFactor
	}
	return every/2 + e.RandomBelow(every)
}

// IsRelay reports whether this entry polls the store on behalf of its region.
func (e *Exchanger) IsRelay() bool {
	self := e.Self().ID
	return slices.ContainsFunc(e.relays(), func(p messenger.EntryState) bool { return p.ID == self })
}

// relays returns the entries of this region that poll the store while the others
// poll them, selected by hash without any agreement. Their number, a multiple of
// the square root of all, balances the calls to the store with the load of each
// relay. An entry that wrongly considers itself a relay only costs some calls.
func (e *Exchanger) relays() []messenger.EntryState {
	self := e.Self()
	candidates := []messenger.EntryState{self}
	for _, p := range e.Peers() {
		if p.Region == self.Region && !p.Leaving {
			candidates = append(candidates, p)
		}
	}
	slices.SortFunc(candidates, func(a, b messenger.EntryState) int {
		return cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID))
	})
	n := max(minRelays, int(math.Ceil(1.5*math.Sqrt(float64(len(candidates))))))
	return candidates[:min(n, len(candidates))]
}

// withoutSelf removes this entry from the list.
func (e *Exchanger) withoutSelf(ps []messenger.EntryState) []messenger.EntryState {
	self := e.Self().ID
	return slices.DeleteFunc(ps, func(p messenger.EntryState) bool { return p.ID == self })
}

// sample returns up to n different peers at random.
func (e *Exchanger) sample(from []messenger.EntryState, n int) []messenger.EntryState {
	ps := slices.Clone(from)
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range min(n, len(ps)) {
		j := i + e.intN(len(ps)-i)
		ps[i], ps[j] = ps[j], ps[i]
	}
	return ps[:min(n, len(ps))]
}

// ExchangeWith exchanges state with one peer. The record is sent only in a
// second call, if the peer's answer shows an older revision: most peers already
// have a change when it is pushed to them.
func (e *Exchanger) ExchangeWith(ctx context.Context, p messenger.EntryState) error {
	answer, err := e.call(ctx, p, messenger.Exchange{State: e.ownState()})
	if err != nil {
		return err
	}
	r := e.State.RecordFor(answer.State.Freshness)
	if r == nil {
		return nil
	}
	_, err = e.call(ctx, p, messenger.Exchange{State: e.ownState(), Record: r})
	return err
}

func (e *Exchanger) call(ctx context.Context, p messenger.EntryState, x messenger.Exchange) (messenger.Exchange, error) {
	askedAt := e.Clock.Now()
	answer, err := e.Call(ctx, p, x)
	if err != nil {
		klog.V(2).InfoS("Exchange with peer failed", "peer", p.ID, "err", err)
		return answer, err
	}
	e.offerRecord(answer)
	e.State.ReceiveAnswer(answer.State, askedAt)
	if e.Heard != nil {
		e.Heard(answer)
	}
	return answer, nil
}

// Answer handles another entry's exchange and returns the reply.
func (e *Exchanger) Answer(x messenger.Exchange) messenger.Exchange {
	e.offerRecord(x)
	e.State.ReceiveUnsolicited(x.State)
	return messenger.Exchange{State: e.ownState(), Record: e.State.RecordFor(x.State.Freshness)}
}

func (e *Exchanger) offerRecord(x messenger.Exchange) {
	if x.Record == nil {
		return
	}
	if _, err := e.State.Offer(x.Record); err != nil {
		klog.ErrorS(err, "Rejected record from peer", "peer", x.State.ID)
	}
}

func (e *Exchanger) ownState() messenger.EntryState {
	self := e.Self()
	self.StoreReachable = e.State.StoreReachable()
	self.Freshness = e.State.StatusUpdate()
	return self
}

func (e *Exchanger) sleep(ctx context.Context, d time.Duration) {
	t := e.Clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C():
	}
}

func (e *Exchanger) fanout() int {
	if e.Fanout > 0 {
		return e.Fanout
	}
	return DefaultFanout
}

// RandomBelow returns a random duration in [0, d).
func (e *Exchanger) RandomBelow(d time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(e.intN(int(max(d, 1))))
}

func (e *Exchanger) intN(n int) int {
	if e.Random != nil {
		return e.Random.IntN(n)
	}
	return rand.IntN(n)
}
