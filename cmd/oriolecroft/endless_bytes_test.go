package main_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/netip"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/time/rate"

	"github.com/oriolecroft/oriolecroft/internal/connector"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/platform/standin"
)

const (
	// agentMemory and entryMemory are the memory of the processes' VMs, and endlessMemory is what either may take beside
	// replies without end, in MB.
	agentMemory   = 152
	entryMemory   = 184
	endlessMemory = 80
	// endlessRate is how many bytes a second a replier sends on all its connections, replyPart at a time.
	endlessRate = 100 << 20
	replyPart   = 64 << 10
	// mostReplyBytes bounds the bytes of a reply that are sent until its connection is closed. Most of what is read is in
	// chunks of a few bytes, and some is in the sockets' buffers.
	mostReplyBytes = 24 << 20
	// replyTimeout is how long a process may take until it makes the next call.
	replyTimeout = 10 * time.Second
	// closeSlack is how long after its time limit a call may be closed, as the machine is shared.
	closeSlack = time.Second
)

// endlessReply is a reply that starts with some bytes and repeats others without end.
type endlessReply struct {
	name, start, repeated string
	// pause is the time between two parts.
	pause time.Duration
}

const (
	okHead      = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	chunkedHead = okHead + "Transfer-Encoding: chunked\r\n\r\n"
	closingHead = okHead + "Connection: close\r\n\r\n"
)

// endlessHeads are replies whose head doesn't end.
func endlessHeads() []endlessReply {
	return []endlessReply{
		{name: "status line", start: "HTTP/1.1 200 ", repeated: "O"},
		{name: "no protocol", repeated: "\x16\x03\x01\x02"},
		{name: "one field", start: okHead + "X-Filler: ", repeated: "x"},
		{name: "fields", start: okHead, repeated: "X-Filler: xxxxxxxx\r\n"},
		{name: "interim replies", repeated: "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n"},
	}
}

// endlessFramings are replies in which the framing of the body doesn't end.
func endlessFramings() []endlessReply {
	return []endlessReply{
		{name: "chunk size", start: chunkedHead, repeated: "0"},
		{name: "chunk extension", start: chunkedHead + "5;", repeated: "x"},
		{name: "chunk extensions", start: chunkedHead, repeated: "1;" + strings.Repeat("x", 2000) + "\r\n1\r\n"},
		{name: "trailer", start: chunkedHead + "2\r\n{}\r\n0\r\n", repeated: "X-Filler: xxxxxxxx\r\n"},
	}
}

// endlessBodies are replies whose body doesn't end.
func endlessBodies() []endlessReply {
	return []endlessReply{
		{name: "body by connection", start: closingHead + `{"models":"`, repeated: "x"},
		{name: "body by chunks", start: chunkedHead, repeated: "8\r\nxxxxxxxx\r\n"},
		{name: "body by length", start: okHead + "Content-Length: 9000000000000000000\r\n\r\n", repeated: "x"},
		{name: "body of 503", start: "HTTP/1.1 503 Busy\r\n\r\n", repeated: "x"},
		{name: "body of 302", start: "HTTP/1.1 302 Found\r\nLocation: /v1/report\r\n\r\n", repeated: "x"},
		{name: "after 101", start: "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n", repeated: "x"},
	}
}

// endlessMessages are replies to a call between processes that bring no answer to it.
func endlessMessages() []endlessReply {
	return []endlessReply{
		{name: "status line", start: "HTTP/1.1 200 ", repeated: "O"},
		{name: "no protocol", repeated: "\x16\x03\x01\x02"},
		{name: "lists in lists", repeated: "["},
		{name: "replies to no call", repeated: `{"jsonrpc":"2.0","id":77,"result":{}}` + "\n"},
		{name: "calls", repeated: `{"jsonrpc":"2.0","id":77,"method":"news","params":{}}` + "\n"},
		{name: "notices", repeated: `{"jsonrpc":"2.0","method":"news","params":{}}` + "\n"},
		{name: "line ends", repeated: "\r\n"},
	}
}

