// Package informer has the entries tell each other of crashes and of parts of prompts that are blamed for
// them, and keeps the blames in the store. Each entry tells the others itself, so that the store isn't
// needed in time, and the store tells those whom no other entry reaches, or that start when all are new.
package informer

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/localizer"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

const (
	// tickEvery is how often new evidence is sent on and weighed.
	tickEvery = 50 * time.Millisecond
	// askEvery is how often one other entry is asked for all that it knows: for what was lost on its way,
	// and for an entry that the others don't know yet. askedEarly is the same until one has answered.
	askEvery   = time.Second
	askedEarly = 200 * time.Millisecond
	// retryPause is how long an entry that did not answer is told nothing.
	retryPause = 300 * time.Millisecond
	// callTimeout bounds a call to another entry.
	callTimeout = time.Second
	// uninformedFor is how long after its start an entry waits for the word of another one.
	uninformedFor = 300 * time.Millisecond
	// othersWrite is how long this entry leaves the writing of another one's decision to that one.
	othersWrite = 3 * time.Second
)

// Store keeps blames.
type Store interface {
	PutBlame(ctx context.Context, b localizer.Blame) error
	DropBlame(ctx context.Context, part string) error
}

// Informer runs beside a localizer. Set the exported fields before Serve.
type Informer struct {
	Localizer *localizer.Localizer
	Registrar *registrar.Registrar
	// Member is this entry, Seeds are addresses to ask while no other entry is known.
	Member registrar.Member
	Seeds  []netip.AddrPort
	// Dial makes the client of an entry's address.
	Dial  func(netip.AddrPort) *messenger.Client
	Store Store
	Clock clock.WithTicker

	clients messenger.Clients
	peers   map[netip.AddrPort]*peer
	// allTold is the sequence number up to which all peers know what this entry has found.
	allTold uint64
	results chan result
	// asked tells that another entry has answered with all that it knows, knownFrom since when there is
	// anything to go by.
	asked     bool
	informed  atomic.Bool
	knownFrom time.Time
	nextAt    time.Time
	asking    bool
	// learned is the view of which the blames were last taken over.
	learned *registrar.View
	keeper  keeper
}

// peer is what is known of another entry.
type peer struct {
	incarnation string
	// told is the sequence number up to which it knows what this entry has found.
	told uint64
	busy bool
	// from is when it may be told again.
	from time.Time
}

// result is how a call to another entry ended.
type result struct {
	to   netip.AddrPort
	told uint64
	// asked tells that the other one was asked for all that it knows.
	asked        bool
	sent, answer localizer.Update
	err          error
}

func (i *Informer) String() string { return "informer" }

// Informed tells whether this entry knows what the others blame, as far as they can be asked. Until then one
// that has just started would send what all others refuse.
func (i *Informer) Informed() bool { return i.informed.Load() }

// noteInformed finds out whether this entry is informed.
func (i *Informer) noteInformed(view *registrar.View) {
	if view == nil || i.informed.Load() {
		return
	}
	now := i.Clock.Now()
	if i.knownFrom.IsZero() {
		i.knownFrom = now
	}
	if i.asked || now.Sub(i.knownFrom) >= uninformedFor {
		i.informed.Store(true)
		klog.InfoS("Informed of blames", "byAnotherEntry", i.asked, "after", now.Sub(i.knownFrom))
	}
}

// Serve runs until the context ends.
func (i *Informer) Serve(ctx context.Context) error {
	i.clients.Dial, i.clients.Timeout = i.Dial, callTimeout
	i.peers, i.results, i.allTold = map[netip.AddrPort]*peer{}, make(chan result), 0
	i.asking, i.nextAt, i.learned = false, time.Time{}, nil
	i.keeper = keeper{store: i.Store, clock: i.Clock, entry: i.Member.ID, results: make(chan kept)}
	defer i.clients.Close()
	ticker := i.Clock.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case r := <-i.results:
			i.note(r)
		case k := <-i.keeper.results:
			i.keeper.note(k)
		case <-ticker.C():
			i.tick(ctx)
		}
	}
}

