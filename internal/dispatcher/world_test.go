package dispatcher_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/certifier"
	"github.com/oriolecroft/oriolecroft/internal/deduplicator"
	"github.com/oriolecroft/oriolecroft/internal/dispatcher"
	"github.com/oriolecroft/oriolecroft/internal/forwarder"
	"github.com/oriolecroft/oriolecroft/internal/gossiper"
	"github.com/oriolecroft/oriolecroft/internal/limiter"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/retrier"
	"github.com/oriolecroft/oriolecroft/internal/router"
	"github.com/oriolecroft/oriolecroft/internal/storer"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
	"github.com/oriolecroft/oriolecroft/standins/imitator"
)

const tokens = 6

// fakeAgent answers orders as its fields say. Its HTTP side is the real one.
type fakeAgent struct {
	mu     sync.Mutex
	start  string
	orders []forwarder.GenerateOrder
	calls  []forwarder.CallOrder
	left   []string
	// asked are the keys looked up.
	asked []string
	// cutAfter breaks the first stream before this event; 0 never.
	cutAfter int
	// startAfterCut is the engine's start id from then on; empty for no restart.
	startAfterCut string
	// stallAt keeps the first stream silent from this event on; 0 never.
	stallAt int
	// endAt ends the streams before this event as if all had come; 0 never.
	endAt int
	// mixAt gives the event of this index other weights; 0 never.
	mixAt int
	// refuse is the answer to the first stream, after which refused is called.
	refuse  *forwarder.NotRunError
	refused func()
	// call answers a call; nil answers "ok".
	call func(o forwarder.CallOrder) (*forwarder.Reply, error)
}

func (a *fakeAgent) Generate(ctx context.Context, o forwarder.GenerateOrder, start func(string), emit func(forwarder.Event) error) error {
	a.mu.Lock()
	a.orders = append(a.orders, o)
	cut := a.cutAfter
	stall := a.stallAt
	a.cutAfter, a.stallAt = 0, 0
	engine := a.start
	if cut > 0 && a.startAfterCut != "" {
		a.start = a.startAfterCut
	}
	a.mu.Unlock()
	if a.refuse != nil {
		a.refused()
		return a.refuse
	}
	start(engine)
	for i := o.From; i < tokens; i++ {
		if cut > 0 && i == cut {
			panic(http.ErrAbortHandler)
		}
		if a.endAt > 0 && i == a.endAt {
			break
		}
		if stall > 0 && i == stall {
			<-ctx.Done()
			return ctx.Err()
		}
		e := forwarder.Event{Index: i, Token: "t", Version: "v1", Weights: "w1"}
		if a.mixAt > 0 && i == a.mixAt {
			e.Weights = "w2"
		}
		if err := emit(e); err != nil {
			return err
		}
	}
	return emit(forwarder.Event{Done: true, Tokens: tokens, Version: "v1", Weights: "w1"})
}

func (a *fakeAgent) Call(_ context.Context, o forwarder.CallOrder, _ []byte) (*forwarder.Reply, error) {
	a.mu.Lock()
	a.calls = append(a.calls, o)
	a.mu.Unlock()
	if a.call != nil {
		return a.call(o)
	}
	return &forwarder.Reply{Status: 200, Body: []byte("ok")}, nil
}

func (a *fakeAgent) Cancel(stream string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.left = append(a.left, stream)
}

func (a *fakeAgent) State() messenger.AgentState { return messenger.AgentState{} }

func (a *fakeAgent) Lookup(key string) forwarder.KeyState {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asked = append(a.asked, key)
	return forwarder.KeyNotRun
}

// world is one dispatcher before some fake agents.
type world struct {
	*dispatcher.Dispatcher
	sequence uint64
}

