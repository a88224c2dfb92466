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

// newCrashEntry starts an entry that finds fatal parts, with one upstream for each way of answering.
func newCrashEntry(t *testing.T, answers ...func(u *upstream, id string, conn net.Conn) bool) *testEntry {
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
	w := newTestEntry(t, all...)
	w.relayer.Localizer = &localizer.Localizer{Entry: "e", Clock: clock.RealClock{}, WallClock: clock.RealClock{}}
	w.relayer.Prober = &relayer.NetworkProber{}
	return w
}

// resetAfter has a working upstream reset the connection after some events.
func resetAfter(events int) func(*upstream, string, net.Conn) bool {
	return func(_ *upstream, id string, conn net.Conn) bool {
		writeString(conn, streamHead(id))
		for n := range events {
			writeString(conn, chunked(event(n+1)))
		}
		return false
	}
}

// crashAfter has the upstream end after some events, closing its listener first.
func crashAfter(events int) func(*upstream, string, net.Conn) bool {
	reset := resetAfter(events)
	return func(u *upstream, id string, conn net.Conn) bool {
		reset(u, id, conn)
		time.Sleep(20 * time.Millisecond)
		u.listener.Close()
		return false
	}
}

// sendsComplete has the upstream answer with all events.
func sendsComplete(_ *upstream, id string, conn net.Conn) bool {
	writeString(conn, streamHead(id))
	for n := range 5 {
		writeString(conn, chunked(event(n+1)))
	}
	writeString(conn, "0\r\n\r\n")
	return true
}

// requestParts requests a stream for a prompt with some parts.
func (w *testEntry) requestParts(t *testing.T, id, parts string) answer {
	return w.sendWithHeader(t, "/stream/", "order", http.Header{"Id": {id}, "Key": {"k"}, "Parts": {parts}})
}

