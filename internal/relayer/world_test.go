package relayer_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/matcher"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/observer"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/relayer"
	"github.com/oriolecroft/oriolecroft/internal/retrier"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// codec is a wire of the tests' own.
type codec struct{}

func (codec) Request(h http.Header) relayer.Request {
	ms, _ := strconv.Atoi(h.Get("Patience"))
	r := relayer.Request{ID: h.Get("Id"), Key: h.Get("Key"), LastEvent: h.Get("Last"), Patience: time.Duration(ms) * time.Millisecond}
	r.MaxAnswer, _ = strconv.Atoi(h.Get("Answer"))
	r.Hint, _ = strconv.Atoi(h.Get("Hint"))
	if parts := h.Get("Parts"); parts != "" {
		r.Parts = strings.Split(parts, ",")
	}
	return r
}

func (codec) Outgoing(h http.Header, s relayer.Send) http.Header {
	out := http.Header{"Id": h["Id"], "Upstream": {s.Upstream}, "Workspace": {s.Workspace}}
	if s.LastEvent != "" {
		out.Set("Last", s.LastEvent)
	}
	if s.Priority != nil {
		out.Set("Priority", strconv.Itoa(*s.Priority))
	}
	return out
}

func (codec) Reply(_ int, h http.Header) relayer.Reply {
	version, _ := strconv.ParseUint(h.Get("Version"), 10, 64)
	return relayer.Reply{ID: h.Get("Id"), NotRun: h.Get("Not-Run") != "", Upstream: h.Get("Upstream"), Sealed: h.Get("Seal") != "", Version: version}
}

func (codec) EventVersion(event []byte) uint64 {
	text, _, _ := strings.Cut(strings.TrimPrefix(string(event), "version: "), "\n")
	version, _ := strconv.ParseUint(text, 10, 64)
	return version
}

func (codec) Returned(h http.Header) http.Header {
	out := h.Clone()
	out.Del("Content-Length")
	out.Del("Connection")
	return out
}

// upstream is a server whose every answer a test writes byte by byte.
type upstream struct {
	name     string
	listener net.Listener

	mu sync.Mutex
	// requests are the ids that came, in order.
	requests []string
	headers  []http.Header
	// answer writes the answer to the nth request that came; when it gives false the
	// connection is reset.
	answer func(n int, id string, conn net.Conn) bool
}

func newUpstream(t *testing.T, name string, answer func(n int, id string, conn net.Conn) bool) *upstream {
	return newUpstreamAt(t, "127.0.0.1", name, answer)
}

func newUpstreamAt(t *testing.T, ip, name string, answer func(n int, id string, conn net.Conn) bool) *upstream {
	l, err := net.Listen("tcp", ip+":0")
	must.NoError(t, err)
	u := &upstream{name: name, listener: l, answer: answer}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(conn)
		}
	}()
	return u
}

func (u *upstream) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get("Id")
		u.mu.Lock()
		n := len(u.requests)
		u.requests = append(u.requests, id)
		u.headers = append(u.headers, req.Header)
		u.mu.Unlock()
		if !u.answer(n, id, conn) {
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		}
	}
}

func (u *upstream) came() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]string(nil), u.requests...)
}

func (u *upstream) header(n int) http.Header {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.headers[n]
}

// say writes bytes; a caller that is gone already is no fault of the test.
func say(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

// sealed is a whole answer.
func sealed(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSeal: x\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func chunked(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

func event(id int) string { return fmt.Sprintf("id: %d\ndata: e%d\n\n", id, id) }

// streamHead begins a stream of events.
func streamHead(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSeal: x\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id)
}

// world is an entry before some upstreams.
type world struct {
	*httptest.Server
	relayer   *relayer.Relayer
	upstreams []*upstream
	registrar *registrar.Registrar
	metrics   metrics.Registry
}

// newWorld makes an entry with one route for each kind: /safe/, /once/, /stream/ and /draft/ (which may
// not be resumed), and /brief/ for what has to run out of time. An upstream whose name has a dash is of the
// service before it, others are of "desk".
func newWorld(t *testing.T, upstreams ...*upstream) *world {
	c := clock.RealClock{}
	reg := &registrar.Registrar{Clock: c, Decode: func(key string, _ []byte) (registrar.Fact, error) {
		if key == "table" {
			return registrar.Table{Table: table()}, nil
		}
		for _, u := range upstreams {
			if next, ok := strings.CutSuffix(key, " again"); ok && next == u.name {
				a := netip.MustParseAddrPort(u.listener.Addr().String())
				return registrar.Upstream{ID: key, Service: "desk", Address: a, FailureDomain: "a", Slots: 6, StartedAt: time.Now()}, nil
			}
			if u.name == key {
				a := netip.MustParseAddrPort(u.listener.Addr().String())
				service, _, ok := strings.Cut(u.name, "-")
				if !ok {
					service = "desk"
				}
				return registrar.Upstream{ID: u.name, Service: service, Address: a, FailureDomain: "a", Slots: 6}, nil
			}
		}
		return nil, nil
	}}
	b := registrar.Batch{Whole: true, At: 10, Records: []registrar.Record{{Key: "table", Revision: 1}}}
	for i, u := range upstreams {
		b.Records = append(b.Records, registrar.Record{Key: u.name, Revision: uint64(i) + 2})
	}
	reg.Apply(b)
	return newWorldOf(t, reg, upstreams)
}

// startAgain has the record of an upstream's next start come.
func (w *world) startAgain(i int) {
	at, _, _ := w.registrar.Revision()
	w.registrar.Apply(registrar.Batch{After: at, At: at + 1, Records: []registrar.Record{{Key: w.upstreams[i].name + " again", Revision: at + 1}}})
}

// newWorldOf makes an entry that believes what a registrar does.
func newWorldOf(t *testing.T, reg *registrar.Registrar, upstreams []*upstream) *world {
	c := clock.RealClock{}
	chooser := &scheduler.Chooser{Clock: c, Random: rand.New(rand.NewPCG(1, 2))}
	w := &world{upstreams: upstreams, registrar: reg, metrics: metrics.NewRegistry()}
	stated := &observer.Observer{Clock: c}
	w.relayer = &relayer.Relayer{
		Registrar: reg, Chooser: chooser, Codec: codec{}, Clock: c, Random: rand.New(rand.NewPCG(3, 4)), Metrics: w.metrics,
		Pool: &relayer.Pool{Clock: c, Opened: func() {}},
		Budgets: &retrier.Budgets{New: func() *retrier.Budget {
			return &retrier.Budget{Clock: c, Share: 0.9 * retryRatio, Burst: 0.6 * retrySlack}
		}},
		Placer: &relayer.Placer{Registrar: reg, Chooser: chooser, Observer: stated, Clock: c, FailureDomain: "a", Region: "r",
			Regions: map[string]string{"a": "r"}, Agents: &messenger.Clients{Timeout: patience, Dial: func(a netip.AddrPort) *messenger.Client { return &messenger.Client{Address: a} }}},
	}
	w.Server = httptest.NewServer(w.relayer)
	t.Cleanup(w.Close)
	return w
}

// link is the address of a link to a listener; connect is called with both ends of each connection
// in turn.
func link(t *testing.T, ip string, to net.Addr, connect func(near, far net.Conn)) string {
	l, err := net.Listen("tcp", ip+":0")
	must.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", to.String())
			if err != nil {
				near.Close()
				return
			}
			connect(near, far)
		}
	}()
	return l.Addr().String()
}