// slowBody is a body that arrives so slowly that only the call's time limit ends it.
func slowBody() endlessReply {
	return endlessReply{name: "slow body", start: closingHead + `{"models":"`, repeated: "x", pause: 50 * time.Millisecond}
}

// replier replies without end to the calls that match, and passes the others on.
type replier struct {
	next    http.Handler
	path    string
	limiter *rate.Limiter

	mu    sync.Mutex
	reply *endlessReply
	// whole answers the calls instead of a reply without end; nil for none.
	whole http.HandlerFunc
	// ended is how many replies have ended as their connection was closed, longest the longest time and most the most bytes
	// of one.
	ended   int
	longest time.Duration
	most    int
}

// newReplier returns a replier for the calls whose path begins with a text.
func newReplier(path string, next http.Handler) *replier {
	return &replier{next: next, path: path, limiter: rate.NewLimiter(endlessRate, replyPart)}
}

// newReplierBefore returns a replier on a server of its own that passes calls on to an address.
func newReplierBefore(t *testing.T, target netip.AddrPort, path string) (r *replier, address netip.AddrPort) {
	t.Helper()
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: target.String()})
	proxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	r = newReplier(path, proxy)
	server := httptest.NewServer(r)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return r, netip.MustParseAddrPort(server.Listener.Addr().String())
}

// setReply sets the reply to all later calls; nil to pass them on.
func (r *replier) setReply(reply *endlessReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reply, r.ended, r.longest, r.most = reply, 0, 0, 0
}

// setWhole sets a handler of all later calls.
func (r *replier) setWhole(h http.HandlerFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.whole = h
}

// ServeHTTP implements http.Handler.
func (r *replier) ServeHTTP(w http.ResponseWriter, h *http.Request) {
	r.mu.Lock()
	reply, whole := r.reply, r.whole
	r.mu.Unlock()
	if whole != nil && strings.HasPrefix(h.URL.Path, r.path) {
		whole(w, h)
		return
	}
	if reply == nil || !strings.HasPrefix(h.URL.Path, r.path) {
		r.next.ServeHTTP(w, h)
		return
	}
	_, _ = io.Copy(io.Discard, h.Body)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r.send(conn, reply)
}

