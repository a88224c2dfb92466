package hoster_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"k8s.io/utils/clock"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/hoster"
	"github.com/oriolecroft/oriolecroft/internal/matcher"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/syncer"
)

// newView returns the view of newRegistrar.
func newView(routes ...*matcher.Route) *registrar.View { return newRegistrar(routes...).View() }

func address(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
}

// newRegistrar returns a registrar with two entries in region r and one in each of s and t.
func newRegistrar(routes ...*matcher.Route) *registrar.Registrar {
	members := map[string]registrar.Member{}
	for i, region := range []string{"r", "r", "s", "t"} {
		id := string(rune('a' + i))
		members[id] = registrar.Member{ID: id, Region: region, Callers: address(uint16(i + 1))}
	}
	r := &registrar.Registrar{Clock: clock.RealClock{}, Decode: func(key string, _ []byte) (registrar.Fact, error) {
		if key == "table" {
			t := &matcher.Table{Version: 1, Routes: routes}
			t.Index()
			return registrar.Table{Table: t}, nil
		}
		return members[key], nil
	}}
	b := registrar.Batch{Whole: true, At: 9, Records: []registrar.Record{{Key: "table", Revision: 1}}}
	for id := range members {
		b.Records = append(b.Records, registrar.Record{Key: id, Revision: 2})
	}
	r.Apply(b)
	return r
}

func ports(as []netip.AddrPort) []uint16 {
	var ps []uint16
	for _, a := range as {
		ps = append(ps, a.Port())
	}
	return ps
}

func TestNearestEntries(t *testing.T) {
	must.Eq(t, []uint16{1, 2}, ports(hoster.Nearest(newView(), hoster.DirectoryQuery{Host: "h", Region: "r"})))
	must.Eq(t, []uint16{3, 1, 2, 4}, ports(hoster.Nearest(newView(), hoster.DirectoryQuery{Host: "h", Region: "s"})),
		must.Sprint("a caller near a single entry needs alternatives"))
}

// Guards against listing entries outside the regions that a host's routes allow: they
// would receive bodies that must not leave these, except in the caller's own region.
func TestEntriesOutsideAllowedRegionsAreNotListed(t *testing.T) {
	v := newView(&matcher.Route{Host: "h", Prefix: "/", Regions: []string{"t"}})
	must.Eq(t, []uint16{3, 4}, ports(hoster.Nearest(v, hoster.DirectoryQuery{Host: "h", Region: "s"})))
	v = newView(&matcher.Route{Host: "h", Prefix: "/a/", Regions: []string{"t"}}, &matcher.Route{Host: "h", Prefix: "/b/", Regions: []string{"r"}})
	must.Eq(t, []uint16{3}, ports(hoster.Nearest(v, hoster.DirectoryQuery{Host: "h", Region: "s"})), must.Sprint("no region is allowed by both routes"))
}

// noLeases is a store without leases.
type noLeases struct{}

func (noLeases) Lease(context.Context, time.Duration) (uint64, error)      { return 1, nil }
func (noLeases) Renew(context.Context, uint64) error                       { return nil }
func (noLeases) EndLease(context.Context, uint64) error                    { return nil }
func (noLeases) PutMember(context.Context, registrar.Member, uint64) error { return nil }

// Guards against cutting requests of an entry that is stopped: one in progress, and one
// of a caller that connects afterwards by an old answer of the directory.
func TestDrainingCutsNoRequest(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	started, finish := make(chan struct{}, 2), make(chan struct{})
	h := &hoster.Hoster{Callers: l, Grace: 8 * time.Second, Clock: clock.RealClock{}, Stalls: newStalls(clock.RealClock{}), Registrar: &registrar.Registrar{Clock: clock.RealClock{}},
		Registration: &syncer.Registration{Store: noLeases{}, Clock: clock.RealClock{}},
		Requests: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			started <- struct{}{}
			<-finish
			_, _ = io.WriteString(w, "whole")
		})}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	answers := make(chan string, 2)
	send := func() {
		res, err := http.Get("http://" + l.Addr().String())
		if err != nil {
			answers <- err.Error()
			return
		}
		defer res.Body.Close()
		body, _ := io.ReadAll(res.Body)
		answers <- string(body)
	}
	go send()
	<-started
	stop()
	must.False(t, h.Ready())
	go send()
	<-started
	close(finish)
	must.Eq(t, "whole", <-answers)
	must.Eq(t, "whole", <-answers)
	must.NoError(t, <-done)
	must.True(t, h.Draining())
}

// Guards against entries that end, and are restarted, up to half a second after their last reply.
func TestDrainingEndsSoonAfterLastReply(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	started, finish := make(chan struct{}), make(chan struct{})
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	h := &hoster.Hoster{Callers: l, Grace: 20 * time.Second, Clock: c, Stalls: newStalls(c), Registrar: &registrar.Registrar{Clock: c},
		Registration: &syncer.Registration{Store: noLeases{}, Clock: c},
		Requests: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			close(started)
			<-finish
		})}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	go func() {
		if res, err := http.Get("http://" + l.Addr().String()); err == nil {
			res.Body.Close()
		}
	}()
	<-started
	stop()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(c.HasWaiters), wait.Timeout(time.Second), wait.Gap(time.Millisecond)))
	c.Step(4 * time.Second)
	for range 115 {
		c.Step(time.Millisecond)
		time.Sleep(10 * time.Millisecond)
	}
	finished := time.Now()
	close(finish)
	must.NoError(t, <-done)
	must.Less(t, 200*time.Millisecond, time.Since(finished))
}