func (i *Informer) tick(ctx context.Context) {
	view := i.Registrar.View()
	if view != nil && view != i.learned {
		i.learned = view
		for _, b := range view.Blames {
			i.Localizer.Learn(b)
		}
		i.meet(view)
	}
	i.Localizer.Tick()
	i.noteInformed(view)
	i.tell(ctx)
	i.ask(ctx)
	if view != nil {
		i.keeper.keep(ctx, i.Localizer.Blames(), view.Blames)
	}
}

// meet keeps peers in step with the known entries.
func (i *Informer) meet(view *registrar.View) {
	used := map[netip.AddrPort]bool{}
	for _, s := range i.Seeds {
		used[s] = true
	}
	incarnations := map[netip.AddrPort]string{}
	for _, m := range view.Members {
		if m.ID != i.Member.ID {
			used[m.Peers], incarnations[m.Peers] = true, m.Incarnation
		}
	}
	for a := range i.peers {
		if _, ok := incarnations[a]; !ok {
			delete(i.peers, a)
		}
	}
	for a, incarnation := range incarnations {
		if p := i.peers[a]; p == nil || p.incarnation != incarnation {
			i.peers[a] = &peer{incarnation: incarnation}
			i.allTold = 0
		}
	}
	i.clients.Keep(used)
}

// tell sends the other entries what this one has found and they don't know.
func (i *Informer) tell(ctx context.Context) {
	newest := i.Localizer.Sequence()
	if newest == i.allTold {
		return
	}
	now, all := i.Clock.Now(), true
	for a, p := range i.peers {
		all = all && p.told >= newest
		if p.told >= newest || p.busy || now.Before(p.from) {
			continue
		}
		u, told := i.Localizer.Since(p.told)
		if u.Empty() {
			p.told = told
			continue
		}
		p.busy = true
		i.call(ctx, a, u, result{to: a, told: told})
	}
	if all {
		i.allTold = newest
	}
}

// ask asks one other entry for everything once that is due.
func (i *Informer) ask(ctx context.Context) {
	now := i.Clock.Now()
	if i.asking || now.Before(i.nextAt) {
		return
	}
	a, ok := i.another()
	if !ok {
		return
	}
	i.asking = true
	i.call(ctx, a, localizer.Update{All: true}, result{to: a, asked: true})
}

// another draws an entry to ask.
func (i *Informer) another() (netip.AddrPort, bool) {
	var as []netip.AddrPort
	for a := range i.peers {
		as = append(as, a)
	}
	if len(as) == 0 {
		as = i.Seeds
	}
	if len(as) == 0 {
		return netip.AddrPort{}, false
	}
	return as[rand.IntN(len(as))], true
}

func (i *Informer) call(ctx context.Context, to netip.AddrPort, u localizer.Update, r result) {
	client := i.clients.To(to)
	go func() {
		r.sent = u
		r.answer, r.err = client.Evidence(ctx, u)
		select {
		case i.results <- r:
		case <-ctx.Done():
		}
	}()
}

func (i *Informer) note(r result) {
	now := i.Clock.Now()
	if r.asked {
		i.asking = false
		pause := askEvery
		if r.err == nil {
			i.Localizer.Apply(r.answer)
			i.asked = true
			i.noteInformed(i.Registrar.View())
		} else if !i.asked {
			pause = askedEarly
		}
		i.nextAt = now.Add(pause/2 + time.Duration(rand.Int64N(int64(pause))))
		return
	}
	p := i.peers[r.to]
	if p == nil {
		return
	}
	p.busy = false
	if r.err != nil {
		klog.V(1).InfoS("Evidence not sent", "peer", r.to, "err", r.err)
		p.from = now.Add(retryPause)
		return
	}
	p.told = r.told
	i.Localizer.Answered(r.sent, r.answer)
}
