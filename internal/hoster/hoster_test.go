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

// view is what registrarOf believes.
func view(routes ...*matcher.Route) *registrar.View { return registrarOf(routes...).View() }

func address(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
}

// registrarOf knows two entries in region r and one in each of s and t.
func registrarOf(routes ...*matcher.Route) *registrar.Registrar {
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
	must.Eq(t, []uint16{1, 2}, ports(hoster.Nearest(view(), hoster.Question{Host: "h", Region: "r"})))
	must.Eq(t, []uint16{3, 1, 2, 4}, ports(hoster.Nearest(view(), hoster.Question{Host: "h", Region: "s"})),
		must.Sprint("with a single one near, a caller needs others to go to"))
}

// A host's requests may be served in region t only. An entry elsewhere would take
// bodies in that must not leave it, except where the caller itself is.
func TestEntriesOutsideAllowedRegionsAreNotNamed(t *testing.T) {
	v := view(&matcher.Route{Host: "h", Prefix: "/", Regions: []string{"t"}})
	must.Eq(t, []uint16{3, 4}, ports(hoster.Nearest(v, hoster.Question{Host: "h", Region: "s"})))
	v = view(&matcher.Route{Host: "h", Prefix: "/a/", Regions: []string{"t"}}, &matcher.Route{Host: "h", Prefix: "/b/", Regions: []string{"r"}})
	must.Eq(t, []uint16{3}, ports(hoster.Nearest(v, hoster.Question{Host: "h", Region: "s"})), must.Sprint("no region suits both routes"))
}

// noLeases is a store without leases.
type noLeases struct{}

func (noLeases) Lease(context.Context, time.Duration) (uint64, error)      { return 1, nil }
func (noLeases) Renew(context.Context, uint64) error                       { return nil }
func (noLeases) EndLease(context.Context, uint64) error                    { return nil }
func (noLeases) PutMember(context.Context, registrar.Member, uint64) error { return nil }

// An entry is told to stop while it answers a request, and a caller that still holds an
// old answer of the directory comes only then. Neither may be cut.
func TestLeavingCutsNoRequest(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	began, finish := make(chan struct{}, 2), make(chan struct{})
	h := &hoster.Hoster{Callers: l, Grace: 8 * time.Second, Clock: clock.RealClock{}, Registrar: &registrar.Registrar{Clock: clock.RealClock{}},
		Registration: &syncer.Registration{Store: noLeases{}, Clock: clock.RealClock{}},
		Requests: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			began <- struct{}{}
			<-finish
			_, _ = io.WriteString(w, "whole")
		})}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	answers := make(chan string, 2)
	ask := func() {
		res, err := http.Get("http://" + l.Addr().String())
		if err != nil {
			answers <- err.Error()
			return
		}
		defer res.Body.Close()
		body, _ := io.ReadAll(res.Body)
		answers <- string(body)
	}
	go ask()
	<-began
	stop()
	must.False(t, h.Ready())
	go ask()
	<-began
	close(finish)
	must.Eq(t, "whole", <-answers)
	must.Eq(t, "whole", <-answers)
	must.NoError(t, <-done)
	must.True(t, h.Leaving())
}

// Guards against refused callers that are sent back at once to an entry that is the only one for them.
func TestRefusedCallersOfALeavingEntryAreToldWhenToComeBack(t *testing.T) {
	for name, e := range map[string]struct {
		own  registrar.Member
		back time.Duration
	}{
		"another entry in its region": {own: registrar.Member{Region: "r", Callers: address(1)}, back: 10 * time.Millisecond},
		"the host's only one":         {own: registrar.Member{Region: "t", Callers: address(4)}, back: 5850 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			c := clocktest.NewFakeClock(time.Unix(1000, 0))
			v := registrarOf(&matcher.Route{Host: "h", Prefix: "/", Regions: []string{e.own.Region}})
			h := &hoster.Hoster{Callers: l, Grace: 8 * time.Second, Clock: c, Registrar: v, Requests: http.NotFoundHandler(),
				Registration: &syncer.Registration{Store: noLeases{}, Clock: c, Member: e.own}}
			ctx, stop := context.WithCancel(context.Background())
			done := make(chan error, 1)
			go func() { done <- h.Run(ctx) }()
			_, leaves := h.CutIn()
			must.False(t, leaves)
			stop()
			must.Wait(t, wait.InitialSuccess(wait.BoolFunc(h.Leaving), wait.Timeout(time.Second), wait.Gap(time.Millisecond)))
			must.Wait(t, wait.InitialSuccess(wait.BoolFunc(c.HasWaiters), wait.Timeout(time.Second), wait.Gap(time.Millisecond)))
			c.Step(3 * time.Second)
			left, leaves := h.CutIn()
			must.True(t, leaves)
			must.Eq(t, 4850*time.Millisecond, left)
			must.Eq(t, e.back, h.RetryAfter("h"))
			c.Step(time.Second)
			must.NoError(t, <-done)
		})
	}
}

// An entry is told to stop while its VM gives it no time. Requests that came meanwhile on
// connections that callers kept lie unread, and closing these would lose them.
func TestLeavingAnswersWhatItHasNotReadYet(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	late := &lateListener{Listener: l, resumed: make(chan struct{})}
	h := &hoster.Hoster{Callers: late, Grace: 8 * time.Second, Clock: clock.RealClock{}, Registrar: &registrar.Registrar{Clock: clock.RealClock{}},
		Registration: &syncer.Registration{Store: noLeases{}, Clock: clock.RealClock{}},
		Requests:     http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	c, err := net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	defer c.Close()
	replies := bufio.NewReader(c)
	ask := func() {
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		must.NoError(t, err)
	}
	answer := func() (closes bool) {
		res, err := http.ReadResponse(replies, nil)
		must.NoError(t, err)
		defer res.Body.Close()
		body, err := io.ReadAll(res.Body)
		must.NoError(t, err)
		must.Eq(t, "whole", string(body))
		return res.Close
	}
	ask()
	must.False(t, answer())
	ask()
	stop()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(h.Leaving), wait.Timeout(time.Second), wait.Gap(time.Millisecond)))
	time.Sleep(standstill)
	close(late.resumed)
	must.True(t, answer())
	must.NoError(t, <-done)
}

// standstill is for how much longer an entry that leaves reads nothing.
const standstill = 100 * time.Millisecond
