// Package detector detects stalls of the process, and bounds the time of events and signals that it handles after one.
package detector

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"
	"k8s.io/utils/clock"
)

const (
	// checkInterval is how often a process checks whether it was stalled.
	checkInterval = 25 * time.Millisecond
	// minGap is the least time between two checks that counts as a stall.
	minGap = 100 * time.Millisecond
	// minRecurring is the least time between two checks that counts as a stall if it recurs.
	minRecurring = 50 * time.Millisecond
	// recentTime is for how long Recurring takes a stall into account.
	recentTime = 5 * time.Second
	// minLogged is the least stall, beyond checkInterval, that is logged and counted.
	minLogged = 300 * time.Millisecond
	// noticeTime is how long a process that has resumed may take to handle what happened during the stall.
	noticeTime = 250 * time.Millisecond
	// maxRecent is how many stalls fit into recentTime.
	maxRecent = int(recentTime / minRecurring)
	// maxStalls is how many stalls may delay an event. A process with more in a row is just slow.
	maxStalls = 4
	// probableStalls is how many stalls are likely to delay one.
	probableStalls = 2
)

// Event is the time of an event, by the detector's clock.
type Event struct {
	// Earliest and Latest bound the time. They differ only if the process was stalled.
	Earliest, Latest time.Time
	// Probable is Earliest with no more than the last probableStalls. A process mostly handles an event as it resumes.
	Probable time.Time
	// Stalls is how many stalls may have delayed the event.
	Stalls int
}

// Uncertainty is the length of the period in which the event may have happened.
func (e Event) Uncertainty() time.Duration { return e.Latest.Sub(e.Earliest) }

// Detector is a service that detects, logs and counts stalls of the process or its VM. A stalled process writes no
// log, and its state is older than it seems; without this line both have to be inferred from a gap in the log. It is
// safe for concurrent use.
type Detector struct {
	clock   clock.WithTicker
	metrics metrics.Registry

	mu sync.Mutex
	// lastCheck is when the process was last known to run.
	lastCheck time.Time
	// stalls are the latest ones, in order.
	stalls []stall
	// recent are those of recentTime, in order, also those that only count if they recur.
	recent []stall
	probes signalProbes
}

// stall is a time in which the process did not run.
type stall struct{ from, to time.Time }

func (s stall) length() time.Duration { return s.to.Sub(s.from) }

// New returns a detector. The clock should count the time for which the VM is suspended.
func New(c clock.WithTicker, r metrics.Registry) *Detector {
	return &Detector{clock: c, metrics: r, lastCheck: c.Now()}
}

// Serve runs until the context ends.
func (d *Detector) Serve(ctx context.Context) error {
	t := d.clock.NewTicker(checkInterval)
	defer t.Stop()
	for {
		d.mu.Lock()
		d.probes.send(d.check())
		d.mu.Unlock()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C():
		}
	}
}

func (d *Detector) String() string { return "stalls" }

// Event bounds the time of an event that the process handles now. An event during a stall is
// handled some time after it, and possibly after another stall.
func (d *Detector) Event() Event {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.event()
}

// event is Event with the mutex locked.
func (d *Detector) event() Event {
	now := d.check()
	e := Event{Earliest: now, Probable: now, Latest: now}
	left := noticeTime
	for i := len(d.stalls) - 1; i >= 0; i-- {
		if left -= e.Earliest.Sub(d.stalls[i].to); left < 0 {
			break
		}
		e.Earliest = d.stalls[i].from
		e.Stalls++
		if e.Stalls <= probableStalls {
			e.Probable = e.Earliest
		}
	}
	return e
}

// StalledSince reports whether the process was stalled after a time.
func (d *Detector) StalledSince(t time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.check()
	return len(d.stalls) > 0 && d.stalls[len(d.stalls)-1].to.After(t)
}

// Recurring returns how long the process has to expect to stall again; 0 if it has not stalled repeatedly of late. It is the
// second-longest recent stall, as a single one says nothing about the next.
func (d *Detector) Recurring() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.check()
	d.recent = slices.DeleteFunc(d.recent, func(s stall) bool { return now.Sub(s.to) > recentTime })
	var longest, second time.Duration
	for _, s := range d.recent {
		longest, second = max(longest, s.length()), max(second, min(longest, s.length()))
	}
	return second
}

// check records a stall since the last check and returns the time. The mutex has to be locked.
func (d *Detector) check() (now time.Time) {
	now = d.clock.Now()
	gap := now.Sub(d.lastCheck)
	if gap >= minRecurring {
		if len(d.recent) == maxRecent {
			d.recent = append(d.recent[:0], d.recent[1:]...)
		}
		d.recent = append(d.recent, stall{d.lastCheck, now})
	}
	if gap >= minGap {
		if len(d.stalls) == maxStalls {
			d.stalls = append(d.stalls[:0], d.stalls[1:]...)
		}
		d.stalls = append(d.stalls, stall{d.lastCheck, now})
	}
	if length := gap - checkInterval; length >= minLogged {
		klog.InfoS("Process stalled", "for", length)
		metrics.GetOrRegisterTimer("process.stoodStill", d.metrics).Update(length)
	}
	d.lastCheck = now
	return now
}