func newWorld(t *testing.T) *world {
	t.Helper()
	public, private, err := bundler.GenerateKey()
	must.NoError(t, err)
	b := &bundler.Bundle{
		Revision:       1,
		ChangeID:       "first",
		FailureDomains: []bundler.FailureDomain{{Name: "a", Region: "r"}},
		Models:         []bundler.Model{{Name: "rota", Version: "v1", Manifest: bundler.Digest(nil), Share: 1}},
		Services:       []bundler.Service{{Name: "bookings"}},
		Workspaces: []bundler.Workspace{
			{Name: "farm", Models: []string{"rota"}, Services: []string{"bookings"}},
			{Name: "limited", Services: []string{"bookings"}, Limits: bundler.Limits{Concurrent: 1}},
		},
	}
	data, err := b.Encode()
	must.NoError(t, err)
	r := &bundler.Record{Payload: data}
	must.NoError(t, r.Sign(private))
	c := clock.RealClock{}
	s := &gossiper.State{
		Keyring:  bundler.Keyring{Keys: []string{public}, Threshold: 1},
		Clock:    c,
		FreshFor: time.Hour,
		Entries:  1,
	}
	_, err = s.Observe(r, c.Now())
	must.NoError(t, err)
	d := &dispatcher.Dispatcher{
		ID:         "entry-1",
		State:      s,
		Router:     &router.Router{FailureDomain: "a", Region: "r", Clock: c, StaleAfter: time.Hour, Random: random()},
		Limiter:    &limiter.Limiter{Clock: c, Entries: func() int { return 1 }},
		Policy:     &retrier.Policy{Budget: &retrier.Budget{Clock: c}},
		Claims:     &deduplicator.Claims{Store: newStore(t), Clock: c},
		Agents:     forwarder.NewClient((*certifier.Certifier)(nil).Dial),
		Clock:      c,
		Deadline:   10 * time.Second,
		QueueFor:   3 * time.Second,
		ResumeFor:  2 * time.Second,
		StallFor:   time.Second,
		Concurrent: 64,
		Metrics:    metrics.NewRegistry(),
	}
	d.Router.SetBundle(b)
	d.Limiter.SetBundle(b)
	go func() { _ = d.Serve(t.Context()) }()
	return &world{Dispatcher: d}
}

func random() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// add puts an agent into the world; the server can be closed to take it away.
func (w *world) add(t *testing.T, id string, kind messenger.Kind, a *fakeAgent, limit int) *httptest.Server {
	t.Helper()
	if a.start == "" {
		a.start = "engine-1"
	}
	h := httptest.NewServer(forwarder.Handler(a))
	t.Cleanup(h.Close)
	at := netip.MustParseAddrPort(strings.TrimPrefix(h.URL, "http://"))
	w.sequence++
	w.Router.Report(messenger.AgentState{
		ID: id, Incarnation: "i-" + id, FailureDomain: "a", Region: "r", Kind: kind, Service: "bookings",
		Address: at, Sequence: w.sequence, Gate: messenger.GateOpen, Limit: limit,
		Model: "rota", Version: "v1", Manifest: bundler.Digest(nil), EngineStart: a.start, Revision: 1,
	})
	return h
}

// fill makes an agent report that it is full.
func (w *world) fill(id string) {
	for _, a := range w.Router.Agents() {
		if a.ID == id {
			w.sequence++
			a.Sequence, a.Running = w.sequence, 2*a.Limit
			w.Router.Report(a)
		}
	}
}

// newStore is the platform's key-value service.
func newStore(t *testing.T) storer.Store {
	t.Helper()
	h := httptest.NewServer((&imitator.KV{}).Handler())
	t.Cleanup(h.Close)
	return &storer.HTTP{Address: netip.MustParseAddrPort(strings.TrimPrefix(h.URL, "http://")), Timeout: time.Second}
}

// sink collects a stream.
type sink struct {
	events []forwarder.Event
	resume string
	// leaveAt makes the caller leave at this event; 0 never.
	leaveAt int
}

func (s *sink) Begin(resume string) error {
	s.resume = resume
	return nil
}

func (s *sink) Event(e forwarder.Event) error {
	if s.leaveAt > 0 && e.Index == s.leaveAt {
		return context.Canceled
	}
	s.events = append(s.events, e)
	return nil
}

func ask() dispatcher.GenerateRequest {
	return dispatcher.GenerateRequest{Workspace: "farm", Model: "rota", Prompt: "who turns up at dawn"}
}

func book(key string, first bool) dispatcher.CallRequest {
	return dispatcher.CallRequest{Workspace: "farm", Service: "bookings", Method: "POST", Path: "/book", Key: key, First: first}
}

// failure is the final answer that a call must have given.
func failure(t *testing.T, err error) *dispatcher.FailureError {
	t.Helper()
	var f *dispatcher.FailureError
	must.True(t, errors.As(err, &f), must.Sprintf("want a final answer, got %v", err))
	return f
}
