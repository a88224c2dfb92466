package detector

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"k8s.io/klog/v2"
)

const (
	// probeSignal is ignored by default. Its number is higher than those of the signals to stop: of two that are pending the
	// kernel delivers the lower one first.
	probeSignal = syscall.SIGWINCH
	// maxProbeAge is the age up to which the last received probe shows that signals are handled at once.
	maxProbeAge = 100 * time.Millisecond
	// maxQueuedSignals is how many received signals may wait to be handled.
	maxQueuedSignals = 8
)

// signalProbes are signals that the process sends itself, as one that is short of processor time handles signals late. A
// signal to stop that was sent before a probe is received before it.
type signalProbes struct {
	active bool
	// sentAt is when the probe under way was sent; zero for none.
	sentAt time.Time
	// received is when the last received probe was sent.
	received time.Time
	// stop is the first signal to stop; nil before it.
	stop *Event
}

// send sends a probe unless one is under way.
func (p *signalProbes) send(now time.Time) {
	if !p.active || !p.sentAt.IsZero() {
		return
	}
	p.sentAt = now
	if err := syscall.Kill(os.Getpid(), probeSignal); err != nil {
		klog.ErrorS(err, "Failed to send a signal to this process")
		p.active = false
	}
}

// bound extends the period in which a signal may have been sent back to the last received probe, unless that is recent.
func (p *signalProbes) bound(e Event) Event {
	if !p.active || e.Latest.Sub(p.received) <= maxProbeAge || !p.received.Before(e.Earliest) {
		return e
	}
	e.Earliest, e.Probable = p.received, p.received
	return e
}

// StopSignal bounds the time at which the signal to stop was sent, which the process handles now.
func (d *Detector) StopSignal() Event {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.probes.stop != nil {
		return *d.probes.stop
	}
	return d.probes.bound(d.event())
}

// WatchSignals dates signals to stop by when the process last received signals, until the context ends. The detector has to
// run meanwhile.
func (d *Detector) WatchSignals(ctx context.Context, stop ...os.Signal) {
	received := make(chan os.Signal, maxQueuedSignals)
	signal.Notify(received, append([]os.Signal{probeSignal}, stop...)...)
	defer signal.Stop(received)
	d.mu.Lock()
	d.probes.active, d.probes.received = true, d.clock.Now()
	d.mu.Unlock()
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-received:
			d.receive(s)
		}
	}
}

// receive records a probe, or the first signal to stop.
func (d *Detector) receive(s os.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := &d.probes
	switch {
	case s != probeSignal:
		if p.stop == nil {
			e := p.bound(d.event())
			p.stop = &e
		}
	case !p.sentAt.IsZero():
		p.received, p.sentAt = p.sentAt, time.Time{}
	}
}
