package agent_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"k8s.io/utils/clock"
	clocktesting "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/admitter"
	"github.com/oriolecroft/oriolecroft/internal/agent"
	"github.com/oriolecroft/oriolecroft/internal/deduplicator"
	"github.com/oriolecroft/oriolecroft/internal/driver"
	"github.com/oriolecroft/oriolecroft/internal/fetcher"
	"github.com/oriolecroft/oriolecroft/internal/forwarder"
	"github.com/oriolecroft/oriolecroft/internal/gossiper"
	"github.com/oriolecroft/oriolecroft/internal/loader"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
	"github.com/oriolecroft/oriolecroft/standins/imitator"
)

const (
	// waitTimeout bounds each wait of a test.
	waitTimeout = 15 * time.Second
	tokenTime   = time.Second
)

// memoryOrigin is an in-memory source of weights that counts fetches.
type memoryOrigin struct {
	mu      sync.Mutex
	bodies  map[string][]byte
	fetches int
}

// publish returns the manifest's digest and that of all bytes.
func (o *memoryOrigin) publish(version string) (manifest, weights string) {
	data := bytes.Repeat([]byte("weights of "+version), 100)
	m := fetcher.Manifest{Model: "rota", Version: version, Size: int64(len(data)), ChunkSize: int64(len(data))}
	m.Chunks = []string{bundler.Digest(data)}
	body, _ := json.Marshal(m)
	o.bodies[m.Chunks[0]], o.bodies[bundler.Digest(body)] = data, body
	sum := sha256.Sum256(data)
	return bundler.Digest(body), "sha256:" + hex.EncodeToString(sum[:])
}

func (o *memoryOrigin) Manifest(ctx context.Context, digest string) ([]byte, error) {
	return o.Chunk(ctx, digest, 0)
}

func (o *memoryOrigin) Chunk(_ context.Context, digest string, _ int64) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.fetches++
	return bytes.Clone(o.bodies[digest]), nil
}

func (o *memoryOrigin) fetchCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.fetches
}

// testEnv is one agent in front of a stand-in, with a fake entry that sends it
// bundles and permits every switch.
type testEnv struct {
	*agent.Agent
	t          *testing.T
	origin     *memoryOrigin
	privateKey string
	// clock is the stand-in's.
	clock        *clocktesting.FakeClock
	upstream     *httptest.Server
	client       *forwarder.Client
	entryAddress netip.AddrPort

	mu         sync.Mutex
	record     *bundler.Record
	bundle     bundler.Bundle
	state      messenger.AgentState
	loadBodies []string
	probeCount int
	// suspended blocks queries of the stand-in's state while it is not nil.
	suspended chan struct{}
	// alterLoad changes load orders on their way when it is set.
	alterLoad func(string) string
	// denySwitch keeps the entry from permitting switches.
	denySwitch bool
	// delayedProbe holds back one answer of the stand-in's state, once it was made.
	delayedProbe chan struct{}
	// rawReply answers bookings and streams byte for byte unless it is empty; rawReplies counts them.
	rawReply   string
	rawReplies int
}

func newTestEnv(t *testing.T, h http.Handler, c *clocktesting.FakeClock) *testEnv {
	env := &testEnv{t: t, origin: &memoryOrigin{bodies: map[string][]byte{}}, clock: c}
	public, private, err := bundler.GenerateKey()
	must.NoError(t, err)
	env.privateKey = private
	env.upstream = httptest.NewServer(env.intercept(h))
	t.Cleanup(env.upstream.Close)
	t.Cleanup(env.upstream.CloseClientConnections)
	env.client = forwarder.NewClient(new(net.Dialer).DialContext)
	r := clock.RealClock{}
	env.Agent = &agent.Agent{
		ID: "vm-1", Incarnation: "i-1", FailureDomain: "a", Region: "r",
		Listener: listen(t), Service: "bookings",
		State: &gossiper.State{
			Keyring: bundler.Keyring{Keys: []string{public}, Threshold: 1}, Clock: r, FreshFor: waitTimeout,
		},
		Gate:      &admitter.Gate{Clock: r, Limit: 4},
		Ledger:    &deduplicator.Ledger{Clock: r, Owner: "vm-1", Incarnation: "i-1"},
		Clock:     r,
		Heartbeat: 20 * time.Millisecond,
		ReportTo:  1,
	}
	return env
}

