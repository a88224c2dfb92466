package relayer_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/granter"
	"github.com/oriolecroft/oriolecroft/internal/matcher"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/relayer"
	"github.com/oriolecroft/oriolecroft/internal/retrier"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
	"github.com/oriolecroft/oriolecroft/platform"
)

const (
	// backoffGrace is how long after its answer an upstream may still get requests in flight, and
	// maxDuringBackoff how many may reach it after that.
	backoffGrace     = 500 * time.Millisecond
	maxDuringBackoff = 2
)

// statingUpstream answers by its conduct and records the arrivals of each entry's requests.
type statingUpstream struct {
	listener net.Listener

	mu sync.Mutex
	// conduct writes an answer's status, header and body; entry sent the request.
	conduct func(w http.ResponseWriter, r *http.Request, entry string)
	// arrived has the arrival times of the requests of each entry.
	arrived map[string][]time.Time
	// informed is when an entry was first asked to back off, or was sent another statement.
	informed map[string]time.Time
}

func newStatingUpstream(t *testing.T, conduct func(u *statingUpstream, w http.ResponseWriter, entry string)) *statingUpstream {
	return newStatingUpstreamAt(t, "127.0.0.1", conduct)
}

func newStatingUpstreamAt(t *testing.T, ip string, conduct func(u *statingUpstream, w http.ResponseWriter, entry string)) *statingUpstream {
	l, err := net.Listen("tcp", ip+":0")
	must.NoError(t, err)
	u := &statingUpstream{listener: l, arrived: map[string][]time.Time{}, informed: map[string]time.Time{}}
	u.conduct = func(w http.ResponseWriter, _ *http.Request, entry string) { conduct(u, w, entry) }
	s := &http.Server{Handler: u}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { s.Close() })
	return u
}

// ServeHTTP answers a request; its body names the entry that sent it.
func (u *statingUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	entry, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.arrived[string(entry)] = append(u.arrived[string(entry)], time.Now())
	w.Header().Set("X-Request-Attempt", r.Header.Get("X-Request-Attempt"))
	u.conduct(w, r, string(entry))
}

// inform records the time of the first statement to an entry.
func (u *statingUpstream) inform(entry string) {
	if _, ok := u.informed[entry]; !ok {
		u.informed[entry] = time.Now()
	}
}

func serveWhole(w http.ResponseWriter) {
	w.Header().Set("X-Replica-Seal", "s")
	_, _ = io.WriteString(w, "done")
}

