package dispatcher

import (
	"context"
	"errors"
	"sync"
	"time"
)

// stallEvery is how often an attempt under way is looked at.
const stallEvery = 200 * time.Millisecond

// errStalled is the cause when an attempt is given up because nothing came.
var errStalled = errors.New("nothing came from the agent for too long")

// watchdog gives an attempt up when its agent is frozen or its link stalled. Such
// a connection neither breaks nor brings anything; without this the caller would
// look at half a reply until the request's deadline, though a stream can be read
// on as soon as the agent is back, and a request without a first event can go to
// another replica.
type watchdog struct {
	dispatcher *Dispatcher
	agent      string
	cancel     context.CancelCauseFunc

	mu    sync.Mutex
	last  time.Time
	begun bool
}

// watch gives the context of an attempt and its watchdog; stop ends both.
func (d *Dispatcher) watch(ctx context.Context, agent string) (_ context.Context, w *watchdog, stop func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	w = &watchdog{dispatcher: d, agent: agent, cancel: cancel, last: d.Clock.Now()}
	go w.run(ctx)
	return ctx, w, func() { cancel(nil) }
}

// event notes that something came.
func (w *watchdog) event() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last = w.dispatcher.Clock.Now()
	w.begun = true
}

func (w *watchdog) run(ctx context.Context) {
	t := w.dispatcher.Clock.NewTicker(stallEvery)
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

// stalled tells whether the attempt is given up. Before the first event a silent
// agent is waited for as long as it is heard of: the engine may have a line.
func (w *watchdog) stalled() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dispatcher.Clock.Since(w.last) < w.dispatcher.StallFor {
		return false
	}
	return w.begun || !w.dispatcher.Router.Live(w.agent)
}
