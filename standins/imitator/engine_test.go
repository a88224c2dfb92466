package imitator_test

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktesting "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/standins/imitator"
)

// startWeights serves each name as its own content, "late" only after release is
// closed.
func startWeights(t *testing.T, release <-chan struct{}) testServer {
	m := http.NewServeMux()
	m.HandleFunc("GET /{name}", func(w http.ResponseWriter, r *http.Request) {
		if r.PathValue("name") == "late" {
			<-release
		}
		w.Write([]byte(r.PathValue("name")))
	})
	return startServer(t, m)
}

func order(fence, version, address string) string {
	return `{"fence":` + fence + `,"model":"m","version":"` + version + `","weightsUrl":"` + address + `"}`
}

func engineState(p testServer) imitator.EngineState {
	var s imitator.EngineState
	must.NoError(p.t, json.Unmarshal([]byte(p.expect(200, "GET", "/state", "")), &s))
	return s
}

// openStream starts a request and returns the lines of its reply.
func openStream(p testServer, body string) *bufio.Scanner {
	res, err := http.Post(p.url+"/generate", "application/json", strings.NewReader(body))
	must.NoError(p.t, err)
	must.Eq(p.t, 200, res.StatusCode)
	p.t.Cleanup(func() { res.Body.Close() })
	return bufio.NewScanner(res.Body)
}

func readRest(lines *bufio.Scanner) (rest string, err error) {
	for lines.Scan() {
		rest += lines.Text()
	}
	return rest, lines.Err()
}

// Guards against a delayed load order that arrives after a newer one and replaces its
// weights: the engine checks the fencing number.
func TestEngineRejectsStaleFence(t *testing.T) {
	w := startWeights(t, nil)
	p := startServer(t, (&imitator.Engine{}).Handler())
	p.expect(200, "POST", "/load", order("2", "v2", w.url+"/two"))
	must.StrContains(t, p.expect(409, "POST", "/load", order("1", "v1", w.url+"/one")), `"fence":2`)
	p.expect(409, "POST", "/role", `{"fence":1,"role":"decode"}`)
	must.Eq(t, "v2", engineState(p).Version)
}

// A delayed load order replaces newer weights in an engine that ignores fences. Only
// its state and its events show this.
func TestEngineIgnoresFence(t *testing.T) {
	w := startWeights(t, nil)
	p := startServer(t, (&imitator.Engine{IgnoreFence: true}).Handler())
	p.expect(200, "POST", "/load", order("2", "v2", w.url+"/two"))
	p.expect(200, "POST", "/load", order("1", "v1", w.url+"/one"))
	must.Eq(t, "v1", engineState(p).Version)
	must.Eq(t, int64(1), engineState(p).Fence)
}

// Guards against an older load that finishes after a newer one and replaces its
// weights.
func TestEngineNewestLoadWins(t *testing.T) {
	release := make(chan struct{})
	w := startWeights(t, release)
	p := startServer(t, (&imitator.Engine{}).Handler())
	statuses := make(chan int)
	go func() {
		status, _ := p.call("POST", "/load", order("1", "v1", w.url+"/late"))
		statuses <- status
	}()
	for engineState(p).Fence != 1 {
		continue
	}
	p.expect(200, "POST", "/load", order("2", "v2", w.url+"/two"))
	close(release)
	must.NotEq(t, 200, <-statuses)
	must.Eq(t, "v2", engineState(p).Version)
}

func TestEngineStreams(t *testing.T) {
	w := startWeights(t, nil)
	p := startServer(t, (&imitator.Engine{}).Handler())
	p.expect(503, "POST", "/generate", `{"prompt":"p"}`)
	p.expect(200, "POST", "/load", order("1", "v1", w.url+"/one"))
	whole := p.expect(200, "POST", "/generate", `{"requestId":"r","prompt":"p","maxTokens":3}`)
	events := strings.SplitAfter(whole, "\n\n")
	must.Len(t, 5, events)
	must.StrContains(t, events[3], `"done":true,"tokens":3,"version":"v1","weights":"sha256:`)
	must.Eq(t, events[2]+events[3], p.expect(200, "GET", "/generate/r?from=2", ""))
	p.expect(404, "GET", "/generate/other", "")
	p.expect(409, "POST", "/generate", `{"requestId":"r","prompt":"p"}`)
}

// Guards against replies generated with two sets of weights: a load order aborts the
// replies in progress.
func TestEngineLoadAbortsStreams(t *testing.T) {
	c := clocktesting.NewFakeClock(epoch)
	w := startWeights(t, nil)
	p := startServer(t, (&imitator.Engine{Clock: c, TokenTime: time.Second}).Handler())
	p.expect(200, "POST", "/load", order("1", "v1", w.url+"/one"))
	lines := openStream(p, `{"requestId":"r","prompt":"p","maxTokens":3}`)
	awaitTimers(c, 1)
	c.Step(time.Second)
	must.True(t, lines.Scan())
	p.expect(200, "POST", "/load", order("2", "v2", w.url+"/two"))
	rest, err := readRest(lines)
	must.Error(t, err)
	must.StrNotContains(t, rest, "done")
	counts := p.expect(200, "GET", "/admin/counts", "")
	must.StrContains(t, counts, `"mixed":0,"cutByLoad":1`)
}

