package hoster

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/detector"
	"github.com/oriolecroft/oriolecroft/internal/drainer"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/syncer"
	"github.com/oriolecroft/oriolecroft/internal/timekeeper"
)

const (
	// AnswerTTL is how long callers may use an answer of the directory. Some use it
	// three times as long; a draining entry has to serve them until then.
	AnswerTTL = time.Second
	// staleAnswerPeriod is how long callers with an old answer may still connect.
	staleAnswerPeriod = 3*AnswerTTL + 300*time.Millisecond
	// cutTimeout bounds the time that these requests take to end.
	cutTimeout = 25 * time.Millisecond
	// restartTime is the approximate time until a restarted entry accepts callers.
	restartTime = time.Second
	// immediateRetry is the retry delay for refused callers that find another entry.
	immediateRetry = 10 * time.Millisecond
	// headerTimeout and idleTimeout bound a caller's connection. Both exceed what
	// route tables allow callers, so that no valid connection is closed.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// maxHeaderBytes bounds a request's header; the route table's limit is lower.
	maxHeaderBytes = 64 << 10
)

// Hoster runs the listeners of an entry. Set the exported fields before Run.
type Hoster struct {
	Callers   net.Listener
	Requests  http.Handler
	Registrar *registrar.Registrar
	// Registration is removed first when the entry drains.
	Registration *syncer.Registration
	// Grace is the time between the signal to stop and the kill.
	Grace time.Duration
	// Clock should count the time for which the VM is suspended.
	Clock clock.Clock
	// Stalls has the same clock.
	Stalls *detector.Detector

	// kill follows the signal to stop; nil before the entry received it.
	kill atomic.Pointer[Kill]
}

// Ready reports whether the entry accepts callers.
func (h *Hoster) Ready() bool {
	v := h.Registrar.View()
	return !h.Draining() && v != nil && v.Table != nil
}

// Draining reports whether the entry is shutting down.
func (h *Hoster) Draining() bool { return h.kill.Load() != nil }

// CutIn implements relayer.Shutdown.
func (h *Hoster) CutIn() (time.Duration, bool) {
	kill := h.kill.Load()
	if kill == nil {
		return 0, false
	}
	return kill.CutAt().Sub(h.Clock.Now()), true
}

// MustEndIn implements relayer.Shutdown.
func (h *Hoster) MustEndIn(age time.Duration) (time.Duration, bool) {
	kill := h.kill.Load()
	if kill == nil {
		return 0, false
	}
	now := h.Clock.Now()
	return kill.EarliestCut().Sub(now), !kill.MayCut(now.Add(-age))
}

// LeastTime implements relayer.Shutdown. Without a stall, all requests of callers with an old directory answer have
// that much time. An entry that stalls repeatedly reads a reply up to a stall later.
func (h *Hoster) LeastTime() time.Duration {
	kill := h.kill.Load()
	if kill == nil {
		return 0
	}
	recurring := h.Stalls.Recurring()
	if recurring == 0 && !h.Stalls.StalledSince(kill.Signal.Earliest) {
		return 0
	}
	return h.Grace - killMargin - staleAnswerPeriod - drainer.UnreadTimeout + recurring
}

// RetryAfter implements relayer.Shutdown. Callers of the entry's own region retry at once, on a new
// connection, if the directory lists another entry for the host, and otherwise after this entry's restart.
func (h *Hoster) RetryAfter(host string) time.Duration {
	own := h.Registration.Member
	for _, a := range Nearest(h.Registrar.View(), DirectoryQuery{Host: host, Region: own.Region}) {
		if a != own.Callers {
			return immediateRetry
		}
	}
	remaining, _ := h.CutIn()
	return max(0, remaining) + restartTime
}

// GraceError reports a request that was still in progress at the end of the grace period.
type GraceError struct{ Grace time.Duration }

func (e *GraceError) Error() string {
	return fmt.Sprintf("entry ends within %v of its signal", e.Grace)
}

// Run serves callers until the context ends, and then until the last callers with a
// directory answer that lists this entry have got their replies.
func (h *Hoster) Run(ctx context.Context) error {
	requests, cut := context.WithCancelCause(context.Background())
	defer cut(nil)
	s := &drainer.Server{Listener: h.Callers, HTTP: &http.Server{
		Handler: h.Requests, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		BaseContext: func(net.Listener) context.Context { return requests }, ErrorLog: nil,
	}}
	drained := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(drained)
		h.drain(s, cut)
	})
	err := s.Serve()
	if stop() {
		return err
	}
	<-drained
	if errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// drain removes the entry from the directory at once, serves callers that still
// connect, and closes the listener when directory answers that list it have expired.
func (h *Hoster) drain(s *drainer.Server, cut context.CancelCauseFunc) {
	kill := &Kill{Signal: h.Stalls.StopSignal(), Grace: h.Grace, Clock: h.Clock, Stalls: h.Stalls}
	h.kill.Store(kill)
	startedAt := kill.Signal.Latest
	klog.InfoS("Entry draining", "signalAge", kill.Signal.Uncertainty(), "stalls", kill.Signal.Stalls, "cutIn", kill.CutAt().Sub(startedAt))
	go h.Registration.Deregister(context.Background())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		defer cancel()
		_ = timekeeper.WaitFor(ctx, h.Clock, kill.CutAt)
	}()
	s.AskToClose()
	_ = timekeeper.WaitUntil(ctx, h.Clock, startedAt.Add(staleAnswerPeriod))
	klog.InfoS("Entry accepts no more connections", "after", h.Clock.Since(startedAt), "open", s.Open())
	if err := s.Drain(ctx); err != nil {
		left, _ := h.CutIn()
		klog.InfoS("Requests cut at the end of the grace period", "open", s.Open(), "late", -left, "margin", kill.margin(), "err", err)
		// Only handlers can properly end a reply that has started, or answer a request without one.
		cut(&GraceError{Grace: h.Grace})
		endCtx, cancel := context.WithTimeout(context.Background(), cutTimeout+kill.LateTime())
		defer cancel()
		if err := s.Drain(endCtx); err != nil {
			klog.InfoS("Connections closed without an answer", "open", s.Open(), "err", err)
			s.Close()
		}
	}
	klog.InfoS("Entry drained", "after", h.Clock.Since(startedAt))
}
