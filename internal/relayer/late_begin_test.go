package relayer_test

import (
	"context"
	"io"
	"net"
	"net/netip"
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

// oldEngines makes an entry before engines that hold version 1. Their agents grant every slot, as
// on a prediction that will not hold. Addresses may be replaced, as by those of links to them.
func oldEngines(t *testing.T, c clock.PassiveClock, count int, answer func(int, string, net.Conn) bool, address func(*upstream) string) *world {
	t.Helper()
	ledgers := make([]*scheduler.Ledger, 0, count)
	for range count {
		ledgers = append(ledgers, openLedger(12))
	}
	return oldEnginesOf(t, c, ledgers, answer, address)
}

// oldEnginesOf is oldEngines with ledgers of the agents.
func oldEnginesOf(t *testing.T, c clock.PassiveClock, ledgers []*scheduler.Ledger, answer func(int, string, net.Conn) bool, address func(*upstream) string) *world {
	t.Helper()
	w := engines(t, answer, ledgers...)
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
	w = newWorldOf(t, reg, w.upstreams)
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

func direct(u *upstream) string { return u.listener.Addr().String() }

// waitsForClose is an engine at which a request waits until its connection is closed.
type waitsForClose struct {
	came, closed chan time.Time
	standstills  *standstills
}

func newWaitsForClose(t *testing.T) *waitsForClose {
	return &waitsForClose{came: make(chan time.Time, 10), closed: make(chan time.Time, 10), standstills: watchStandstills(t)}
}

func (w *waitsForClose) answer(_ int, _ string, conn net.Conn) bool {
	w.came <- time.Now()
	_ = conn.SetReadDeadline(time.Now().Add(patience))
	_, _ = conn.Read(make([]byte, 1))
	w.closed <- time.Now()
	return false
}

// closeTime is how long before the bound an entry gives up a request that has not begun.
const closeTime = 200 * time.Millisecond

// within fails unless the engine learned by the bound that the request is given up. Entry and engine are in this
// process: what it stands still for once the request is to be given up isn't counted.
func (w *waitsForClose) within(t *testing.T, announced time.Time, bound time.Duration) {
	t.Helper()
	closed := <-w.closed
	still := w.standstills.between(announced.Add(bound-closeTime), closed)
	if still > 0 {
		t.Logf("closed %v after the announcement, process stalled for %v of that past the time to close", closed.Sub(announced), still)
	}
	must.Less(t, bound, closed.Sub(announced)-still, must.Sprint("since the announcement"))
}

// afterAnnouncement announces a version, sends a request, and fails unless it is given up by the bound.
func (w *waitsForClose) afterAnnouncement(t *testing.T, entry *world) {
	t.Helper()
	announced := time.Now()
	name(entry.registrar, 2)
	entry.ask(t, "/draft/", "r1")
	w.within(t, announced, weightsBound)
}

// Guards against the order of the request that began 8,084 ms after an announcement: its first
// engine's VM froze amid the stream, it went on elsewhere within the old weights' time, and waited
// there for longer than predicted.
func TestResumedStreamThatHasNotBegunIsGivenUp(t *testing.T) {
	var first once
	waits := newWaitsForClose(t)
	began := make(chan struct{}, 1)
	w := oldEngines(t, clock.RealClock{}, 2, func(n int, id string, conn net.Conn) bool {
		if !first.is(conn.LocalAddr().String()) {
			return waits.answer(n, id, conn)
		}
		say(conn, streamHead(id)+chunked(event(1)))
		began <- struct{}{}
		time.Sleep(patience)
		return false
	}, direct)
	var announced time.Time
	done := make(chan struct{})
	go func() {
		defer close(done)
		<-began
		time.Sleep(relayer.EventGap / 2)
		confirm(w.registrar)
		announced = time.Now()
		name(w.registrar, 2)
	}()
	w.ask(t, "/draft/", "r1")
	<-done
	must.Eq(t, 1, len(waits.came), must.Sprint("the stream went on elsewhere"))
	waits.within(t, announced, weightsBound)
}

// Guards against taking the header of a stream for its begin.
func TestHeaderAloneIsNoBegin(t *testing.T) {
	waits := newWaitsForClose(t)
	w := oldEngines(t, clock.RealClock{}, 1, func(n int, id string, conn net.Conn) bool {
		say(conn, streamHead(id))
		return waits.answer(n, id, conn)
	}, direct)
	waits.afterAnnouncement(t, w)
}

// Guards against plain requests that wait beyond their weights' time.
func TestPlainRequestThatHasNotBegunIsGivenUp(t *testing.T) {
	waits := newWaitsForClose(t)
	w := oldEngines(t, clock.RealClock{}, 1, waits.answer, direct)
	w.registrar.View().Table.Routes[0].Kind = matcher.Idempotent
	waits.afterAnnouncement(t, w)
}

// Guards against counting the bound from the second of two announcements.
func TestSecondAnnouncementProlongsNothing(t *testing.T) {
	waits := newWaitsForClose(t)
	w := oldEngines(t, clock.RealClock{}, 1, waits.answer, direct)
	announced := time.Now()
	name(w.registrar, 2)
	go func() {
		<-waits.came
		name(w.registrar, 3)
	}()
	w.ask(t, "/draft/", "r1")
	waits.within(t, announced, weightsBound)
}

// Guards against bounding no request that was sent before its entry heard of the announcement.
func TestAnnouncementHeardWhileARequestWaits(t *testing.T) {
	const late = weightsBound / 2
	waits := newWaitsForClose(t)
	w := oldEngines(t, clock.RealClock{}, 1, waits.answer, direct)
	announced := make(chan time.Time, 1)
	go func() {
		<-waits.came
		at, _, _ := w.registrar.Revision()
		announced <- time.Now().Add(-late)
		w.registrar.Apply(registrar.Batch{After: at, At: at + 1, Records: []registrar.Record{
			{Key: "weights", Value: []byte{2}, Revision: at + 1, Age: late}}})
	}()
	w.ask(t, "/draft/", "r1")
	waits.within(t, <-announced, weightsBound)
}

// Guards against sending a request that was granted a slot in time and whose weights' time has
// passed since, as when its entry stood still between the two.
func TestRequestWhoseTimeIsOverIsNotSent(t *testing.T) {
	// The timer that gives the request up and the write race with each other.
	for range 10 {
		c := clocktest.NewFakeClock(time.Now())
		w := oldEngines(t, c, 1, streams, direct)
		name(w.registrar, 2)
		w.relayer.Pool.Opened = func() { c.Step(weightsBound + time.Second) }
		w.ask(t, "/draft/", "r1")
		must.SliceEmpty(t, w.upstreams[0].came())
	}
}

// Guards against a timer that leaves out the time for which the entry's VM was suspended.
func TestSuspendedTimeCountsWhileARequestWaits(t *testing.T) {
	c := clocktest.NewFakeClock(time.Now())
	waits := newWaitsForClose(t)
	w := oldEngines(t, c, 1, waits.answer, direct)
	name(w.registrar, 2)
	resumed := make(chan time.Time, 1)
	go func() {
		<-waits.came
		c.Step(weightsBound - 200*time.Millisecond)
		resumed <- time.Now()
	}()
	w.ask(t, "/draft/", "r1")
	waits.within(t, <-resumed, 200*time.Millisecond)
}

// Guards against a close that reaches the engine only after the bound, as over a link full of the
// new weights' chunks.
func TestCloseOverAFullLinkComesInTime(t *testing.T) {
	for _, delay := range []time.Duration{20 * time.Millisecond, 150 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			waits := newWaitsForClose(t)
			w := oldEngines(t, clock.RealClock{}, 1, waits.answer, func(u *upstream) string {
				return slowLink(t, u.listener.Addr(), delay)
			})
			waits.afterAnnouncement(t, w)
		})
	}
}

