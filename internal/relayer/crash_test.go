package relayer_test

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/localizer"
	"github.com/oriolecroft/oriolecroft/internal/relayer"
)

// newCrashWorld is an entry that finds fatal parts, before upstreams of which each answers in some way.
func newCrashWorld(t *testing.T, answers ...func(u *upstream, id string, conn net.Conn) bool) *world {
	var all []*upstream
	for i, answer := range answers {
		var u *upstream
		var ready sync.WaitGroup
		ready.Add(1)
		u = newUpstream(t, fmt.Sprintf("u%d", i), func(_ int, id string, conn net.Conn) bool {
			ready.Wait()
			return answer(u, id, conn)
		})
		ready.Done()
		all = append(all, u)
	}
	w := newWorld(t, all...)
	w.relayer.Localizer = &localizer.Localizer{Entry: "e", Clock: clock.RealClock{}, WallClock: clock.RealClock{}}
	w.relayer.Prober = &relayer.NetworkProber{}
	return w
}

// resetAfter has the upstream, which is well, reset the connection after some events.
func resetAfter(events int) func(*upstream, string, net.Conn) bool {
	return func(_ *upstream, id string, conn net.Conn) bool {
		say(conn, streamHead(id))
		for n := range events {
			say(conn, chunked(event(n+1)))
		}
		return false
	}
}

// crashAfter has the upstream end after some events, with its listener first.
func crashAfter(events int) func(*upstream, string, net.Conn) bool {
	reset := resetAfter(events)
	return func(u *upstream, id string, conn net.Conn) bool {
		reset(u, id, conn)
		time.Sleep(20 * time.Millisecond)
		u.listener.Close()
		return false
	}
}

// complete has the upstream answer with all events.
func complete(_ *upstream, id string, conn net.Conn) bool {
	say(conn, streamHead(id))
	for n := range 5 {
		say(conn, chunked(event(n+1)))
	}
	say(conn, "0\r\n\r\n")
	return true
}

// askParts asks for a stream of a prompt with some parts.
func (w *world) askParts(t *testing.T, id, parts string) answer {
	return w.sendHeader(t, "/stream/", "order", http.Header{"Id": {id}, "Key": {"k"}, "Parts": {parts}})
}

