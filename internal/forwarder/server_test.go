package forwarder_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/forwarder"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
)

// runner gives the same result to every order.
type runner struct {
	reply  *forwarder.Reply
	err    error
	events []forwarder.Event
	// cancelled are the streams that were cancelled.
	cancelled []string
}

func (r *runner) Generate(_ context.Context, _ forwarder.GenerateOrder, start func(string), emit func(forwarder.Event) error) error {
	if r.events != nil {
		start("engine-1")
	}
	for _, e := range r.events {
		if err := emit(e); err != nil {
			return err
		}
	}
	return r.err
}

func (r *runner) Call(context.Context, forwarder.CallOrder, []byte) (*forwarder.Reply, error) {
	return r.reply, r.err
}

func (r *runner) Cancel(stream string) { r.cancelled = append(r.cancelled, stream) }

func (*runner) State() messenger.AgentState { return messenger.AgentState{ID: "vm-1"} }

func (*runner) Lookup(string) forwarder.KeyState { return forwarder.KeyRan }

func serve(t *testing.T, r *runner) netip.AddrPort {
	s := httptest.NewServer(forwarder.Handler(r))
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

func TestResponsesRoundTrip(t *testing.T) {
	state := &messenger.AgentState{ID: "vm-1"}
	reply := &forwarder.Reply{
		Status: http.StatusTeapot, Body: []byte("slot"), Replayed: true,
		Header: http.Header{"Content-Type": {"text/x"}, "Connection": {"close"}, "Oriolecroft-Outcome": {"notRun"}},
	}
	got, err := call(t, serve(t, &runner{reply: reply}))
	must.NoError(t, err)
	must.Eq(t, &forwarder.Reply{
		Status: http.StatusTeapot, Body: []byte("slot"), Replayed: true, Header: http.Header{"Content-Type": {"text/x"}}, Agent: state,
	}, got)

	refusal := &forwarder.NotRunError{Reason: "full", RetryAfter: 3 * time.Second, Busy: true, KeyClosed: true, Agent: state}
	_, err = call(t, serve(t, &runner{err: refusal}))
	must.Eq(t, refusal, errorAs[*forwarder.NotRunError](t, err))
	_, err = generate(t, serve(t, &runner{err: refusal}))
	must.Eq(t, refusal, errorAs[*forwarder.NotRunError](t, err))
	_, err = call(t, serve(t, &runner{err: context.Canceled}))
	requireError[*forwarder.UnknownError](t, err)
}

// An engine fails after the first token, when the status has been sent. Without a failure
// event in the stream the entry would wait for the rest.
func TestStreamReportsFailure(t *testing.T) {
	addr := serve(t, &runner{events: []forwarder.Event{{Token: "two"}}, err: context.Canceled})
	s, err := generate(t, addr)
	must.NoError(t, err)
	defer s.Close()
	must.Eq(t, "engine-1", s.EngineStart)
	e, err := s.Next()
	must.NoError(t, err)
	must.Eq(t, "two", e.Token)
	e, err = s.Next()
	must.NoError(t, err)
	must.Eq(t, "context canceled", e.Failure.Message)
}

// Guards against forwarding unreadable orders or oversized bodies. The agent must answer
// that they did not run.
func TestUnreadableOrdersAreNotRun(t *testing.T) {
	h := forwarder.Handler(&runner{reply: &forwarder.Reply{Status: http.StatusOK}})
	for _, tt := range []struct{ path, order, body string }{
		{"/run/generate", "", "{"},
		{"/run/generate", "", `{"prompt":"` + strings.Repeat("x", 4<<20) + `"}`},
		{"/run/call", "", "body"},
		{"/run/call", `{"deadlineMs":"soon"}`, "body"},
		{"/run/call", `{}`, strings.Repeat("x", forwarder.MaxBody+1)},
	} {
		r := httptest.NewRequest(http.MethodPost, tt.path, strings.NewReader(tt.body))
		r.Header.Set("Oriolecroft-Order", tt.order)
		rec := httptest.NewRecorder()
		h.ServeHTTP(rec, r)
		must.Eq(t, http.StatusServiceUnavailable, rec.Code)
		must.Eq(t, "notRun", rec.Header().Get("Oriolecroft-Outcome"))
	}
}

// Guards against truncating a name to the longest one allowed, which could cancel another stream.
func TestOverlongStreamNameCancelsNothing(t *testing.T) {
	r := &runner{}
	long := strings.Repeat("s", 1024)
	c := client()
	must.NoError(t, c.Cancel(t.Context(), serve(t, r), long))
	must.Eq(t, []string{long}, r.cancelled)
	must.Error(t, c.Cancel(t.Context(), serve(t, r), long+"1"))
	must.Eq(t, []string{long}, r.cancelled)
}