// send sends a reply until its connection is closed.
func (r *replier) send(conn net.Conn, reply *endlessReply) {
	defer connector.Reset(conn)
	began, sent := time.Now(), 0
	_, err := io.WriteString(conn, reply.start)
	part := strings.Repeat(reply.repeated, max(1, replyPart/len(reply.repeated)))
	if reply.pause > 0 {
		part = reply.repeated
	}
	for err == nil {
		var n int
		n, err = io.WriteString(conn, part)
		sent += n
		time.Sleep(max(reply.pause, r.limiter.ReserveN(time.Now(), min(len(part), replyPart)).Delay()))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reply == reply {
		r.ended++
		r.longest, r.most = max(r.longest, time.Since(began)), max(r.most, sent)
	}
}

// closed returns how many replies have ended, the longest time and the most bytes of one.
func (r *replier) closed() (ended int, longest time.Duration, most int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended, r.longest, r.most
}

// bearingProcess is a process that calls a replier.
type bearingProcess struct {
	*exec.Cmd
	ip      string
	replier *replier
	// timeout is the time limit of a call.
	timeout time.Duration
	// trigger makes the process call; nil if it does so by itself.
	trigger func()
	// serves reports whether the process serves others.
	serves func() bool
	// failure is the last request that an entry didn't serve.
	failure string
}

// startBearing starts a daemon with the memory of its VM.
func startBearing(t *testing.T, role, ip string, memory int, store netip.AddrPort, part, seed string) *bearingProcess {
	t.Helper()
	text := fmt.Sprintf(settingsText(role+"-"+ip, ip, store), part)
	text = strings.Replace(text, fmt.Sprintf("seeds = [%q]", ip+":8000"), fmt.Sprintf("seeds = [%q]", seed), 1)
	text = strings.Replace(text, "[limits]\n", fmt.Sprintf("[limits]\nmemory_mb = %d\n", memory), 1)
	dir := t.TempDir()
	log, err := os.Create(filepath.Join(dir, "log"))
	must.NoError(t, err)
	defer log.Close()
	p := &bearingProcess{Cmd: exec.CommandContext(t.Context(), binary, "platform", role), ip: ip}
	p.Env = append(os.Environ(), "ORIOLECROFT_SETTINGS="+writeSettings(t, dir, "settings.toml", text))
	p.Stdout, p.Stderr = log, log
	must.NoError(t, p.Start())
	t.Cleanup(func() { _ = p.Wait() })
	waitForListener(t, ip+":9464")
	return p
}

// mustBear sends a process replies without end of one kind after the other, and checks that it keeps little of them, ends
// the calls in time and serves others meanwhile.
func (p *bearingProcess) mustBear(t *testing.T, replies []endlessReply) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	served, failed := 0, 0
	var others sync.WaitGroup
	others.Go(func() {
		for ; ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
			if p.serves() {
				served++
			} else {
				failed++
			}
		}
	})
	for _, reply := range replies {
		p.replier.setReply(&reply)
		if p.trigger != nil {
			p.trigger()
		}
		p.awaitClose(t, reply.name)
	}
	p.replier.setReply(nil)
	cancel()
	others.Wait()
	t.Logf("others: %d served, %d failed", served, failed)
	must.Positive(t, served)
	must.Zero(t, failed, must.Sprint(p.failure))
}

// awaitClose waits until the process has closed a reply's connection.
func (p *bearingProcess) awaitClose(t *testing.T, name string) {
	t.Helper()
	for deadline := time.Now().Add(p.timeout + replyTimeout); ; time.Sleep(10 * time.Millisecond) {
		if ended, _, _ := p.replier.closed(); ended > 0 {
			break
		}
		must.True(t, time.Now().Before(deadline), must.Sprint(name, ": no call, or not closed"))
	}
	peak := peakMemory(t, p.Process.Pid)
	_, longest, most := p.replier.closed()
	t.Logf("%s: at most %d MB so far; %d KB and %v of a reply", name, peak, most>>10, longest.Round(time.Millisecond))
	must.LessEq(t, endlessMemory, peak, must.Sprint(name))
	must.LessEq(t, mostReplyBytes, most, must.Sprint(name))
	must.LessEq(t, p.timeout+closeSlack, longest, must.Sprint(name))
}

// wholeTimeout is how long a process may take for its calls with whole replies.
const wholeTimeout = 20 * time.Second

// mustBearWhole answers a number of calls with whole replies, and checks that the process keeps little of them and serves
// others meanwhile.
func (p *bearingProcess) mustBearWhole(t *testing.T, least int64, reply http.HandlerFunc) {
	t.Helper()
	var calls atomic.Int64
	p.replier.setWhole(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		reply(w, r)
	})
	if p.trigger != nil {
		p.trigger()
	}
	for deadline := time.Now().Add(wholeTimeout); calls.Load() <= least; time.Sleep(50 * time.Millisecond) {
		must.True(t, time.Now().Before(deadline), must.Sprint(calls.Load(), " replies"))
		must.LessEq(t, endlessMemory, peakMemory(t, p.Process.Pid), must.Sprint(calls.Load(), " replies"))
		must.True(t, p.serves())
	}
	t.Logf("at most %d MB, %d replies", peakMemory(t, p.Process.Pid), calls.Load())
}

// bearingDeployment is a deployment of one process with what it calls.
type bearingDeployment struct {
	*oddRecordsDeployment
	origin  *standin.Origin
	figures standin.EngineFigures
}

