package receiver_test

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/dispatcher"
	"github.com/oriolecroft/oriolecroft/internal/forwarder"
	"github.com/oriolecroft/oriolecroft/internal/gossiper"
	"github.com/oriolecroft/oriolecroft/internal/limiter"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/receiver"
	"github.com/oriolecroft/oriolecroft/internal/retrier"
	"github.com/oriolecroft/oriolecroft/internal/router"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

const requestDeadline = 10 * time.Second

// testReceiver is a receiver with its dispatcher. Until an agent is added, it refuses
// all requests.
type testReceiver struct {
	*receiver.Receiver
	handler http.Handler
}

func newTestReceiver(t testing.TB) *testReceiver {
	public, private, err := bundler.GenerateKey()
	must.NoError(t, err)
	b := &bundler.Bundle{
		Revision: 1, ChangeID: "first",
		FailureDomains: []bundler.FailureDomain{{Name: "a", Region: "r"}},
		Models:         []bundler.Model{{Name: "rota", Version: "v1", Manifest: bundler.Digest(nil), Share: 1}},
		Services:       []bundler.Service{{Name: "bookings"}},
		Workspaces: []bundler.Workspace{
			{Name: "farm", Models: []string{"rota"}, Services: []string{"bookings"}},
			{Name: "tiny", Models: []string{"rota"}, Limits: bundler.Limits{TokensPerSecond: 1}},
		},
	}
	data, err := b.Encode()
	must.NoError(t, err)
	r := &bundler.Record{Payload: data}
	must.NoError(t, r.Sign(private))
	c := clock.RealClock{}
	s := &gossiper.State{
		Keyring: bundler.Keyring{Keys: []string{public}, Threshold: 1}, Clock: c, FreshFor: time.Hour, Entries: 1,
	}
	_, err = s.Observe(r, c.Now())
	must.NoError(t, err)
	random := rand.New(rand.NewPCG(1, 2))
	d := &dispatcher.Dispatcher{
		ID: "entry-1", State: s, Clock: c, Metrics: metrics.NewRegistry(),
		Router:   &router.Router{FailureDomain: "a", Region: "r", Clock: c, StaleAfter: time.Hour, Random: random},
		Limiter:  &limiter.Limiter{Clock: c, Entries: func() int { return 1 }},
		Policy:   &retrier.Policy{Budget: &retrier.Budget{Clock: c}, Random: random},
		Agents:   forwarder.NewClient(new(net.Dialer).DialContext),
		Deadline: requestDeadline, QueueFor: 10 * time.Millisecond, ResumeFor: 10 * time.Millisecond, Concurrent: 64,
	}
	d.Router.SetBundle(b)
	d.Limiter.SetBundle(b)
	ctx := t.Context()
	go func() { _ = d.Serve(ctx) }()
	w := &testReceiver{Receiver: &receiver.Receiver{Dispatcher: d, KeepFor: 2 * time.Second}}
	w.Entries = func() []receiver.Entry {
		return []receiver.Entry{{Address: netip.MustParseAddrPort("10.0.0.1:80"), FailureDomain: "a", Region: "r"}}
	}
	w.handler = w.Handler()
	return w
}

// addAgent adds an agent that serves requests with the runner.
func (w *testReceiver) addAgent(t *testing.T, r forwarder.Runner) {
	h := httptest.NewServer(forwarder.Handler(r))
	t.Cleanup(h.Close)
	s := messenger.AgentState{
		ID: "vm-1", Incarnation: "i", FailureDomain: "a", Region: "r", Kind: messenger.KindEngine,
		Address: netip.MustParseAddrPort(h.Listener.Addr().String()), Sequence: 1, Gate: messenger.GateOpen, Limit: 4,
		Model: "rota", Version: "v1", Manifest: bundler.Digest(nil), EngineStart: "e", Revision: 1,
	}
	w.Dispatcher.Router.Report(s)
	s.ID, s.Kind, s.Service = "vm-2", messenger.KindService, "bookings"
	w.Dispatcher.Router.Report(s)
}

// send returns the response to one request.
func (w *testReceiver) send(method, path, body string, header map[string]string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for name, value := range header {
		r.Header.Set(name, value)
	}
	rec := httptest.NewRecorder()
	w.handler.ServeHTTP(rec, r)
	return rec
}

const (
	validGenerate = `{"workspace":"farm","model":"rota","prompt":"p","maxTokens":2}`
	callPath      = "/v1/services/bookings/book"
	generatePath  = "/v1/generate"
)

