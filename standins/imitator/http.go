// Package imitator simulates the external systems that oriolecroft talks to: the
// key-value service, the list of VMs, the weight store and origin, the model
// engine and the plain service. Each stand-in is one type whose exported fields
// are set before its Handler is first used. docs/PEERS.md specifies the
// protocols.
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

// writeJSON responds with the status and v as the JSON body.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		klog.V(2).InfoS("answer not written", "err", err)
	}
}

// writeError responds with the status and the text in the "error" field.
func writeError(w http.ResponseWriter, status int, text string) {
	writeJSON(w, status, struct {
		Error string `json:"error"`
	}{text})
}

// readJSON decodes the request's body into v. If decoding fails, it responds with
// 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// abortConnection closes the connection without sending anything more, so that
// the client cannot tell whether its request took effect.
func abortConnection() {
	panic(http.ErrAbortHandler)
}

// unframe makes the end of the connection mark the end of the response, which
// then has neither a length nor chunks.
func unframe(w http.ResponseWriter) { w.Header().Set("Transfer-Encoding", "identity") }

// resetMidway sends the start of a response, a complete JSON value, and resets the connection.
func resetMidway(w http.ResponseWriter) {
	writeJSON(w, http.StatusOK, struct{}{})
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		abortConnection()
	}
	connector.Reset(conn)
}

// clockOrReal returns c, or the real clock if c is nil.
func clockOrReal(c clock.Clock) clock.Clock {
	if c == nil {
		return clock.RealClock{}
	}
	return c
}

// sleep waits for d on the clock. It returns false if done is closed first.
func sleep(c clock.Clock, d time.Duration, done <-chan struct{}) bool {
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

// notifier signals changes of a state to all goroutines that wait for one. The
// state is guarded by a mutex, which callers of its methods must hold.
type notifier struct {
	changed chan struct{}
}

// wait returns a channel that is closed at the next call of notify.
func (s *notifier) wait() <-chan struct{} {
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

func (s *notifier) notify() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// hangGate blocks requests while the hang fault is set. A request other than a GET
// takes effect once the fault is cleared, even if its client has disconnected, as
// if it had remained in the socket's buffer.
type hangGate struct {
	mu      sync.Mutex
	hanging bool
	changed notifier
}

func (h *hangGate) setHanging(hanging bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hanging = hanging
	h.changed.notify()
}

// awaitRequest waits until the fault is cleared. It returns false if the client of
// a GET disconnects first.
func (h *hangGate) awaitRequest(r *http.Request) bool {
	if r.Method != http.MethodGet {
		return h.await(nil)
	}
	return h.await(r.Context().Done())
}

// await waits until the fault is cleared. It returns false if done is closed first.
func (h *hangGate) await(done <-chan struct{}) bool {
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

// handleFaults decodes the faults to inject, passes them to set and echoes them.
func handleFaults[T any](w http.ResponseWriter, r *http.Request, set func(T)) {
	var faults T
	if !readJSON(w, r, &faults) {
		return
	}
	klog.InfoS("faults set", "faults", faults)
	set(faults)
	writeJSON(w, http.StatusOK, faults)
}