// stepUntil advances a clock until a condition holds or a minute has passed by it. A single step may come before the code
// under test has set the timer for it.
func stepUntil(c *clocktest.FakeClock, f func() bool) {
	for range 600 {
		if f() {
			return
		}
		c.Step(100 * time.Millisecond)
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against refused callers that retry at once at a draining entry that is the only one for them.
func TestRefusedCallersOfDrainingEntryGetRetryAfter(t *testing.T) {
	for name, e := range map[string]struct {
		own        registrar.Member
		retryAfter time.Duration
	}{
		"another entry in its region": {own: registrar.Member{Region: "r", Callers: address(1)}, retryAfter: 10 * time.Millisecond},
		"the only entry for the host": {own: registrar.Member{Region: "t", Callers: address(4)}, retryAfter: 5850 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			c := clocktest.NewFakeClock(time.Unix(1000, 0))
			v := newRegistrar(&matcher.Route{Host: "h", Prefix: "/", Regions: []string{e.own.Region}})
			h := &hoster.Hoster{Callers: l, Grace: 8 * time.Second, Clock: c, Stalls: newStalls(c), Registrar: v, Requests: http.NotFoundHandler(),
				Registration: &syncer.Registration{Store: noLeases{}, Clock: c, Member: e.own}}
			ctx, stop := context.WithCancel(context.Background())
			done := make(chan error, 1)
			go func() { done <- h.Run(ctx) }()
			_, draining := h.CutIn()
			must.False(t, draining)
			stop()
			must.Wait(t, wait.InitialSuccess(wait.BoolFunc(h.Draining), wait.Timeout(time.Second), wait.Gap(time.Millisecond)))
			must.Wait(t, wait.InitialSuccess(wait.BoolFunc(c.HasWaiters), wait.Timeout(time.Second), wait.Gap(time.Millisecond)))
			c.Step(3 * time.Second)
			remaining, draining := h.CutIn()
			must.True(t, draining)
			must.Eq(t, 4850*time.Millisecond, remaining)
			must.Eq(t, e.retryAfter, h.RetryAfter("h"))
			stepUntil(c, func() bool { return len(done) > 0 })
			must.NoError(t, <-done)
		})
	}
}

// Guards against losing unread requests: an entry is stopped while its process is suspended,
// requests have arrived on kept-alive connections, and closing these would drop them.
func TestDrainingAnswersUnreadRequests(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	suspended := &suspendedListener{Listener: l, resumed: make(chan struct{})}
	c := startWithCaller(t, suspended)
	c.send(t)
	must.False(t, c.answer(t))
	c.send(t)
	c.stopAndWait(t)
	close(suspended.resumed)
	must.True(t, c.answer(t))
	must.NoError(t, <-c.done)
}

// Guards against the loss of a request that is on its way over a kept-alive connection as the entry is stopped.
func TestDrainingAnswersRequestsOnTheirWay(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	c := startWithCaller(t, l)
	c.send(t)
	must.False(t, c.answer(t))
	c.stopAndWait(t)
	c.send(t)
	must.True(t, c.answer(t))
	must.NoError(t, <-c.done)
}

// readDelay is how long a draining entry still reads nothing.
const readDelay = 100 * time.Millisecond

// keptCaller is a caller with one connection to a hoster.
type keptCaller struct {
	net.Conn
	replies *bufio.Reader
	hoster  *hoster.Hoster
	// stop stops the hoster; done gets its result.
	stop context.CancelFunc
	done chan error
}

// startWithCaller runs a hoster at a listener, and opens a connection to it.
func startWithCaller(t *testing.T, l net.Listener) *keptCaller {
	t.Helper()
	h := &hoster.Hoster{Callers: l, Grace: 8 * time.Second, Clock: clock.RealClock{}, Stalls: newStalls(clock.RealClock{}), Registrar: &registrar.Registrar{Clock: clock.RealClock{}},
		Registration: &syncer.Registration{Store: noLeases{}, Clock: clock.RealClock{}},
		Requests:     http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })}
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	c, err := net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return &keptCaller{Conn: c, replies: bufio.NewReader(c), hoster: h, stop: stop, done: done}
}

func (c *keptCaller) send(t *testing.T) {
	t.Helper()
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	must.NoError(t, err)
}

// answer reads a whole answer and reports whether the connection ends with it.
func (c *keptCaller) answer(t *testing.T) (closes bool) {
	t.Helper()
	res, err := http.ReadResponse(c.replies, nil)
	must.NoError(t, err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	must.NoError(t, err)
	must.Eq(t, "whole", string(body))
	return res.Close
}

// stopAndWait stops the hoster and waits until it drains for readDelay.
func (c *keptCaller) stopAndWait(t *testing.T) {
	t.Helper()
	c.stop()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(c.hoster.Draining), wait.Timeout(time.Second), wait.Gap(time.Millisecond)))
	time.Sleep(readDelay)
}
