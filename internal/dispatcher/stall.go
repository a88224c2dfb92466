package dispatcher

import (
	"context"
	"errors"
	"sync"
	"time"
)

// stallCheckInterval is how often an attempt in progress is checked.
const stallCheckInterval = 200 * time.Millisecond

// errStalled is the cause when an attempt is given up because nothing arrived.
var errStalled = errors.New("nothing came from the agent for too long")

// watchdog gives an attempt up when its agent is suspended or its link stalled. Such
// a connection neither breaks nor delivers anything; without the watchdog the caller
// would wait until the request's deadline, though a stream can be resumed as soon as
// the agent is back, and a request without a first event can go to another replica.
type watchdog struct {
	dispatcher *Dispatcher
	agent      string
	cancel     context.CancelCauseFunc

	mu        sync.Mutex
	lastEvent time.Time
	started   bool
}

// startWatchdog returns the context of an attempt and its watchdog; stop ends both.
func (d *Dispatcher) startWatchdog(ctx context.Context, agent string) (_ context.Context, w *watchdog, stop func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	w = &watchdog{dispatcher: d, agent: agent, cancel: cancel, lastEvent: d.Clock.Now()}
	go w.watch(ctx)
	return ctx, w, func() { cancel(nil) }
}

// recordEvent records that an event arrived.
func (w *watchdog) recordEvent() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastEvent = w.dispatcher.Clock.Now()
	w.started = true
}

func (w *watchdog) watch(ctx context.Context) {
	t := w.dispatcher.Clock.NewTicker(stallCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C():
			if w.stalled() {
				w.cancel(errStalled)
				return
			}
		}
	}
}

// stalled reports whether the attempt is given up. Before the first event, an agent
// that still reports is waited for: its engine may have a queue.
func (w *watchdog) stalled() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dispatcher.Clock.Since(w.lastEvent) < w.dispatcher.StallFor {
		return false
	}
	return w.started || !w.dispatcher.Router.Live(w.agent)
}
