package relayer_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"k8s.io/utils/clock"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/explainer"
	"github.com/oriolecroft/oriolecroft/internal/granter"
	"github.com/oriolecroft/oriolecroft/internal/logger"
	"github.com/oriolecroft/oriolecroft/internal/matcher"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/relayer"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// sink collects the log lines of this package's tests.
type sink struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

func (s *sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lines.Write(line)
}

// drain returns the lines since the last call.
func (s *sink) drain() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.lines.Reset()
	return bytes.Clone(s.lines.Bytes())
}

var logs sink

func TestMain(m *testing.M) {
	logger.Install(&logs)
	os.Exit(m.Run())
}

// explain returns the output of the operators' explain command on a request.
func explain(t *testing.T, request string) string {
	t.Helper()
	lines, skipped, err := explainer.Read(bytes.NewReader(logs.drain()))
	must.NoError(t, err)
	must.Zero(t, skipped)
	var out strings.Builder
	must.NoError(t, explainer.Explain(&out, lines, request))
	return out.String()
}

// containsInOrder checks that an explanation contains words in this order.
func containsInOrder(t *testing.T, got string, words ...string) {
	t.Helper()
	rest := got
	for _, w := range words {
		_, after, found := strings.Cut(rest, w)
		must.True(t, found, must.Sprintf("%q is missing in:\n%s", w, got))
		rest = after
	}
}

// newEngineWorld returns an entry before engines, each with an agent that grants by its ledger.
func newEngineWorld(t *testing.T, answer func(int, string, net.Conn) bool, ledgers ...*scheduler.Ledger) *testEntry {
	t.Helper()
	// The codec of these tests states no model, so that requests ask for any.
	table := engineTable()
	var us []*upstream
	port := uint16(0)
	for i, l := range ledgers {
		ip := fmt.Sprintf("127.0.0.%d", i+1)
		us = append(us, newUpstreamAt(t, ip, fmt.Sprintf("engine-%d", i), answer))
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		must.NoError(t, err)
		port = netip.MustParseAddrPort(listener.Addr().String()).Port()
		g := &granter.Granter{Ledger: l, Holds: func(string) uint64 { return 1 }, Confirmation: func() registrar.Confirmation { return registrar.Confirmation{Age: time.Second} }, Clock: clock.RealClock{}}
		s := &messenger.Server{Listener: listener, OnReserve: g.Reserve, OnProgress: g.Progress, OnLost: g.Lost}
		ctx, stop := context.WithCancel(context.Background())
		t.Cleanup(stop)
		go func() { _ = s.Serve(ctx) }()
	}
	reg := &registrar.Registrar{Clock: clock.RealClock{}, Decode: func(key string, _ []byte) (registrar.Fact, error) {
		for _, u := range us {
			if u.name == key {
				return registrar.Upstream{ID: key, Service: "engines", FailureDomain: "a", Slots: 12,
					Address: netip.MustParseAddrPort(u.listener.Addr().String())}, nil
			}
		}
		return registrar.Table{Table: table}, nil
	}}
	b := registrar.Batch{Whole: true, At: 100, Records: []registrar.Record{{Key: "table", Revision: 1}}}
	for i, u := range us {
		b.Records = append(b.Records, registrar.Record{Key: u.name, Revision: uint64(i) + 2})
	}
	reg.Apply(b)
	w := newTestEntryWith(t, reg, us)
	w.relayer.Placer.AgentPort = port
	logs.drain()
	return w
}

// instantClock ends each wait at once, and otherwise does not advance.
type instantClock struct{ *clocktest.FakeClock }

func (c instantClock) After(d time.Duration) <-chan time.Time {
	over := c.FakeClock.After(d)
	c.Step(d)
	return over
}

// withInstantClock lets no time pass during placement. On a busy machine a request could use up its time for
// that, and its log lines would correctly name other engines than those under test.
func (w *testEntry) withInstantClock() *testEntry {
	c := instantClock{clocktest.NewFakeClock(time.Now())}
	w.relayer.Placer.Clock, w.relayer.Chooser.Clock = c, c
	return w
}

func openLedger(slots int) *scheduler.Ledger {
	l := &scheduler.Ledger{Clock: clock.RealClock{}}
	l.Open(&matcher.Engine{Slots: slots, ReadPerSecond: 20000, Step: time.Millisecond, Chunk: 512, Stride: 4})
	return l
}