// waitForReports waits until the entry has reported a number of crashes.
func (w *testEntry) waitForReports(t *testing.T, n int) []localizer.Report {
	deadline := time.Now().Add(stepTimeout)
	for {
		u, _ := w.relayer.Localizer.ChangesSince(0)
		if len(u.Reports) >= n {
			return u.Reports
		}
		must.True(t, time.Now().Before(deadline))
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against crashes that are reported nowhere, and against a request's own part as evidence. A request that
// is sent again counts at each upstream.
func TestEachCrashOfARepeatedRequestIsReported(t *testing.T) {
	w := newCrashEntry(t, crashAfter(0), crashAfter(1))
	must.Eq(t, http.StatusBadGateway, min(w.requestParts(t, "a", "kind,fatal,own").status|http.StatusBadGateway, http.StatusBadGateway))
	reports := w.waitForReports(t, 2)
	for _, r := range reports {
		must.Eq(t, []string{"kind", "fatal"}, r.Parts)
		must.Eq(t, 1, r.Requests)
	}
	must.NotEq(t, reports[0].Upstream, reports[1].Upstream)
}

// Guards against blaming a stream that was well under way when its upstream crashed under another request.
func TestEstablishedStreamIsNoCrashEvidence(t *testing.T) {
	w := newCrashEntry(t, crashAfter(4), sendsComplete)
	w.requestParts(t, "a", "kind,farm,own")
	time.Sleep(200 * time.Millisecond)
	u, _ := w.relayer.Localizer.ChangesSince(0)
	must.SliceEmpty(t, u.Reports)
}

// Guards against taking a resumed stream that crashes its second upstream for one that was under way.
func TestCrashOfAResumedStreamIsReported(t *testing.T) {
	moved := false
	w := newCrashEntry(t, resetAfter(4), func(u *upstream, id string, conn net.Conn) bool {
		moved = true
		return crashAfter(0)(u, id, conn)
	})
	for n := 0; !moved; n++ {
		must.Less(t, 50, n)
		w.requestParts(t, fmt.Sprint(n), "kind,fatal,own")
		if u, _ := w.relayer.Localizer.ChangesSince(0); len(u.Reports) > 0 {
			break
		}
	}
	must.Eq(t, "u1", w.waitForReports(t, 1)[0].Upstream)
}

// Guards against missing a crash because the upstream restarts at once, or something else listens for it.
func TestImmediateRestartCountsAsCrash(t *testing.T) {
	w := newCrashEntry(t, resetAfter(0))
	w.requestParts(t, "a", "kind,fatal,own")
	for range 10 {
		w.relayer.CheckCutRequests()
		time.Sleep(10 * time.Millisecond)
	}
	u, _ := w.relayer.Localizer.ChangesSince(0)
	must.SliceEmpty(t, u.Reports)
	w.restartUpstream(0)
	deadline := time.Now().Add(stepTimeout)
	for len(u.Reports) == 0 {
		must.True(t, time.Now().Before(deadline))
		w.relayer.CheckCutRequests()
		u, _ = w.relayer.Localizer.ChangesSince(0)
	}
	must.Eq(t, []string{"kind", "fatal"}, u.Reports[0].Parts)
}

// Guards against taking working upstreams that reset connections for crashed ones.
func TestConnectionResetIsNoCrash(t *testing.T) {
	w := newCrashEntry(t, resetAfter(0), resetAfter(1))
	for n := range 5 {
		w.requestParts(t, fmt.Sprint(n), "kind,fatal,own")
	}
	time.Sleep(200 * time.Millisecond)
	u, _ := w.relayer.Localizer.ChangesSince(0)
	must.SliceEmpty(t, u.Reports)
}

// blamePart merges another entry's blame of a part.
func (w *testEntry) blamePart(part string, decided time.Time, trials int) {
	w.relayer.Localizer.Merge(localizer.Blame{Part: part, Epoch: 7, Entry: "other", DecidedAt: decided, Crashes: 4, Trials: trials})
}

// Guards against late or false refusals: a request with a blamed part isn't sent, others are, and one of which
// an attempt has run is not refused as if it had not.
func TestBlamedPartIsRefusedAtOnce(t *testing.T) {
	w := newCrashEntry(t, sendsComplete)
	must.Eq(t, http.StatusOK, w.requestParts(t, "a", "kind,fatal,own").status)
	w.blamePart("fatal", time.Now(), 0)
	for i, parts := range []string{"fatal,own", "kind,fatal,own", "x,kind,fatal,own"} {
		start := time.Now()
		got := w.requestParts(t, fmt.Sprint(i), parts)
		must.Eq(t, http.StatusServiceUnavailable, got.status)
		must.NotEq(t, "", got.header.Get("Retry-After"))
		must.StrContains(t, got.body, "fatal")
		must.Less(t, time.Second, time.Since(start))
	}
	must.Eq(t, http.StatusOK, w.requestParts(t, "b", "kind,fatal").status)
	must.Eq(t, http.StatusOK, w.requestParts(t, "c", "kind,own").status)
	must.Eq(t, []string{"a", "b", "c"}, w.upstreams[0].received())
}

// Guards against crashing one more upstream, and against a false refusal, if a part is blamed while a request
// with it runs.
func TestPartBlamedDuringRequestIsNotRetried(t *testing.T) {
	var w *testEntry
	fail := func(_ *upstream, id string, conn net.Conn) bool {
		writeString(conn, streamHead(id))
		w.blamePart("fatal", time.Now(), 0)
		return false
	}
	w = newCrashEntry(t, fail, fail)
	must.Eq(t, http.StatusBadGateway, w.requestParts(t, "a", "kind,fatal,own").status)
	must.Len(t, 1, slices.Concat(w.upstreams[0].received(), w.upstreams[1].received()))
}

// Guards against a trial that is never sent, or is sent again.
func TestTrialIsSentOnce(t *testing.T) {
	w := newCrashEntry(t, resetAfter(0), resetAfter(0))
	w.blamePart("fatal", time.Now().Add(-3*time.Minute), 0)
	must.Eq(t, http.StatusBadGateway, w.requestParts(t, "a", "kind,fatal,own").status)
	must.Eq(t, http.StatusServiceUnavailable, w.requestParts(t, "b", "kind,fatal,own").status)
	must.Eq(t, []string{"a"}, slices.Concat(w.upstreams[0].received(), w.upstreams[1].received()))
	must.Eq(t, 1, w.relayer.Localizer.Blames()[0].Trials)
}

// Guards against sending a trial of a blamed part to a second upstream while the first one is unresponsive.
func TestTrialIsNotHedged(t *testing.T) {
	unresponsive := func(_ *upstream, id string, conn net.Conn) bool {
		writeString(conn, streamHead(id))
		time.Sleep(2 * replyPause)
		return false
	}
	w := newCrashEntry(t, unresponsive, unresponsive)
	w.blamePart("fatal", time.Now().Add(-3*time.Minute), 0)
	w.requestParts(t, "a", "kind,fatal,own")
	must.Eq(t, 1, totalRequests(w.upstreams))
	must.Eq(t, 1, w.relayer.Localizer.Blames()[0].Trials)
}

// Guards against an entry that has just started and sends requests that the others refuse.
func TestEntryWithoutBlamesSendsNoPrompts(t *testing.T) {
	w := newCrashEntry(t, sendsComplete)
	synced := false
	w.relayer.BlamesSynced = func() bool { return synced }
	must.Eq(t, http.StatusServiceUnavailable, w.requestParts(t, "a", "kind,own").status)
	must.Eq(t, http.StatusOK, w.request(t, "/stream/", "b").status)
	synced = true
	must.Eq(t, http.StatusOK, w.requestParts(t, "c", "kind,own").status)
	must.Eq(t, []string{"b", "c"}, w.upstreams[0].received())
}
