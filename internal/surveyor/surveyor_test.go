package surveyor_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/bodyreader/bodyreadertest"
	"github.com/oriolecroft/oriolecroft/internal/surveyor"
)

// serveStatuses answers each request with the next of some statuses, and repeats the last.
func serveStatuses(t *testing.T, statuses ...surveyor.Status) netip.AddrPort {
	t.Helper()
	var requests atomic.Int64
	return serve(t, func(w http.ResponseWriter, _ *http.Request) {
		n := min(int(requests.Add(1)), len(statuses))
		_ = json.NewEncoder(w).Encode(statuses[n-1])
	})
}

func serve(t *testing.T, h http.HandlerFunc) netip.AddrPort {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}

func entry(vm string) surveyor.Status {
	return surveyor.Status{VM: vm, Role: "entry", Revision: 90, ConfirmedAgo: 0.2, Known: true, TableVersion: 4,
		Weights: map[string]uint64{"m": 3}, Upstreams: 12, Entries: 2}
}

func agent(vm string) surveyor.Status {
	st := entry(vm)
	st.Role, st.Engine = "agent", &surveyor.Engine{Model: "m", Held: 3}
	return st
}

func survey(t *testing.T, addresses ...netip.AddrPort) []surveyor.Process {
	t.Helper()
	s := surveyor.Surveyor{Clock: clock.RealClock{}, Timeout: 300 * time.Millisecond}
	return s.Survey(context.Background(), addresses)
}

func TestProcessesThatAgreeHaveNoFaults(t *testing.T) {
	for _, p := range survey(t, serveStatuses(t, entry("a")), serveStatuses(t, agent("b"))) {
		must.SliceEmpty(t, p.Faults)
		must.NotNil(t, p.Status)
	}
}

// One process was partitioned and continues with its old state, another's engine lacks the
// new weights, a third hangs. Callers get old replies from the first, and the operator must
// see which process it is and why.
func TestEachFaultIsReported(t *testing.T) {
	partitioned, outdated, starting := entry("cut"), agent("old"), entry("new")
	partitioned.Revision, partitioned.ConfirmedAgo, partitioned.TableVersion, partitioned.Weights = 70, 12.5, 3, map[string]uint64{"m": 2}
	outdated.Engine.Held, outdated.Engine.Closed = 2, "switching weights"
	starting.Revision, starting.Known, starting.NotReady = 0, false, "no route table yet"
	fewer := entry("fewer")
	fewer.Entries = 1
	release := make(chan struct{})
	hangs := serve(t, func(http.ResponseWriter, *http.Request) { <-release })
	defer close(release)
	broken := serve(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
	started := time.Now()
	ps := survey(t, serveStatuses(t, entry("a")), serveStatuses(t, partitioned), serveStatuses(t, outdated), serveStatuses(t, starting), serveStatuses(t, fewer), hangs, broken)
	must.Less(t, 4*time.Second, time.Since(started))
	for i, words := range [][]string{
		{},
		{"no confirmation from the store for 12.5s", "revision 70 of 90", "version 3 of 4", "missed the announcement of m version 3"},
		{"engine holds version 2 of 3", "engine closed: switching weights"},
		{"no state received yet", "not ready: no route table yet"},
		{"has 1 of 2 entries"},
		{"no answer"},
		{"status 500"},
	} {
		text := strings.Join(ps[i].Faults, "; ")
		must.Eq(t, len(words) == 0, text == "", must.Sprint(text))
		for _, w := range words {
			must.StrContains(t, text, w)
		}
	}
}

// A change reaches processes one after the other. In between, the later ones look as if they
// were partitioned, and an operator would search for a fault that doesn't exist.
func TestPropagatingChangeIsNoFault(t *testing.T) {
	before := entry("b")
	before.Revision, before.Upstreams = 89, 11
	for _, p := range survey(t, serveStatuses(t, entry("a")), serveStatuses(t, before, entry("b"))) {
		must.SliceEmpty(t, p.Faults)
	}
}

// Guards against counting a process as in agreement by a truncated status.
func TestTruncatedStatusIsRejected(t *testing.T) {
	text := "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"vm\":\"a\"}"
	p := survey(t, bodyreadertest.Serve(t, text, bodyreadertest.Close))[0]
	must.Nil(t, p.Status)
}

// Guards against counting a process as in agreement by a reply that HTTP doesn't define.
func TestInvalidReplyIsRejected(t *testing.T) {
	body := `{"vm":"a","known":true}`
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	must.NotNil(t, survey(t, bodyreadertest.ServeInTurn(t, whole))[0].Status)
	for _, head := range []string{"000 Trouble\r\n\r\n", "101 Trouble\r\n\r\n", "999 Trouble\r\n\r\n",
		fmt.Sprintf("103 Early Hints\r\nContent-Length: %d\r\n\r\n", len(whole))} {
		p := survey(t, bodyreadertest.ServeInTurn(t, "HTTP/1.1 "+head+whole))[0]
		must.Nil(t, p.Status, must.Sprint(head))
		must.StrContains(t, strings.Join(p.Faults, "; "), "no answer", must.Sprint(head))
	}
}

// Guards against the state of another process that is taken for that of the one surveyed, as a reply redirects there.
func TestRedirectIsAFault(t *testing.T) {
	other := serveStatuses(t, entry("other"))
	redirects := serve(t, http.RedirectHandler("http://"+other.String(), http.StatusFound).ServeHTTP)
	p := survey(t, redirects)[0]
	must.Nil(t, p.Status)
	must.StrContains(t, strings.Join(p.Faults, "; "), "status 302")
}

// Guards against a process whose answer has an endless header.
func TestEndlessHeaderIsRejected(t *testing.T) {
	bodyreadertest.EndlessHeads(t, func(a netip.AddrPort) error {
		if p := survey(t, a)[0]; p.Status == nil {
			return errors.New(strings.Join(p.Faults, "; "))
		}
		return nil
	})
}
