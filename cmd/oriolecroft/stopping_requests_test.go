package main_test

import (
	"cmp"
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/platform/standin"
)

const (
	// excusedPeriod is how long after SIGTERM requests may be sent that are cut in the last sixth of the grace.
	excusedPeriod = 3 * time.Second
	lastSixth     = stopGrace - stopGrace/6
	// lateRouteTimeout is more time than the grace leaves.
	lateRouteTimeout = 9 * time.Second
	// beforeStop is how long callers send before SIGTERM.
	beforeStop = 700 * time.Millisecond
	// newInterval is the pause between two requests on new connections.
	newInterval = 25 * time.Millisecond
	// streamInterval is the same for streams.
	streamInterval = 60 * time.Millisecond
	// keptCallers send on a connection until it is closed.
	keptCallers = 12
	// heldConnections are opened before SIGTERM and used once, one each heldInterval. As many bodies end at these times.
	heldConnections = 90
	heldInterval    = 100 * time.Millisecond
	// pipelineInterval is the pause between two pairs of requests of which one is sent behind the other.
	pipelineInterval = 130 * time.Millisecond
)

// lateLimits are the time limits of callers.
var lateLimits = []time.Duration{700 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 6 * time.Second, 9 * time.Second}

// lateRun is a run of a request at an upstream.
type lateRun struct {
	upstream string
	endedAt  time.Time
	broken   bool
}

// lateRequest is a request at a stopping entry and what became of it.
type lateRequest struct {
	*standin.Request
	// startedAt is when its first byte was sent, sentAt when its last one was; zero if it wasn't. endedAt is when its caller
	// had the reply or none.
	startedAt, sentAt, endedAt time.Time
	reply                      standin.Reply
	// behind is set for a request that was sent before the one ahead of it on its connection was answered.
	behind bool
}

// lateService records what an entry's upstreams do.
type lateService struct {
	mu      sync.Mutex
	arrived map[string]int
	runs    map[string][]*lateRun
	sent    []lateRequest
	// lostIDs are the requests without an answer that no rule excuses.
	lostIDs []string
}

// Arrived implements standin.Observer.
func (s *lateService) Arrived(a standin.Arrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrived[a.ID]++
}

// Began implements standin.Observer.
func (s *lateService) Began(id, upstream string, _ uint64, _ bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id] = append(s.runs[id], &lateRun{upstream: upstream})
}

// Ended implements standin.Observer.
func (s *lateService) Ended(id, upstream string, broken bool, _ int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.runs[id] {
		if r.upstream == upstream && r.endedAt.IsZero() {
			r.endedAt, r.broken = time.Now(), broken
		}
	}
}

func (*lateService) Rejected(string, string, time.Duration) {}
func (*lateService) Failed(string, string)                  {}
func (*lateService) Flooded(string, string, int)            {}
func (*lateService) Unread(string, string)                  {}

func (s *lateService) record(r lateRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = append(s.sent, r)
}

// lateUpstream is an upstream of a case.
type lateUpstream struct {
	work time.Duration
	// slots is 1,000 if it is 0, and queue how long requests wait for one.
	slots int
	queue time.Duration
	// refuses makes it refuse all requests once they have waited.
	refuses bool
	// breaks is the percentage of replies that it breaks off, pauses that of those in which it falls silent.
	breaks, pauses int32
	// engine makes it an engine, and agent runs that one's agent.
	engine, agent bool
}

// lateCase is a stop of an entry.
type lateCase struct {
	name      string
	upstreams []lateUpstream
	// interval is the pause between two requests on new connections; newInterval if it is 0.
	interval time.Duration
}

// lateEntry is an entry that is stopped while it gets requests.
type lateEntry struct {
	lateService
	address netip.AddrPort
	daemon  *exec.Cmd
	// streams is set if all requests are streams.
	streams bool
	numbers atomic.Int64
	log     string
}

