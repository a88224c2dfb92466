// Package imitator plays the outside systems that oriolecroft meets: the
// key-value service, the list of VMs, the weight store and origin, the model
// engine and the plain service. Each stand-in is one type whose exported fields
// are set before its Handler is first used. The wires are those of
// docs/PEERS.md.
package imitator

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/connector"
)

// writeJSON answers with the status and v as the JSON body.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		klog.V(2).InfoS("answer not written", "err", err)
	}
}

// writeError answers with the status and the text in the "error" field.
func writeError(w http.ResponseWriter, status int, text string) {
	writeJSON(w, status, struct {
		Error string `json:"error"`
	}{text})
}

// readJSON decodes the request's body into v. When the body is no JSON of that
// shape it answers 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// cut closes the connection without a further byte, so that the client cannot
// tell whether its request took effect.
func cut() {
	panic(http.ErrAbortHandler)
}

// unframe has a reply end with its connection, without a length or chunks.
func unframe(w http.ResponseWriter) { w.Header().Set("Transfer-Encoding", "identity") }

// resetMidway sends the beginning of a reply, a JSON value by itself, and resets the connection.
func resetMidway(w http.ResponseWriter) {
	writeJSON(w, http.StatusOK, struct{}{})
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		cut()
	}
	connector.Reset(conn)
}

// clockOr returns c, or the real clock when c is nil.
func clockOr(c clock.Clock) clock.Clock {
	if c == nil {
		return clock.RealClock{}
	}
	return c
}

// pause waits for d by the clock. It returns false when done is closed first.
func pause(c clock.Clock, d time.Duration, done <-chan struct{}) bool {
	if d <= 0 {
		return true
	}
	t := c.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C():
		return true
	case <-done:
		return false
	}
}

// signal wakes all goroutines that wait for a state guarded by a mutex to
// change. Its methods are called with that mutex held.
type signal struct {
	changed chan struct{}
}

// wait returns a channel that is closed at the next call of notify.
func (s *signal) wait() <-chan struct{} {
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

func (s *signal) notify() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// hanger holds requests back while its fault is set. A request other than a GET
// stays in the socket's buffer, as it were: it takes effect once the fault is
// over, also when its client has gone meanwhile.
type hanger struct {
	mu      sync.Mutex
	hanging bool
	changed signal
}

func (h *hanger) set(hanging bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hanging = hanging
	h.changed.notify()
}

// holdRequest waits until nothing hangs. It returns false when the request is
// not to be served any more.
func (h *hanger) holdRequest(r *http.Request) bool {
	if r.Method != http.MethodGet {
		return h.hold(nil)
	}
	return h.hold(r.Context().Done())
}

// hold waits until nothing hangs. It returns false when done is closed first.
func (h *hanger) hold(done <-chan struct{}) bool {
	for {
		h.mu.Lock()
		hanging, changed := h.hanging, h.changed.wait()
		h.mu.Unlock()
		if !hanging {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}

// takeFaults reads what a stand-in is to do wrong from now on and has it set.
func takeFaults[T any](w http.ResponseWriter, r *http.Request, set func(T)) {
	var faults T
	if !readJSON(w, r, &faults) {
		return
	}
	klog.InfoS("faults set", "faults", faults)
	set(faults)
	writeJSON(w, http.StatusOK, faults)
}