func TestEngineCancels(t *testing.T) {
	c := clocktesting.NewFakeClock(epoch)
	w := startWeights(t, nil)
	p := startServer(t, (&imitator.Engine{Clock: c, TokenTime: time.Second}).Handler())
	p.expect(200, "POST", "/load", order("1", "v1", w.url+"/one"))
	lines := openStream(p, `{"requestId":"r"}`)
	awaitTimers(c, 1)
	p.expect(200, "DELETE", "/generate/r", "")
	rest, err := readRest(lines)
	must.NoError(t, err)
	must.Eq(t, "", rest)
	must.Eq(t, 0, engineState(p).Running)
	must.StrContains(t, p.expect(200, "GET", "/admin/counts", ""), `"cancelled":1`)
}

// A freshly loaded engine receives more requests than its ColdLimit. It restarts,
// aborts all requests and must load its model again.
func TestEngineCrashesUnderLoadWhenCold(t *testing.T) {
	c := clocktesting.NewFakeClock(epoch)
	w := startWeights(t, nil)
	e := &imitator.Engine{Clock: c, TokenTime: time.Second, ColdLimit: 1, ColdFor: time.Minute}
	p := startServer(t, e.Handler())
	p.expect(200, "POST", "/load", order("1", "v1", w.url+"/one"))
	start := engineState(p).StartID
	statuses := make(chan int)
	go func() {
		status, _ := p.call("POST", "/generate", `{"requestId":"r"}`)
		statuses <- status
	}()
	awaitTimers(c, 1)
	status, _ := p.call("POST", "/generate", `{"requestId":"s"}`)
	must.Eq(t, 0, status)
	must.Eq(t, 0, <-statuses)
	must.NotEq(t, start, engineState(p).StartID)
	p.expect(503, "POST", "/generate", `{"requestId":"t"}`)
	must.StrContains(t, p.expect(200, "GET", "/admin/counts", ""), `"fellOver":1,"worstCold":2`)
}

func TestEnginePrefixCache(t *testing.T) {
	w := startWeights(t, nil)
	p := startServer(t, (&imitator.Engine{CacheEntries: 1}).Handler())
	p.expect(200, "POST", "/load", order("1", "v1", w.url+"/one"))
	prompt := strings.Repeat("x", imitator.PrefixBlockBytes)
	p.expect(200, "POST", "/generate", `{"maxTokens":1,"prompt":"`+prompt+`"}`)
	var shown struct {
		Events []struct{ Prefix, Kind string } `json:"events"`
	}
	must.NoError(t, json.Unmarshal([]byte(p.expect(200, "GET", "/cache/events?after=0", "")), &shown))
	must.Len(t, 1, shown.Events)
	must.Eq(t, "stored", shown.Events[0].Kind)
	prefix := "/cache/" + shown.Events[0].Prefix
	exported := p.expect(200, "GET", prefix, "")
	p.expect(200, "PUT", prefix, exported)
	p.expect(200, "POST", "/load", order("2", "v2", w.url+"/two"))
	p.expect(409, "PUT", prefix, exported)
}

// A load order reaches an engine that hangs, and its client disconnects. The order
// still takes effect once the engine resumes.
func TestEngineExecutesOrderAfterHang(t *testing.T) {
	w := startWeights(t, nil)
	h := (&imitator.Engine{}).Handler()
	p := startServer(t, h)
	p.expect(200, "POST", "/admin/faults", `{"hang":true}`)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	finished := make(chan struct{})
	go func() {
		body := strings.NewReader(order("1", "v1", w.url+"/one"))
		r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/load", body)
		h.ServeHTTP(httptest.NewRecorder(), r)
		close(finished)
	}()
	p.expect(200, "POST", "/admin/faults", `{}`)
	<-finished
	must.Eq(t, "v1", engineState(p).Version)
}

func TestEngineQueuesByPriority(t *testing.T) {
	c := clocktesting.NewFakeClock(epoch)
	w := startWeights(t, nil)
	p := startServer(t, (&imitator.Engine{Clock: c, TokenTime: time.Second, Limit: 1}).Handler())
	p.expect(200, "POST", "/load", order("1", "v1", w.url+"/one"))
	first := openStream(p, `{"requestId":"first","maxTokens":1}`)
	lesser := openStream(p, `{"requestId":"lesser","maxTokens":1,"priority":1}`)
	greater := openStream(p, `{"requestId":"greater","maxTokens":1,"priority":2}`)
	awaitTimers(c, 1)
	c.Step(time.Second)
	_, err := readRest(first)
	must.NoError(t, err)
	awaitTimers(c, 1)
	c.Step(time.Second)
	awaitTimers(c, 1)
	p.expect(200, "DELETE", "/generate/lesser", "")
	rest, err := readRest(lesser)
	must.NoError(t, err)
	must.Eq(t, "", rest)
	rest, err = readRest(greater)
	must.NoError(t, err)
	must.StrContains(t, rest, `"done":true`)
}

// More requests arrive than the engine can run and queue. It restarts and aborts all
// of them.
func TestEngineCrashesWhenQueueIsFull(t *testing.T) {
	c := clocktesting.NewFakeClock(epoch)
	w := startWeights(t, nil)
	e := &imitator.Engine{Clock: c, TokenTime: time.Second, Limit: 1, Queue: 1}
	p := startServer(t, e.Handler())
	p.expect(200, "POST", "/load", order("1", "v1", w.url+"/one"))
	running := openStream(p, `{"requestId":"running"}`)
	queued := openStream(p, `{"requestId":"queued"}`)
	status, _ := p.call("POST", "/generate", `{"requestId":"beyond"}`)
	must.Eq(t, 0, status)
	_, err := readRest(running)
	must.Error(t, err)
	_, err = readRest(queued)
	must.Error(t, err)
	must.StrContains(t, p.expect(200, "GET", "/admin/counts", ""), `"fellOver":1,"worstCold":0`)
}