// lateTable is the route table, with a service of engines that have a number of slots or, for 0, no agents.
func lateTable(slots int) []byte {
	var routes []string
	for kind, service := range map[string]string{"non_idempotent": "desk", "idempotent": "desk", "streaming": "llm"} {
		routes = append(routes, fmt.Sprintf(`{"name":%[1]q,"host":"h","path_prefix":"/%[1]s/","kind":%[1]q,"public":true,"timeout_ms":%[2]d,
			"resume_streams":%[3]t,"target_latency_ms":500,"max_attempts":2,"service":%[4]q}`, kind, lateRouteTimeout.Milliseconds(), kind == "streaming", service))
	}
	engine := ""
	if slots > 0 {
		engine = fmt.Sprintf(`,"engine":{"slots":%d,"stride":1,"step_ms":10,"read_per_s":20000,"chunk":512,"usual":{"prompt":600,"answer":200},"models":[{"name":"m"}]}`, slots)
	}
	return fmt.Appendf(nil, `{"version":7,"routes":[%s],"services":[{"name":"desk"},{"name":"llm"%s}]}`, strings.Join(routes, ","), engine)
}

// start starts the upstream and its agent.
func (p lateUpstream) start(t *testing.T, id string, observer standin.Observer, store *standin.Store) {
	t.Helper()
	ip := freshLoopback()
	address := netip.MustParseAddrPort(ip + ":8080")
	l, err := standin.Listen(address)
	must.NoError(t, err)
	slots := cmp.Or(p.slots, 1000)
	r := standin.Record{ID: id, Service: "desk", Address: address, FailureDomain: "a", Slots: slots}
	u := standin.NewService(r, p.work)
	if p.engine {
		r.Service = "llm"
		figures := standin.EngineFigures{Model: "m", Slots: slots, Step: 10 * time.Millisecond, ReadPerSecond: 20000}
		u = standin.NewEngine(r, figures, nil, &standin.Staged{}, 1).Upstream
	}
	u.Observer, u.Store, u.Heartbeat, u.Queue = observer, store, 500*time.Millisecond, p.queue
	u.BreakOff, u.Pauses = &atomic.Int32{}, &standin.Pauses{}
	u.BreakOff.Store(p.breaks)
	u.Pauses.Share.Store(p.pauses)
	u.Refuse(p.refuses)
	u.Start(l, 0)
	t.Cleanup(u.Stop)
	if p.agent {
		part := "app = \"" + address.String() + "\"\nservice = \"llm\""
		startDaemon(t, "agent", writeSettings(t, t.TempDir(), "side.toml", fmt.Sprintf(settingsText("side-"+id, ip, store.Address()), part)))
	}
}

func startLateEntry(t *testing.T, upstreams []lateUpstream) *lateEntry {
	e := &lateEntry{lateService: lateService{arrived: map[string]int{}, runs: map[string][]*lateRun{}}}
	store := standin.NewStore()
	t.Cleanup(store.Close)
	slots := 0
	for _, p := range upstreams {
		e.streams = p.engine
		if p.agent {
			slots = p.slots
		}
	}
	store.PutBytes("op/config", lateTable(slots))
	store.PutBytes("op/version/m", []byte(`{"model":"m","version":1}`))
	for i, p := range upstreams {
		p.start(t, fmt.Sprintf("i-%d", i), e, store)
	}
	ip, dir := freshLoopback(), t.TempDir()
	log, err := os.Create(filepath.Join(dir, "log"))
	must.NoError(t, err)
	defer log.Close()
	settings := writeSettings(t, dir, "front.toml", fmt.Sprintf(settingsText("front-1", ip, store.Address()), fmt.Sprintf(entrySettings, ip)))
	e.log = log.Name()
	e.address = netip.MustParseAddrPort(ip + ":8005")
	e.daemon = exec.CommandContext(t.Context(), binary, "platform", "entry")
	e.daemon.Env = append(os.Environ(), "ORIOLECROFT_SETTINGS="+settings)
	e.daemon.Stdout = log
	must.NoError(t, e.daemon.Start())
	waitForListener(t, e.address.String())
	for deadline := time.Now().Add(15 * time.Second); !e.hasRun(); {
		must.True(t, time.Now().Before(deadline))
		e.sendOnNew(t.Context(), e.request(0, 300*time.Millisecond))
		time.Sleep(newInterval)
	}
	e.sent = nil
	return e
}

func (s *lateService) hasRun() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runs) > 0
}

