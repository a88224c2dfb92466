package dispatcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/limiter"
	"github.com/oriolecroft/oriolecroft/internal/router"
)

// pumpEvery is how often the first in line is woken although nothing has ended
// here: places are also freed by other entries' requests, and by replicas that
// come back.
const pumpEvery = 20 * time.Millisecond

// ownerPause is about how often a full agent that alone may get a request is
// tried again.
const ownerPause = 20 * time.Millisecond

// queues holds one queue for each model and service, since each has capacity of
// its own.
type queues struct {
	mu     sync.Mutex
	byName map[target]*limiter.Queue
}

// target is a model, or a service; the other name is empty.
type target struct {
	model, service string
}

// queue is where requests for the same model or service wait.
func (d *Dispatcher) queue(r router.Request) *limiter.Queue {
	name := target{model: r.Model, service: r.Service}
	d.queues.mu.Lock()
	defer d.queues.mu.Unlock()
	if d.queues.byName == nil {
		d.queues.byName = map[target]*limiter.Queue{}
	}
	q := d.queues.byName[name]
	if q == nil {
		q = &limiter.Queue{Clock: d.Clock, Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
		d.queues.byName[name] = q
	}
	return q
}

// pump wakes the first in line of each queue.
func (d *Dispatcher) pump() {
	d.queues.mu.Lock()
	defer d.queues.mu.Unlock()
	for t, q := range d.queues.byName {
		q.Expire()
		d.Router.SetWaiting(t.model, t.service, q.Len())
		q.Next()
	}
}

// Serve keeps the queues moving until the context ends.
func (d *Dispatcher) Serve(ctx context.Context) error {
	t := d.Clock.NewTicker(pumpEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C():
			d.pump()
		}
	}
}

func (d *Dispatcher) String() string { return "dispatcher" }

// item is what a queue needs to know of a request.
func (d *Dispatcher) item(r router.Request, deadline time.Time) limiter.Item {
	until := d.Clock.Now().Add(d.QueueFor)
	if deadline.Before(until) {
		until = deadline
	}
	i := limiter.Item{Workspace: r.Workspace, Priority: r.Priority, Cost: 1, Deadline: until}
	if b, _ := d.State.Current(); b != nil {
		w, _ := b.Workspace(r.Workspace)
		i.Priority += w.Priority * priorityLevels
	}
	return i
}

// priorityLevels is how many priorities of requests lie between two of
// workspaces: a request's own priority orders it within its workspace only.
const priorityLevels = 1000

// pick chooses a replica, waiting in line while all are full. Nobody is passed by
// a newcomer that happens to find the place just freed.
//
// Again is set for a request that had its turn and found its replica full; it goes
// before those that have not, or it would wait twice.
func (d *Dispatcher) pick(ctx context.Context, r router.Request, deadline time.Time, again bool) (*router.Choice, error) {
	if r.Owner != "" {
		return d.pickOwner(ctx, r, deadline)
	}
	q := d.queue(r)
	if q.Len() == 0 {
		c, err := d.Router.Pick(r)
		if !isFull(err) {
			return c, err
		}
	}
	i := d.item(r, deadline)
	i.Again = again
	w, err := q.Join(i)
	for err == nil {
		if err = wait(ctx, q, w); err != nil {
			return nil, err
		}
		// Those who refused it before may have room by now; were it to wait for the
		// others only, it would hold up all behind it.
		r.Avoid = nil
		c, pickErr := d.Router.Pick(r)
		if !isFull(pickErr) {
			// There may be room for the next as well.
			q.Next()
			return c, pickErr
		}
		w, err = q.Requeue(w)
	}
	return nil, err
}

// pickOwner waits for the one agent that may get the request, outside the line:
// at its head a request whose agent is gone would hold up all others, though
// every other replica is idle.
func (d *Dispatcher) pickOwner(ctx context.Context, r router.Request, deadline time.Time) (*router.Choice, error) {
	until := d.item(r, deadline).Deadline
	for {
		c, err := d.Router.Pick(r)
		if !isFull(err) || !d.Clock.Now().Before(until) {
			return c, err
		}
		if !sleep(ctx, d.Clock, ownerPause/2+rand.N(ownerPause)) {
			return nil, err
		}
	}
}

// wait returns nil when it is the request's turn.
func wait(ctx context.Context, q *limiter.Queue, w *limiter.Waiter) error {
	select {
	case <-w.Ready():
		return w.Err()
	case <-ctx.Done():
		if !w.Cancel() && w.Err() == nil {
			q.Next()
		}
		return refuse(http.StatusServiceUnavailable, "given up while waiting in line", pause())
	}
}

func isFull(err error) bool {
	var f *router.FullError
	return errors.As(err, &f)
}

// finished gives the place of an attempt that has ended on. Only one that ran
// counts for the rate by which waits are foretold; refusals end far sooner.
func (d *Dispatcher) finished(r router.Request, ran bool) {
	q := d.queue(r)
	if ran {
		q.Finished(1)
	}
	q.Next()
}