func (env *testEnv) address() netip.AddrPort {
	return addressOf(env.upstream.Listener)
}

// startEngine starts an agent in front of a model engine that holds v1.
func startEngine(t *testing.T, e *imitator.Engine, options ...func(*testEnv)) *testEnv {
	c := clocktesting.NewFakeClock(time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC))
	e.Clock, e.TokenTime = c, tokenTime
	env := newTestEnv(t, e.Handler(), c)
	env.Upstream = &driver.Engine{Address: env.address()}
	env.Loader = &loader.Loader{
		ID: env.ID, FailureDomain: env.FailureDomain, Region: env.Region, Sources: []fetcher.Source{env.origin},
		Memory: 1 << 20, Settle: time.Millisecond, Poll: 10 * time.Millisecond, Patience: 20 * time.Millisecond,
	}
	for _, o := range options {
		o(env)
	}
	env.rollOut("v1")
	env.start()
	env.waitForVersion("v1")
	return env
}

func startService(t *testing.T, s *imitator.Service) *testEnv {
	c := clocktesting.NewFakeClock(time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC))
	s.Clock = c
	env := newTestEnv(t, s.Handler(), c)
	env.Upstream = &driver.Service{Address: env.address()}
	env.rollOut("v1")
	env.start()
	env.waitUntil(func() bool { return len(env.Gate.Holds()) == 0 })
	return env
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	return l
}

func addressOf(l net.Listener) netip.AddrPort {
	return netip.MustParseAddrPort(l.Addr().String())
}

// start starts the agent and its entry, which both end with the test.
func (env *testEnv) start() {
	l := listen(env.t)
	env.entryAddress = addressOf(l)
	env.Seeds = []netip.AddrPort{env.entryAddress}
	ctx, cancel := context.WithCancel(context.Background())
	s := &messenger.Server{Listener: l, OnReport: env.answerReport}
	var wg sync.WaitGroup
	wg.Go(func() { _ = env.Run(ctx) })
	entry, stop := context.WithCancel(context.Background())
	go func() { _ = s.Serve(entry) }()
	env.t.Cleanup(func() {
		env.resumeProbes()
		env.upstream.CloseClientConnections()
		cancel()
		wg.Wait()
		stop()
	})
}

// answerReport is the entry's answer.
func (env *testEnv) answerReport(r messenger.Report, _ *messenger.Link) messenger.Update {
	env.mu.Lock()
	defer env.mu.Unlock()
	if r.State != nil {
		env.state = *r.State
	} else {
		env.state.Sequence, env.state.Running = r.Heartbeat.Sequence, r.Heartbeat.Running
	}
	n := messenger.Update{
		Freshness:  messenger.Freshness{Revision: env.bundle.Revision, Digest: env.record.Digest()},
		Entries:    []messenger.EntryRef{{ID: "entry-1", Region: "r", Peers: env.entryAddress}},
		Assignment: "rota",
		Switch:     !env.denySwitch,
	}
	if env.state.Revision < env.bundle.Revision {
		n.Record = env.record
	}
	return n
}

// intercept records load orders and blocks state queries while they are suspended.
func (env *testEnv) intercept(h http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/book", "/generate":
			if env.sendRawReply(rw, r) {
				return
			}
		case "/load":
			body, _ := io.ReadAll(r.Body)
			env.mu.Lock()
			env.loadBodies = append(env.loadBodies, string(body))
			alter := env.alterLoad
			env.mu.Unlock()
			if alter != nil {
				body = []byte(alter(string(body)))
			}
			r.Body = io.NopCloser(bytes.NewReader(body))
		case "/state":
			env.mu.Lock()
			suspended := env.suspended
			delayed := env.delayedProbe
			env.delayedProbe = nil
			env.probeCount++
			env.mu.Unlock()
			if delayed != nil {
				rec := httptest.NewRecorder()
				h.ServeHTTP(rec, r)
				<-delayed
				_, _ = rw.Write(rec.Body.Bytes())
				return
			}
			if suspended != nil {
				<-suspended
			}
		}
		h.ServeHTTP(rw, r)
	})
}

