package relayer_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"k8s.io/utils/clock"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/matcher"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/relayer"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// entryWithOldEngines makes an entry with engines that hold version 1. Their agents grant every
// slot, as on a wrong prediction. The address function may return a link to the engine.
func entryWithOldEngines(t *testing.T, c clock.PassiveClock, count int, answer func(int, string, net.Conn) bool, address func(*upstream) string) *testEntry {
	t.Helper()
	ledgers := make([]*scheduler.Ledger, 0, count)
	for range count {
		ledgers = append(ledgers, openLedger(12))
	}
	return entryWithLedgers(t, c, ledgers, answer, address)
}

// entryWithLedgers is entryWithOldEngines with the given ledgers of agents.
func entryWithLedgers(t *testing.T, c clock.PassiveClock, ledgers []*scheduler.Ledger, answer func(int, string, net.Conn) bool, address func(*upstream) string) *testEntry {
	t.Helper()
	w := newEngineWorld(t, answer, ledgers...)
	addresses := map[string]netip.AddrPort{}
	for _, u := range w.upstreams {
		addresses[u.name] = netip.MustParseAddrPort(address(u))
	}
	reg := &registrar.Registrar{Clock: c, Decode: decodeOld(addresses)}
	b := registrar.Batch{Whole: true, At: 10, Records: []registrar.Record{
		{Key: "table", Revision: 1}, {Key: "weights", Value: []byte{1}, Revision: 2},
	}}
	for i, u := range w.upstreams {
		b.Records = append(b.Records, registrar.Record{Key: u.name, Revision: uint64(i) + 3})
	}
	reg.Apply(b)
	port := w.relayer.Placer.AgentPort
	w = newTestEntryWith(t, reg, w.upstreams)
	w.relayer.Placer.AgentPort, w.relayer.Placer.WeightsBound = port, weightsBound
	return w
}

func decodeOld(addresses map[string]netip.AddrPort) func(string, []byte) (registrar.Fact, error) {
	return func(key string, value []byte) (registrar.Fact, error) {
		switch key {
		case "table":
			table := engineTable()
			table.Routes[0].Resumable = true
			return registrar.Table{Table: table}, nil
		case "weights":
			return registrar.Weights{Version: uint64(value[0])}, nil
		default:
			return registrar.Upstream{ID: key, Service: "engines", FailureDomain: "a", Slots: 12, Address: addresses[key]}, nil
		}
	}
}

func directAddress(u *upstream) string { return u.listener.Addr().String() }

// waitsForClose is an engine at which a request waits until its connection is closed.
type waitsForClose struct {
	arrived, closed chan time.Time
	stalls          *pauseRecorder
}

func newWaitsForClose(t *testing.T) *waitsForClose {
	return &waitsForClose{arrived: make(chan time.Time, 10), closed: make(chan time.Time, 10), stalls: recordPauses(t)}
}

func (w *waitsForClose) answer(_ int, _ string, conn net.Conn) bool {
	w.arrived <- time.Now()
	_ = conn.SetReadDeadline(time.Now().Add(stepTimeout))
	_, _ = conn.Read(make([]byte, 1))
	w.closed <- time.Now()
	return false
}

// closeMargin is how long before the bound an entry gives up a request that hasn't started.
const closeMargin = 200 * time.Millisecond

// mustCloseWithin fails unless the connection was closed by the bound. Entry and engine are in this
// process: stalls of the process after the time to close aren't counted.
func (w *waitsForClose) mustCloseWithin(t *testing.T, announced time.Time, bound time.Duration) {
	t.Helper()
	closed := <-w.closed
	stalled := w.stalls.pausedBetween(announced.Add(bound-closeMargin), closed)
	if stalled > 0 {
		t.Logf("closed %v after the announcement, process stalled for %v of that past the time to close", closed.Sub(announced), stalled)
	}
	must.Less(t, bound, closed.Sub(announced)-stalled, must.Sprint("since the announcement"))
}

// mustCloseAfterAnnouncement announces a version, sends a request, and fails unless it is given up
// by the bound.
func (w *waitsForClose) mustCloseAfterAnnouncement(t *testing.T, entry *testEntry) {
	t.Helper()
	announced := time.Now()
	announce(entry.registrar, 2)
	entry.request(t, "/draft/", "r1")
	w.mustCloseWithin(t, announced, weightsBound)
}