func closedLedger(why string) *scheduler.Ledger {
	l := &scheduler.Ledger{Clock: clock.RealClock{}}
	l.Close(why)
	return l
}

func streamsOneEvent(_ int, id string, conn net.Conn) bool {
	writeString(conn, streamHead(id)+chunked(event(0))+"0\r\n\r\n")
	return true
}

// Guards against a refusal whose cause can't be found by the request's id: one engine is switching weights, all
// slots of the other are taken.
func TestExplainRefusal(t *testing.T) {
	w := newEngineWorld(t, streamsOneEvent, closedLedger("switching weights"), openLedger(1)).withInstantClock()
	w.reserveSlot(t, 1)
	must.Eq(t, http.StatusServiceUnavailable, w.request(t, "/draft", "r1").status)
	got := explain(t, "r1")
	containsInOrder(t, got, "Place asked", "Refused", "reason=all engines full", "returned=false", "outcome: Refused")
	containsInOrder(t, got, "closed=switching weights")
	containsInOrder(t, got, "active=1", "granted=false", "slots=1")
}

// reserveSlot takes a slot at an engine through its agent.
func (w *testEntry) reserveSlot(t *testing.T, engine int) {
	t.Helper()
	u := w.upstreams[engine]
	a := netip.AddrPortFrom(netip.MustParseAddrPort(u.listener.Addr().String()).Addr(), w.relayer.Placer.AgentPort)
	v, err := w.relayer.Placer.Agents.Get(a).Reserve(context.Background(), messenger.Reservation{
		Request: "other", Prompt: 1, Answer: 1, WaitLimitMS: 1000, TimeLeftMS: 60_000})
	must.NoError(t, err)
	must.True(t, v.Granted)
}

// Guards against a refusal without a logged cause: engines known to be full and closed are not asked, so that no
// agent logs the request.
func TestExplainRefusalWithoutReservations(t *testing.T) {
	w := newEngineWorld(t, streamsOneEvent, closedLedger("switching weights"), closedLedger("old weights")).withInstantClock()
	must.Eq(t, http.StatusServiceUnavailable, w.request(t, "/draft", "r1").status)
	containsInOrder(t, explain(t, "r1"), "Refused", "closed=2", "whyClosed=")
	w.relayer.Chooser.RecordFull("engine-0", false, time.Minute)
	w.relayer.Chooser.RecordClosed("engine-1", "old weights", time.Minute, 0)
	must.Eq(t, http.StatusServiceUnavailable, w.request(t, "/draft", "r2").status)
	got := explain(t, "r2")
	must.StrNotContains(t, got, "Place asked")
	containsInOrder(t, got, "Refused", "passedOver=2", "whyClosed=old weights")
}

// Guards against a returned request that the log doesn't distinguish from a first one. Both look the same to the
// entry but for the time left, and returned requests are placed behind others.
func TestExplainRefusalOfAReturnedRequest(t *testing.T) {
	w := newEngineWorld(t, streamsOneEvent, closedLedger("no weights")).withInstantClock()
	must.Eq(t, http.StatusServiceUnavailable, w.requestWithin(t, "/draft", "r1", 6*time.Second).status)
	must.Eq(t, http.StatusServiceUnavailable, w.requestWithin(t, "/draft", "r2", 3*time.Second).status)
	containsInOrder(t, explain(t, "r2"), "Refused", "returned=true")
}

// Guards against an unresponsive agent, as on a frozen VM, that the request's log lines don't name. The entry
// sends to the engine unasked or tries others.
func TestExplainUnresponsiveAgent(t *testing.T) {
	w := newEngineWorld(t, streamsOneEvent, openLedger(12)).withInstantClock()
	w.relayer.Placer.AgentPort = 1
	must.Eq(t, http.StatusServiceUnavailable, w.request(t, "/draft", "r1").status)
	containsInOrder(t, explain(t, "r1"), "Agent silent", "upstream=engine-0", "Refused", "silent=1")
}

// Guards against an unexplained unknown outcome: a booking's upstream resets the connection.
func TestExplainUnknownOutcome(t *testing.T) {
	w := newTestEntry(t, newUpstream(t, "a", resets))
	logs.drain()
	must.Eq(t, http.StatusBadGateway, w.request(t, "/once/1", "r1").status)
	containsInOrder(t, explain(t, "r1"), "Attempt failed", "err=", "outcome=unknown", "upstream=a", "Failed", "outcome=unknown", "outcome: Failed")
}

