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

// sink keeps the log lines of this package's tests.
type sink struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

func (s *sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lines.Write(line)
}

// take gives the lines since the last call.
func (s *sink) take() []byte {
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

// explain gives what the operators' command prints on a request.
func explain(t *testing.T, request string) string {
	t.Helper()
	lines, skipped, err := explainer.Read(bytes.NewReader(logs.take()))
	must.NoError(t, err)
	must.Zero(t, skipped)
	var out strings.Builder
	must.NoError(t, explainer.Explain(&out, lines, request))
	return out.String()
}

// says checks that an explanation holds words in this order.
func says(t *testing.T, got string, words ...string) {
	t.Helper()
	rest := got
	for _, w := range words {
		_, after, found := strings.Cut(rest, w)
		must.True(t, found, must.Sprintf("no %q there:\n%s", w, got))
		rest = after
	}
}

// engines makes an entry before engines, each with an agent that grants by its ledger.
func engines(t *testing.T, answer func(int, string, net.Conn) bool, ledgers ...*scheduler.Ledger) *world {
	t.Helper()
	// The codec here tells no model, and engines are asked for any.
	table := engineTable()
	var us []*upstream
	port := uint16(0)
	for i, l := range ledgers {
		ip := fmt.Sprintf("127.0.0.%d", i+1)
		us = append(us, newUpstreamAt(t, ip, fmt.Sprintf("engine-%d", i), answer))
		at, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		must.NoError(t, err)
		port = netip.MustParseAddrPort(at.Addr().String()).Port()
		g := &granter.Granter{Ledger: l, Holds: func(string) uint64 { return 1 }, Clock: clock.RealClock{}}
		s := &messenger.Server{Listener: at, OnReserve: g.Reserve, OnProgress: g.Progress, OnLost: g.Lost}
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
	w := newWorldOf(t, reg, us)
	w.relayer.Placer.AgentPort = port
	logs.take()
	return w
}

// unhurriedClock stands still but for what somebody waits for, which is over at once.
type unhurriedClock struct{ *clocktest.FakeClock }

func (c unhurriedClock) After(d time.Duration) <-chan time.Time {
	over := c.FakeClock.After(d)
	c.Step(d)
	return over
}

// unhurried lets no time pass while a place is looked for. A machine that is short of
// processor time would use up what a request may spend on that, and its lines would rightly
// tell of other engines than those that the test is about.
func (w *world) unhurried() *world {
	c := unhurriedClock{clocktest.NewFakeClock(time.Now())}
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

func streams(_ int, id string, conn net.Conn) bool {
	say(conn, streamHead(id)+chunked(event(0))+"0\r\n\r\n")
	return true
}

// A user's draft is refused. One engine is switching weights, the other has all its places
// taken; the on-call engineer has only the request's id.
func TestRefusalLeadsToItsCause(t *testing.T) {
	w := engines(t, streams, closedLedger("switching weights"), openLedger(1)).unhurried()
	w.holdPlace(t, 1)
	must.Eq(t, http.StatusServiceUnavailable, w.ask(t, "/draft", "r1").status)
	got := explain(t, "r1")
	says(t, got, "Place asked", "Refused", "reason=all engines full", "returned=false", "outcome: Refused")
	says(t, got, "closed=switching weights")
	says(t, got, "active=1", "granted=false", "slots=1")
}

// holdPlace takes a place at an engine by its agent.
func (w *world) holdPlace(t *testing.T, engine int) {
	t.Helper()
	u := w.upstreams[engine]
	a := netip.AddrPortFrom(netip.MustParseAddrPort(u.listener.Addr().String()).Addr(), w.relayer.Placer.AgentPort)
	v, err := w.relayer.Placer.Agents.Get(a).Reserve(context.Background(), messenger.Reservation{
		Request: "other", Prompt: 1, Answer: 1, WaitLimitMS: 1000, TimeLeftMS: 60_000})
	must.NoError(t, err)
	must.True(t, v.Granted)
}

// Right after, the engines are known to be full and closed, and nobody is asked: no agent
// has a line on this request. The entry's must say what it went by.
func TestRefusalWithoutQuestionsLeadsToItsCause(t *testing.T) {
	w := engines(t, streams, closedLedger("switching weights"), closedLedger("old weights")).unhurried()
	must.Eq(t, http.StatusServiceUnavailable, w.ask(t, "/draft", "r1").status)
	says(t, explain(t, "r1"), "Refused", "closed=2", "whyClosed=")
	w.relayer.Chooser.Full("engine-0", false, time.Minute)
	w.relayer.Chooser.Closed("engine-1", "old weights", time.Minute, 0)
	must.Eq(t, http.StatusServiceUnavailable, w.ask(t, "/draft", "r2").status)
	got := explain(t, "r2")
	must.StrNotContains(t, got, "Place asked")
	says(t, got, "Refused", "passedOver=2", "whyClosed=old weights")
}

// A user was refused, comes back as told and is refused again. That looks the same to the
// entry but for the patience that is left, and such requests are placed behind others.
func TestRefusalAfterAReturnLeadsToItsCause(t *testing.T) {
	w := engines(t, streams, closedLedger("no weights")).unhurried()
	must.Eq(t, http.StatusServiceUnavailable, w.askWithin(t, "/draft", "r1", 6*time.Second).status)
	must.Eq(t, http.StatusServiceUnavailable, w.askWithin(t, "/draft", "r2", 3*time.Second).status)
	says(t, explain(t, "r2"), "Refused", "returned=true")
}

// An agent's VM is frozen. The entry waits for it in vain, sends to the engine unasked or
// goes on to others, and the request's lines must say which agent was silent.
func TestSilentAgentIsNamed(t *testing.T) {
	w := engines(t, streams, openLedger(12)).unhurried()
	w.relayer.Placer.AgentPort = 1
	must.Eq(t, http.StatusServiceUnavailable, w.ask(t, "/draft", "r1").status)
	says(t, explain(t, "r1"), "Agent silent", "upstream=engine-0", "Refused", "silent=1")
}

// A booking's upstream resets the connection, and nobody knows whether the booking was made.
func TestUnknownOutcomeLeadsToItsCause(t *testing.T) {
	w := newWorld(t, newUpstream(t, "a", resets))
	logs.take()
	must.Eq(t, http.StatusBadGateway, w.ask(t, "/once/1", "r1").status)
	says(t, explain(t, "r1"), "Attempt failed", "err=", "outcome=unknown", "upstream=a", "Failed", "outcome=unknown", "outcome: Failed")
}

// A stream breaks off after its first event and nobody can go on with it.
func TestCutStreamLeadsToItsCause(t *testing.T) {
	w := engines(t, func(_ int, id string, conn net.Conn) bool {
		say(conn, streamHead(id)+chunked(event(0)))
		return false
	}, openLedger(12))
	must.True(t, w.ask(t, "/draft", "r1").broken)
	says(t, explain(t, "r1"), "Place asked", "granted=true", "Attempt failed", "upstream=engine-0", "Stream cut", "lastEvent=0", "outcome: Stream cut")
}

// An engine is slow, the draft comes a second late. The lines say by how much, and that a
// short wait had been predicted: the engine and not the load was the cause.
func TestLateAnswerLeadsToItsCause(t *testing.T) {
	w := engines(t, func(n int, id string, conn net.Conn) bool {
		time.Sleep(700 * time.Millisecond)
		return streams(n, id, conn)
	}, openLedger(12))
	must.Eq(t, http.StatusOK, w.ask(t, "/draft", "r1").status)
	got := explain(t, "r1")
	says(t, got, "Place asked", "granted=true", "Served", "firstEventMs=", "lateMs=", "upstream=engine-0", "waitPredictedMs=", "outcome: Served", "after the route's objective")
}

// An upstream takes a booking and says nothing until the caller's time is over.
func TestTimeoutLeadsToItsCause(t *testing.T) {
	w := newWorld(t, newUpstream(t, "a", func(int, string, net.Conn) bool {
		time.Sleep(time.Minute)
		return false
	}))
	logs.take()
	must.Eq(t, http.StatusGatewayTimeout, w.ask(t, "/brief/1", "r1").status)
	says(t, explain(t, "r1"), "Attempt failed", "silenceMs=", "upstream=a", "Timed out", "outcome=unknown", "silenceMs=", "outcome: Timed out")
}

// panicking fails while it reads a reply's header.
type panicking struct{ codec }

func (panicking) Reply(int, http.Header) relayer.Reply { panic("no such header") }

// A fault of the entry itself ends a request.
func TestPanicLeadsToItsCause(t *testing.T) {
	w := newWorld(t, newUpstream(t, "a", streams))
	w.relayer.Codec = panicking{}
	w.ask(t, "/once/1", "r1")
	says(t, explain(t, "r1"), "Handler panicked", "err=", "no such header", "stack=", "tried=", "outcome: Handler panicked")
}

// Many users come at once while all engines are closed. Each refusal must be found later,
// but the lines of all must not push out those of other requests: a line each at the entry,
// and at an agent a hundred and then fifty a second, however often it is asked.
func TestLogsOfABurstOfRefusalsAreBounded(t *testing.T) {
	const burst, fleet = 1200, 4
	var ledgers []*scheduler.Ledger
	for range fleet {
		ledgers = append(ledgers, closedLedger("no weights"))
	}
	w := engines(t, streams, ledgers...)
	began := time.Now()
	var callers sync.WaitGroup
	for c := range 40 {
		callers.Go(func() {
			for i := range burst / 40 {
				w.ask(t, "/draft", fmt.Sprintf("r%d-%d", c, i))
			}
		})
	}
	callers.Wait()
	took := time.Since(began)
	text := logs.take()
	refused, asked := bytes.Count(text, []byte(`"msg":"Refused"`)), bytes.Count(text, []byte(`"msg":"Place asked"`))
	must.Eq(t, burst, refused)
	must.LessEq(t, fleet*(100+int(50*took.Seconds())+1), asked)
	must.LessEq(t, 450*(refused+asked), len(text), must.Sprint("bytes"))
	t.Logf("%d refusals in %v: %d lines at the entry, %d at agents, %d bytes", burst, took, refused, asked, len(text))
}