// Guards against the sequence of a request that started 8,084 ms after an announcement: the VM of
// its first engine was suspended during the stream, the stream moved elsewhere before the old
// weights expired, and waited there for longer than predicted.
func TestResumedStreamNotStartedInTimeIsGivenUp(t *testing.T) {
	var first firstUpstream
	waits := newWaitsForClose(t)
	started := make(chan struct{}, 1)
	w := entryWithOldEngines(t, clock.RealClock{}, 2, func(n int, id string, conn net.Conn) bool {
		if !first.claim(conn.LocalAddr().String()) {
			return waits.answer(n, id, conn)
		}
		writeString(conn, streamHead(id)+chunked(event(1)))
		started <- struct{}{}
		time.Sleep(stepTimeout)
		return false
	}, directAddress)
	var announced time.Time
	done := make(chan struct{})
	go func() {
		defer close(done)
		<-started
		time.Sleep(relayer.EventGap / 2)
		confirm(w.registrar)
		announced = time.Now()
		announce(w.registrar, 2)
	}()
	w.request(t, "/draft/", "r1")
	<-done
	must.Eq(t, 1, len(waits.arrived), must.Sprint("the stream continued elsewhere"))
	waits.mustCloseWithin(t, announced, weightsBound)
}

// Guards against taking the header of a stream for its start.
func TestHeaderAloneIsNoStart(t *testing.T) {
	waits := newWaitsForClose(t)
	w := entryWithOldEngines(t, clock.RealClock{}, 1, func(n int, id string, conn net.Conn) bool {
		writeString(conn, streamHead(id))
		return waits.answer(n, id, conn)
	}, directAddress)
	waits.mustCloseAfterAnnouncement(t, w)
}

// Guards against taking a comment, with which an engine keeps a connection alive, for the start of its stream.
func TestCommentIsNoStart(t *testing.T) {
	waits := newWaitsForClose(t)
	w := entryWithOldEngines(t, clock.RealClock{}, 1, func(n int, id string, conn net.Conn) bool {
		writeString(conn, streamHead(id)+chunked(": wait\n\n"))
		return waits.answer(n, id, conn)
	}, directAddress)
	waits.mustCloseAfterAnnouncement(t, w)
}

// Guards against taking the header of a plain reply for its start.
func TestPlainHeaderAloneIsNoStart(t *testing.T) {
	waits := newWaitsForClose(t)
	w := entryWithOldEngines(t, clock.RealClock{}, 1, func(n int, id string, conn net.Conn) bool {
		head, _, _ := strings.Cut(sealedReply(id, "whole"), "whole")
		writeString(conn, head)
		return waits.answer(n, id, conn)
	}, directAddress)
	w.registrar.View().Table.Routes[0].Kind = matcher.Idempotent
	waits.mustCloseAfterAnnouncement(t, w)
}

// Guards against plain requests that wait until after their weights have expired.
func TestPlainRequestNotStartedInTimeIsGivenUp(t *testing.T) {
	waits := newWaitsForClose(t)
	w := entryWithOldEngines(t, clock.RealClock{}, 1, waits.answer, directAddress)
	w.registrar.View().Table.Routes[0].Kind = matcher.Idempotent
	waits.mustCloseAfterAnnouncement(t, w)
}

// Guards against counting the bound from the second of two announcements.
func TestSecondAnnouncementDoesNotExtendTheBound(t *testing.T) {
	waits := newWaitsForClose(t)
	w := entryWithOldEngines(t, clock.RealClock{}, 1, waits.answer, directAddress)
	announced := time.Now()
	announce(w.registrar, 2)
	go func() {
		<-waits.arrived
		announce(w.registrar, 3)
	}()
	w.request(t, "/draft/", "r1")
	waits.mustCloseWithin(t, announced, weightsBound)
}

// Guards against requests without a bound that were sent before their entry received the
// announcement.
func TestAnnouncementReceivedWhileARequestWaits(t *testing.T) {
	const late = weightsBound / 2
	waits := newWaitsForClose(t)
	w := entryWithOldEngines(t, clock.RealClock{}, 1, waits.answer, directAddress)
	announced := make(chan time.Time, 1)
	go func() {
		<-waits.arrived
		at, _, _ := w.registrar.Revision()
		announced <- time.Now().Add(-late)
		w.registrar.Apply(registrar.Batch{After: at, At: at + 1, Records: []registrar.Record{
			{Key: "weights", Value: []byte{2}, Revision: at + 1, Age: late}}})
	}()
	w.request(t, "/draft/", "r1")
	waits.mustCloseWithin(t, <-announced, weightsBound)
}

// Guards against sending a request that got a slot in time but whose weights have expired since, as
// when its entry was suspended in between.
func TestRequestForExpiredWeightsIsNotSent(t *testing.T) {
	// The timer that gives the request up and the write race with each other.
	for range 10 {
		c := clocktest.NewFakeClock(time.Now())
		w := entryWithOldEngines(t, c, 1, streamsOneEvent, directAddress)
		announce(w.registrar, 2)
		w.relayer.Pool.Opened = func() { c.Step(weightsBound + time.Second) }
		w.request(t, "/draft/", "r1")
		must.SliceEmpty(t, w.upstreams[0].received())
	}
}