func newBearingDeployment(t *testing.T) *bearingDeployment {
	d := &bearingDeployment{oddRecordsDeployment: &oddRecordsDeployment{store: standin.NewStore(), served: map[string]int{}}}
	t.Cleanup(d.store.Close)
	d.figures = standin.EngineFigures{Model: "m", Slots: 16, Chunks: 8, Step: 2 * time.Millisecond, ReadPerSecond: 20000}
	d.origin = &standin.Origin{Chunks: d.figures.Chunks, ChunkBytes: 24 << 10}
	d.store.AnnounceWeights("m", 1)
	return d
}

// putTable writes a table with routes to a service and to engines.
func (d *bearingDeployment) putTable(origin netip.AddrPort) {
	route := standin.Route{Name: "desk", Prefix: deskPath, Service: "desk", Kind: standin.Idempotent, Public: true, Attempts: 2, Timeout: 6 * time.Second}
	stream := standin.Route{Name: "draft", Prefix: draftPath, Service: "llm", Kind: standin.Streaming, Resume: true, Public: true, Attempts: 2, Timeout: 6 * time.Second}
	d.store.PutTable(&standin.Table{
		Version: 7, Host: "h", Routes: []standin.Route{route, stream}, Services: []string{"desk"}, Engines: []string{"llm"},
		Origin: origin, OriginDomain: "a", Engine: d.figures,
	})
}

// startOrigin serves the weights and returns the address.
func (d *bearingDeployment) startOrigin(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() { _ = d.origin.Serve(l) }()
	return netip.MustParseAddrPort(l.Addr().String())
}

// newEngine returns an engine that holds the first version and isn't started yet.
func (d *bearingDeployment) newEngine(ip string) *standin.Engine {
	return standin.NewEngine(standin.Record{
		ID: "i-" + ip, Service: "llm", Address: netip.MustParseAddrPort(ip + ":8080"), FailureDomain: "a", StartedAt: time.Now(),
	}, d.figures, d.origin, &standin.Staged{}, 1)
}

// startAgent starts an agent with its engine, a replier to calls of whose path is in front of the part that it names.
func (d *bearingDeployment) startAgent(t *testing.T, part, path string) *bearingProcess {
	t.Helper()
	store, origin := d.store.Address(), d.startOrigin(t)
	ip := freshLoopback()
	e := d.newEngine(ip)
	r := newReplier(path, e.Calls)
	switch part {
	case "engine":
		e.Calls = r
	case "origin":
		r, origin = newReplierBefore(t, origin, path)
	case "store":
		r, store = newReplierBefore(t, store, path)
	}
	d.putTable(origin)
	d.startUpstream(t, e.Upstream)
	p := startBearing(t, "agent", ip, agentMemory, store, fmt.Sprintf("app = %q\nservice = \"llm\"", e.Address), freshLoopback()+":8000")
	p.replier = r
	p.serves = func() bool { return answersMessages(ip + ":7700") }
	awaitAnswer(t, "http://"+ip+":9464/healthz")
	return p
}

// answersMessages reports whether a process answers a call of another one at an address.
func answersMessages(address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	if conn.SetDeadline(time.Now().Add(2*time.Second)) != nil {
		return false
	}
	if _, err := io.WriteString(conn, `{"jsonrpc":"2.0","id":1,"method":"none"}`); err != nil {
		return false
	}
	_, err = conn.Read(make([]byte, 1))
	return err == nil
}

