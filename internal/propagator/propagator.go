// Package propagator replicates the evidence on crashes, and the blames that follow from it, among the entries,
// and persists the blames in the store. Entries push to each other directly, so that an outage of the store
// delays nothing. The store serves entries that no other one reaches, and a restart of all.
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
	// tickInterval is how often new evidence is pushed and weighed, idleInterval the same while there is none.
	tickInterval = 50 * time.Millisecond
	idleInterval = 250 * time.Millisecond
	// pullInterval is the mean time between two pulls of a peer's state. A pull repairs what a push missed, as
	// one to an entry that isn't known to others yet.
	pullInterval = 2 * time.Second
	// initialPull is the pause after an attempt to pull that failed, until the first one succeeds.
	initialPull = 50 * time.Millisecond
	// pullPeers is from how many peers an entry pulls, half of them of its own region as far as there are: the
	// links between regions may be saturated. A connection to each of hundreds would cost more than all pulls.
	pullPeers = 4
	// pushRetry is the pause after a push that failed.
	pushRetry = 300 * time.Millisecond
	// callTimeout bounds a call to another entry.
	callTimeout = time.Second
	// syncTimeout is how long after its start an entry waits for its first pull.
	syncTimeout = 300 * time.Millisecond
	// takeover is after what time an entry persists a blame that another one should have persisted.
	takeover = 3 * time.Second
)

// Store persists blames.
type Store interface {
	PutBlame(ctx context.Context, b localizer.Blame) error
	DropBlame(ctx context.Context, part string) error
}

// Propagator connects a localizer with those of the other entries. Set the exported fields before Serve.
type Propagator struct {
	Localizer *localizer.Localizer
	Registrar *registrar.Registrar
	// Member is this entry, Seeds are addresses to pull from while no other entry is known.
	Member registrar.Member
	Seeds  []netip.AddrPort
	// Dial makes the client of an entry's address.
	Dial  func(netip.AddrPort) *messenger.Client
	Store Store
	Clock clock.WithTicker

	clients messenger.Clients
	peers   map[netip.AddrPort]*peer
	// pullFrom are the peers to pull from.
	pullFrom []netip.AddrPort
	// acked is the sequence number up to which all peers have acknowledged the evidence of this entry.
	acked   uint64
	results chan result
	// pulled is set after the first successful pull; pulling are the peers of those under way. The next is due at nextPull.
	pulled   bool
	pulling  map[netip.AddrPort]bool
	nextPull time.Time
	// synced is set once this entry may rely on its blames; knownSince is when its first view came.
	synced     atomic.Bool
	knownSince time.Time
	// merged is the view whose blames were merged last.
	merged    *registrar.View
	persister persister
}

// peer is another entry.
type peer struct {
	incarnation, region string
	// acked is the sequence number up to which it has acknowledged the evidence of this entry.
	acked   uint64
	pushing bool
	// nextPush is when it may be pushed to again after a failure.
	nextPush time.Time
}

// result is how a call to another entry ended.
type result struct {
	to netip.AddrPort
	// pull is set for a pull; sequence is that of the last evidence in a push.
	pull             bool
	sequence         uint64
	request, replied localizer.Update
	err              error
}

func (p *Propagator) String() string { return "propagator" }

// Synced tells whether this entry has pulled the others' blames, or could not within syncTimeout. Until then
// an entry that has just started would send what all others refuse.
func (p *Propagator) Synced() bool { return p.synced.Load() }

// Serve runs until the context ends.
func (p *Propagator) Serve(ctx context.Context) error {
	p.clients.Dial, p.clients.Timeout = p.Dial, callTimeout
	p.peers, p.results, p.acked = map[netip.AddrPort]*peer{}, make(chan result), 0
	p.pulling, p.nextPull, p.merged = map[netip.AddrPort]bool{}, time.Time{}, nil
	p.persister = persister{store: p.Store, clock: p.Clock, entry: p.Member.ID, results: make(chan written)}
	defer p.clients.Close()
	timer := p.Clock.NewTimer(tickInterval)
	defer timer.Stop()
	p.pull(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.firstView():
			p.tick(ctx)
		case r := <-p.results:
			p.finish(r)
		case w := <-p.persister.results:
			p.persister.finish(w)
		case <-timer.C():
			p.tick(ctx)
			timer.Reset(p.interval())
		}
	}
}

