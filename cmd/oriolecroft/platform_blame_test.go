package main_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/platform/standin"
)

const (
	// blameEngines crash on a part of a prompt and are back after engineRestart.
	blameEngines  = 10
	engineRestart = time.Second
	// blameWindow is how long after the fifth crash requests with the part may still be sent, and
	// maxSentAfterwards how many may be sent later.
	blameWindow       = 3 * time.Second
	fatalCrashes      = 5
	maxSentAfterwards = 3
	// fatalInterval is the pause between two requests with the part.
	fatalInterval = 250 * time.Millisecond
	fatalPart     = "dead0001"
)

// crashingEngines runs engines that crash on one part, and records crashes and requests.
type crashingEngines struct {
	store *standin.Store
	// keepID makes a crashed engine restart under its ID, as a store that is out accepts no record of
	// a new one.
	keepID     bool
	fatal      atomic.Pointer[string]
	noBreakOff atomic.Int32
	pauses     standin.Pauses

	mu      sync.Mutex
	crashes []time.Time
	// sent is when each request with the part was sent.
	sent     map[string]time.Time
	arrivals []string
	running  []*standin.Upstream
	stopped  bool
}

// start runs an engine at an address, and restarts it after each crash.
func (e *crashingEngines) start(number, generation int, address netip.AddrPort) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l, err := standin.Listen(address)
	if e.stopped || err != nil {
		return
	}
	id := fmt.Sprintf("i-%d.%d", number, generation)
	if e.keepID {
		id = fmt.Sprintf("i-%d", number)
	}
	u := standin.NewEngine(standin.Record{
		ID: id, Service: "llm", Address: address, FailureDomain: "a", Slots: 16,
	}, standin.EngineFigures{Model: "m", Slots: 16, Step: 10 * time.Millisecond, ReadPerSecond: 20000}, nil, &standin.Staged{}, 1).Upstream
	u.Observer, u.Store, u.Heartbeat, u.BreakOff, u.Fatal = e, e.store, 500*time.Millisecond, &e.noBreakOff, &e.fatal
	u.Pauses = &e.pauses
	u.Crashed = sync.OnceFunc(func() {
		e.mu.Lock()
		e.crashes = append(e.crashes, time.Now())
		e.mu.Unlock()
		u.Stop()
		if !e.keepID {
			e.store.DropUpstream(u.ID)
		}
		time.Sleep(engineRestart)
		e.start(number, generation+1, address)
	})
	e.running = append(e.running, u)
	u.Start(l, 0)
}

func (e *crashingEngines) stop() {
	e.mu.Lock()
	e.stopped = true
	running := e.running
	e.mu.Unlock()
	for _, u := range running {
		u.Stop()
	}
}

// Arrived implements standin.Observer.
func (e *crashingEngines) Arrived(a standin.Arrival) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.sent[a.ID]; ok {
		e.arrivals = append(e.arrivals, a.ID)
	}
}

func (e *crashingEngines) Rejected(string, string, time.Duration) {}
func (e *crashingEngines) Began(string, string, uint64, bool)     {}
func (e *crashingEngines) Ended(string, string, bool, int)        {}
func (e *crashingEngines) Failed(string, string)                  {}
func (e *crashingEngines) Flooded(string, string, int)            {}
func (e *crashingEngines) Unread(string, string)                  {}

// sentLate counts the requests with the part that reached an engine although they were sent later than
// blameWindow after the fifth crash.
func (e *crashingEngines) sentLate() (late, crashes int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.crashes) < fatalCrashes {
		return 0, len(e.crashes)
	}
	deadline := e.crashes[fatalCrashes-1].Add(blameWindow)
	for _, id := range e.arrivals {
		if e.sent[id].After(deadline) {
			late++
		}
	}
	return late, len(e.crashes)
}

// blameDeployment is three entries with crashing engines.
type blameDeployment struct {
	*crashingEngines
	settings []string
	entries  []netip.AddrPort
	daemons  []*exec.Cmd
	requests atomic.Int64
}