// startEntry starts an entry in front of a service, with a replier in front of the store.
func (d *bearingDeployment) startEntry(t *testing.T, path, seed string) *bearingProcess {
	t.Helper()
	d.startPlain(t, "i-desk")
	d.putTable(d.startOrigin(t))
	r, store := newReplierBefore(t, d.store.Address(), path)
	ip := freshLoopback()
	p := startBearing(t, "entry", ip, entryMemory, store, fmt.Sprintf(entrySettings, ip), seed)
	p.replier = r
	entry := netip.MustParseAddrPort(ip + ":8005")
	d.entries = append(d.entries, entry)
	p.serves = func() bool {
		r := d.call(context.Background(), entry, deskPath)
		if r.Status != http.StatusOK {
			p.failure = fmt.Sprintf("status %d, whole %v, %v", r.Status, r.Whole, r.Err)
		}
		return r.Status == http.StatusOK
	}
	for deadline := time.Now().Add(20 * time.Second); !p.serves(); time.Sleep(20 * time.Millisecond) {
		must.True(t, time.Now().Before(deadline))
	}
	return p
}

// startOtherAgent starts a replier at the address of the agent of an engine.
func (d *bearingDeployment) startOtherAgent(t *testing.T, path string) *replier {
	t.Helper()
	e := d.newEngine(freshLoopback())
	d.startUpstream(t, e.Upstream)
	l, err := net.Listen("tcp", e.Address.Addr().String()+":7701")
	must.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	r := newReplier(path, http.NotFoundHandler())
	go func() { _ = http.Serve(l, r) }()
	return r
}

// listenForMessages listens for calls of other processes at an address.
func (r *replier) listenForMessages(t *testing.T, address string) {
	t.Helper()
	l, err := net.Listen("tcp", address)
	must.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go r.serveMessages(conn)
		}
	}()
}

// serveMessages replies without end to the first call on a connection, or closes it.
func (r *replier) serveMessages(conn net.Conn) {
	_, err := conn.Read(make([]byte, 1))
	r.mu.Lock()
	reply := r.reply
	r.mu.Unlock()
	if err != nil || reply == nil {
		conn.Close()
		return
	}
	// Replies of the process must not wait to be read.
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	r.send(conn, reply)
}

// putEntry writes the record of another entry.
func (d *bearingDeployment) putEntry(ip string) {
	d.store.PutEntry(registrar.Member{
		ID: "front-" + ip, Incarnation: "1", FailureDomain: "a", Region: "r",
		Callers: netip.MustParseAddrPort(ip + ":8005"), Peers: netip.MustParseAddrPort(ip + ":8000"),
	})
}

// announceNext announces new weights once.
func (d *bearingDeployment) announceNext() func() {
	return sync.OnceFunc(func() { d.store.AnnounceWeights("m", 2) })
}

// compact makes a list of the store necessary.
func (d *bearingDeployment) compact() {
	d.store.AnnounceWeights("m", 1)
	d.store.Compact()
}

// Time limits of calls.
const (
	engineCallTimeout = 2 * time.Second
	originCallTimeout = 5 * time.Second
	// storeCallTimeout is that of a call without a wait.
	storeCallTimeout = 5900 * time.Millisecond
	watchCallTimeout = storeCallTimeout + time.Second
	listCallTimeout  = storeCallTimeout + 1500*time.Millisecond
	// messageTimeout is that of a call for records: until the reply starts to arrive, and for its transfer.
	messageTimeout = 5750 * time.Millisecond
)

// Guards against an agent that exceeds the memory of its VM, or ends, because of replies without end.
func TestAgentBearsEndlessReplies(t *testing.T) {
	t.Parallel()
	heads, framings, bodies := endlessHeads(), endlessFramings(), endlessBodies()
	all, slow := slices.Concat(heads, framings, bodies), []endlessReply{slowBody()}
	for _, c := range []struct {
		part, path string
		timeout    time.Duration
		trigger    func(*bearingDeployment) func()
		replies    []endlessReply
	}{
		{"engine", "/v1/report", engineCallTimeout, nil, slices.Concat(all, slow)},
		{"engine", "/v1/stage-get", engineCallTimeout, (*bearingDeployment).announceNext, all},
		{"engine", "/v1/stage-put", engineCallTimeout, (*bearingDeployment).announceNext, all},
		{"engine", "/v1/order", engineCallTimeout, (*bearingDeployment).announceNext, bodies},
		{"origin", "/v1/manifest", originCallTimeout, (*bearingDeployment).announceNext, all},
		{"origin", "/v1/piece", originCallTimeout, (*bearingDeployment).announceNext, slices.Concat(bodies, slow)},
		{"store", "/v1/kv-watch", watchCallTimeout, nil, bodies},
		{"store", "/v1/kv-range", listCallTimeout, func(d *bearingDeployment) func() { return d.compact }, heads},
	} {
		t.Run(strings.ReplaceAll(c.part+c.path, "/", "_"), func(t *testing.T) {
			t.Parallel()
			d := newBearingDeployment(t)
			p := d.startAgent(t, c.part, c.path)
			p.timeout = c.timeout
			if c.trigger != nil {
				p.trigger = c.trigger(d)
			}
			p.mustBear(t, c.replies)
		})
	}
}

