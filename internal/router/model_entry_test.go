package router_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/limiter"
	"github.com/oriolecroft/oriolecroft/internal/retrier"
	"github.com/oriolecroft/oriolecroft/internal/router"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

// simulatedEntry is an entry of either implementation.
type simulatedEntry interface {
	submit(c *call)
	setBundle(b *bundler.Bundle)
}

// entry runs the real router, limiter and retrier in virtual time.
type entry struct {
	id      string
	sim     *simulation
	router  *router.Router
	limiter *limiter.Limiter
	queue   *limiter.Queue
	policy  *retrier.Policy
	waiting []*call
}

func (w *simulation) newEntries(n int, b *bundler.Bundle) []simulatedEntry {
	var entries []simulatedEntry
	var ids []string
	for i := range n {
		ids = append(ids, fmt.Sprintf("e%d", i))
	}
	for i := range n {
		near := w.upstreams[i%3].state
		randomSource := func(k uint64) *rand.Rand { return rand.New(rand.NewPCG(uint64(i), k)) }
		e := &entry{
			id:      ids[i],
			sim:     w,
			router:  &router.Router{FailureDomain: near.FailureDomain, Region: near.Region, Clock: w.clock, Random: randomSource(1)},
			limiter: &limiter.Limiter{Clock: w.clock, Entries: func() int { return n }, Random: randomSource(2)},
			queue:   &limiter.Queue{Clock: w.clock, Random: randomSource(3)},
			policy:  &retrier.Policy{Budget: &retrier.Budget{Clock: w.clock}, Random: randomSource(4)},
		}
		e.router.SetEntries(ids[i], ids)
		e.setBundle(b)
		for _, u := range w.upstreams {
			e.receiveReports(u)
		}
		entries = append(entries, e)
		e.exchangeDemand(entries)
	}
	return entries
}

func (e *entry) setBundle(b *bundler.Bundle) {
	e.router.SetBundle(b)
	e.limiter.SetBundle(b)
}

// exchangeDemand exchanges demand with the earlier entries every second.
func (e *entry) exchangeDemand(others []simulatedEntry) {
	for _, o := range others {
		if o := o.(*entry); o != e {
			o.router.ReceiveDemand(e.id, e.demand())
			e.router.ReceiveDemand(o.id, o.demand())
		}
	}
	e.sim.after(time.Second, func() { e.exchangeDemand(others) })
}

func (e *entry) demand() map[string]int {
	e.router.SetWaiting("rota", "", e.queue.Len())
	return e.router.Demand()
}

// receiveReports receives an agent's reports late and loses one in twenty.
func (e *entry) receiveReports(u *upstream) {
	w := e.sim
	s := u.report()
	if w.random.IntN(20) > 0 {
		w.after(reportLag, func() {
			e.router.Report(s)
			for e.dispatchNext() {
			}
		})
	}
	w.after(reportEvery, func() { e.receiveReports(u) })
}

func (e *entry) submit(c *call) {
	t, err := e.limiter.Admit(c.workspace, 0, 0)
	if err != nil {
		e.sim.refuse(c, time.Second)
		return
	}
	c.ticket = t
	e.policy.Budget.RecordFirstAttempt()
	if !e.dispatch(c) {
		e.enqueue(c)
	}
}

// dispatch sends the call to a replica if one has free slots.
func (e *entry) dispatch(c *call) bool {
	choice, err := e.router.Pick(router.Request{Workspace: c.workspace, Model: "rota", Prompt: c.prompt, Avoid: c.avoid})
	if err != nil {
		return false
	}
	c.number++
	i := slices.IndexFunc(e.sim.upstreams, func(u *upstream) bool { return u.state.ID == choice.AgentID })
	u := e.sim.upstreams[i]
	e.sim.after(linkLatency, func() {
		u.serve(c, func(o retrier.Outcome) {
			choice.Done(o)
			e.router.Report(u.report())
			e.attemptEnded(c, choice, o)
		})
	})
	return true
}

func (e *entry) attemptEnded(c *call, choice *router.Choice, o retrier.Outcome) {
	if o == retrier.Ran {
		e.queue.Finished(1)
		e.finishCall(c, true)
		e.dispatchNext()
		return
	}
	now := e.sim.clock.Now()
	d := e.policy.Decide(retrier.Attempt{Outcome: o, Earlier: c.earlier, Number: c.number, Now: now, Deadline: c.deadline})
	c.earlier = d.Final
	c.avoid = append(c.avoid, choice.AgentID)
	if d.Final == retrier.Unknown {
		e.finishCall(c, false)
		return
	}
	e.sim.after(d.Delay, func() {
		if !d.Retry || !e.dispatch(c) {
			c.avoid, c.number = nil, 1
			e.enqueue(c)
		}
	})
}

func (e *entry) finishCall(c *call, ok bool) {
	c.ticket.Done()
	e.sim.finish(c, ok)
}

func (e *entry) enqueue(c *call) {
	w, err := e.queue.Join(limiter.Item{Workspace: c.workspace, Deadline: c.deadline.Add(-2 * meanRun), Again: c.number > 0})
	e.recordWaiter(c, w, err)
	e.removeShed()
}

// recordWaiter records a waiter, or the refusal to queue it.
func (e *entry) recordWaiter(c *call, w *limiter.Waiter, err error) {
	if s, shed := errors.AsType[*limiter.ShedError](err); shed {
		c.ticket.Done()
		e.sim.refuse(c, s.RetryAfter)
		return
	}
	c.waiter = w
	e.waiting = append(e.waiting, c)
}

// removeShed answers the callers whose waiters were shed.
func (e *entry) removeShed() {
	e.waiting = slices.DeleteFunc(e.waiting, func(c *call) bool {
		select {
		case <-c.waiter.Ready():
			e.recordWaiter(c, nil, c.waiter.Err())
			return true
		default:
			return false
		}
	})
}

// dispatchNext dispatches the first waiter, and reports whether to continue.
func (e *entry) dispatchNext() bool {
	w := e.queue.Next()
	i := slices.IndexFunc(e.waiting, func(c *call) bool { return c.waiter == w })
	if w == nil {
		e.removeShed()
		return false
	}
	c := e.waiting[i]
	e.waiting = slices.Delete(e.waiting, i, i+1)
	e.removeShed()
	if e.dispatch(c) {
		return true
	}
	again, err := e.queue.Requeue(w)
	e.recordWaiter(c, again, err)
	return false
}

// naiveEntry uses round robin over its list and retries at once after any
// failure.
type naiveEntry struct {
	sim    *simulation
	bundle *bundler.Bundle
	turn   int
}

func (n *naiveEntry) setBundle(b *bundler.Bundle) {
	n.sim.after(4*time.Second, func() { n.bundle = b })
}

func (n *naiveEntry) submit(c *call) {
	w := n.sim
	for {
		n.turn++
		u := w.upstreams[n.turn%len(w.upstreams)]
		if !n.bundle.Serves(nil, u.state.FailureDomain) {
			continue
		}
		c.number++
		w.after(linkLatency, func() { u.serve(c, func(o retrier.Outcome) { n.attemptEnded(c, o) }) })
		return
	}
}

func (n *naiveEntry) attemptEnded(c *call, o retrier.Outcome) {
	switch {
	case o == retrier.Ran:
		n.sim.finish(c, true)
	case c.number < 4:
		n.submit(c)
	default:
		n.sim.finish(c, false)
	}
}