func newBlameDeployment(t *testing.T, network int, storeOut bool) *blameDeployment {
	w := &blameDeployment{crashingEngines: &crashingEngines{store: standin.NewStore(), keepID: storeOut, sent: map[string]time.Time{}}}
	t.Cleanup(w.store.Close)
	t.Cleanup(w.stop)
	part := fatalPart
	w.fatal.Store(&part)
	w.store.PutBytes("op/config", []byte(`{"version":7,"routes":[{"name":"draft","host":"h","path_prefix":"/draft/","kind":"streaming","public":true,
		"resume_streams":true,"sticky_sessions":true,"timeout_ms":6000,"target_latency_ms":500,"max_attempts":2,"service":"llm"}],"services":[{"name":"llm"}]}`))
	for i := range blameEngines {
		w.start(i, 0, netip.MustParseAddrPort(loopback(100+20*network+i)+":8080"))
	}
	dir := t.TempDir()
	var ips, seeds []string
	for i := range 3 {
		ips = append(ips, loopback(20+10*network+i))
		seeds = append(seeds, fmt.Sprintf("%q", ips[i]+":8000"))
	}
	for i, ip := range ips {
		text := fmt.Sprintf(settingsText(fmt.Sprintf("front-%d", i), ip, w.store.Address()), fmt.Sprintf(entrySettings, ip))
		text = strings.Replace(text, fmt.Sprintf("seeds = [%q]", ip+":8000"), "seeds = ["+strings.Join(seeds, ",")+"]", 1)
		w.settings = append(w.settings, writeSettings(t, dir, fmt.Sprintf("front-%d.toml", i), text))
		w.entries = append(w.entries, netip.MustParseAddrPort(ip+":8005"))
		w.daemons = append(w.daemons, w.startEntry(t, i))
	}
	deadline := time.Now().Add(20 * time.Second)
	for i := range w.entries {
		for w.send(t.Context(), i, []string{"first"}).Status != 200 {
			must.True(t, time.Now().Before(deadline))
			time.Sleep(50 * time.Millisecond)
		}
	}
	for !w.store.HasEntry("front-0") || !w.store.HasEntry("front-1") || !w.store.HasEntry("front-2") {
		must.True(t, time.Now().Before(deadline))
		time.Sleep(50 * time.Millisecond)
	}
	return w
}