// Guards against an agent that exceeds the memory of its VM, or ends, because of another agent's replies without end.
func TestAgentBearsEndlessRepliesOfAgents(t *testing.T) {
	t.Parallel()
	d := newBearingDeployment(t)
	r := d.startOtherAgent(t, "/versions")
	d.origin.Down.Store(true)
	p := d.startAgent(t, "", "")
	p.replier, p.timeout, p.trigger = r, 250*time.Millisecond, d.announceNext()
	p.mustBear(t, slices.Concat(endlessHeads(), endlessFramings(), endlessBodies(), []endlessReply{slowBody()}))
}

// Guards against an entry that exceeds the memory of its VM, or ends, because of replies of the store without end.
func TestEntryBearsEndlessReplies(t *testing.T) {
	t.Parallel()
	heads, framings, bodies := endlessHeads(), endlessFramings(), endlessBodies()
	for _, c := range []struct {
		path    string
		timeout time.Duration
		trigger func(*bearingDeployment) func()
		replies []endlessReply
	}{
		{"/v1/kv-watch", watchCallTimeout, nil, heads},
		{"/v1/kv-range", listCallTimeout, func(d *bearingDeployment) func() { return d.compact }, bodies},
		{"/v1/kv-lease", storeCallTimeout, func(d *bearingDeployment) func() { return d.store.EndAllLeases }, slices.Concat(heads, framings, bodies)},
		{"/v1/kv-keep", storeCallTimeout, nil, slices.Concat(framings, []endlessReply{slowBody()})},
		{"/v1/kv-txn", storeCallTimeout, func(d *bearingDeployment) func() { return d.store.EndAllLeases }, slices.Concat(heads, framings, bodies)},
	} {
		t.Run(strings.ReplaceAll(c.path, "/", "_"), func(t *testing.T) {
			t.Parallel()
			d := newBearingDeployment(t)
			p := d.startEntry(t, c.path, freshLoopback()+":8000")
			p.timeout = c.timeout
			if c.trigger != nil {
				p.trigger = c.trigger(d)
			}
			p.mustBear(t, c.replies)
		})
	}
}

// Guards against an entry that exceeds the memory of its VM, or ends, because of reports without end, which it requests to
// find out whether an engine still runs.
func TestEntryBearsEndlessReports(t *testing.T) {
	t.Parallel()
	d := newBearingDeployment(t)
	r := newReplier("/v1/report", http.NotFoundHandler())
	// An engine whose replies can't be confirmed is avoided for a while.
	for range 8 {
		e := d.newEngine(freshLoopback())
		e.Calls = r
		d.startUpstream(t, e.Upstream)
	}
	p := d.startEntry(t, "/none", freshLoopback()+":8000")
	p.replier, p.timeout = r, 1750*time.Millisecond
	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	defer callers.Wait()
	defer cancel()
	// Only replies that end with their connection make an entry request a report.
	for range 8 {
		callers.Go(func() {
			for ; ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
				d.call(ctx, d.entries[0], draftPath)
			}
		})
	}
	p.mustBear(t, slices.Concat(endlessHeads(), endlessFramings(), endlessBodies(), []endlessReply{slowBody()}))
}

