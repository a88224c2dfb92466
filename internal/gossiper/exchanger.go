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
	// DefaultSpread is small against the aim of two seconds for a change.
	DefaultSpread = 100 * time.Millisecond
	// urgency is how much more often entries exchange while no confirmation is
	// young: they then have to find out from each other whether the store is out
	// before the last one lapses.
	urgency = 5
	// minRelays keeps today's deployments, of three entries a region, independent
	// of which of them fails.
	minRelays = 3
)

// Exchanger keeps an entry level with the others: it tells a few of them of each
// change at once and asks one of its region's relays all the time. It is a suture
// service.
type Exchanger struct {
	State *State
	Clock clock.Clock
	// Self is this entry's account of itself; the word is filled in here.
	Self func() messenger.EntryState
	// Peers lists the other entries that are believed alive.
	Peers func() []messenger.EntryState
	// Call sends one exchange to a peer and gives its answer.
	Call func(ctx context.Context, p messenger.EntryState, x messenger.Exchange) (messenger.Exchange, error)
	// Heard, if set, gets each answer, for what it says besides the bundle.
	Heard func(x messenger.Exchange)
	// Every is the mean pause between two exchanges while all is well.
	Every time.Duration
	// Fanout is how many peers of the region are told of a change at once, after a
	// random pause of up to Spread.
	Fanout int
	Spread time.Duration
	// Random picks peers and pauses; nil means the global source.
	Random *rand.Rand

	mu sync.Mutex
}

// Serve runs until the context ends.
func (e *Exchanger) Serve(ctx context.Context) error {
	var g sync.WaitGroup
	g.Go(func() { e.compareLoop(ctx) })
	g.Go(func() { e.tellLoop(ctx) })
	g.Wait()
	return ctx.Err()
}

func (e *Exchanger) compareLoop(ctx context.Context) {
	for turn := 0; ctx.Err() == nil; turn++ {
		e.Compare(ctx, turn)
		e.sleep(ctx, e.Pause())
	}
}

// Compare asks a relay, which has the youngest confirmation. If that one is gone,
// or in every other turn while no confirmation is young, it asks anyone: the list
// of VMs lags, and the relays might all be lost or cut off together.
func (e *Exchanger) Compare(ctx context.Context, turn int) {
	relays := e.without(e.relays())
	if e.State.Restless() && turn%2 == 1 {
		relays = nil
	}
	for _, p := range e.pick(relays, 1) {
		if e.With(ctx, p) == nil {
			return
		}
	}
	for _, p := range e.pick(e.Peers(), 1) {
		_ = e.With(ctx, p)
	}
}

func (e *Exchanger) tellLoop(ctx context.Context) {
	for {
		changed := e.State.Changed()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		e.sleep(ctx, e.Below(orDefault(e.Spread, DefaultSpread)))
		e.Tell(ctx)
	}
}

// Tell compares with a few peers of this region and one elsewhere, or more if the
// region is small, because of a change: regions share little bandwidth, and the
// record is long.
func (e *Exchanger) Tell(ctx context.Context) {
	region := e.Self().Region
	var near, far []messenger.EntryState
	for _, p := range e.Peers() {
		if p.Region == region {
			near = append(near, p)
		} else {
			far = append(far, p)
		}
	}
	near = e.pick(near, e.fanout())
	far = e.pick(far, e.fanout()+1-len(near))
	for _, p := range slices.Concat(near, far) {
		_ = e.With(ctx, p)
	}
}

// Pause is how long to wait before the next exchange: half of it is random, so
// that entries started together do not stay in step.
func (e *Exchanger) Pause() time.Duration {
	every := orDefault(e.Every, DefaultEvery)
	if e.State.Restless() {
		every /= urgency
	}
	return every/2 + e.Below(every)
}

// IsRelay tells whether this entry is one of those that ask the store on behalf
// of its region.
func (e *Exchanger) IsRelay() bool {
	self := e.Self().ID
	return slices.ContainsFunc(e.relays(), func(p messenger.EntryState) bool { return p.ID == self })
}

// relays are the entries of this region that ask the store, while the others ask
// them: a fixed choice by hash, which needs no agreement. Twice the root of their
// number keeps the calls to the store and the load of each relay about level. An
// entry that wrongly believes itself a relay costs some calls, nothing else.
func (e *Exchanger) relays() []messenger.EntryState {
	self := e.Self()
	here := []messenger.EntryState{self}
	for _, p := range e.Peers() {
		if p.Region == self.Region && !p.Leaving {
			here = append(here, p)
		}
	}
	slices.SortFunc(here, func(a, b messenger.EntryState) int {
		return cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID))
	})
	n := max(minRelays, int(math.Ceil(1.5*math.Sqrt(float64(len(here))))))
	return here[:min(n, len(here))]
}

// without leaves this entry itself out.
func (e *Exchanger) without(ps []messenger.EntryState) []messenger.EntryState {
	self := e.Self().ID
	return slices.DeleteFunc(ps, func(p messenger.EntryState) bool { return p.ID == self })
}

// pick chooses up to n different peers at random.
func (e *Exchanger) pick(from []messenger.EntryState, n int) []messenger.EntryState {
	ps := slices.Clone(from)
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range min(n, len(ps)) {
		j := i + e.intN(len(ps)-i)
		ps[i], ps[j] = ps[j], ps[i]
	}
	return ps[:min(n, len(ps))]
}

// With exchanges with one peer. The record goes along only in a second call, once
// the peer's answer has shown that it has less: most peers know a change by the
// time they are told.
func (e *Exchanger) With(ctx context.Context, p messenger.EntryState) error {
	answer, err := e.call(ctx, p, messenger.Exchange{State: e.account()})
	if err != nil {
		return err
	}
	r := e.State.RecordFor(answer.State.Freshness)
	if r == nil {
		return nil
	}
	_, err = e.call(ctx, p, messenger.Exchange{State: e.account(), Record: r})
	return err
}

func (e *Exchanger) call(ctx context.Context, p messenger.EntryState, x messenger.Exchange) (messenger.Exchange, error) {
	asked := e.Clock.Now()
	answer, err := e.Call(ctx, p, x)
	if err != nil {
		klog.V(2).InfoS("Peer not heard", "peer", p.ID, "err", err)
		return answer, err
	}
	e.offer(answer)
	e.State.HearAnswer(answer.State, asked)
	if e.Heard != nil {
		e.Heard(answer)
	}
	return answer, nil
}

// Answer is what to say to another entry's exchange.
func (e *Exchanger) Answer(x messenger.Exchange) messenger.Exchange {
	e.offer(x)
	e.State.Hear(x.State)
	return messenger.Exchange{State: e.account(), Record: e.State.RecordFor(x.State.Freshness)}
}

func (e *Exchanger) offer(x messenger.Exchange) {
	if x.Record == nil {
		return
	}
	if _, err := e.State.Offer(x.Record); err != nil {
		klog.ErrorS(err, "Record refused", "peer", x.State.ID)
	}
}

func (e *Exchanger) account() messenger.EntryState {
	self := e.Self()
	self.StoreReachable = e.State.StoreReachable()
	self.Freshness = e.State.Word()
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

// Below picks a duration in [0, d) at random.
func (e *Exchanger) Below(d time.Duration) time.Duration {
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
