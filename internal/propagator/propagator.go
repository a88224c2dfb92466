// Package propagator replicates the evidence on crashes, and the resulting blames, among the entries, and
// persists the blames in the store. Entries push to each other directly, so that an outage of the store
// delays nothing. The store serves entries that no other one can reach, and a restart of all entries.
package propagator

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/localizer"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

const (
	// tickInterval is how often new evidence is pushed and evaluated, idleInterval the same without new evidence.
	tickInterval = 50 * time.Millisecond
	idleInterval = 250 * time.Millisecond
	// pullInterval is the mean time between two pulls of a peer's state. A pull recovers evidence that wasn't
	// pushed, for example to an entry that others haven't discovered yet.
	pullInterval = 2 * time.Second
	// initialPullRetry is the pause between attempts to pull until the first one succeeds.
	initialPullRetry = 50 * time.Millisecond
	// maxPullPeers is the number of peers from which an entry pulls, half of them in its own region if possible, as
	// links between regions may be saturated. Connections to hundreds of peers would cost more than all pulls.
	maxPullPeers = 4
	// pushRetry is the pause after a push that failed.
	pushRetry = 300 * time.Millisecond
	// callTimeout bounds a call to another entry.
	callTimeout = time.Second
	// syncTimeout is how long after its first view an entry waits for its first pull.
	syncTimeout = 300 * time.Millisecond
	// takeoverDelay is the time after which an entry persists a blame that another one should have persisted.
	takeoverDelay = 3 * time.Second
)

// Store persists blames.
type Store interface {
	PutBlame(ctx context.Context, b localizer.Blame) error
	DropBlame(ctx context.Context, part string) error
}

// Propagator connects a localizer to those of the other entries. Set the exported fields before Serve.
type Propagator struct {
	Localizer *localizer.Localizer
	Registrar *registrar.Registrar
	// Member is this entry; Seeds are the addresses to pull from while no other entry is known.
	Member registrar.Member
	Seeds  []netip.AddrPort
	// Dial returns a client for an entry's address.
	Dial  func(netip.AddrPort) *messenger.Client
	Store Store
	Clock clock.WithTicker

	clients messenger.Clients
	peers   map[netip.AddrPort]*peer
	// pullFrom lists the peers to pull from.
	pullFrom []netip.AddrPort
	// acked is the sequence number up to which all peers have acknowledged the evidence of this entry.
	acked   uint64
	results chan result
	// pulled is set after the first successful pull; pulling holds the peers of pulls in progress. The next pull is due at nextPull.
	pulled   bool
	pulling  map[netip.AddrPort]bool
	nextPull time.Time
	// synced is set once this entry may rely on its blames; firstViewAt is when it received its first view.
	synced      atomic.Bool
	firstViewAt time.Time
	// mergedView is the view whose blames were merged last.
	mergedView *registrar.View
	persister  persister
}

// peer is another entry.
type peer struct {
	incarnation, region string
	// acked is the sequence number up to which the peer has acknowledged the evidence of this entry.
	acked   uint64
	pushing bool
	// nextPush is the earliest time of the next push after a failure.
	nextPush time.Time
}

// result is the result of a call to another entry.
type result struct {
	address netip.AddrPort
	// pull is set for a pull; sequence is the number of the last evidence in a push.
	pull           bool
	sequence       uint64
	request, reply localizer.Update
	err            error
}

func (p *Propagator) String() string { return "propagator" }

// Synced reports whether this entry has pulled the blames of others, or couldn't within syncTimeout. Until then
// an entry that has just started would send requests that all others refuse.
func (p *Propagator) Synced() bool { return p.synced.Load() }

// Serve runs until the context ends.
func (p *Propagator) Serve(ctx context.Context) error {
	p.clients.Dial, p.clients.Timeout = p.Dial, callTimeout
	p.peers, p.results, p.acked = map[netip.AddrPort]*peer{}, make(chan result), 0
	p.pulling, p.nextPull, p.mergedView = map[netip.AddrPort]bool{}, time.Time{}, nil
	p.persister = persister{store: p.Store, clock: p.Clock, entry: p.Member.ID, results: make(chan writeResult)}
	defer p.clients.Close()
	timer := p.Clock.NewTimer(tickInterval)
	defer timer.Stop()
	p.pull(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.awaitFirstView():
			p.tick(ctx)
		case r := <-p.results:
			p.finishCall(r)
		case w := <-p.persister.results:
			p.persister.finish(w)
		case <-timer.C():
			p.tick(ctx)
			timer.Reset(p.interval())
		}
	}
}

