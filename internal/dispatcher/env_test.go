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

const tokenCount = 6

// fakeAgent answers orders as its fields state, behind the real HTTP handler.
type fakeAgent struct {
	mu          sync.Mutex
	engineStart string
	orders      []forwarder.GenerateOrder
	calls       []forwarder.CallOrder
	cancelled   []string
	// lookups are the keys looked up.
	lookups []string
	// cutAfter breaks the first stream before this event; 0 means never.
	cutAfter int
	// startAfterCut is the engine's start ID from then on; empty for no restart.
	startAfterCut string
	// stallAt stalls the first stream from this event on; 0 means never.
	stallAt int
	// endAt ends the streams before this event as if all had come; 0 means never.
	endAt int
	// mixAt gives the event of this index other weights; 0 means never.
	mixAt int
	// refuse, if set, is the answer to streams; onRefuse is called with each.
	refuse   *forwarder.NotRunError
	onRefuse func()
	// call answers a call; nil answers "ok".
	call func(o forwarder.CallOrder) (*forwarder.Reply, error)
}

func (a *fakeAgent) Generate(ctx context.Context, o forwarder.GenerateOrder, start func(string), emit func(forwarder.Event) error) error {
	a.mu.Lock()
	a.orders = append(a.orders, o)
	cut := a.cutAfter
	stall := a.stallAt
	a.cutAfter, a.stallAt = 0, 0
	engine := a.engineStart
	if cut > 0 && a.startAfterCut != "" {
		a.engineStart = a.startAfterCut
	}
	a.mu.Unlock()
	if a.refuse != nil {
		a.onRefuse()
		return a.refuse
	}
	start(engine)
	for i := o.From; i < tokenCount; i++ {
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
	return emit(forwarder.Event{Done: true, Tokens: tokenCount, Version: "v1", Weights: "w1"})
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
	a.cancelled = append(a.cancelled, stream)
}

func (a *fakeAgent) State() messenger.AgentState { return messenger.AgentState{} }

func (a *fakeAgent) Lookup(key string) forwarder.KeyState {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lookups = append(a.lookups, key)
	return forwarder.KeyNotRun
}

// testEnv is one dispatcher in front of some fake agents.
type testEnv struct {
	*dispatcher.Dispatcher
	sequence uint64
}

func newTestEnv(t *testing.T, changes ...func(*bundler.Bundle)) *testEnv {
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
	for _, change := range changes {
		change(b)
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
	return &testEnv{Dispatcher: d}
}

func random() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// addAgent adds an agent to the environment; closing the server removes it.
func (env *testEnv) addAgent(t *testing.T, id string, kind messenger.Kind, a *fakeAgent, limit int) *httptest.Server {
	t.Helper()
	if a.engineStart == "" {
		a.engineStart = "engine-1"
	}
	return env.serveAgent(t, id, kind, forwarder.Handler(a), a.engineStart, limit)
}

// serveAgent is addAgent with any handler.
func (env *testEnv) serveAgent(t *testing.T, id string, kind messenger.Kind, agent http.Handler, engineStart string, limit int) *httptest.Server {
	t.Helper()
	h := httptest.NewServer(agent)
	t.Cleanup(h.Close)
	address := netip.MustParseAddrPort(strings.TrimPrefix(h.URL, "http://"))
	env.sequence++
	env.Router.Report(messenger.AgentState{
		ID: id, Incarnation: "i-" + id, FailureDomain: "a", Region: "r", Kind: kind, Service: "bookings",
		Address: address, Sequence: env.sequence, Gate: messenger.GateOpen, Limit: limit,
		Model: "rota", Version: "v1", Manifest: bundler.Digest(nil), EngineStart: engineStart, Revision: 1,
	})
	return h
}

// fillAgent makes an agent report that it is full.
func (env *testEnv) fillAgent(id string) {
	for _, a := range env.Router.Agents() {
		if a.ID == id {
			env.sequence++
			a.Sequence, a.Running = env.sequence, 2*a.Limit
			env.Router.Report(a)
		}
	}
}

// newStore is a stand-in of the key-value service.
func newStore(t *testing.T) storer.Store {
	t.Helper()
	h := httptest.NewServer((&imitator.KV{}).Handler())
	t.Cleanup(h.Close)
	return &storer.HTTP{Address: netip.MustParseAddrPort(strings.TrimPrefix(h.URL, "http://")), Timeout: time.Second}
}

// fakeSink collects a stream.
type fakeSink struct {
	events []forwarder.Event
	resume string
	// leaveAt makes the caller leave at this event; 0 means never.
	leaveAt int
}

func (s *fakeSink) Start(resume string) error {
	s.resume = resume
	return nil
}

func (s *fakeSink) Event(e forwarder.Event) error {
	if s.leaveAt > 0 && e.Index == s.leaveAt {
		return context.Canceled
	}
	s.events = append(s.events, e)
	return nil
}

func newRequest() dispatcher.GenerateRequest {
	return dispatcher.GenerateRequest{Workspace: "farm", Model: "rota", Prompt: "who turns up at dawn"}
}

func newBooking(key string, first bool) dispatcher.CallRequest {
	return dispatcher.CallRequest{Workspace: "farm", Service: "bookings", Method: "POST", Path: "/book", Key: key, First: first}
}

// finalFailure returns the final answer that a request must have ended with.
func finalFailure(t *testing.T, err error) *dispatcher.FailureError {
	t.Helper()
	var f *dispatcher.FailureError
	must.True(t, errors.As(err, &f), must.Sprintf("want a final answer, got %v", err))
	return f
}