// restarted is the registrar of a process that found all records in the store when it started, and
// so knows no ages.
func restarted(r *registrar.Registrar) *registrar.Registrar {
	found := r.ChangesSince(0)
	// Batches share their records.
	found.Records = slices.Clone(found.Records)
	for i := range found.Records {
		found.Records[i].Age, found.Records[i].Namings = registrar.UnknownAge, nil
	}
	started := &registrar.Registrar{Clock: r.Clock, Decode: r.Decode}
	started.Apply(found)
	return started
}

// restart gives the entry such a registrar.
func (w *world) restart() {
	started := restarted(w.registrar)
	w.registrar, w.relayer.Registrar, w.relayer.Placer.Registrar = started, started, started
}

// retryRatio and retrySlack bound the arrivals beyond the first at a service in ten
// seconds: a share of its requests, and a number besides.
const (
	retryRatio = 0.2
	retrySlack = 106
)

// deskConnections is how many connections an upstream of the service "desk" bears.
const deskConnections = 40

// patience is for how long a step of a test may take on a machine that is short of
// processor time, where nothing is to run out of time. It is no promise of the system.
const patience = 20 * time.Second

// brief is a route's timeout where requests are to run into it.
const brief = 700 * time.Millisecond

func table() *matcher.Table {
	route := func(prefix string, kind matcher.Kind) *matcher.Route {
		return &matcher.Route{Name: prefix, Host: "127.0.0.1", Prefix: prefix, Kind: kind, Timeout: patience,
			MaxAttempts: 2, Resumable: kind == matcher.Streaming, Targets: []matcher.Target{{Service: "desk", Weight: 1}}}
	}
	late := route("/brief/", matcher.NonIdempotent)
	late.Timeout = brief
	draft := route("/draft/", matcher.Streaming)
	draft.Resumable = false
	office := route("/office/", matcher.NonIdempotent)
	office.Targets[0].Service = "office"
	t := &matcher.Table{Version: 1,
		Routes:   []*matcher.Route{route("/safe/", matcher.Idempotent), route("/once/", matcher.NonIdempotent), route("/stream/", matcher.Streaming), draft, late, office},
		Services: map[string]*matcher.Service{"desk": {Name: "desk", Connections: deskConnections}, "office": {Name: "office"}},
		Keys:     map[string]*matcher.Workspace{"k": {Name: "farm"}},
	}
	t.Index()
	return t
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	// broken tells that the answer did not end as it should.
	broken bool
}

func (w *world) ask(t *testing.T, path, id string) answer { return w.askWithin(t, path, id, 0) }

// askWith asks with a body.
func (w *world) askWith(t *testing.T, path, id, body string) answer {
	return w.send(t, path, id, body, 0)
}

// askWithin asks with a caller's patience; 0 for none told.
func (w *world) askWithin(t *testing.T, path, id string, limit time.Duration) answer {
	return w.send(t, path, id, "order", limit)
}

func (w *world) send(t *testing.T, path, id, body string, limit time.Duration) answer {
	h := http.Header{"Id": {id}, "Key": {"k"}}
	if limit > 0 {
		h.Set("Patience", strconv.FormatInt(limit.Milliseconds(), 10))
	}
	return w.sendHeader(t, path, body, h)
}

func (w *world) sendHeader(t *testing.T, path, body string, h http.Header) answer {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, w.URL+path, strings.NewReader(body))
	must.NoError(t, err)
	r.Header = h
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return answer{broken: true}
	}
	defer res.Body.Close()
	got, err := io.ReadAll(res.Body)
	return answer{status: res.StatusCode, header: res.Header, body: string(got), broken: err != nil}
}

// once is the first of several upstreams that a request came to.
type once struct {
	mu   sync.Mutex
	name string
}

// is tells whether the named upstream is the first, and makes it so if there is none.
func (o *once) is(name string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.name == "" {
		o.name = name
	}
	return o.name == name
}