// Guards against a timer that doesn't count the time for which the entry's VM was suspended.
func TestSuspendedTimeCountsWhileARequestWaits(t *testing.T) {
	c := clocktest.NewFakeClock(time.Now())
	waits := newWaitsForClose(t)
	w := entryWithOldEngines(t, c, 1, waits.answer, directAddress)
	announce(w.registrar, 2)
	resumed := make(chan time.Time, 1)
	go func() {
		<-waits.arrived
		c.Step(weightsBound - 200*time.Millisecond)
		resumed <- time.Now()
	}()
	w.request(t, "/draft/", "r1")
	waits.mustCloseWithin(t, <-resumed, 200*time.Millisecond)
}

// Guards against a close that reaches the engine only after the bound, as over a link full of the
// new weights' chunks.
func TestCloseOverAFullLinkArrivesInTime(t *testing.T) {
	for _, delay := range []time.Duration{20 * time.Millisecond, 150 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			waits := newWaitsForClose(t)
			w := entryWithOldEngines(t, clock.RealClock{}, 1, waits.answer, func(u *upstream) string {
				return slowLink(t, u.listener.Addr(), delay)
			})
			waits.mustCloseAfterAnnouncement(t, w)
		})
	}
}

// slowLink returns the address of a link to an upstream that delays everything sent to it, closes
// of connections included.
func slowLink(t *testing.T, to net.Addr, delay time.Duration) string {
	ip := netip.MustParseAddrPort(to.String()).Addr().String()
	return startProxy(t, ip, to, func(near, far net.Conn) {
		go func() {
			_, _ = io.Copy(near, far)
			near.Close()
		}()
		go copyDelayed(far, near, delay)
	})
}

// copyDelayed copies all data and the close after a delay.
func copyDelayed(to, from net.Conn, delay time.Duration) {
	for {
		b := make([]byte, 64<<10)
		n, err := from.Read(b)
		time.AfterFunc(delay, func() {
			_, _ = to.Write(b[:n])
			if err != nil {
				to.Close()
			}
		})
		if err != nil {
			return
		}
	}
}

// Guards against a later bound for a slot used without a grant than for a granted one.
func TestUngrantedSlotIsBounded(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	p, table := newPlacer(c, 0, 1)
	announce(p.Registrar, 2)
	c.Step(3 * time.Second)
	j := &relayer.Job{Route: table.Routes[0], Service: "engines", Arrived: c.Now().Add(-400 * time.Millisecond), Deadline: c.Now().Add(5 * time.Second)}
	j.ID, j.Model, j.Prompt = "id", "m", 800
	place, err := p.Place(context.Background(), j)
	must.NoError(t, err)
	left, bounded := p.TimeToStart(place, j)
	must.True(t, bounded)
	must.Less(t, p.WeightsBound-3*time.Second, left)
}

// Guards against requests without a bound at an entry that started after the announcement: the
// version's record in the store doesn't state the announcement's time.
func TestStartedEntryUsesTheTimeStatedByTheAgent(t *testing.T) {
	c := clock.RealClock{}
	waits := newWaitsForClose(t)
	announced := time.Now()
	ledger := openLedger(12)
	ledger.Expiry = func() time.Time { return announced.Add(weightsBound - scheduler.OldWeightsMargin) }
	w := entryWithLedgers(t, c, []*scheduler.Ledger{ledger}, waits.answer, directAddress)
	announce(w.registrar, 2)
	w.restartRegistrar()
	w.request(t, "/draft/", "r1")
	waits.mustCloseWithin(t, announced, weightsBound)
}

// Guards against requests without a bound at an entry that read the announcement from the store
// when it started, although another entry sent it the time.
func TestStartedEntryReceivesTheAnnouncementTimeFromAPeer(t *testing.T) {
	c := clock.RealClock{}
	waits := newWaitsForClose(t)
	w := entryWithOldEngines(t, c, 1, waits.answer, directAddress)
	announced := time.Now()
	announce(w.registrar, 2)
	other := w.registrar
	w.restartRegistrar()
	w.registrar.Apply(other.ChangesSince(0))
	w.request(t, "/draft/", "r1")
	waits.mustCloseWithin(t, announced, weightsBound)
}

// Guards against counting the bound from the arrival of an announcement: a reply of the store that
// was delayed by half a second states no age.
func TestAgeOfAnAnnouncementReceivedLate(t *testing.T) {
	const late = 500 * time.Millisecond
	waits := newWaitsForClose(t)
	w := entryWithOldEngines(t, clock.RealClock{}, 1, waits.answer, directAddress)
	announced := time.Now()
	time.Sleep(late)
	announce(w.registrar, 2)
	w.request(t, "/draft/", "r1")
	waits.mustCloseWithin(t, announced, weightsBound)
}