// Guards against invalid requests (cut bodies, fields of a newer client, a missing
// workspace) that are refused without the outcome "notRun" and the faulty field; a
// caller that sees only an error books a second time.
func TestInvalidRequestsAreRefused(t *testing.T) {
	farm := map[string]string{receiver.HeaderWorkspace: "farm"}
	with := func(name, value string) map[string]string {
		return map[string]string{receiver.HeaderWorkspace: "farm", receiver.HeaderAttempt: "1", name: value}
	}
	tests := []struct {
		name, method, path, body string
		header                   map[string]string
		status                   int
		problem                  string
	}{
		{"empty body", "POST", generatePath, ``, nil, 400, "body"},
		{"cut body", "POST", generatePath, validGenerate[:20], nil, 400, "body"},
		{"text after the request", "POST", generatePath, validGenerate + validGenerate, nil, 400, "body"},
		{"unknown field", "POST", generatePath, `{"workspace":"farm","top_p":1}`, nil, 400, "top_p"},
		{"wrong type", "POST", generatePath, `{"maxTokens":"many"}`, nil, 400, "maxTokens"},
		{"fraction of a token", "POST", generatePath, `{"maxTokens":1.5}`, nil, 400, "maxTokens"},
		{"too large", "POST", generatePath, `{"prompt":"` + strings.Repeat("x", 4<<20) + `"}`, nil, 413, "body"},
		{"prompt too long", "POST", generatePath, `{"workspace":"farm","model":"rota","prompt":"` + strings.Repeat("x", dispatcher.MaxPromptBytes+1) + `"}`, nil, 400, "prompt"},
		{"no workspace", "POST", generatePath, `{"model":"rota","prompt":"p"}`, nil, 400, "workspace"},
		{"no prompt", "POST", generatePath, `{"workspace":"farm","model":"rota"}`, nil, 400, "prompt"},
		{"too many tokens", "POST", generatePath, `{"workspace":"farm","model":"rota","prompt":"p","maxTokens":40000}`, nil, 400, "maxTokens"},
		{"deadline below zero", "POST", generatePath, `{"workspace":"farm","model":"rota","prompt":"p","deadlineMs":-1}`, nil, 400, "deadlineMs"},
		{"unknown model", "POST", generatePath, `{"workspace":"farm","model":"other","prompt":"p"}`, nil, 404, "other"},
		{"unknown workspace", "POST", generatePath, `{"workspace":"nobody","model":"rota","prompt":"p"}`, nil, 403, "nobody"},
		{"deadline beyond a duration", "POST", generatePath, `{"workspace":"farm","model":"rota","prompt":"p","deadlineMs":9223372036854775807}`, nil, 400, "deadlineMs"},
		{"resume token", "POST", generatePath, validGenerate, map[string]string{receiver.HeaderResume: "x", "Last-Event-ID": "0"}, 400, "resume"},
		{"last event", "POST", generatePath, validGenerate, map[string]string{receiver.HeaderResume: "x", "Last-Event-ID": "-1"}, 400, "Last-Event-ID"},
		{"call without workspace", "POST", callPath, ``, nil, 400, "workspace"},
		{"call of unknown service", "POST", "/v1/services/other", ``, farm, 404, "other"},
		{"call too large", "POST", callPath, strings.Repeat("x", forwarder.MaxBody+1), farm, 413, "body"},
		{"call with bad priority", "POST", callPath, ``, with(receiver.HeaderPriority, "high"), 400, receiver.HeaderPriority},
		{"call with priority below zero", "POST", callPath, ``, with(receiver.HeaderPriority, "-1"), 400, receiver.HeaderPriority},
		{"call with bad deadline", "POST", callPath, ``, with(receiver.HeaderDeadline, "1.5"), 400, receiver.HeaderDeadline},
		{"call with key too long", "POST", callPath, ``, with(receiver.HeaderKey, strings.Repeat("k", 1025)), 400, "key"},
		{"call with spaces in its key", "POST", callPath, ``, with(receiver.HeaderIdempotencyKey, "a b"), 400, "key"},
		{"key for unknown service", "POST", "/v1/keys", `{"workspace":"farm","service":"other"}`, nil, 404, "other"},
		{"key with unknown field", "POST", "/v1/keys", `{"space":"farm"}`, nil, 400, "space"},
		{"fate of a foreign text", "GET", "/v1/keys/v1.x?workspace=farm&service=bookings", ``, nil, 400, "key"},
	}
	w := newTestReceiver(t)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			res := w.send(tt.method, tt.path, tt.body, tt.header)
			p := decodeProblem(t, res)
			must.Eq(t, tt.status, res.Code, must.Sprint(p.Error))
			must.StrContains(t, p.Error, tt.problem)
			must.Eq(t, "notRun", res.Header().Get(receiver.HeaderOutcome))
			must.Eq(t, "notRun", p.Outcome)
		})
	}
}

type problem struct {
	Error, Outcome string
	RetryAfterMS   int64 `json:"retryAfterMs"`
}

func decodeProblem(t *testing.T, res *httptest.ResponseRecorder) problem {
	t.Helper()
	var p problem
	must.NoError(t, json.NewDecoder(res.Body).Decode(&p))
	return p
}

// Guards against refusals without a retry time, for a workspace over its limit or
// without a replica: all callers would retry at once and be refused again.
func TestRefusalHasRetryAfter(t *testing.T) {
	w := newTestReceiver(t)
	for body, status := range map[string]int{
		validGenerate: http.StatusServiceUnavailable,
		`{"workspace":"tiny","model":"rota","prompt":"p","maxTokens":30000}`: http.StatusTooManyRequests,
	} {
		w.send("POST", generatePath, body, nil)
		res := w.send("POST", generatePath, body, nil)
		p := decodeProblem(t, res)
		must.Eq(t, status, res.Code, must.Sprint(p.Error))
		must.Greater(t, 0, p.RetryAfterMS)
		must.NotEq(t, "", res.Header().Get("Retry-After"))
		must.NotEq(t, "0", res.Header().Get("Retry-After"))
	}
}

func TestEntriesListHasKeepFor(t *testing.T) {
	res := newTestReceiver(t).send("GET", "/v1/entries", "", nil)
	must.Eq(t, `{"entries":[{"address":"10.0.0.1:80","failureDomain":"a","region":"r"}],"keepForMs":2000}`+"\n", res.Body.String())
}