// reject refuses a request and asks for a backoff.
func reject(w http.ResponseWriter, backoff time.Duration) {
	w.Header().Set("X-Not-Executed", "shed")
	w.Header().Set("Retry-After", strconv.FormatFloat(backoff.Seconds(), 'f', -1, 64))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// asksForBackoff refuses all requests and asks each entry for the same backoff.
func asksForBackoff(backoff time.Duration) func(u *statingUpstream, w http.ResponseWriter, entry string) {
	return func(u *statingUpstream, w http.ResponseWriter, entry string) {
		u.inform(entry)
		reject(w, backoff)
	}
}

func servesAll(_ *statingUpstream, w http.ResponseWriter, _ string) { serveWhole(w) }

// servesHalf refuses every other request without stating for how long.
func servesHalf() func(u *statingUpstream, w http.ResponseWriter, entry string) {
	n := 0
	return func(_ *statingUpstream, w http.ResponseWriter, _ string) {
		if n++; n%2 == 0 {
			w.Header().Set("X-Not-Executed", "full")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		serveWhole(w)
	}
}

// maxBetween is the most requests that any entry sent between two times after it was informed.
func (u *statingUpstream) maxBetween(after, until time.Duration) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	most := 0
	for entry, informed := range u.informed {
		n := 0
		for _, at := range u.arrived[entry] {
			if d := at.Sub(informed); d > after && d < until {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

func (u *statingUpstream) informedEntries() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.informed)
}

func (u *statingUpstream) isInformed(entry string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	_, ok := u.informed[entry]
	return ok
}

// record is the upstream's record in the store.
func (u *statingUpstream) record(id, service string, slots int) registrar.Upstream {
	return registrar.Upstream{ID: id, Service: service, Address: netip.MustParseAddrPort(u.listener.Addr().String()), FailureDomain: "a", Slots: slots}
}

// agentBeside starts an agent that grants slots at its engine, and returns its port.
func agentBeside(t *testing.T, ip string, engine *matcher.Engine, delay func() time.Duration) uint16 {
	ledger := &scheduler.Ledger{Clock: clock.RealClock{}}
	ledger.Open(engine)
	g := &granter.Granter{Ledger: ledger, Holds: func(string) uint64 { return 1 }, Clock: clock.RealClock{}}
	l, err := net.Listen("tcp", ip+":0")
	must.NoError(t, err)
	server := &messenger.Server{Listener: l, OnProgress: g.Progress, OnLost: g.Lost,
		OnReserve: func(q messenger.Reservation, from *messenger.Link) messenger.Decision {
			time.Sleep(delay())
			return g.Reserve(q, from)
		}}
	go func() { _ = server.Serve(t.Context()) }()
	return netip.MustParseAddrPort(l.Addr().String()).Port()
}

func noDelay() time.Duration { return 0 }

// ask sends one request through an entry and returns the status and the time to come back.
func ask(t *testing.T, w *testEntry, id string) (status int, retryAfter, took time.Duration) {
	t.Helper()
	return askAs(t, w, "0", id)
}

// askAs is ask through the entry of the given name.
func askAs(t *testing.T, w *testEntry, entry, id string) (status int, retryAfter, took time.Duration) {
	t.Helper()
	start := time.Now()
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, w.URL+"/", strings.NewReader(entry))
	must.NoError(t, err)
	r.Header.Set("X-Request-Attempt", id)
	res, err := http.DefaultClient.Do(r)
	must.NoError(t, err)
	_, _ = io.Copy(io.Discard, res.Body)
	res.Body.Close()
	seconds, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	return res.StatusCode, time.Duration(seconds * float64(time.Second)), time.Since(start)
}

// informAll sends requests through each entry until it has received a statement of an upstream.
func informAll(t *testing.T, ws []*testEntry, u *statingUpstream) {
	t.Helper()
	for i, w := range ws {
		for n, start := 0, time.Now(); !u.isInformed(fmt.Sprint(i)); n++ {
			must.Less(t, stepTimeout, time.Since(start))
			_, _, _ = askAs(t, w, fmt.Sprint(i), fmt.Sprintf("%d-%d", i, n))
		}
	}
}

// Guards against entries that continue to send to a plain service that asked for a backoff.
func TestServiceThatIsBackingOffGetsNothing(t *testing.T) {
	const backoff = 3 * time.Second
	backingOff, busy := newStatingUpstream(t, asksForBackoff(backoff)), newStatingUpstream(t, servesHalf())
	ws := limitedEntries(t, 5, &matcher.Service{Name: "desk"}, backingOff.record("tired", "desk", 6), busy.record("busy", "desk", 6))
	informAll(t, ws, backingOff)
	served := loadEntries(t, ws, 20*time.Millisecond, 4*time.Second)
	must.LessEq(t, maxDuringBackoff, backingOff.maxBetween(backoffGrace, backoff))
	must.Positive(t, served)
}

// Guards against entries that continue to send to an engine that asked them for a backoff, because
// its agent, which was not asked, grants slots.
func TestEngineThatIsBackingOffGetsNothing(t *testing.T) {
	const backoff = 3 * time.Second
	backingOff, busy := newStatingUpstream(t, asksForBackoff(backoff)), newStatingUpstreamAt(t, "127.0.0.2", servesHalf())
	engine := engineTable().Services["engines"].Engine
	port := agentBeside(t, "0.0.0.0", engine, noDelay)
	ws := limitedEntries(t, 5, &matcher.Service{Name: "engines", Engine: engine},
		backingOff.record("tired", "engines", engine.Slots), busy.record("busy", "engines", engine.Slots))
	for _, w := range ws {
		w.relayer.Placer.AgentPort = port
	}
	informAll(t, ws, backingOff)
	served := loadEntries(t, ws, 20*time.Millisecond, 4*time.Second)
	must.LessEq(t, maxDuringBackoff, backingOff.maxBetween(backoffGrace, backoff))
	must.Positive(t, served)
}

// Guards against requests that got slots before their entry was asked for a backoff, and are sent
// long after.
func TestPlacedRequestIsWithheldFromAnEngineThatIsBackingOff(t *testing.T) {
	const backoff, late = 5 * time.Second, time.Second
	backingOff := newStatingUpstream(t, asksForBackoff(backoff))
	engine := engineTable().Services["engines"].Engine
	var mu sync.Mutex
	questions := 0
	port := agentBeside(t, "127.0.0.1", engine, func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		questions++
		if questions == 1 {
			return 0
		}
		return late
	})
	ws := limitedEntries(t, 1, &matcher.Service{Name: "engines", Engine: engine}, backingOff.record("tired", "engines", engine.Slots))
	ws[0].relayer.Placer.AgentPort = port
	var all sync.WaitGroup
	for i := range 6 {
		all.Go(func() { _, _, _ = ask(t, ws[0], fmt.Sprint(i)) })
	}
	all.Wait()
	must.Eq(t, 1, backingOff.informedEntries())
	must.LessEq(t, maxDuringBackoff, backingOff.maxBetween(backoffGrace, backoff))
}

// Guards against a Retry-After at which the whole service is still backing off, and against
// requests that wait for one.
func TestServiceWithAllUpstreamsBackingOffRefusesAtOnce(t *testing.T) {
	const backoff, spread = 3 * time.Second, time.Second
	for name, engine := range map[string]*matcher.Engine{"plain": nil, "engines": engineTable().Services["engines"].Engine} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conduct := func(u *statingUpstream, w http.ResponseWriter, entry string) {
				u.inform(entry)
				if time.Since(u.informed[entry]) > backoff {
					serveWhole(w)
					return
				}
				reject(w, backoff)
			}
			first, second := newStatingUpstream(t, conduct), newStatingUpstreamAt(t, "127.0.0.2", conduct)
			slots := 6
			if engine != nil {
				slots = engine.Slots
			}
			ws := limitedEntries(t, 1, &matcher.Service{Name: "s", Engine: engine}, first.record("first", "s", slots), second.record("second", "s", slots))
			if engine != nil {
				ws[0].relayer.Placer.AgentPort = agentBeside(t, "0.0.0.0", engine, noDelay)
			}
			start := time.Now()
			for i := range 20 {
				sentAt := time.Since(start)
				status, retryAfter, took := ask(t, ws[0], fmt.Sprint(i))
				must.Eq(t, http.StatusServiceUnavailable, status)
				// By the second request at the latest, both upstreams have received one.
				if i > 1 {
					must.Less(t, 200*time.Millisecond, took)
					left := backoff - sentAt - took
					must.GreaterEq(t, left-100*time.Millisecond, retryAfter)
					must.LessEq(t, left+spread+500*time.Millisecond, retryAfter)
				}
				time.Sleep(20 * time.Millisecond)
			}
			must.LessEq(t, maxDuringBackoff, max(first.maxBetween(backoffGrace, backoff), second.maxBetween(backoffGrace, backoff)))
			time.Sleep(time.Until(start.Add(backoff + 500*time.Millisecond)))
			status, _, _ := ask(t, ws[0], "after")
			must.Eq(t, http.StatusOK, status)
		})
	}
}

