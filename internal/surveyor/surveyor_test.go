package surveyor_test

import (
	"context"
	"encoding/json"
	"errors"
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

// process answers with the next of some statuses at each question, the last for good.
func process(t *testing.T, statuses ...surveyor.Status) netip.AddrPort {
	t.Helper()
	var asked atomic.Int64
	return serve(t, func(w http.ResponseWriter, _ *http.Request) {
		n := min(int(asked.Add(1)), len(statuses))
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

func TestProcessesInStep(t *testing.T) {
	for _, p := range survey(t, process(t, entry("a")), process(t, agent("b"))) {
		must.SliceEmpty(t, p.Faults)
		must.NotNil(t, p.Status)
	}
}

// One process was cut off and goes on by what it knew, another's engine has no new weights
// yet, a third hangs. Callers get old answers from the one, and the operator who looks for
// it must see which and why.
func TestEachFaultIsNamed(t *testing.T) {
	cut, old, starting := entry("cut"), agent("old"), entry("new")
	cut.Revision, cut.ConfirmedAgo, cut.TableVersion, cut.Weights = 70, 12.5, 3, map[string]uint64{"m": 2}
	old.Engine.Held, old.Engine.Closed = 2, "switching weights"
	starting.Revision, starting.Known, starting.NotReady = 0, false, "no route table yet"
	fewer := entry("fewer")
	fewer.Entries = 1
	release := make(chan struct{})
	hangs := serve(t, func(http.ResponseWriter, *http.Request) { <-release })
	defer close(release)
	broken := serve(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
	began := time.Now()
	ps := survey(t, process(t, entry("a")), process(t, cut), process(t, old), process(t, starting), process(t, fewer), hangs, broken)
	must.Less(t, 4*time.Second, time.Since(began))
	for i, words := range [][]string{
		{},
		{"out of touch with the store for 12.5s", "revision 70 of 90", "version 3 of 4", "did not hear that m version 3"},
		{"engine holds version 2 of 3", "engine closed: switching weights"},
		{"knows nothing yet", "not ready: no route table yet"},
		{"knows 1 of 2 entries"},
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

// A change reaches processes one after the other. Asked in between, the later ones look as if
// they were cut off, and an operator would look for a fault that isn't there.
func TestChangeOnItsWayIsNoFault(t *testing.T) {
	before := entry("b")
	before.Revision, before.Upstreams = 89, 11
	for _, p := range survey(t, process(t, entry("a")), process(t, before, entry("b"))) {
		must.SliceEmpty(t, p.Faults)
	}
}

// Guards against a process that counts as in step by a status that was cut.
func TestCutStatusIsNoStatus(t *testing.T) {
	text := "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"vm\":\"a\"}"
	p := survey(t, bodyreadertest.Serve(t, text, bodyreadertest.Close))[0]
	must.Nil(t, p.Status)
}

// Guards against a process whose answer has a head without end.
func TestEndlessHeadIsNoStatus(t *testing.T) {
	bodyreadertest.EndlessHeads(t, func(a netip.AddrPort) error {
		if p := survey(t, a)[0]; p.Status == nil {
			return errors.New(strings.Join(p.Faults, "; "))
		}
		return nil
	})
}