// firstView is closed when this entry may have got its first view; nil once it has one.
func (p *Propagator) firstView() <-chan struct{} {
	if p.merged != nil {
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

// interval is the time until the next tick.
func (p *Propagator) interval() time.Duration {
	if p.Localizer.Idle() && p.synced.Load() {
		return idleInterval
	}
	return tickInterval
}

func (p *Propagator) tick(ctx context.Context) {
	view := p.Registrar.View()
	if view != nil && view != p.merged {
		p.merged = view
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
	if p.knownSince.IsZero() {
		p.knownSince = now
	}
	if p.pulled || now.Sub(p.knownSince) >= syncTimeout {
		p.synced.Store(true)
		klog.InfoS("Blames synced", "pulled", p.pulled, "after", now.Sub(p.knownSince))
	}
}

// updatePeers keeps peers in step with the known entries. A new incarnation has to get everything again.
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
	p.choosePullPeers()
}

// choosePullPeers keeps the choice while its peers remain, so that their connections are used again.
func (p *Propagator) choosePullPeers() {
	p.pullFrom = slices.DeleteFunc(p.pullFrom, func(a netip.AddrPort) bool { return p.peers[a] == nil })
	p.choose(pullPeers/2, func(o *peer) bool { return o.region == p.Member.Region })
	p.choose(pullPeers, func(*peer) bool { return true })
}

// choose adds peers to pull from up to a number of them.
func (p *Propagator) choose(most int, fits func(*peer) bool) {
	for a, o := range p.peers {
		if len(p.pullFrom) >= most {
			return
		}
		if fits(o) && !slices.Contains(p.pullFrom, a) {
			p.pullFrom = append(p.pullFrom, a)
		}
	}
}

// push sends each peer the evidence of this entry that it hasn't acknowledged.
func (p *Propagator) push(ctx context.Context) {
	newest := p.Localizer.Sequence()
	if newest == p.acked {
		return
	}
	now, all := p.Clock.Now(), true
	for a, to := range p.peers {
		if to.acked >= newest {
			continue
		}
		all = false
		if to.pushing || now.Before(to.nextPush) {
			continue
		}
		u, sequence := p.Localizer.Since(to.acked)
		if u.Empty() {
			to.acked = sequence
			continue
		}
		to.pushing = true
		p.call(ctx, result{to: a, request: u, sequence: sequence})
	}
	if all {
		p.acked = newest
	}
}

// pull asks peers for their whole state once that is due: one, or all of them and the seeds until the first one has
// answered. With one after the other, a silent one or a saturated link took the whole syncTimeout of an entry that had
// just started.
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
		from = p.randomPeer()
	}
	for _, a := range from {
		if !p.pulling[a] {
			p.pulling[a] = true
			p.call(ctx, result{to: a, pull: true, request: localizer.Update{All: true}})
		}
	}
	if !p.pulled {
		p.nextPull = now.Add(initialPull)
	}
}

// randomPeer draws a peer to pull from, or a seed while there is none.
func (p *Propagator) randomPeer() []netip.AddrPort {
	as := p.pullFrom
	if len(as) == 0 {
		as = p.Seeds
	}
	if len(as) == 0 {
		return nil
	}
	i := rand.IntN(len(as))
	return as[i : i+1]
}

// call sends the request of a result, which is completed by the reply.
func (p *Propagator) call(ctx context.Context, r result) {
	client := p.clients.Get(r.to)
	go func() {
		r.replied, r.err = client.Evidence(ctx, r.request)
		select {
		case p.results <- r:
		case <-ctx.Done():
		}
	}()
}

func (p *Propagator) finish(r result) {
	if r.pull {
		p.finishPull(r)
		return
	}
	to := p.peers[r.to]
	if to == nil {
		return
	}
	to.pushing = false
	if r.err != nil {
		klog.V(1).InfoS("Evidence not pushed", "peer", r.to, "err", r.err)
		to.nextPush = p.Clock.Now().Add(pushRetry)
		return
	}
	to.acked = r.sequence
	p.Localizer.Acked(r.request, r.replied)
}

func (p *Propagator) finishPull(r result) {
	delete(p.pulling, r.to)
	if r.err == nil {
		p.Localizer.Apply(r.replied)
		p.pulled = true
		p.updateSynced(p.merged)
	}
	if p.pulled {
		p.nextPull = p.Clock.Now().Add(pullInterval/2 + time.Duration(rand.Int64N(int64(pullInterval))))
	}
}