// waitForProbes waits for some more probes of the engine's state.
func (env *testEnv) waitForProbes() {
	env.t.Helper()
	env.mu.Lock()
	least := env.probeCount + 3
	env.mu.Unlock()
	env.waitUntil(func() bool {
		env.mu.Lock()
		defer env.mu.Unlock()
		return env.probeCount >= least
	})
}

// waitForReports waits for some more reports, in which time the agent checks its
// engine and its gate at least once.
func (env *testEnv) waitForReports() {
	env.t.Helper()
	env.mu.Lock()
	least := env.state.Sequence + 10
	env.mu.Unlock()
	env.waitUntil(func() bool {
		env.mu.Lock()
		defer env.mu.Unlock()
		return env.state.Sequence >= least
	})
}

func (env *testEnv) withLock(change func()) {
	env.mu.Lock()
	defer env.mu.Unlock()
	change()
}

func (env *testEnv) setAlterLoad(alter func(string) string) {
	env.withLock(func() { env.alterLoad = alter })
}

// delayProbe holds back the answer to the next probe until it is released, or the test ends.
func (env *testEnv) delayProbe() (release func()) {
	delayed := make(chan struct{})
	release = sync.OnceFunc(func() { close(delayed) })
	env.t.Cleanup(release)
	env.withLock(func() { env.delayedProbe = delayed })
	env.waitUntil(func() bool {
		env.mu.Lock()
		defer env.mu.Unlock()
		return env.delayedProbe == nil
	})
	return release
}

func (env *testEnv) suspendProbes() {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.suspended = make(chan struct{})
}

func (env *testEnv) resumeProbes() {
	env.mu.Lock()
	defer env.mu.Unlock()
	if env.suspended != nil {
		close(env.suspended)
	}
	env.suspended = nil
}

// rollOut puts the next bundle in force, with a version of the model.
func (env *testEnv) rollOut(version string) (weights string) {
	manifest, weights := env.origin.publish(version)
	env.putBundle(func(b *bundler.Bundle) {
		b.Models = []bundler.Model{{Name: "rota", Version: version, Manifest: manifest, Share: 1}}
	})
	return weights
}

// putBundle puts a changed bundle in force.
func (env *testEnv) putBundle(change func(*bundler.Bundle)) {
	env.mu.Lock()
	defer env.mu.Unlock()
	b := env.bundle
	b.Revision++
	b.ChangeID = "change"
	b.FailureDomains = []bundler.FailureDomain{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}}
	b.Services = []bundler.Service{{Name: "bookings"}}
	b.Workspaces = []bundler.Workspace{{Name: "farm", Models: []string{"rota"}, Services: []string{"bookings"}}}
	change(&b)
	data, err := b.Encode()
	must.NoError(env.t, err)
	r := &bundler.Record{Payload: data}
	must.NoError(env.t, r.Sign(env.privateKey))
	env.bundle, env.record = b, r
}

func (env *testEnv) waitUntil(f func() bool) {
	env.t.Helper()
	must.Wait(env.t, wait.InitialSuccess(wait.BoolFunc(f), wait.Timeout(waitTimeout), wait.Gap(5*time.Millisecond)))
}

// waitForVersion waits until the agent reports an open gate and a version.
func (env *testEnv) waitForVersion(version string) {
	env.t.Helper()
	env.waitUntil(func() bool {
		env.mu.Lock()
		defer env.mu.Unlock()
		return env.state.Version == version && env.state.Gate != messenger.GateClosed &&
			env.state.Revision == env.bundle.Revision
	})
}

