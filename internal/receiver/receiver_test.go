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

const patience = 10 * time.Second

// world is a receiver with its dispatcher. Until an agent is added, nothing can
// be served.
type world struct {
	*receiver.Receiver
	handler http.Handler
}

func newWorld(t testing.TB) *world {
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
		Deadline: patience, QueueFor: 10 * time.Millisecond, ResumeFor: 10 * time.Millisecond, Concurrent: 64,
	}
	d.Router.SetBundle(b)
	d.Limiter.SetBundle(b)
	ctx := t.Context()
	go func() { _ = d.Serve(ctx) }()
	w := &world{Receiver: &receiver.Receiver{Dispatcher: d, KeepFor: 2 * time.Second}}
	w.Entries = func() []receiver.Entry {
		return []receiver.Entry{{Address: netip.MustParseAddrPort("10.0.0.1:80"), FailureDomain: "a", Region: "r"}}
	}
	w.handler = w.Handler()
	return w
}

// add puts an agent into the world that serves what the runner says.
func (w *world) add(t *testing.T, r forwarder.Runner) {
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

// send gives the answer to one request.
func (w *world) send(method, path, body string, header map[string]string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for name, value := range header {
		r.Header.Set(name, value)
	}
	rec := httptest.NewRecorder()
	w.handler.ServeHTTP(rec, r)
	return rec
}

const (
	good   = `{"workspace":"farm","model":"rota","prompt":"p","maxTokens":2}`
	book   = "/v1/services/bookings/book"
	models = "/v1/generate"
)

// Callers send requests that can not be run: cut bodies, fields of a newer
// client, a workspace left out. Each must hear at once that it was not run and
// which field is at fault; a lead who only sees an error books a second time.
func TestRefusalsNameTheFault(t *testing.T) {
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
		{"empty body", "POST", models, ``, nil, 400, "body"},
		{"cut body", "POST", models, good[:20], nil, 400, "body"},
		{"text after the request", "POST", models, good + good, nil, 400, "body"},
		{"unknown field", "POST", models, `{"workspace":"farm","top_p":1}`, nil, 400, "top_p"},
		{"wrong type", "POST", models, `{"maxTokens":"many"}`, nil, 400, "maxTokens"},
		{"fraction of a token", "POST", models, `{"maxTokens":1.5}`, nil, 400, "maxTokens"},
		{"too large", "POST", models, `{"prompt":"` + strings.Repeat("x", 4<<20) + `"}`, nil, 413, "body"},
		{"prompt too long", "POST", models, `{"workspace":"farm","model":"rota","prompt":"` + strings.Repeat("x", dispatcher.MaxPromptBytes+1) + `"}`, nil, 400, "prompt"},
		{"no workspace", "POST", models, `{"model":"rota","prompt":"p"}`, nil, 400, "workspace"},
		{"no prompt", "POST", models, `{"workspace":"farm","model":"rota"}`, nil, 400, "prompt"},
		{"too many tokens", "POST", models, `{"workspace":"farm","model":"rota","prompt":"p","maxTokens":40000}`, nil, 400, "maxTokens"},
		{"deadline below zero", "POST", models, `{"workspace":"farm","model":"rota","prompt":"p","deadlineMs":-1}`, nil, 400, "deadlineMs"},
		{"unknown model", "POST", models, `{"workspace":"farm","model":"other","prompt":"p"}`, nil, 404, "other"},
		{"unknown workspace", "POST", models, `{"workspace":"nobody","model":"rota","prompt":"p"}`, nil, 403, "nobody"},
		{"deadline beyond a duration", "POST", models, `{"workspace":"farm","model":"rota","prompt":"p","deadlineMs":9223372036854775807}`, nil, 400, "deadlineMs"},
		{"resume token", "POST", models, good, map[string]string{receiver.HeaderResume: "x", "Last-Event-ID": "0"}, 400, "resume"},
		{"last event", "POST", models, good, map[string]string{receiver.HeaderResume: "x", "Last-Event-ID": "-1"}, 400, "Last-Event-ID"},
		{"call without workspace", "POST", book, ``, nil, 400, "workspace"},
		{"call of unknown service", "POST", "/v1/services/other", ``, farm, 404, "other"},
		{"call too large", "POST", book, strings.Repeat("x", forwarder.MaxBody+1), farm, 413, "body"},
		{"call with bad priority", "POST", book, ``, with(receiver.HeaderPriority, "high"), 400, receiver.HeaderPriority},
		{"call with priority below zero", "POST", book, ``, with(receiver.HeaderPriority, "-1"), 400, receiver.HeaderPriority},
		{"call with bad deadline", "POST", book, ``, with(receiver.HeaderDeadline, "1.5"), 400, receiver.HeaderDeadline},
		{"call with key too long", "POST", book, ``, with(receiver.HeaderKey, strings.Repeat("k", 1025)), 400, "key"},
		{"call with spaces in its key", "POST", book, ``, with(receiver.HeaderIdempotencyKey, "a b"), 400, "key"},
		{"key for unknown service", "POST", "/v1/keys", `{"workspace":"farm","service":"other"}`, nil, 404, "other"},
		{"key with unknown field", "POST", "/v1/keys", `{"space":"farm"}`, nil, 400, "space"},
		{"fate of a foreign text", "GET", "/v1/keys/v1.x?workspace=farm&service=bookings", ``, nil, 400, "key"},
	}
	w := newWorld(t)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			res := w.send(tt.method, tt.path, tt.body, tt.header)
			p := problemOf(t, res)
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

func problemOf(t *testing.T, res *httptest.ResponseRecorder) problem {
	t.Helper()
	var p problem
	must.NoError(t, json.NewDecoder(res.Body).Decode(&p))
	return p
}

// A workspace asks for more than it may, or no replica is there. Without a time
// to come back all callers return at once, and are refused again.
func TestRefusalSaysWhenToComeBack(t *testing.T) {
	w := newWorld(t)
	for body, status := range map[string]int{
		good: http.StatusServiceUnavailable,
		`{"workspace":"tiny","model":"rota","prompt":"p","maxTokens":30000}`: http.StatusTooManyRequests,
	} {
		w.send("POST", models, body, nil)
		res := w.send("POST", models, body, nil)
		p := problemOf(t, res)
		must.Eq(t, status, res.Code, must.Sprint(p.Error))
		must.Greater(t, 0, p.RetryAfterMS)
		must.NotEq(t, "", res.Header().Get("Retry-After"))
		must.NotEq(t, "0", res.Header().Get("Retry-After"))
	}
}

func TestEntriesSayHowLongToKeepThem(t *testing.T) {
	res := newWorld(t).send("GET", "/v1/entries", "", nil)
	must.Eq(t, `{"entries":[{"address":"10.0.0.1:80","failureDomain":"a","region":"r"}],"keepForMs":2000}`+"\n", res.Body.String())
}