func (w *blameDeployment) startEntry(t *testing.T, entry int) *exec.Cmd {
	c := exec.CommandContext(t.Context(), binary, "platform", "entry")
	c.Env = append(os.Environ(), "ORIOLECROFT_SETTINGS="+w.settings[entry])
	log, err := os.OpenFile(w.settings[entry]+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must.NoError(t, err)
	defer log.Close()
	c.Stdout = log
	must.NoError(t, c.Start())
	t.Cleanup(func() { _ = c.Wait() })
	return c
}

// kill kills an entry.
func (w *blameDeployment) kill(t *testing.T, entry int) {
	must.NoError(t, w.daemons[entry].Process.Kill())
	_ = w.daemons[entry].Wait()
}

// restart kills an entry and starts it again.
func (w *blameDeployment) restart(t *testing.T, entry int) {
	w.kill(t, entry)
	w.daemons[entry] = w.startEntry(t, entry)
}

// send sends an entry a request whose prompt has some shared parts.
func (w *blameDeployment) send(ctx context.Context, entry int, parts []string) standin.Reply {
	q := &standin.Request{
		ID: fmt.Sprintf("%016x", w.requests.Add(1)), Host: "h", Path: "/draft/", Model: "m", Prompt: 600, Events: 20, Parts: parts, Limit: 6 * time.Second,
	}
	c, err := standin.Dial(ctx, w.entries[entry])
	if err != nil {
		return standin.Reply{}
	}
	defer c.Close()
	for _, part := range parts {
		if part == fatalPart {
			w.mu.Lock()
			w.sent[q.ID] = time.Now()
			w.mu.Unlock()
		}
	}
	return c.Send(q)
}

// sendSound runs callers that send sound prompts, with parts that most requests with the fatal part share.
func (w *blameDeployment) sendSound(ctx context.Context, served, failed *atomic.Int64) *sync.WaitGroup {
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				parts := [][]string{{"first"}, {"first", fmt.Sprintf("farm%d", n%5)}, {fmt.Sprintf("only%d.%d", i, n), "first"}}[n%3]
				if reply := w.send(ctx, rand.IntN(len(w.entries)), parts); reply.Status == 200 && reply.Whole {
					served.Add(1)
				} else {
					failed.Add(1)
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	return &wg
}

// sendFatal sends requests until the context ends, with the fatal part first, in the middle, and among parts
// that never recur. It counts those that were refused.
func (w *blameDeployment) sendFatal(ctx context.Context, refused *atomic.Int64) {
	var wg sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		parts := [][]string{
			{fatalPart, "farm1"}, {"first", fatalPart, fmt.Sprintf("farm%d", n%5)}, {fmt.Sprintf("x%d", n), fatalPart, fmt.Sprintf("y%d", n)},
		}[n%3]
		wg.Go(func() {
			if w.send(context.Background(), rand.IntN(len(w.entries)), parts).Status == 503 {
				refused.Add(1)
			}
		})
		time.Sleep(fatalInterval)
	}
	wg.Wait()
}

// Guards against entries that keep sending requests with a part that crashes engines. Each entry detects only
// some of the crashes and one is restarted; in the second case the store is out.
func TestPromptPartThatCrashesEnginesIsBlamed(t *testing.T) {
	for i, storeOut := range []bool{false, true} {
		t.Run(map[bool]string{false: "store up", true: "store out"}[storeOut], func(t *testing.T) {
			w := newBlameDeployment(t, i, storeOut)
			ctx, cancel := context.WithTimeout(t.Context(), 14*time.Second)
			defer cancel()
			var served, failed, refused atomic.Int64
			soundCallers := w.sendSound(ctx, &served, &failed)
			time.Sleep(2 * time.Second)
			if storeOut {
				w.store.SetFault(standin.Unresponsive)
			}
			time.AfterFunc(5*time.Second, func() { w.restart(t, 1) })
			var servedBefore, failedBefore int64
			time.AfterFunc(8*time.Second, func() { servedBefore, failedBefore = served.Load(), failed.Load() })
			w.sendFatal(ctx, &refused)
			soundCallers.Wait()
			late, crashes := w.sentLate()
			t.Logf("%d crashes, %d sent too late, %d refused; sound: %d served, %d failed", crashes, late, refused.Load(), served.Load(), failed.Load())
			must.GreaterEq(t, 3, crashes)
			must.LessEq(t, maxSentAfterwards, late)
			must.GreaterEq(t, 20, refused.Load())
			// Sound requests must be served after the crashes, while requests with the part still arrive.
			must.LessEq(t, (served.Load()-servedBefore)/10, failed.Load()-failedBefore)
			must.GreaterEq(t, 20, served.Load()-servedBefore)
			w.mustExplainRefusals(t)
			w.mustLift(t)
		})
	}
}

// mustExplainRefusals checks that the log gives the evidence of each refusal.
func (w *blameDeployment) mustExplainRefusals(t *testing.T) {
	lines := 0
	for _, settings := range w.settings {
		data, err := os.ReadFile(settings + ".log")
		must.NoError(t, err)
		for line := range strings.Lines(string(data)) {
			if !strings.Contains(line, `"part":"`+fatalPart+`"`) || !strings.Contains(line, `"msg":"Refused"`) {
				continue
			}
			lines++
			for _, field := range []string{`"request":"`, `"crashes":`, `"chance":`, `"upstreams":`, `"decidedBy":"front-`, `"retryAfterMs":`} {
				must.StrContains(t, line, field)
			}
		}
	}
	must.GreaterEq(t, 20, lines)
}

// mustLift lists the blame as an operator does, and lifts it after the engines are mended.
func (w *blameDeployment) mustLift(t *testing.T) {
	start := time.Now()
	reply := w.send(t.Context(), 0, []string{"first", fatalPart})
	must.Eq(t, 503, reply.Status)
	must.Greater(t, 10*time.Second, reply.RetryAfter)
	must.Less(t, time.Second, time.Since(start))
	t.Setenv("ORIOLECROFT_SETTINGS", w.settings[0])
	out, status := command(t, t.TempDir(), "platform", "blames")
	must.Eq(t, 0, status, must.Sprint(out))
	t.Log(out)
	must.StrContains(t, out, fatalPart)
	must.StrContains(t, out, "front-")
	_, status = command(t, t.TempDir(), "platform", "blames", "--lift", "farm1")
	must.Eq(t, 2, status)
	w.fatal.Store(nil)
	out, status = command(t, t.TempDir(), "platform", "blames", "--lift", fatalPart)
	must.Eq(t, 0, status, must.Sprint(out))
	must.StrContains(t, out, "lifted at 3 of 3")
	for i := range w.entries {
		must.Eq(t, 200, w.send(t.Context(), i, []string{"first", fatalPart}).Status)
	}
	out, status = command(t, t.TempDir(), "platform", "blames")
	must.Eq(t, 0, status)
	must.StrNotContains(t, out, fatalPart)
}
