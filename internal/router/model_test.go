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
	linkLatency = time.Millisecond
	reportEvery = 250 * time.Millisecond
	reportLag   = 15 * time.Millisecond
	downFor     = 5 * time.Second
	coldFor     = 15 * time.Second
	meanRun     = time.Second
)

// event is an action at a virtual time.
type event struct {
	at     time.Time
	action func()
}

// simulation is virtual time, upstreams and the results of the requests.
type simulation struct {
	clock     *clocktesting.FakePassiveClock
	random    *rand.Rand
	events    []event
	upstreams []*upstream
	gated     bool
	// retry lets a refused caller return, and reports whether it will.
	retry func(c *call, after time.Duration) bool
	*tally
}

// tally holds the results of the requests of one or more simulations.
type tally struct {
	served, refused, lost, attempts, wasted int
	worstCold, crashes                      int
	latency                                 []time.Duration
	servedOf, askedOf                       map[string]int
	lastInDomain                            time.Duration
}

func newSimulation(gated bool, seed uint64, t *tally) *simulation {
	w := &simulation{clock: clocktesting.NewFakePassiveClock(epoch), random: rand.New(rand.NewPCG(seed, 7)), gated: gated, tally: t}
	for i := range 12 {
		s := engine(i, []string{"north", "south", "east"}[i%3])
		w.upstreams = append(w.upstreams, &upstream{sim: w, state: s})
	}
	return w
}

func (w *simulation) after(d time.Duration, action func()) {
	at := w.clock.Now().Add(d)
	i, _ := slices.BinarySearchFunc(w.events, at, func(e event, at time.Time) int {
		if e.at.After(at) {
			return 1
		}
		return -1
	})
	w.events = slices.Insert(w.events, i, event{at, action})
}

func (w *simulation) run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at.Sub(epoch) < until {
		e := w.events[0]
		w.events = w.events[1:]
		w.clock.SetTime(e.at)
		e.action()
	}
}

// arrivals is a Poisson stream of requests at a time-dependent rate.
func (w *simulation) arrivals(rate func(time.Duration) float64, until time.Duration, submit func()) {
	elapsed := w.clock.Since(epoch)
	if elapsed >= until {
		return
	}
	gap := time.Duration(w.random.ExpFloat64() / rate(elapsed) * float64(time.Second))
	w.after(gap, func() {
		submit()
		w.arrivals(rate, until, submit)
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

func (w *simulation) newCall(workspace string) *call {
	now := w.clock.Now()
	length := meanRun/2 + time.Duration(w.random.ExpFloat64()*float64(meanRun/2))
	prompt := fmt.Sprintf("%s purpose %d", workspace, w.random.IntN(4))
	return &call{workspace: workspace, prompt: prompt, arrived: now, deadline: now.Add(8 * time.Second), length: length}
}

func (w *simulation) refuse(c *call, after time.Duration) {
	if w.retry == nil || !w.retry(c, after) {
		w.refused++
	}
}

func (w *simulation) finish(c *call, ok bool) {
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

// upstream is an engine; in a gated simulation, with an agent's gate before it.
type upstream struct {
	sim                  *simulation
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

// report is the agent's present state.
func (u *upstream) report() messenger.AgentState {
	s := &u.state
	s.Sequence++
	s.Limit, s.Running, s.Gate = fullLimit, u.running, messenger.GateOpen
	if u.sim.clock.Now().Before(u.coldUntil) {
		s.Limit, s.Gate = coldLimit, messenger.GateCold
	}
	if u.drained {
		s.Gate = messenger.GateClosed
	}
	return *s
}

// serve runs a call and passes its outcome to reply; without a gate, overload
// crashes the engine.
func (u *upstream) serve(c *call, reply func(retrier.Outcome)) {
	w := u.sim
	w.attempts++
	s := u.report()
	if w.clock.Now().Before(u.downUntil) || w.gated && (u.drained || u.running >= s.Limit) {
		w.after(linkLatency, func() { reply(retrier.NotRun) })
		return
	}
	u.running++
	u.lastWork = w.clock.Now()
	if s.Limit == coldLimit {
		w.worstCold = max(w.worstCold, u.running)
	}
	if u.running > s.Limit && (s.Limit == coldLimit || u.running > fullLimit+4) {
		u.crash()
	}
	restartsBefore := u.restarts
	w.after(c.length, func() {
		if u.restarts != restartsBefore {
			reply(retrier.Unknown)
			return
		}
		u.running--
		w.after(linkLatency, func() { reply(retrier.Ran) })
	})
}

// crash ends all running calls; the engine returns cold.
func (u *upstream) crash() {
	u.sim.crashes++
	u.sim.wasted += u.running
	u.restarts++
	u.running = 0
	u.downUntil = u.sim.clock.Now().Add(downFor)
	u.coldUntil = u.downUntil.Add(coldFor)
}

// setDrained informs all agents of a domain, and makes returning ones cold.
func (w *simulation) setDrained(domain string, drained bool) {
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

// bundleWith is the common bundle at a revision.
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
