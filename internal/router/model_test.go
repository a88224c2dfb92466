package router_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	clocktesting "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/limiter"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/retrier"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

const (
	link        = time.Millisecond
	reportEvery = 250 * time.Millisecond
	reportLag   = 15 * time.Millisecond
	downFor     = 5 * time.Second
	coldFor     = 15 * time.Second
	meanRun     = time.Second
)

// event is something that happens at a virtual time.
type event struct {
	at time.Time
	do func()
}

// world is virtual time, a table of upstreams and what came of the requests.
type world struct {
	clock     *clocktesting.FakePassiveClock
	random    *rand.Rand
	agenda    []event
	upstreams []*upstream
	gated     bool
	// retry lets a refused caller come back, and tells whether it will.
	retry func(c *call, after time.Duration) bool
	*tally
}

// tally is what came of the requests of one or more worlds.
type tally struct {
	served, refused, lost, attempts, wasted int
	worstCold, fell                         int
	latency                                 []time.Duration
	servedOf, askedOf                       map[string]int
	lastInDomain                            time.Duration
}

func newWorld(gated bool, seed uint64, t *tally) *world {
	w := &world{clock: clocktesting.NewFakePassiveClock(epoch), random: rand.New(rand.NewPCG(seed, 7)), gated: gated, tally: t}
	for i := range 12 {
		s := engine(i, []string{"north", "south", "east"}[i%3])
		w.upstreams = append(w.upstreams, &upstream{world: w, state: s})
	}
	return w
}

func (w *world) after(d time.Duration, do func()) {
	at := w.clock.Now().Add(d)
	i, _ := slices.BinarySearchFunc(w.agenda, at, func(e event, at time.Time) int {
		if e.at.After(at) {
			return 1
		}
		return -1
	})
	w.agenda = slices.Insert(w.agenda, i, event{at, do})
}

func (w *world) run(until time.Duration) {
	for len(w.agenda) > 0 && w.agenda[0].at.Sub(epoch) < until {
		e := w.agenda[0]
		w.agenda = w.agenda[1:]
		w.clock.SetTime(e.at)
		e.do()
	}
}

// arrivals is a Poisson stream of requests, at a rate that depends on the time.
func (w *world) arrivals(rate func(time.Duration) float64, until time.Duration, ask func()) {
	at := w.clock.Since(epoch)
	if at >= until {
		return
	}
	gap := time.Duration(w.random.ExpFloat64() / rate(at) * float64(time.Second))
	w.after(gap, func() {
		ask()
		w.arrivals(rate, until, ask)
	})
}

// call is one request of a caller.
type call struct {
	workspace, prompt string
	arrived, deadline time.Time
	length            time.Duration
	number, returns   int
	earlier           retrier.Outcome
	avoid             []string
	ticket            *limiter.Ticket
	waiter            *limiter.Waiter
}

func (w *world) newCall(workspace string) *call {
	now := w.clock.Now()
	length := meanRun/2 + time.Duration(w.random.ExpFloat64()*float64(meanRun/2))
	prompt := fmt.Sprintf("%s purpose %d", workspace, w.random.IntN(4))
	return &call{workspace: workspace, prompt: prompt, arrived: now, deadline: now.Add(8 * time.Second), length: length}
}

func (w *world) refuse(c *call, after time.Duration) {
	if w.retry == nil || !w.retry(c, after) {
		w.refused++
	}
}

func (w *world) finish(c *call, ok bool) {
	switch {
	case !ok:
		w.lost++
		return
	case w.clock.Now().After(c.deadline):
		w.lost++
		w.wasted++
		return
	}
	w.served++
	w.servedOf[c.workspace]++
	w.latency = append(w.latency, w.clock.Since(c.arrived))
}

// upstream is an engine; when the world is gated, with an agent's gate before it.
type upstream struct {
	world                *world
	state                messenger.AgentState
	running, restarts    int
	downUntil, coldUntil time.Time
	lastWork             time.Time
	drained              bool
}

const (
	fullLimit = 8
	coldLimit = 2
)

// report is the agent's account as it is now.
func (u *upstream) report() messenger.AgentState {
	s := &u.state
	s.Sequence++
	s.Limit, s.Running, s.Gate = fullLimit, u.running, messenger.GateOpen
	if u.world.clock.Now().Before(u.coldUntil) {
		s.Limit, s.Gate = coldLimit, messenger.GateCold
	}
	if u.drained {
		s.Gate = messenger.GateClosed
	}
	return *s
}

// serve runs a call and tells the outcome; without a gate too much makes the
// engine fall over.
func (u *upstream) serve(c *call, done func(retrier.Outcome)) {
	w := u.world
	w.attempts++
	s := u.report()
	if w.clock.Now().Before(u.downUntil) || w.gated && (u.drained || u.running >= s.Limit) {
		w.after(link, func() { done(retrier.NotRun) })
		return
	}
	u.running++
	u.lastWork = w.clock.Now()
	if s.Limit == coldLimit {
		w.worstCold = max(w.worstCold, u.running)
	}
	if u.running > s.Limit && (s.Limit == coldLimit || u.running > fullLimit+4) {
		u.fall()
	}
	start := u.restarts
	w.after(c.length, func() {
		if u.restarts != start {
			done(retrier.Unknown)
			return
		}
		u.running--
		w.after(link, func() { done(retrier.Ran) })
	})
}

// fall cuts all that runs; the engine comes back cold.
func (u *upstream) fall() {
	u.world.fell++
	u.world.wasted += u.running
	u.restarts++
	u.running = 0
	u.downUntil = u.world.clock.Now().Add(downFor)
	u.coldUntil = u.downUntil.Add(coldFor)
}

// setDrained tells all agents of a domain, and makes a returning one cold.
func (w *world) setDrained(domain string, drained bool) {
	for _, u := range w.upstreams {
		if u.state.FailureDomain != domain {
			continue
		}
		w.after(time.Duration(w.random.Int64N(int64(time.Second))), func() { u.drained = drained })
		if !drained {
			u.coldUntil = w.clock.Now().Add(coldFor)
		}
	}
}

// bundleWith is the table's bundle at a revision.
func bundleWith(revision uint64, drained string) *bundler.Bundle {
	b := threeDomains()
	b.Revision = revision
	for i := range b.FailureDomains {
		b.FailureDomains[i].Drained = b.FailureDomains[i].Name == drained
	}
	b.Workspaces = nil
	for i := range 10 {
		b.Workspaces = append(b.Workspaces, bundler.Workspace{Name: fmt.Sprintf("w%d", i), Models: []string{"rota"}})
	}
	return b
}