// request returns a new request: a stream, or every other one a booking.
func (e *lateEntry) request(n int, limit time.Duration) *standin.Request {
	q := &standin.Request{ID: fmt.Sprintf("%016x", e.numbers.Add(1)), Host: "h", Path: "/idempotent/", Body: "slot", Limit: limit}
	switch {
	case e.streams:
		q.Path, q.Model, q.Prompt, q.Events = "/streaming/", "m", 600, []int{40, 150, 400}[n%3]
	case n%2 == 0:
		q.Path = bookingPath
	}
	return q
}

// bookingPath is the path of requests that may run once only.
const bookingPath = "/non_idempotent/"

// send sends a request on a connection and reports whether that can be used again.
func (e *lateEntry) send(c *standin.Connection, q *standin.Request) (reusable bool) {
	r := lateRequest{Request: q, startedAt: time.Now()}
	r.reply = c.Send(q)
	r.sentAt, r.endedAt = r.reply.SentAt, time.Now()
	e.record(r)
	return !r.reply.Closes
}

func (e *lateEntry) sendOnNew(ctx context.Context, q *standin.Request) {
	c, err := standin.Dial(ctx, e.address)
	if err != nil {
		return
	}
	defer c.Close()
	e.send(c, q)
}

// sendOnKept sends requests on a connection until the entry closes it, and then on the next one.
func (e *lateEntry) sendOnKept(ctx context.Context, caller int) {
	for n := caller; ctx.Err() == nil; {
		c, err := standin.Dial(ctx, e.address)
		if err != nil {
			time.Sleep(newInterval)
			continue
		}
		for open := true; open && ctx.Err() == nil && !c.IsClosed(); n++ {
			open = e.send(c, e.request(n, lateLimits[n/2%len(lateLimits)]))
			time.Sleep(time.Duration((37*caller+53*n)%400) * time.Millisecond)
		}
		c.Close()
	}
}

// sendOnHeld opens a connection and sends a request on it at a time, if it is still open.
func (e *lateEntry) sendOnHeld(ctx context.Context, n int, at time.Time) {
	c, err := standin.Dial(ctx, e.address)
	if err != nil {
		return
	}
	defer c.Close()
	time.Sleep(time.Until(at))
	if !c.IsClosed() {
		e.send(c, e.request(n, lateLimits[n/2%len(lateLimits)]))
	}
}

// upload sends a request at a time, whose body ends at another one.
func (e *lateEntry) upload(ctx context.Context, n int, from, at time.Time) {
	time.Sleep(time.Until(from))
	q := e.request(n, lateRouteTimeout)
	q.Uploads = max(time.Millisecond, time.Until(at))
	e.sendOnNew(ctx, q)
}

// sendPair sends a request behind another one on the same connection.
func (e *lateEntry) sendPair(ctx context.Context, n int) {
	c, err := standin.Dial(ctx, e.address)
	if err != nil {
		return
	}
	defer c.Close()
	pair := []*standin.Request{e.request(n, lateRouteTimeout), e.request(n+1, lateRouteTimeout)}
	results := make([]lateRequest, len(pair))
	for i, q := range pair {
		if err := c.Write(q); err != nil {
			return
		}
		now := time.Now()
		results[i] = lateRequest{Request: q, startedAt: now, sentAt: now, behind: i > 0}
		time.Sleep(time.Duration(n%3) * pipelineInterval)
	}
	for i, q := range pair {
		results[i].reply = c.Read(q)
		results[i].endedAt = time.Now()
		e.record(results[i])
	}
}

// sendAll sends requests in all ways until the context ends; SIGTERM comes at a time.
func (e *lateEntry) sendAll(ctx context.Context, termAt time.Time, interval time.Duration) *sync.WaitGroup {
	var all sync.WaitGroup
	all.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			all.Go(func() { e.sendOnNew(ctx, e.request(n, lateLimits[n/2%len(lateLimits)])) })
			time.Sleep(interval)
		}
	})
	all.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			all.Go(func() { e.sendPair(ctx, n) })
			time.Sleep(pipelineInterval)
		}
	})
	for n := range keptCallers {
		all.Go(func() { e.sendOnKept(ctx, n) })
	}
	for n := range heldConnections {
		at := termAt.Add(time.Duration(n) * heldInterval)
		all.Go(func() { e.sendOnHeld(ctx, n, at) })
		// Bodies may take up to 5 s, and the entry accepts connections for 3.3 s.
		from := at.Add(-4500 * time.Millisecond)
		if latest := termAt.Add(3250 * time.Millisecond); from.After(latest) {
			from = latest
		}
		all.Go(func() { e.upload(ctx, n, from, at) })
	}
	return &all
}