// reports waits until the entry has reported a number of crashes.
func (w *world) reports(t *testing.T, n int) []localizer.Report {
	deadline := time.Now().Add(patience)
	for {
		u, _ := w.relayer.Localizer.ChangesSince(0)
		if len(u.Reports) >= n {
			return u.Reports
		}
		must.True(t, time.Now().Before(deadline))
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against crashes that are evidence nowhere, and against a request's own part as evidence. A request
// that is sent again counts at each upstream.
func TestEachCrashOfARepeatedRequestIsReported(t *testing.T) {
	w := newCrashWorld(t, crashAfter(0), crashAfter(1))
	must.Eq(t, http.StatusBadGateway, min(w.askParts(t, "a", "kind,fatal,own").status|http.StatusBadGateway, http.StatusBadGateway))
	reports := w.reports(t, 2)
	for _, r := range reports {
		must.Eq(t, []string{"kind", "fatal"}, r.Parts)
		must.Eq(t, 1, r.Requests)
	}
	must.NotEq(t, reports[0].Upstream, reports[1].Upstream)
}

// Guards against blame of a stream that was well under way when its upstream crashed under another request.
func TestStreamThatWasUnderWayIsNoEvidence(t *testing.T) {
	w := newCrashWorld(t, crashAfter(4), complete)
	w.askParts(t, "a", "kind,farm,own")
	time.Sleep(200 * time.Millisecond)
	u, _ := w.relayer.Localizer.ChangesSince(0)
	must.SliceEmpty(t, u.Reports)
}

// Guards against a moved stream that crashes its second upstream being taken for one that was under way.
func TestCrashOfAResumedStreamIsReported(t *testing.T) {
	moved := false
	w := newCrashWorld(t, resetAfter(4), func(u *upstream, id string, conn net.Conn) bool {
		moved = true
		return crashAfter(0)(u, id, conn)
	})
	for n := 0; !moved; n++ {
		must.Less(t, 50, n)
		w.askParts(t, fmt.Sprint(n), "kind,fatal,own")
		if u, _ := w.relayer.Localizer.ChangesSince(0); len(u.Reports) > 0 {
			break
		}
	}
	must.Eq(t, "u1", w.reports(t, 1)[0].Upstream)
}

// Guards against crashes that go unnoticed as the upstream is back at once, or something else listens for it.
func TestUpstreamThatIsBackAtOnceHasCrashed(t *testing.T) {
	w := newCrashWorld(t, resetAfter(0))
	w.askParts(t, "a", "kind,fatal,own")
	for range 10 {
		w.relayer.SweepCuts()
		time.Sleep(10 * time.Millisecond)
	}
	u, _ := w.relayer.Localizer.ChangesSince(0)
	must.SliceEmpty(t, u.Reports)
	w.startAgain(0)
	deadline := time.Now().Add(patience)
	for len(u.Reports) == 0 {
		must.True(t, time.Now().Before(deadline))
		w.relayer.SweepCuts()
		u, _ = w.relayer.Localizer.ChangesSince(0)
	}
	must.Eq(t, []string{"kind", "fatal"}, u.Reports[0].Parts)
}

// Guards against upstreams that are well and reset connections being taken for crashed ones.
func TestResetOfAnUpstreamThatIsWellIsNoCrash(t *testing.T) {
	w := newCrashWorld(t, resetAfter(0), resetAfter(1))
	for n := range 5 {
		w.askParts(t, fmt.Sprint(n), "kind,fatal,own")
	}
	time.Sleep(200 * time.Millisecond)
	u, _ := w.relayer.Localizer.ChangesSince(0)
	must.SliceEmpty(t, u.Reports)
}

// blame has the entry learn that a part is fatal.
func (w *world) blame(part string, decided time.Time, trials int) {
	w.relayer.Localizer.Merge(localizer.Blame{Part: part, Epoch: 7, Entry: "other", DecidedAt: decided, Crashes: 4, Trials: trials})
}

// Guards against refusals that are late, or not true: a request with a blamed part isn't sent, others are, and
// one of which an attempt has run is no refusal.
func TestBlamedPartIsRefusedAtOnce(t *testing.T) {
	w := newCrashWorld(t, complete)
	must.Eq(t, http.StatusOK, w.askParts(t, "a", "kind,fatal,own").status)
	w.blame("fatal", time.Now(), 0)
	for i, parts := range []string{"fatal,own", "kind,fatal,own", "x,kind,fatal,own"} {
		began := time.Now()
		got := w.askParts(t, fmt.Sprint(i), parts)
		must.Eq(t, http.StatusServiceUnavailable, got.status)
		must.NotEq(t, "", got.header.Get("Retry-After"))
		must.StrContains(t, got.body, "fatal")
		must.Less(t, time.Second, time.Since(began))
	}
	must.Eq(t, http.StatusOK, w.askParts(t, "b", "kind,fatal").status)
	must.Eq(t, http.StatusOK, w.askParts(t, "c", "kind,own").status)
	must.Eq(t, []string{"a", "b", "c"}, w.upstreams[0].came())
}

// Guards against one more upstream that crashes, and an untrue refusal, if a part is blamed while a request
// with it runs.
func TestPartBlamedMeanwhileIsNotSentAgain(t *testing.T) {
	var w *world
	fail := func(_ *upstream, id string, conn net.Conn) bool {
		say(conn, streamHead(id))
		w.blame("fatal", time.Now(), 0)
		return false
	}
	w = newCrashWorld(t, fail, fail)
	must.Eq(t, http.StatusBadGateway, w.askParts(t, "a", "kind,fatal,own").status)
	must.Len(t, 1, slices.Concat(w.upstreams[0].came(), w.upstreams[1].came()))
}

// Guards against a trial that is never sent, or is sent again.
func TestTrialIsSentOnce(t *testing.T) {
	w := newCrashWorld(t, resetAfter(0), resetAfter(0))
	w.blame("fatal", time.Now().Add(-3*time.Minute), 0)
	must.Eq(t, http.StatusBadGateway, w.askParts(t, "a", "kind,fatal,own").status)
	must.Eq(t, http.StatusServiceUnavailable, w.askParts(t, "b", "kind,fatal,own").status)
	must.Eq(t, []string{"a"}, slices.Concat(w.upstreams[0].came(), w.upstreams[1].came()))
	must.Eq(t, 1, w.relayer.Localizer.Blames()[0].Trials)
}

// Guards against a trial of a blamed part that is sent to a second upstream while the first one is silent.
func TestTrialIsNotHedged(t *testing.T) {
	silent := func(_ *upstream, id string, conn net.Conn) bool {
		say(conn, streamHead(id))
		time.Sleep(2 * silence)
		return false
	}
	w := newCrashWorld(t, silent, silent)
	w.blame("fatal", time.Now().Add(-3*time.Minute), 0)
	w.askParts(t, "a", "kind,fatal,own")
	must.Eq(t, 1, runs(w.upstreams))
	must.Eq(t, 1, w.relayer.Localizer.Blames()[0].Trials)
}

// Guards against an entry that has just started and sends what the others refuse.
func TestEntryWithoutBlamesSendsNoPrompts(t *testing.T) {
	w := newCrashWorld(t, complete)
	synced := false
	w.relayer.BlamesSynced = func() bool { return synced }
	must.Eq(t, http.StatusServiceUnavailable, w.askParts(t, "a", "kind,own").status)
	must.Eq(t, http.StatusOK, w.ask(t, "/stream/", "b").status)
	synced = true
	must.Eq(t, http.StatusOK, w.askParts(t, "c", "kind,own").status)
	must.Eq(t, []string{"b", "c"}, w.upstreams[0].came())
}