// loadedVersions lists the versions of the load orders.
func (env *testEnv) loadedVersions() []string {
	env.mu.Lock()
	defer env.mu.Unlock()
	var versions []string
	for _, l := range env.loadBodies {
		var o imitator.Order
		must.NoError(env.t, json.Unmarshal([]byte(l), &o))
		versions = append(versions, o.Version)
	}
	return versions
}

// postUpstream posts to the stand-in directly.
func (env *testEnv) postUpstream(path, body string) {
	env.t.Helper()
	c := &http.Client{Timeout: waitTimeout}
	res, err := c.Post(env.upstream.URL+path, "application/json", strings.NewReader(body))
	must.NoError(env.t, err)
	must.NoError(env.t, res.Body.Close())
	must.Eq(env.t, http.StatusOK, res.StatusCode)
}

// upstreamCount reads one of the stand-in's counters.
func (env *testEnv) upstreamCount(name string) int {
	env.t.Helper()
	c := &http.Client{Timeout: waitTimeout}
	res, err := c.Get(env.upstream.URL + "/admin/counts")
	must.NoError(env.t, err)
	defer res.Body.Close()
	var all map[string]any
	must.NoError(env.t, json.NewDecoder(res.Body).Decode(&all))
	return int(all[name].(float64))
}

// newOrder returns an order for a stream of two tokens.
func newOrder(stream string) forwarder.GenerateOrder {
	return forwarder.GenerateOrder{
		Attempt:   forwarder.Attempt{RequestID: stream, Number: 1},
		Workspace: "farm", Model: "rota", Prompt: "who turns up at dawn", MaxTokens: 2,
		Stream: stream, DeadlineMS: waitTimeout.Milliseconds(),
	}
}

// openStream starts a stream as an entry does, up to its first token: the engine sends
// nothing before that. The context ends with the test.
func (env *testEnv) openStream(o forwarder.GenerateOrder) (*forwarder.Stream, context.CancelFunc, error) {
	answered := make(chan struct{})
	var ticking sync.WaitGroup
	ticking.Go(func() { env.stepToken(answered) })
	s, cancel, err := env.sendOrder(o)
	close(answered)
	ticking.Wait()
	return s, cancel, err
}

// sendOrder is openStream without a step of the engine's clock.
func (env *testEnv) sendOrder(o forwarder.GenerateOrder) (*forwarder.Stream, context.CancelFunc, error) {
	ctx, cancel := context.WithTimeout(env.t.Context(), waitTimeout)
	env.t.Cleanup(cancel)
	s, err := env.client.Generate(ctx, addressOf(env.Listener), o)
	return s, cancel, err
}

func (env *testEnv) mustOpenStream(o forwarder.GenerateOrder) (*forwarder.Stream, context.CancelFunc) {
	env.t.Helper()
	s, cancel, err := env.openStream(o)
	must.NoError(env.t, err)
	return s, cancel
}

// nextToken steps the engine's clock and returns the next event.
func (env *testEnv) nextToken(s *forwarder.Stream) forwarder.Event {
	env.t.Helper()
	env.stepToken(env.t.Context().Done())
	return env.nextEvent(s)
}

func (env *testEnv) nextEvent(s *forwarder.Stream) forwarder.Event {
	env.t.Helper()
	e, err := s.Next()
	must.NoError(env.t, err)
	return e
}

// stepToken steps the engine's clock to its next token, unless stop is closed before
// the engine waits for it.
func (env *testEnv) stepToken(stop <-chan struct{}) {
	for end := time.Now().Add(waitTimeout); !env.clock.HasWaiters(); {
		if isClosed(stop) || time.Now().After(end) {
			return
		}
		runtime.Gosched()
	}
	env.clock.Step(tokenTime)
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// readAll reads a new stream of two tokens to its end, and returns its weights.
func (env *testEnv) readAll(s *forwarder.Stream) string {
	env.t.Helper()
	env.nextEvent(s)
	env.nextToken(s)
	last := env.nextEvent(s)
	must.True(env.t, last.Done, must.Sprintf("%+v", last))
	return last.Weights
}

func (env *testEnv) runningCount() int {
	_, _, n := env.Gate.State()
	return n
}