// stop stops the entry after beforeStop, and returns how its process ended.
func (e *lateEntry) stop(t *testing.T, interval time.Duration) (termAt time.Time, status syscall.WaitStatus) {
	ctx, cancel := context.WithCancel(t.Context())
	termAt = time.Now().Add(beforeStop)
	callers := e.sendAll(ctx, termAt, interval)
	time.Sleep(time.Until(termAt))
	termAt = time.Now()
	must.NoError(t, e.daemon.Process.Signal(syscall.SIGTERM))
	kill := time.AfterFunc(stopGrace, func() { _ = e.daemon.Process.Kill() })
	defer kill.Stop()
	_ = e.daemon.Wait()
	t.Logf("ended %v after SIGTERM", time.Since(termAt))
	cancel()
	callers.Wait()
	return termAt, e.daemon.ProcessState.Sys().(syscall.WaitStatus)
}

// excused reports whether a request may end without an answer by the platform's rule though it was passed on: the upstream
// that worked on it last broke off, or it was sent early and an upstream worked on it in the last sixth of the grace.
func (s *lateService) excused(r *lateRequest, termAt time.Time) bool {
	runs := s.runs[r.ID]
	if len(runs) == 0 {
		return false
	}
	last := slices.MaxFunc(runs, func(a, b *lateRun) int { return a.endedAt.Compare(b.endedAt) })
	return last.broken || !r.sentAt.After(termAt.Add(excusedPeriod)) && !last.endedAt.Before(termAt.Add(lastSixth))
}

// isSound reports whether an answer is what the entry may answer: an upstream's whole reply, or a failure.
func (r *lateRequest) isSound() bool {
	a := &r.reply
	if a.Status != 200 {
		return a.Status != 503 || a.RetryAfter > 0
	}
	for i, e := range a.Events {
		if e.Number != i+1 || e.Foreign {
			return false
		}
	}
	return !a.Forged && !a.WrongBody && len(a.Events) == r.Events
}

// lateSummary counts requests by what became of them.
type lateSummary struct {
	sent, answered, expired, unread, excused, lost, refusedAfterRun, unsound, ranTwice, runs int
	statuses                                                                                 map[int]int
}

func (s *lateService) summarize(t *testing.T, termAt time.Time) lateSummary {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := lateSummary{statuses: map[int]int{}}
	for _, r := range s.sent {
		sum.sent++
		runs := len(s.runs[r.ID])
		sum.runs += runs
		if r.Path == bookingPath && runs > 1 {
			sum.ranTwice++
			t.Logf("%s ran %d times", r.ID, runs)
		}
		passedOn := s.arrived[r.ID] > 0
		switch {
		case r.reply.Status != 0 && r.reply.Whole:
			sum.answered++
			sum.statuses[r.reply.Status]++
			if !r.isSound() {
				sum.unsound++
				t.Logf("%s was answered %+v", r.ID, r.reply)
			}
			if promisesNotRun(r.reply.Status) && runs > 0 {
				sum.refusedAfterRun++
				t.Logf("%s was answered %d and ran", r.ID, r.reply.Status)
			}
		case r.reply.Expired || r.endedAt.Sub(r.startedAt) >= r.Limit-limitMargin:
			sum.expired++
		case !passedOn && (r.behind || r.sentAt.IsZero() || r.endedAt.Sub(r.sentAt) <= lossSlack):
			sum.unread++
		case passedOn && s.excused(&r, termAt):
			sum.excused++
			t.Logf("%s, sent %v after SIGTERM, cut %v after it: status %d, %v", r.ID, r.sentAt.Sub(termAt), r.endedAt.Sub(termAt), r.reply.Status, r.reply.Err)
		default:
			sum.lost++
			s.lostIDs = append(s.lostIDs, r.ID)
			t.Logf("%s %s, sent %v after SIGTERM, lost %v after it: passed on %t, behind %t, status %d, %v", r.Path, r.ID,
				r.sentAt.Sub(termAt), r.endedAt.Sub(termAt), passedOn, r.behind, r.reply.Status, r.reply.Err)
			for _, run := range s.runs[r.ID] {
				t.Logf("run at %s, ended %v after SIGTERM, broken off %t", run.upstream, run.endedAt.Sub(termAt), run.broken)
			}
		}
	}
	return sum
}