// endlessPages returns a handler of lists whose pages never end.
func endlessPages() http.HandlerFunc {
	var pages atomic.Int64
	value := strings.Repeat("x", 1<<20)
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"at":5,"has_more":true,"items":[{"key":"k%08d","revision":1,"value":%q}]}`, pages.Add(1), value)
	}
}

// Guards against a process that exceeds the memory of its VM because of a list of the store whose pages never end.
func TestProcessesBearPagesWithoutEnd(t *testing.T) {
	t.Parallel()
	for role, start := range map[string]func(*bearingDeployment, *testing.T) *bearingProcess{
		"agent": func(d *bearingDeployment, t *testing.T) *bearingProcess {
			return d.startAgent(t, "store", "/v1/kv-range")
		},
		"entry": func(d *bearingDeployment, t *testing.T) *bearingProcess {
			return d.startEntry(t, "/v1/kv-range", freshLoopback()+":8000")
		},
	} {
		t.Run(role, func(t *testing.T) {
			t.Parallel()
			d := newBearingDeployment(t)
			p := start(d, t)
			p.trigger = d.compact
			p.mustBearWhole(t, 80, endlessPages())
		})
	}
}

// smallElements returns a handler of a JSON text of about so many bytes, with a list of small elements between start and end.
func smallElements(start, element, end string, bytes int) http.HandlerFunc {
	body := start + element + strings.Repeat(","+element, bytes/(len(element)+1)) + end
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, body)
	}
}

// Guards against a process that exceeds the memory of its VM because of replies of small elements, which take many times
// their bytes once they are decoded.
func TestProcessesBearSmallElements(t *testing.T) {
	t.Parallel()
	announceNext := (*bearingDeployment).announceNext
	compact := func(d *bearingDeployment) func() { return d.compact }
	for _, c := range []struct {
		role, part, path string
		trigger          func(*bearingDeployment) func()
		reply            http.HandlerFunc
	}{
		{"agent", "engine", "/v1/report", nil, smallElements(`{"models":[`, `{}`, `]}`, 1000<<10)},
		{"agent", "origin", "/v1/manifest", announceNext, smallElements(`{"model":"m","version":2,"chunk_bytes":1000,"digests":[`, `""`, `]}`, 5000<<10)},
		{"agent", "agent", "/versions", announceNext, smallElements(`{"model":"m","version":"2","chunks":[`, `""`, `]}`, 8000<<10)},
		{"agent", "store", "/v1/kv-watch", nil, smallElements(`{"at":5,"events":[`, `{}`, `]}`, 8000<<10)},
		{"agent", "store", "/v1/kv-range", compact, smallElements(`{"at":5,"items":[`, `{}`, `]}`, 8000<<10)},
		{"entry", "store", "/v1/kv-watch", nil, smallElements(`{"at":5,"events":[`, `{}`, `]}`, 8000<<10)},
		{"entry", "store", "/v1/kv-range", compact, smallElements(`{"at":5,"items":[`, `{}`, `]}`, 8000<<10)},
	} {
		t.Run(c.role+strings.ReplaceAll(c.path, "/", "_"), func(t *testing.T) {
			t.Parallel()
			d := newBearingDeployment(t)
			var other *replier
			if c.part == "agent" {
				d.origin.Down.Store(true)
				other = d.startOtherAgent(t, c.path)
			}
			var p *bearingProcess
			if c.role == "entry" {
				p = d.startEntry(t, c.path, freshLoopback()+":8000")
			} else {
				p = d.startAgent(t, c.part, c.path)
			}
			if other != nil {
				p.replier = other
			}
			if c.trigger != nil {
				p.trigger = c.trigger(d)
			}
			p.mustBearWhole(t, 3, c.reply)
		})
	}
}

// Guards against an agent that exceeds the memory of its VM because its engine lists staged chunks that don't exist, and has
// bytes for each.
func TestAgentBearsStagedChunksWithoutEnd(t *testing.T) {
	t.Parallel()
	d := newBearingDeployment(t)
	d.store.SetFault(standin.Busy)
	p := d.startAgent(t, "engine", "/v1/stage-get")
	var listed []string
	for n := range 50_000 {
		listed = append(listed, strconv.Itoa(n-10), "0")
	}
	list, chunk := `{"held":[`+strings.Join(listed, ",")+`]}`, strings.Repeat("x", d.origin.ChunkBytes)
	var calls atomic.Int64
	p.replier.setWhole(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		text := list
		if r.URL.Query().Has("num") {
			text = chunk
		}
		_, _ = io.WriteString(w, text)
	})
	d.store.SetFault(standin.None)
	for deadline := time.Now().Add(wholeTimeout); calls.Load() == 0; time.Sleep(50 * time.Millisecond) {
		must.True(t, time.Now().Before(deadline))
	}
	for began := time.Now(); time.Since(began) < 3*time.Second; time.Sleep(50 * time.Millisecond) {
		must.LessEq(t, endlessMemory, peakMemory(t, p.Process.Pid), must.Sprint(calls.Load(), " calls"))
		must.True(t, p.serves())
	}
	t.Logf("at most %d MB, %d calls", peakMemory(t, p.Process.Pid), calls.Load())
	must.Eq(t, int64(1+d.figures.Chunks), calls.Load())
}

// Guards against a process that reads without end from another one, at the cost of a processor and of memory, though it
// sends no answer.
func TestProcessesEndEndlessMessages(t *testing.T) {
	t.Parallel()
	all := endlessMessages()
	for _, c := range []struct {
		role, from string
		replies    []endlessReply
	}{
		// An agent makes a call each two seconds while it gets no answer.
		{"agent", "entry", all[len(all)-3:]},
		{"entry", "entry", all},
		{"entry", "agent", all},
	} {
		t.Run(c.role+" from "+c.from, func(t *testing.T) {
			t.Parallel()
			mustBearMessages(t, c.role, c.from, c.replies)
		})
	}
}

// mustBearMessages checks that an entry or agent bears messages without end of entries or agents.
func mustBearMessages(t *testing.T, role, from string, replies []endlessReply) {
	t.Helper()
	d := newBearingDeployment(t)
	r := newReplier("", nil)
	// Processes avoid those that didn't answer for a while.
	for range 4 {
		ip := freshLoopback()
		if from == "entry" {
			d.putEntry(ip)
			r.listenForMessages(t, ip+":8000")
			continue
		}
		e := d.newEngine(ip)
		d.startUpstream(t, e.Upstream)
		r.listenForMessages(t, ip+":7700")
	}
	var p *bearingProcess
	if role == "agent" {
		p = d.startAgent(t, "", "")
	} else {
		p = d.startEntry(t, "/none", freshLoopback()+":8000")
	}
	p.replier, p.timeout = r, messageTimeout
	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	defer callers.Wait()
	defer cancel()
	if from == "agent" {
		callers.Go(func() {
			for ; ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
				d.call(ctx, d.entries[0], draftPath)
			}
		})
	}
	p.mustBear(t, replies)
}

// Guards against a process that exceeds the memory of its VM because several others send it large messages without end.
func TestProcessesBearLargeMessages(t *testing.T) {
	t.Parallel()
	const start = `{"jsonrpc":"2.0","id":0,"result":{`
	for _, c := range []struct{ role, from string }{{"agent", "entry"}, {"entry", "entry"}, {"entry", "agent"}} {
		t.Run(c.role+" from "+c.from, func(t *testing.T) {
			t.Parallel()
			mustBearMessages(t, c.role, c.from, []endlessReply{
				{name: "text", start: start + `"x":"`, repeated: "x"},
				{name: "objects", start: start + `"records":[{}`, repeated: ",{}"},
			})
		})
	}
}
