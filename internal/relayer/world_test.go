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

// testCodec is the wire format of these tests.
type testCodec struct{}

func (testCodec) ParseRequest(h http.Header) relayer.Request {
	ms, _ := strconv.Atoi(h.Get("Patience"))
	r := relayer.Request{ID: h.Get("Id"), Key: h.Get("Key"), LastEvent: h.Get("Last"), Patience: time.Duration(ms) * time.Millisecond}
	r.MaxAnswer, _ = strconv.Atoi(h.Get("Answer"))
	r.Hint, _ = strconv.Atoi(h.Get("Hint"))
	if parts := h.Get("Parts"); parts != "" {
		r.Parts = strings.Split(parts, ",")
	}
	return r
}

func (testCodec) OutgoingHeader(h http.Header, s relayer.OutgoingInfo) http.Header {
	out := http.Header{"Id": h["Id"], "Upstream": {s.Upstream}, "Workspace": {s.Workspace}}
	if s.LastEvent != "" {
		out.Set("Last", s.LastEvent)
	}
	if s.Priority != nil {
		out.Set("Priority", strconv.Itoa(*s.Priority))
	}
	return out
}

func (testCodec) ParseReply(_ int, h http.Header) relayer.Reply {
	version, _ := strconv.ParseUint(h.Get("Version"), 10, 64)
	return relayer.Reply{ID: h.Get("Id"), NotRun: h.Get("Not-Run") != "", Upstream: h.Get("Upstream"), Sealed: h.Get("Seal") != "", Version: version}
}

func (testCodec) EventVersion(event []byte) uint64 {
	text, _, _ := strings.Cut(strings.TrimPrefix(string(event), "version: "), "\n")
	version, _ := strconv.ParseUint(text, 10, 64)
	return version
}

func (testCodec) ReturnedHeader(h http.Header) http.Header {
	out := h.Clone()
	out.Del("Content-Length")
	out.Del("Connection")
	return out
}

// upstream is a server whose answers a test writes byte by byte.
type upstream struct {
	name     string
	listener net.Listener

	mu sync.Mutex
	// requests are the IDs of the received requests, in order.
	requests []string
	headers  []http.Header
	// answer writes the answer to the nth request; if it returns false the connection is reset.
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

func (u *upstream) received() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]string(nil), u.requests...)
}

func (u *upstream) header(n int) http.Header {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.headers[n]
}