// logLines logs the entry's log lines with one of some texts, and those of lost requests.
func (e *lateEntry) logLines(t *testing.T, texts ...string) {
	out, err := os.ReadFile(e.log)
	must.NoError(t, err)
	for line := range strings.Lines(string(out)) {
		if slices.ContainsFunc(append(texts, e.lostIDs...), func(text string) bool { return strings.Contains(line, text) }) {
			t.Log(strings.TrimSpace(line))
		}
	}
}

// promisesNotRun reports whether a status states that the request hasn't run and won't.
func promisesNotRun(status int) bool {
	switch status {
	case 408, 421, 429, 503:
		return true
	}
	return false
}

// mustAnswerAll stops entries while they get requests, and checks that these are answered.
func mustAnswerAll(t *testing.T, cases []lateCase) {
	t.Helper()
	for _, e := range cases {
		t.Run(e.name, func(t *testing.T) {
			t.Parallel()
			w := startLateEntry(t, e.upstreams)
			termAt, status := w.stop(t, cmp.Or(e.interval, newInterval))
			sum := w.summarize(t, termAt)
			t.Logf("%v, %+v", status, sum)
			w.logLines(t, `"msg":"Entry`, `"msg":"Requests cut`, `"msg":"Connections`)
			must.Zero(t, sum.lost)
			must.Zero(t, sum.ranTwice)
			must.Zero(t, sum.unsound)
			must.Zero(t, sum.refusedAfterRun)
			must.True(t, status.Exited(), must.Sprintf("%v", status.Signal()))
			must.GreaterEq(t, leastAnswered, sum.answered)
		})
	}
}

// Guards against plain requests, bookings above all, that a stopping entry takes and then closes without an answer.
func TestStoppingEntryAnswersAllThatItPassedOn(t *testing.T) {
	mustAnswerAll(t, []lateCase{
		{name: "quick", upstreams: []lateUpstream{{work: shortWork}}},
		{name: "1.2 s", upstreams: []lateUpstream{{work: 1200 * time.Millisecond, pauses: 30}}},
		{name: "3.4 s", upstreams: []lateUpstream{{work: 3400 * time.Millisecond}}},
		{name: "4.5 s", upstreams: []lateUpstream{{work: slowWork}}},
		{name: "silent", upstreams: []lateUpstream{{work: time.Hour}}},
		{name: "refused late", upstreams: []lateUpstream{{work: shortWork, refuses: true, queue: 1500 * time.Millisecond}, {work: 1200 * time.Millisecond}}},
		{name: "broken off", upstreams: []lateUpstream{{work: 900 * time.Millisecond, breaks: 50}, {work: 900 * time.Millisecond, breaks: 30}}},
		{name: "few slots", upstreams: []lateUpstream{
			{work: 400 * time.Millisecond, slots: 10, queue: 1500 * time.Millisecond}, {work: 400 * time.Millisecond, slots: 5},
		}},
		{name: "silent, many", upstreams: []lateUpstream{{work: time.Hour, slots: 20000}}, interval: 2 * time.Millisecond},
	})
}

// Guards against the same with streams, also resumed ones and those that wait for a slot.
func TestStoppingEntryAnswersAllStreamsThatItPassedOn(t *testing.T) {
	mustAnswerAll(t, []lateCase{
		{name: "sound", upstreams: []lateUpstream{{engine: true}, {engine: true}}, interval: streamInterval},
		{name: "resumed", upstreams: []lateUpstream{{engine: true, breaks: 40, pauses: 20}, {engine: true, breaks: 20, pauses: 20}}, interval: streamInterval},
		{name: "few slots", upstreams: []lateUpstream{
			{engine: true, agent: true, slots: 12, breaks: 20}, {engine: true, agent: true, slots: 12, pauses: 20},
		}, interval: streamInterval},
	})
}