// awaitFirstView returns a channel that is closed when the first view may be available; nil once it was merged.
func (p *Propagator) awaitFirstView() <-chan struct{} {
	if p.mergedView != nil {
		return nil
	}
	changed := p.Registrar.Changed()
	if p.Registrar.View() != nil {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	return changed
}

// interval returns the time until the next tick.
func (p *Propagator) interval() time.Duration {
	if p.Localizer.Idle() && p.synced.Load() {
		return idleInterval
	}
	return tickInterval
}

func (p *Propagator) tick(ctx context.Context) {
	view := p.Registrar.View()
	if view != nil && view != p.mergedView {
		p.mergedView = view
		for _, b := range view.Blames {
			p.Localizer.Merge(b)
		}
		p.updatePeers(view)
	}
	p.Localizer.Tick()
	p.updateSynced(view)
	p.push(ctx)
	p.pull(ctx)
	if view != nil {
		p.persister.persist(ctx, p.Localizer.Blames(), view.Blames)
	}
}

func (p *Propagator) updateSynced(view *registrar.View) {
	if view == nil || p.synced.Load() {
		return
	}
	now := p.Clock.Now()
	if p.firstViewAt.IsZero() {
		p.firstViewAt = now
	}
	if p.pulled || now.Sub(p.firstViewAt) >= syncTimeout {
		p.synced.Store(true)
		klog.InfoS("Blames synced", "pulled", p.pulled, "after", now.Sub(p.firstViewAt))
	}
}

// updatePeers updates the peers to the known entries. A new incarnation needs all evidence again.
func (p *Propagator) updatePeers(view *registrar.View) {
	used := map[netip.AddrPort]bool{}
	for _, s := range p.Seeds {
		used[s] = true
	}
	incarnations, regions := map[netip.AddrPort]string{}, map[netip.AddrPort]string{}
	for _, m := range view.Members {
		if m.ID != p.Member.ID {
			used[m.Peers], incarnations[m.Peers], regions[m.Peers] = true, m.Incarnation, m.Region
		}
	}
	for a := range p.peers {
		if _, ok := incarnations[a]; !ok {
			delete(p.peers, a)
		}
	}
	for a, incarnation := range incarnations {
		if known := p.peers[a]; known == nil || known.incarnation != incarnation {
			p.peers[a] = &peer{incarnation: incarnation, region: regions[a]}
			p.acked = 0
		}
	}
	p.clients.CloseUnused(used)
	p.updatePullPeers()
}

// updatePullPeers replaces only peers that were removed, so that connections are reused.
func (p *Propagator) updatePullPeers() {
	p.pullFrom = slices.DeleteFunc(p.pullFrom, func(a netip.AddrPort) bool { return p.peers[a] == nil })
	p.addPullPeers(maxPullPeers/2, func(o *peer) bool { return o.region == p.Member.Region })
	p.addPullPeers(maxPullPeers, func(*peer) bool { return true })
}

// addPullPeers adds matching peers to pull from up to a limit.
func (p *Propagator) addPullPeers(limit int, match func(*peer) bool) {
	for a, o := range p.peers {
		if len(p.pullFrom) >= limit {
			return
		}
		if match(o) && !slices.Contains(p.pullFrom, a) {
			p.pullFrom = append(p.pullFrom, a)
		}
	}
}

// push sends each peer the evidence of this entry that the peer hasn't acknowledged.
func (p *Propagator) push(ctx context.Context) {
	newest := p.Localizer.Sequence()
	if newest == p.acked {
		return
	}
	now, allAcked := p.Clock.Now(), true
	for a, target := range p.peers {
		if target.acked >= newest {
			continue
		}
		allAcked = false
		if target.pushing || now.Before(target.nextPush) {
			continue
		}
		u, sequence := p.Localizer.ChangesSince(target.acked)
		if u.Empty() {
			target.acked = sequence
			continue
		}
		target.pushing = true
		p.call(ctx, result{address: a, request: u, sequence: sequence})
	}
	if allAcked {
		p.acked = newest
	}
}

// pull requests the whole state of peers once that is due: of one, or of all of them and the seeds until the first one has
// answered. One request at a time could spend the whole syncTimeout of an entry that has just started on an unresponsive
// peer or a saturated link.
func (p *Propagator) pull(ctx context.Context) {
	now := p.Clock.Now()
	if now.Before(p.nextPull) {
		return
	}
	from := slices.Concat(p.pullFrom, p.Seeds)
	if p.pulled {
		if len(p.pulling) > 0 {
			return
		}
		from = p.randomPullPeer()
	}
	for _, a := range from {
		if !p.pulling[a] {
			p.pulling[a] = true
			p.call(ctx, result{address: a, pull: true, request: localizer.Update{All: true}})
		}
	}
	if !p.pulled {
		p.nextPull = now.Add(initialPullRetry)
	}
}

// randomPullPeer returns a random peer to pull from, or a seed while there is none.
func (p *Propagator) randomPullPeer() []netip.AddrPort {
	addresses := p.pullFrom
	if len(addresses) == 0 {
		addresses = p.Seeds
	}
	if len(addresses) == 0 {
		return nil
	}
	i := rand.IntN(len(addresses))
	return addresses[i : i+1]
}

// call sends the request of a result and completes the result with the reply.
func (p *Propagator) call(ctx context.Context, r result) {
	client := p.clients.Get(r.address)
	go func() {
		r.reply, r.err = client.Evidence(ctx, r.request)
		select {
		case p.results <- r:
		case <-ctx.Done():
		}
	}()
}

func (p *Propagator) finishCall(r result) {
	if r.pull {
		p.finishPull(r)
		return
	}
	target := p.peers[r.address]
	if target == nil {
		return
	}
	target.pushing = false
	if r.err != nil {
		klog.V(1).InfoS("Evidence not pushed", "peer", r.address, "err", r.err)
		target.nextPush = p.Clock.Now().Add(pushRetry)
		return
	}
	target.acked = r.sequence
	p.Localizer.HandleAck(r.request, r.reply)
}

func (p *Propagator) finishPull(r result) {
	delete(p.pulling, r.address)
	if r.err == nil {
		p.Localizer.Apply(r.reply)
		p.pulled = true
		p.updateSynced(p.mergedView)
	}
	if p.pulled {
		p.nextPull = p.Clock.Now().Add(pullInterval/2 + time.Duration(rand.Int64N(int64(pullInterval))))
	}
}
