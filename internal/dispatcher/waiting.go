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

// advanceInterval is how often queues are advanced although nothing has ended here:
// slots are also freed by other entries' requests, and by replicas that come back.
const advanceInterval = 20 * time.Millisecond

// ownerRetryInterval is the mean time between attempts at a full agent that alone
// may get a request.
const ownerRetryInterval = 20 * time.Millisecond

// queues holds one queue for each model and service, since each has capacity of
// its own.
type queues struct {
	mu       sync.Mutex
	byTarget map[target]*limiter.Queue
}

// target is a model or a service; the other name is empty.
type target struct {
	model, service string
}

// queue returns the queue of requests for the same model or service.
func (d *Dispatcher) queue(r router.Request) *limiter.Queue {
	key := target{model: r.Model, service: r.Service}
	d.queues.mu.Lock()
	defer d.queues.mu.Unlock()
	if d.queues.byTarget == nil {
		d.queues.byTarget = map[target]*limiter.Queue{}
	}
	q := d.queues.byTarget[key]
	if q == nil {
		q = &limiter.Queue{Clock: d.Clock, Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
		d.queues.byTarget[key] = q
	}
	return q
}

// advanceQueues gives the first request in each queue its turn.
func (d *Dispatcher) advanceQueues() {
	d.queues.mu.Lock()
	defer d.queues.mu.Unlock()
	for t, q := range d.queues.byTarget {
		q.Expire()
		d.Router.SetWaiting(t.model, t.service, q.Len())
		q.Next()
	}
}

// Serve advances the queues until the context ends.
func (d *Dispatcher) Serve(ctx context.Context) error {
	t := d.Clock.NewTicker(advanceInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C():
			d.advanceQueues()
		}
	}
}

func (d *Dispatcher) String() string { return "dispatcher" }

// queueItem describes a request for its queue.
func (d *Dispatcher) queueItem(r router.Request, deadline time.Time) limiter.Item {
	expires := d.Clock.Now().Add(d.QueueFor)
	if deadline.Before(expires) {
		expires = deadline
	}
	i := limiter.Item{Workspace: r.Workspace, Priority: r.Priority, Cost: 1, Deadline: expires}
	if b, _ := d.State.Current(); b != nil {
		w, _ := b.Workspace(r.Workspace)
		i.Priority += w.Priority * priorityLevels
	}
	return i
}

// priorityLevels is the number of request priorities between two workspace
// priorities: a request's own priority orders it within its workspace only.
const priorityLevels = 1000

// pick chooses a replica, waiting in the queue while all are full. A newcomer that
// finds a slot just freed can not overtake the queue.
//
// foundFull is set for a request that had its turn and found its replica full; it
// goes before those that have not, or it would wait twice.
func (d *Dispatcher) pick(ctx context.Context, r router.Request, deadline time.Time, foundFull bool) (*router.Choice, error) {
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
	i := d.queueItem(r, deadline)
	i.Again = foundFull
	w, err := q.Join(i)
	for err == nil {
		if err = waitForTurn(ctx, q, w); err != nil {
			return nil, err
		}
		// Agents that refused it before may have free slots; if it waited only for the
		// others, it would block all requests behind it.
		r.Avoid = nil
		c, pickErr := d.Router.Pick(r)
		if !isFull(pickErr) {
			// There may be a slot for the next as well.
			q.Next()
			return c, pickErr
		}
		w, err = q.Requeue(w)
	}
	return nil, err
}

// pickOwner waits for the one agent that may get the request, outside the queue: at
// its head a request whose agent is gone would block all others, though every other
// replica is idle.
func (d *Dispatcher) pickOwner(ctx context.Context, r router.Request, deadline time.Time) (*router.Choice, error) {
	expires := d.queueItem(r, deadline).Deadline
	for {
		c, err := d.Router.Pick(r)
		if !isFull(err) || !d.Clock.Now().Before(expires) {
			return c, err
		}
		if !sleep(ctx, d.Clock, ownerRetryInterval/2+rand.N(ownerRetryInterval)) {
			return nil, err
		}
	}
}

// waitForTurn returns nil when it is the request's turn.
func waitForTurn(ctx context.Context, q *limiter.Queue, w *limiter.Waiter) error {
	select {
	case <-w.Ready():
		return w.Err()
	case <-ctx.Done():
		if !w.Cancel() && w.Err() == nil {
			q.Next()
		}
		return newRefusal(http.StatusServiceUnavailable, "given up while waiting in line", randomRetryAfter())
	}
}

func isFull(err error) bool {
	var f *router.FullError
	return errors.As(err, &f)
}

// attemptFinished passes on the slot of an attempt that has ended. Only one that ran
// counts for the rate that predicts waits; refusals end far sooner.
func (d *Dispatcher) attemptFinished(r router.Request, ran bool) {
	q := d.queue(r)
	if ran {
		q.Finished(1)
	}
	q.Next()
}
