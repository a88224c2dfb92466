package router_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	clocktesting "k8s.io/utils/clock/testing"

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
	at   time.Time
	turn int
	do   func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].turn < e[j].turn
}
func (e *events) Push(x any) { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// world is virtual time, a table of upstreams and what came of the requests.
type world struct {
	clock     *clocktesting.FakePassiveClock
	random    *rand.Rand
	agenda    events
	turn      int
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
		s.Limit = 8
		w.upstreams = append(w.upstreams, &upstream{world: w, state: s, full: 8, cold: 2, running: map[*call]bool{}})
	}
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.turn++
	heap.Push(&w.agenda, event{w.clock.Now().Add(d), w.turn, do})
}

func (w *world) run(until time.Duration) {
	for len(w.agenda) > 0 && w.agenda[0].at.Sub(epoch) < until {
		e := heap.Pop(&w.agenda).(event)
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
	if !ok {
		w.lost++
		return
	}
	if w.clock.Now().After(c.deadline) {
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
	world              *world
	state              messenger.AgentState
	full, cold         int
	running            map[*call]bool
	downUntil          time.Time
	coldUntil          time.Time
	drained            bool
	lastWork           time.Time
	reported, restarts int
}

func (u *upstream) isCold() bool { return u.world.clock.Now().Before(u.coldUntil) }

func (u *upstream) limit() int {
	if u.isCold() {
		return u.cold
	}
	return u.full
}

// report is the agent's account as it is now.
func (u *upstream) report() messenger.AgentState {
	u.reported++
	s := u.state
	s.Sequence, s.Limit, s.Running, s.Gate = uint64(u.reported), u.limit(), len(u.running), messenger.GateOpen
	switch {
	case u.drained:
		s.Gate = messenger.GateClosed
	case u.isCold():
		s.Gate = messenger.GateCold
	}
	return s
}

// serve runs a call and tells the outcome; without a gate too much makes the
// engine fall over.
func (u *upstream) serve(c *call, done func(retrier.Outcome)) {
	w := u.world
	w.attempts++
	if w.clock.Now().Before(u.downUntil) || w.gated && (u.drained || len(u.running) >= u.limit()) {
		w.after(link, func() { done(retrier.NotRun) })
		return
	}
	u.running[c] = true
	u.lastWork = w.clock.Now()
	if u.isCold() {
		u.world.worstCold = max(u.world.worstCold, len(u.running))
	}
	if len(u.running) > u.limit() && (u.isCold() || len(u.running) > u.full+4) {
		u.fall()
	}
	start := u.restarts
	w.after(c.length, func() {
		if u.restarts != start {
			done(retrier.Unknown)
			return
		}
		delete(u.running, c)
		w.after(link, func() { done(retrier.Ran) })
	})
}

// fall cuts all that runs; the engine comes back cold.
func (u *upstream) fall() {
	u.world.fell++
	u.world.wasted += len(u.running)
	u.restarts++
	clear(u.running)
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
