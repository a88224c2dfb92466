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

// server is an entry of either kind.
type server interface {
	ask(c *call)
	setBundle(b *bundler.Bundle)
}

// entry is the real router, limiter and retrier in virtual time.
type entry struct {
	id      string
	world   *world
	router  *router.Router
	limiter *limiter.Limiter
	queue   *limiter.Queue
	policy  *retrier.Policy
	waiting []*call
}

func (w *world) newEntries(n int, b *bundler.Bundle) []server {
	var servers []server
	var ids []string
	for i := range n {
		ids = append(ids, fmt.Sprintf("e%d", i))
	}
	for i := range n {
		at := w.upstreams[i%3].state
		source := func(k uint64) *rand.Rand { return rand.New(rand.NewPCG(uint64(i), k)) }
		e := &entry{
			id:      ids[i],
			world:   w,
			router:  &router.Router{FailureDomain: at.FailureDomain, Region: at.Region, Clock: w.clock, Random: source(1)},
			limiter: &limiter.Limiter{Clock: w.clock, Entries: func() int { return n }, Random: source(2)},
			queue:   &limiter.Queue{Clock: w.clock, Random: source(3)},
			policy:  &retrier.Policy{Budget: &retrier.Budget{Clock: w.clock}, Random: source(4)},
		}
		e.router.SetEntries(ids[i], ids)
		e.setBundle(b)
		for _, u := range w.upstreams {
			e.listen(u)
		}
		servers = append(servers, e)
		e.tell(servers)
	}
	return servers
}

func (e *entry) setBundle(b *bundler.Bundle) {
	e.router.SetBundle(b)
	e.limiter.SetBundle(b)
}

// tell lets the entries made before know each second what is asked of this one,
// and the other way round.
func (e *entry) tell(others []server) {
	for _, o := range others {
		if o := o.(*entry); o != e {
			o.router.HearDemand(e.id, e.demand())
			e.router.HearDemand(o.id, o.demand())
		}
	}
	e.world.after(time.Second, func() { e.tell(others) })
}

func (e *entry) demand() map[string]int {
	e.router.SetWaiting("rota", "", e.queue.Len())
	return e.router.Demand()
}

// listen hears an agent's reports, late and with one in twenty lost.
func (e *entry) listen(u *upstream) {
	w := e.world
	s := u.report()
	if w.random.IntN(20) > 0 {
		w.after(reportLag, func() {
			e.router.Report(s)
			for e.next() {
			}
		})
	}
	w.after(reportEvery, func() { e.listen(u) })
}

func (e *entry) ask(c *call) {
	t, err := e.limiter.Admit(c.workspace, 0, 0)
	if err != nil {
		e.world.refuse(c, time.Second)
		return
	}
	c.ticket = t
	e.policy.Budget.RecordFirstAttempt()
	if !e.try(c) {
		e.wait(c)
	}
}

// try sends the call to a replica if there is one with room.
func (e *entry) try(c *call) bool {
	choice, err := e.router.Pick(router.Request{Workspace: c.workspace, Model: "rota", Prompt: c.prompt, Avoid: c.avoid})
	if err != nil {
		return false
	}
	c.number++
	at := slices.IndexFunc(e.world.upstreams, func(u *upstream) bool { return u.state.ID == choice.AgentID })
	u := e.world.upstreams[at]
	e.world.after(link, func() {
		u.serve(c, func(o retrier.Outcome) {
			choice.Done(o)
			e.router.Report(u.report())
			e.ended(c, choice, o)
		})
	})
	return true
}

func (e *entry) ended(c *call, choice *router.Choice, o retrier.Outcome) {
	if o == retrier.Ran {
		e.queue.Finished(1)
		e.end(c, true)
		e.next()
		return
	}
	now := e.world.clock.Now()
	d := e.policy.Decide(retrier.Attempt{Outcome: o, Earlier: c.earlier, Number: c.number, Now: now, Deadline: c.deadline})
	c.earlier = d.Final
	c.avoid = append(c.avoid, choice.AgentID)
	if d.Final == retrier.Unknown {
		e.end(c, false)
		return
	}
	e.world.after(d.Delay, func() {
		if !d.Retry || !e.try(c) {
			c.avoid, c.number = nil, 1
			e.wait(c)
		}
	})
}

func (e *entry) end(c *call, ok bool) {
	c.ticket.Done()
	e.world.finish(c, ok)
}

func (e *entry) wait(c *call) {
	w, err := e.queue.Join(limiter.Item{Workspace: c.workspace, Deadline: c.deadline.Add(-2 * meanRun), Again: c.number > 0})
	e.waits(c, w, err)
	e.drop()
}

// waits notes a waiter or the refusal to have it.
func (e *entry) waits(c *call, w *limiter.Waiter, err error) {
	if s, shed := errors.AsType[*limiter.ShedError](err); shed {
		c.ticket.Done()
		e.world.refuse(c, s.RetryAfter)
		return
	}
	c.waiter = w
	e.waiting = append(e.waiting, c)
}

// drop answers the callers whose waiters were shed.
func (e *entry) drop() {
	e.waiting = slices.DeleteFunc(e.waiting, func(c *call) bool {
		select {
		case <-c.waiter.Ready():
			e.waits(c, nil, c.waiter.Err())
			return true
		default:
			return false
		}
	})
}

// next gives the first waiter a place, if there is one, and tells whether to go on.
func (e *entry) next() bool {
	w := e.queue.Next()
	at := slices.IndexFunc(e.waiting, func(c *call) bool { return c.waiter == w })
	if w == nil {
		e.drop()
		return false
	}
	c := e.waiting[at]
	e.waiting = slices.Delete(e.waiting, at, at+1)
	e.drop()
	if e.try(c) {
		return true
	}
	again, err := e.queue.Requeue(w)
	e.waits(c, again, err)
	return false
}

// naive goes round robin over what its list shows and retries at once whatever
// went wrong.
type naive struct {
	world  *world
	bundle *bundler.Bundle
	turn   int
}

func (n *naive) setBundle(b *bundler.Bundle) {
	n.world.after(4*time.Second, func() { n.bundle = b })
}

func (n *naive) ask(c *call) {
	w := n.world
	for {
		n.turn++
		u := w.upstreams[n.turn%len(w.upstreams)]
		if !n.bundle.Serves(nil, u.state.FailureDomain) {
			continue
		}
		c.number++
		w.after(link, func() { u.serve(c, func(o retrier.Outcome) { n.ended(c, o) }) })
		return
	}
}

func (n *naive) ended(c *call, o retrier.Outcome) {
	switch {
	case o == retrier.Ran:
		n.world.finish(c, true)
	case c.number < 4:
		n.ask(c)
	default:
		n.world.finish(c, false)
	}
}
