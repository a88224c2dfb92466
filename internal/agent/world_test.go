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
	// patience bounds each wait of a test.
	patience  = 15 * time.Second
	tokenTime = time.Second
)

// origin is a source of weights in memory that counts what is drawn.
type origin struct {
	mu     sync.Mutex
	bodies map[string][]byte
	drawn  int
}

// publish gives the manifest's digest and that of all bytes.
func (o *origin) publish(version string) (manifest, weights string) {
	data := bytes.Repeat([]byte("weights of "+version), 100)
	m := fetcher.Manifest{Model: "rota", Version: version, Size: int64(len(data)), ChunkSize: int64(len(data))}
	m.Chunks = []string{bundler.Digest(data)}
	body, _ := json.Marshal(m)
	o.bodies[m.Chunks[0]], o.bodies[bundler.Digest(body)] = data, body
	sum := sha256.Sum256(data)
	return bundler.Digest(body), "sha256:" + hex.EncodeToString(sum[:])
}

func (o *origin) Manifest(ctx context.Context, digest string) ([]byte, error) {
	return o.Chunk(ctx, digest, 0)
}

func (o *origin) Chunk(_ context.Context, digest string, _ int64) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.drawn++
	return bytes.Clone(o.bodies[digest]), nil
}

func (o *origin) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.drawn
}

// world is one agent before a stand-in, with a fake entry that tells it of
// bundles and permits every switch.
type world struct {
	*agent.Agent
	t       *testing.T
	origin  *origin
	private string
	// clock is the stand-in's.
	clock    *clocktesting.FakeClock
	upstream *httptest.Server
	client   *forwarder.Client
	peers    netip.AddrPort

	mu     sync.Mutex
	record *bundler.Record
	bundle bundler.Bundle
	state  messenger.AgentState
	loads  []string
	probes int
	// frozen keeps the stand-in's state from being read while it is not nil.
	frozen chan struct{}
	// alter changes load orders on their way when it is set.
	alter func(string) string
	// deny keeps the entry from permitting switches.
	deny bool
	// late holds back one answer of the stand-in's state, once it was made.
	late chan struct{}
}

func newWorld(t *testing.T, h http.Handler, c *clocktesting.FakeClock) *world {
	w := &world{t: t, origin: &origin{bodies: map[string][]byte{}}, clock: c}
	public, private, err := bundler.GenerateKey()
	must.NoError(t, err)
	w.private = private
	w.upstream = httptest.NewServer(w.spy(h))
	t.Cleanup(w.upstream.Close)
	t.Cleanup(w.upstream.CloseClientConnections)
	w.client = forwarder.NewClient(new(net.Dialer).DialContext)
	r := clock.RealClock{}
	w.Agent = &agent.Agent{
		ID: "vm-1", Incarnation: "i-1", FailureDomain: "a", Region: "r",
		Listener: listen(t), Service: "bookings",
		State: &gossiper.State{
			Keyring: bundler.Keyring{Keys: []string{public}, Threshold: 1}, Clock: r, FreshFor: patience,
		},
		Gate:      &admitter.Gate{Clock: r, Limit: 4},
		Ledger:    &deduplicator.Ledger{Clock: r, Owner: "vm-1", Incarnation: "i-1"},
		Clock:     r,
		Heartbeat: 20 * time.Millisecond,
		ReportTo:  1,
	}
	return w
}

func (w *world) address() netip.AddrPort {
	return addressOf(w.upstream.Listener)
}

// startEngine starts an agent before a model engine that holds v1.
func startEngine(t *testing.T, e *imitator.Engine, options ...func(*world)) *world {
	c := clocktesting.NewFakeClock(time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC))
	e.Clock, e.TokenTime = c, tokenTime
	w := newWorld(t, e.Handler(), c)
	w.Upstream = &driver.Engine{Address: w.address()}
	w.Loader = &loader.Loader{
		ID: w.ID, FailureDomain: w.FailureDomain, Region: w.Region, Sources: []fetcher.Source{w.origin},
		Memory: 1 << 20, Settle: time.Millisecond, Poll: 10 * time.Millisecond, Patience: 20 * time.Millisecond,
	}
	for _, o := range options {
		o(w)
	}
	w.roll("v1")
	w.run()
	w.await("v1")
	return w
}