// writeString ignores errors: the caller may have left already.
func writeString(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

// sealedReply is a whole reply with a seal.
func sealedReply(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSeal: x\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func chunked(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

func event(id int) string { return fmt.Sprintf("id: %d\ndata: e%d\n\n", id, id) }

// streamHead starts a stream of events.
func streamHead(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSeal: x\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id)
}

// testEntry is an entry with some upstreams.
type testEntry struct {
	*httptest.Server
	relayer   *relayer.Relayer
	upstreams []*upstream
	registrar *registrar.Registrar
	metrics   metrics.Registry
}

// newTestEntry starts an entry with one route for each kind: /safe/, /once/, /stream/ and /draft/ (which may not
// be resumed), and /brief/ for requests that should time out. An upstream whose name has a dash is of the
// service before it, others are of "desk".
func newTestEntry(t *testing.T, upstreams ...*upstream) *testEntry {
	c := clock.RealClock{}
	reg := &registrar.Registrar{Clock: c, Decode: func(key string, _ []byte) (registrar.Fact, error) {
		if key == "table" {
			return registrar.Table{Table: newTable()}, nil
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
	return newTestEntryWith(t, reg, upstreams)
}

// restartUpstream adds the record of an upstream's next start.
func (w *testEntry) restartUpstream(i int) {
	revision, _, _ := w.registrar.Revision()
	w.registrar.Apply(registrar.Batch{After: revision, At: revision + 1, Records: []registrar.Record{{Key: w.upstreams[i].name + " again", Revision: revision + 1}}})
}

// newTestEntryWith starts an entry that uses the given registrar.
func newTestEntryWith(t *testing.T, reg *registrar.Registrar, upstreams []*upstream) *testEntry {
	c := clock.RealClock{}
	chooser := &scheduler.Chooser{Clock: c, Random: rand.New(rand.NewPCG(1, 2))}
	w := &testEntry{upstreams: upstreams, registrar: reg, metrics: metrics.NewRegistry()}
	stated := &observer.Observer{Clock: c}
	w.relayer = &relayer.Relayer{
		Registrar: reg, Chooser: chooser, Codec: testCodec{}, Clock: c, Random: rand.New(rand.NewPCG(3, 4)), Metrics: w.metrics,
		Pool: &relayer.Pool{Clock: c, Opened: func() {}},
		Budgets: &retrier.Budgets{New: func() *retrier.Budget {
			return &retrier.Budget{Clock: c, Share: 0.9 * retryRatio, Burst: 0.6 * retrySlack}
		}},
		Placer: &relayer.Placer{Registrar: reg, Chooser: chooser, Observer: stated, Clock: c, FailureDomain: "a", Region: "r",
			Regions: map[string]string{"a": "r"}, Agents: &messenger.Clients{Timeout: stepTimeout, Dial: func(a netip.AddrPort) *messenger.Client { return &messenger.Client{Address: a} }}},
	}
	w.Server = httptest.NewServer(w.relayer)
	t.Cleanup(w.Close)
	return w
}

// startProxy returns the address of a proxy to a listener; connect is called with both ends of each connection
// in turn.
func startProxy(t *testing.T, ip string, to net.Addr, connect func(near, far net.Conn)) string {
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

// restartedRegistrar is the registrar of a process that found all records in the store when it started, and so
// has no ages.
func restartedRegistrar(r *registrar.Registrar) *registrar.Registrar {
	found := r.ChangesSince(0)
	// Batches share their records.
	found.Records = slices.Clone(found.Records)
	for i := range found.Records {
		found.Records[i].Age, found.Records[i].Announcements = registrar.UnknownAge, nil
	}
	started := &registrar.Registrar{Clock: r.Clock, Decode: r.Decode}
	started.Apply(found)
	return started
}

// restartRegistrar gives the entry such a registrar.
func (w *testEntry) restartRegistrar() {
	started := restartedRegistrar(w.registrar)
	w.registrar, w.relayer.Registrar, w.relayer.Placer.Registrar = started, started, started
}

// retryRatio and retrySlack limit the arrivals beyond the first at a service in ten seconds: a share of its
// requests, and a number besides.
const (
	retryRatio = 0.2
	retrySlack = 106
)

// deskConnections is how many connections an upstream of the service "desk" accepts.
const deskConnections = 40

// stepTimeout is for how long a step of a test may take on a machine that is short of processor time, where
// nothing should time out. The system doesn't promise it.
const stepTimeout = 20 * time.Second

// briefTimeout is a route's timeout where requests should time out.
const briefTimeout = 700 * time.Millisecond

func newTable() *matcher.Table {
	route := func(prefix string, kind matcher.Kind) *matcher.Route {
		return &matcher.Route{Name: prefix, Host: "127.0.0.1", Prefix: prefix, Kind: kind, Timeout: stepTimeout,
			MaxAttempts: 2, Resumable: kind == matcher.Streaming, Targets: []matcher.Target{{Service: "desk", Weight: 1}}}
	}
	late := route("/brief/", matcher.NonIdempotent)
	late.Timeout = briefTimeout
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

// answer is what a caller received.
type answer struct {
	status int
	header http.Header
	body   string
	// broken reports that the answer did not end as it should.
	broken bool
}

func (w *testEntry) request(t *testing.T, path, id string) answer {
	return w.requestWithin(t, path, id, 0)
}

// requestBody sends a request with a body.
func (w *testEntry) requestBody(t *testing.T, path, id, body string) answer {
	return w.send(t, path, id, body, 0)
}

// requestWithin sends a request with a caller's time limit; 0 for none stated.
func (w *testEntry) requestWithin(t *testing.T, path, id string, limit time.Duration) answer {
	return w.send(t, path, id, "order", limit)
}

func (w *testEntry) send(t *testing.T, path, id, body string, limit time.Duration) answer {
	h := http.Header{"Id": {id}, "Key": {"k"}}
	if limit > 0 {
		h.Set("Patience", strconv.FormatInt(limit.Milliseconds(), 10))
	}
	return w.sendWithHeader(t, path, body, h)
}

func (w *testEntry) sendWithHeader(t *testing.T, path, body string, h http.Header) answer {
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

// firstUpstream is the first of several upstreams that received a request.
type firstUpstream struct {
	mu   sync.Mutex
	name string
}

// claim reports whether the upstream with this name is the first, and makes it so if there is none.
func (o *firstUpstream) claim(name string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.name == "" {
		o.name = name
	}
	return o.name == name
}