// Guards against retries and continued streams that are sent to an upstream that is backing off.
func TestRetriesAvoidAnUpstreamThatIsBackingOff(t *testing.T) {
	const backoff = 3 * time.Second
	backingOff := newStatingUpstream(t, asksForBackoff(backoff))
	breaks := func(_ *statingUpstream, w http.ResponseWriter, _ string) {
		w.Header().Set("X-Replica-Seal", "s")
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "half")
	}
	flaky := newStatingUpstream(t, breaks)
	ws := limitedEntries(t, 3, &matcher.Service{Name: "desk"}, backingOff.record("tired", "desk", 6), flaky.record("flaky", "desk", 6))
	loadEntries(t, ws, 10*time.Millisecond, 3*time.Second)
	must.Positive(t, backingOff.informedEntries())
	must.LessEq(t, maxDuringBackoff, backingOff.maxBetween(backoffGrace, backoff))
}

// platformCodec reads the headers of the users' platform.
var platformCodec = platform.Headers{}

// Guards against retries spent on requests that no upstream got, and then missing for one that
// failed.
func TestWithheldRequestCostsNoRetry(t *testing.T) {
	first, second := newStatingUpstream(t, servesAll), newStatingUpstream(t, servesAll)
	w := limitedEntries(t, 1, &matcher.Service{Name: "desk"}, first.record("first", "desk", 6), second.record("second", "desk", 6))[0]
	w.relayer.Budgets = &retrier.Budgets{New: func() *retrier.Budget {
		return &retrier.Budget{Clock: clock.RealClock{}, Share: 1e-9, Burst: 1e-9}
	}}
	for cause, served := range map[error]bool{
		&relayer.WithheldError{Reason: "asked for rest"}: true, io.ErrUnexpectedEOF: false,
	} {
		j := &relayer.Job{Request: relayer.Request{ID: "r"}, Route: w.registrar.View().Table.Routes[0], Arrived: time.Now()}
		w.relayer.Admit(j)
		sends := 0
		err := w.relayer.Serve(t.Context(), j, func(_ context.Context, p *relayer.Placement) error {
			if sends++; sends > 1 {
				return nil
			}
			return &relayer.SendError{Upstream: p.Upstream.ID, Outcome: retrier.NotRun, Err: cause}
		})
		must.Eq(t, served, err == nil, must.Sprint(cause))
	}
}