func startService(t *testing.T, s *imitator.Service) *world {
	c := clocktesting.NewFakeClock(time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC))
	s.Clock = c
	w := newWorld(t, s.Handler(), c)
	w.Upstream = &driver.Service{Address: w.address()}
	w.roll("v1")
	w.run()
	w.until(func() bool { return len(w.Gate.Holds()) == 0 })
	return w
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

// run starts the agent and its entry, which both end with the test.
func (w *world) run() {
	l := listen(w.t)
	w.peers = addressOf(l)
	w.Seeds = []netip.AddrPort{w.peers}
	ctx, cancel := context.WithCancel(context.Background())
	s := &messenger.Server{Listener: l, OnReport: w.answer}
	var both sync.WaitGroup
	both.Go(func() { _ = w.Run(ctx) })
	entry, stop := context.WithCancel(context.Background())
	go func() { _ = s.Serve(entry) }()
	w.t.Cleanup(func() {
		w.thaw()
		w.upstream.CloseClientConnections()
		cancel()
		both.Wait()
		stop()
	})
}

// answer is the entry's part.
func (w *world) answer(r messenger.Report, _ *messenger.Link) messenger.Update {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.State != nil {
		w.state = *r.State
	} else {
		w.state.Sequence, w.state.Running = r.Heartbeat.Sequence, r.Heartbeat.Running
	}
	n := messenger.Update{
		Freshness:  messenger.Freshness{Revision: w.bundle.Revision, Digest: w.record.Digest()},
		Entries:    []messenger.EntryRef{{ID: "entry-1", Region: "r", Peers: w.peers}},
		Assignment: "rota",
		Switch:     !w.deny,
	}
	if w.state.Revision < w.bundle.Revision {
		n.Record = w.record
	}
	return n
}

// spy keeps the load orders and holds back the state while it is frozen.
func (w *world) spy(h http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/load":
			body, _ := io.ReadAll(r.Body)
			w.mu.Lock()
			w.loads = append(w.loads, string(body))
			alter := w.alter
			w.mu.Unlock()
			if alter != nil {
				body = []byte(alter(string(body)))
			}
			r.Body = io.NopCloser(bytes.NewReader(body))
		case "/state":
			w.mu.Lock()
			frozen := w.frozen
			late := w.late
			w.late = nil
			w.probes++
			w.mu.Unlock()
			if late != nil {
				rec := httptest.NewRecorder()
				h.ServeHTTP(rec, r)
				<-late
				_, _ = rw.Write(rec.Body.Bytes())
				return
			}
			if frozen != nil {
				<-frozen
			}
		}
		h.ServeHTTP(rw, r)
	})
}

// probed waits for some more probes of the engine's state.
func (w *world) probed() {
	w.t.Helper()
	w.mu.Lock()
	least := w.probes + 3
	w.mu.Unlock()
	w.until(func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.probes >= least
	})
}

// reported waits for some more reports, in which time the agent looks at its
// engine and its gate at least once.
func (w *world) reported() {
	w.t.Helper()
	w.mu.Lock()
	least := w.state.Sequence + 10
	w.mu.Unlock()
	w.until(func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.state.Sequence >= least
	})
}

func (w *world) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

func (w *world) setAlter(alter func(string) string) {
	w.set(func() { w.alter = alter })
}

// delayProbe holds back the answer to the next probe until it is let go, or the test ends.
func (w *world) delayProbe() (letGo func()) {
	late := make(chan struct{})
	letGo = sync.OnceFunc(func() { close(late) })
	w.t.Cleanup(letGo)
	w.set(func() { w.late = late })
	w.until(func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.late == nil
	})
	return letGo
}

func (w *world) freeze() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.frozen = make(chan struct{})
}

func (w *world) thaw() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.frozen != nil {
		close(w.frozen)
	}
	w.frozen = nil
}

// roll puts the next bundle in force, with a version of the model.
func (w *world) roll(version string) (weights string) {
	manifest, weights := w.origin.publish(version)
	w.next(func(b *bundler.Bundle) {
		b.Models = []bundler.Model{{Name: "rota", Version: version, Manifest: manifest, Share: 1}}
	})
	return weights
}

// next puts a changed bundle in force.
func (w *world) next(change func(*bundler.Bundle)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.bundle
	b.Revision++
	b.ChangeID = "change"
	b.FailureDomains = []bundler.FailureDomain{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}}
	b.Services = []bundler.Service{{Name: "bookings"}}
	b.Workspaces = []bundler.Workspace{{Name: "farm", Models: []string{"rota"}, Services: []string{"bookings"}}}
	change(&b)
	data, err := b.Encode()
	must.NoError(w.t, err)
	r := &bundler.Record{Payload: data}
	must.NoError(w.t, r.Sign(w.private))
	w.bundle, w.record = b, r
}

