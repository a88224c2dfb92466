package relayer

import (
	"fmt"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

const (
	// startMargin is how long before its weights expire a request that hasn't started is given up:
	// the close must reach the engine by then, behind the chunks queued on its link.
	startMargin = 200 * time.Millisecond
	// startCheckInterval is the interval of checks of the time left: timers don't count the time
	// for which this VM is suspended.
	startCheckInterval = 100 * time.Millisecond
)

// StaleWeightsError reports a request that was given up, or not sent, as it could not start before
// the weights of its upstream expire.
type StaleWeightsError struct{ Version uint64 }

func (e *StaleWeightsError) Error() string {
	return fmt.Sprintf("too late to begin on version %d", e.Version)
}

// TimeToStart is the time left for a request to start at its place; false if unlimited. An engine
// that has more load than its agent counts, or slows down, misses the prediction behind a grant,
// and the request would start on expired weights.
func (p *Placer) TimeToStart(place *Placement, j *Job) (time.Duration, bool) {
	var left time.Duration
	bounded := false
	if place.Held != 0 {
		left, bounded = p.Registrar.TimeLeft(j.Model, place.Held, p.WeightsBound)
	}
	if !place.BeginBy.IsZero() {
		stated := place.BeginBy.Sub(p.Registrar.Clock.Now())
		if !bounded || stated < left {
			left, bounded = stated, true
		}
	}
	if confirmed, ok := p.confirmedTimeToStart(place, j); ok && (place.BeginBy.IsZero() || confirmed > left) {
		left, bounded = confirmed, true
	}
	return max(0, left-startMargin), bounded
}

// confirmedTimeToStart is the time left by the last confirmation here that a place's weights are the newest; false if they
// aren't. Where an agent states a time, too, only the store's own word counts: both then end in time, as each counts from
// before any announcement. The agent may know of one in an outage that is only inferred here.
func (p *Placer) confirmedTimeToStart(place *Placement, j *Job) (time.Duration, bool) {
	if place.Held == 0 || p.WeightsBound <= 0 {
		return 0, false
	}
	since, superseded := p.Registrar.SupersededSince(j.Model, place.Held)
	age := p.Registrar.Clock.Since(since)
	if !place.BeginBy.IsZero() {
		age = max(age, p.Registrar.Confirmation().StoreAge)
	}
	return p.WeightsBound - age, !superseded
}

// closeUnlessStarted closes the connection of a request that doesn't start in time. Calling started
// once the request has started or ended stops the watch. The error is a *StaleWeightsError if it is
// too late to send the request.
func (c *call) closeUnlessStarted(place *Placement, conn *connection) (started func(), err error) {
	if place.Held == 0 && place.BeginBy.IsZero() {
		return func() {}, nil
	}
	if left, bounded := c.Placer.TimeToStart(place, &c.Job); bounded && left == 0 {
		return nil, &StaleWeightsError{Version: place.Held}
	}
	w := &beginWatch{placer: c.Placer, place: place, job: &c.Job, conn: conn, stopped: make(chan struct{})}
	go w.run()
	return w.stop, nil
}

// beginWatch closes the connection of a request that doesn't start before its weights expire. It
// also applies announcements received while the request waits.
type beginWatch struct {
	placer *Placer
	place  *Placement
	job    *Job
	conn   *connection
	// done makes the start and the expiry exclude each other: a connection must not be closed once
	// it may serve another request.
	done    sync.Once
	stopped chan struct{}
}

func (w *beginWatch) stop() { w.done.Do(func() { close(w.stopped) }) }

func (w *beginWatch) run() {
	for {
		changed := w.placer.Registrar.Changed()
		left, bounded := w.placer.TimeToStart(w.place, w.job)
		if bounded && left == 0 {
			w.done.Do(w.giveUp)
			return
		}
		var check <-chan time.Time
		if bounded {
			check = time.After(min(left, startCheckInterval))
		}
		select {
		case <-w.stopped:
			return
		case <-changed:
		case <-check:
		}
	}
}

func (w *beginWatch) giveUp() {
	klog.InfoS("Gave up request not started before its weights expired", "request", w.job.ID, "upstream", w.place.Upstream.ID, "version", w.place.Held)
	w.conn.giveUp(&StaleWeightsError{Version: w.place.Held})
}