// slowLink is the address of a link to an upstream on which everything towards it, ends of
// connections included, takes some time.
func slowLink(t *testing.T, to net.Addr, delay time.Duration) string {
	ip := netip.MustParseAddrPort(to.String()).Addr().String()
	return link(t, ip, to, func(near, far net.Conn) {
		go func() {
			_, _ = io.Copy(near, far)
			near.Close()
		}()
		go delayed(far, near, delay)
	})
}

// delayed copies what comes after some time, the end included.
func delayed(to, from net.Conn, delay time.Duration) {
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

// Guards against a slot sent to without a grant that is bounded less than a granted one.
func TestUnaskedSlotIsBounded(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	p, table := newPlacer(c, 0, 1)
	name(p.Registrar, 2)
	c.Step(3 * time.Second)
	j := &relayer.Job{Route: table.Routes[0], Service: "engines", Arrived: c.Now().Add(-400 * time.Millisecond), Deadline: c.Now().Add(5 * time.Second)}
	j.ID, j.Model, j.Prompt = "id", "m", 800
	place, err := p.Place(context.Background(), j)
	must.NoError(t, err)
	left, bounded := p.BeginWithin(place, j)
	must.True(t, bounded)
	must.Less(t, p.WeightsBound-3*time.Second, left)
}

// Guards against bounding no request of an entry that started after the announcement: it found the
// version in the store and doesn't know since when.
func TestStartedEntryGoesByTheTimeThatTheAgentStates(t *testing.T) {
	c := clock.RealClock{}
	waits := newWaitsForClose(t)
	announced := time.Now()
	ledger := openLedger(12)
	ledger.Expiry = func() time.Time { return announced.Add(weightsBound - scheduler.OldWeightsMargin) }
	w := oldEnginesOf(t, c, []*scheduler.Ledger{ledger}, waits.answer, direct)
	name(w.registrar, 2)
	w.restart()
	w.ask(t, "/draft/", "r1")
	waits.within(t, announced, weightsBound)
}

// Guards against bounding no request of an entry that found the announcement in the store when it
// started, although another entry tells it since when.
func TestStartedEntryLearnsTheTimeOfOldWeights(t *testing.T) {
	c := clock.RealClock{}
	waits := newWaitsForClose(t)
	w := oldEngines(t, c, 1, waits.answer, direct)
	announced := time.Now()
	name(w.registrar, 2)
	other := w.registrar
	w.restart()
	w.registrar.Apply(other.ChangesSince(0))
	w.ask(t, "/draft/", "r1")
	waits.within(t, announced, weightsBound)
}

// Guards against counting the bound from when an entry heard of an announcement: an answer of the
// store that was half a second on its way bears no age.
func TestAnnouncementHeardLateIsNotYoung(t *testing.T) {
	const late = 500 * time.Millisecond
	waits := newWaitsForClose(t)
	w := oldEngines(t, clock.RealClock{}, 1, waits.answer, direct)
	announced := time.Now()
	time.Sleep(late)
	name(w.registrar, 2)
	w.ask(t, "/draft/", "r1")
	waits.within(t, announced, weightsBound)
}