// Guards against an unexplained cut of a stream that can't be resumed.
func TestExplainCutStream(t *testing.T) {
	w := newEngineWorld(t, func(_ int, id string, conn net.Conn) bool {
		writeString(conn, streamHead(id)+chunked(event(0)))
		return false
	}, openLedger(12))
	must.True(t, w.request(t, "/draft", "r1").broken)
	containsInOrder(t, explain(t, "r1"), "Place asked", "granted=true", "Attempt failed", "upstream=engine-0", "Stream cut", "lastEvent=0", "outcome: Stream cut")
}

// Guards against a late answer whose delay isn't logged. A slow engine is the cause and not the load: a short
// wait had been predicted.
func TestExplainLateAnswer(t *testing.T) {
	w := newEngineWorld(t, func(n int, id string, conn net.Conn) bool {
		time.Sleep(700 * time.Millisecond)
		return streamsOneEvent(n, id, conn)
	}, openLedger(12))
	must.Eq(t, http.StatusOK, w.request(t, "/draft", "r1").status)
	got := explain(t, "r1")
	containsInOrder(t, got, "Place asked", "granted=true", "Served", "firstEventMs=", "lateMs=", "upstream=engine-0", "waitPredictedMs=", "outcome: Served", "after the route's objective")
}

// Guards against a reply from old weights that can't be traced to the process that took them for the newest.
func TestExplainStatesTheWeightsOfAReply(t *testing.T) {
	w := newEngineWorld(t, streamsOneEvent, openLedger(12))
	must.Eq(t, http.StatusOK, w.request(t, "/draft", "r1").status)
	containsInOrder(t, explain(t, "r1"), "Place asked", "beginWithinMs=", "confirmedAgeMs=", "granted=true", "version=1",
		"Served", "confirmedAgeMs=", "version=1")
}

// Guards against an unexplained timeout: an upstream accepts a booking and never answers.
func TestExplainTimeout(t *testing.T) {
	w := newTestEntry(t, newUpstream(t, "a", func(int, string, net.Conn) bool {
		time.Sleep(time.Minute)
		return false
	}))
	logs.drain()
	must.Eq(t, http.StatusGatewayTimeout, w.request(t, "/brief/1", "r1").status)
	containsInOrder(t, explain(t, "r1"), "Attempt failed", "silenceMs=", "upstream=a", "Timed out", "outcome=unknown", "silenceMs=", "outcome: Timed out")
}

// panickingCodec panics on reading a reply's header.
type panickingCodec struct{ testCodec }

func (panickingCodec) ParseReply(int, http.Header) relayer.Reply { panic("no such header") }

// Guards against an unexplained fault of the entry itself.
func TestExplainPanic(t *testing.T) {
	w := newTestEntry(t, newUpstream(t, "a", streamsOneEvent))
	w.relayer.Codec = panickingCodec{}
	w.request(t, "/once/1", "r1")
	containsInOrder(t, explain(t, "r1"), "Handler panicked", "err=", "no such header", "stack=", "tried=", "outcome: Handler panicked")
}

// Guards against refusals without a log line, and against a burst of them that displaces other requests' lines:
// the entry logs a line for each, and an agent a hundred and then fifty a second at most.
func TestLogsOfABurstOfRefusalsAreBounded(t *testing.T) {
	const burst, fleet = 1200, 4
	var ledgers []*scheduler.Ledger
	for range fleet {
		ledgers = append(ledgers, closedLedger("no weights"))
	}
	w := newEngineWorld(t, streamsOneEvent, ledgers...)
	start := time.Now()
	var callers sync.WaitGroup
	for c := range 40 {
		callers.Go(func() {
			for i := range burst / 40 {
				w.request(t, "/draft", fmt.Sprintf("r%d-%d", c, i))
			}
		})
	}
	callers.Wait()
	took := time.Since(start)
	text := logs.drain()
	refused, asked := bytes.Count(text, []byte(`"msg":"Refused"`)), bytes.Count(text, []byte(`"msg":"Place asked"`))
	must.Eq(t, burst, refused)
	must.LessEq(t, fleet*(100+int(50*took.Seconds())+1), asked)
	must.LessEq(t, 450*(refused+asked), len(text), must.Sprint("bytes"))
	t.Logf("%d refusals in %v: %d lines at the entry, %d at agents, %d bytes", burst, took, refused, asked, len(text))
}