func (w *world) until(f func() bool) {
	w.t.Helper()
	must.Wait(w.t, wait.InitialSuccess(wait.BoolFunc(f), wait.Timeout(patience), wait.Gap(5*time.Millisecond)))
}

// await waits until the agent reports an open gate and a version.
func (w *world) await(version string) {
	w.t.Helper()
	w.until(func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.state.Version == version && w.state.Gate != messenger.GateClosed &&
			w.state.Revision == w.bundle.Revision
	})
}

// orders lists the versions of the load orders.
func (w *world) orders() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var versions []string
	for _, l := range w.loads {
		var o imitator.Order
		must.NoError(w.t, json.Unmarshal([]byte(l), &o))
		versions = append(versions, o.Version)
	}
	return versions
}

// post sends the stand-in something directly.
func (w *world) post(path, body string) {
	w.t.Helper()
	c := &http.Client{Timeout: patience}
	res, err := c.Post(w.upstream.URL+path, "application/json", strings.NewReader(body))
	must.NoError(w.t, err)
	must.NoError(w.t, res.Body.Close())
	must.Eq(w.t, http.StatusOK, res.StatusCode)
}

// counts reads one of the stand-in's figures.
func (w *world) counts(name string) int {
	w.t.Helper()
	c := &http.Client{Timeout: patience}
	res, err := c.Get(w.upstream.URL + "/admin/counts")
	must.NoError(w.t, err)
	defer res.Body.Close()
	var all map[string]any
	must.NoError(w.t, json.NewDecoder(res.Body).Decode(&all))
	return int(all[name].(float64))
}

// ask makes an order for a stream of two tokens.
func ask(stream string) forwarder.GenerateOrder {
	return forwarder.GenerateOrder{
		Attempt:   forwarder.Attempt{RequestID: stream, Number: 1},
		Workspace: "farm", Model: "rota", Prompt: "who turns up at dawn", MaxTokens: 2,
		Stream: stream, DeadlineMS: patience.Milliseconds(),
	}
}

// open starts a stream as an entry does, up to its first token: the engine sends
// nothing before that. The context ends with the test.
func (w *world) open(o forwarder.GenerateOrder) (*forwarder.Stream, context.CancelFunc, error) {
	answered := make(chan struct{})
	var ticking sync.WaitGroup
	ticking.Go(func() { w.tick(answered) })
	s, cancel, err := w.send(o)
	close(answered)
	ticking.Wait()
	return s, cancel, err
}

// send is open while the engine's clock stands still.
func (w *world) send(o forwarder.GenerateOrder) (*forwarder.Stream, context.CancelFunc, error) {
	ctx, cancel := context.WithTimeout(w.t.Context(), patience)
	w.t.Cleanup(cancel)
	s, err := w.client.Generate(ctx, addressOf(w.Listener), o)
	return s, cancel, err
}

func (w *world) mustOpen(o forwarder.GenerateOrder) (*forwarder.Stream, context.CancelFunc) {
	w.t.Helper()
	s, cancel, err := w.open(o)
	must.NoError(w.t, err)
	return s, cancel
}

// next token of a stream, whose engine waits for its clock.
func (w *world) token(s *forwarder.Stream) forwarder.Event {
	w.t.Helper()
	w.tick(w.t.Context().Done())
	return w.event(s)
}

func (w *world) event(s *forwarder.Stream) forwarder.Event {
	w.t.Helper()
	e, err := s.Next()
	must.NoError(w.t, err)
	return e
}

// tick lets the engine's next token come, unless stop is closed before the engine
// waits for it.
func (w *world) tick(stop <-chan struct{}) {
	for end := time.Now().Add(patience); !w.clock.HasWaiters(); {
		if isClosed(stop) || time.Now().After(end) {
			return
		}
		runtime.Gosched()
	}
	w.clock.Step(tokenTime)
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// whole reads a new stream of two tokens to its end, and gives its weights.
func (w *world) whole(s *forwarder.Stream) string {
	w.t.Helper()
	w.event(s)
	w.token(s)
	last := w.event(s)
	must.True(w.t, last.Done, must.Sprintf("%+v", last))
	return last.Weights
}

func (w *world) running() int {
	_, _, n := w.Gate.State()
	return n
}
