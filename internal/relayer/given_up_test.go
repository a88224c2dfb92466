package relayer_test

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/granter"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/relayer"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// Guards against bounding nothing where neither side knows since when: the entry has started after
// the announcement, and the agent, as after its VM was frozen, has not heard of it and grants for
// any time. The announcement is older than the entry's start, from which it can count at the latest.
func TestStartedEntryBoundsWhatAnAgentGrantsThatHasNotHeard(t *testing.T) {
	waits := newWaitsForClose(t)
	w := oldEngines(t, clock.RealClock{}, 1, waits.answer, direct)
	name(w.registrar, 2)
	w.restart()
	started := time.Now()
	w.ask(t, "/draft/", "r1")
	if len(waits.came) == 0 {
		return // Not sent at all, which is as good.
	}
	waits.within(t, started, weightsBound)
}

// Guards against the same where the started entry has seen a further announcement itself.
func TestStartedEntryGoesByTheNextAnnouncement(t *testing.T) {
	waits := newWaitsForClose(t)
	w := oldEngines(t, clock.RealClock{}, 1, waits.answer, direct)
	name(w.registrar, 2)
	w.restart()
	announced := time.Now()
	name(w.registrar, 3)
	w.ask(t, "/draft/", "r1")
	if len(waits.came) == 0 {
		return
	}
	waits.within(t, announced, weightsBound)
}

// Guards against a time that the agent states and the entry leaves out, as the agent doesn't tell the
// version.
func TestStatedTimeCountsWithoutAVersion(t *testing.T) {
	waits := newWaitsForClose(t)
	announced := time.Now()
	ledger := openLedger(12)
	ledger.Expiry = func() time.Time { return announced.Add(weightsBound - scheduler.OldWeightsMargin) }
	w := oldEnginesOf(t, clock.RealClock{}, []*scheduler.Ledger{ledger}, waits.answer, direct)
	g := &granter.Granter{Ledger: ledger, Holds: func(string) uint64 { return 0 }, Clock: clock.RealClock{}}
	w.relayer.Placer.Reach = func(netip.AddrPort) relayer.Agent { return granterAgent{g} }
	w.ask(t, "/draft/", "r1")
	waits.within(t, announced, weightsBound)
}

// granterAgent asks a granter without a network.
type granterAgent struct{ *granter.Granter }

func (a granterAgent) Reserve(_ context.Context, r messenger.Reservation) (messenger.Decision, error) {
	return a.Granter.Reserve(r, nil), nil
}

func (a granterAgent) Tell(p messenger.Progress) { a.Progress(p, nil) }

// Guards against passing over an upstream that is well, as its entry kept a request back itself: its
// caller was about to leave, or its time was over.
func TestRequestKeptBackSaysNothingOfItsUpstream(t *testing.T) {
	for _, path := range []string{"/stream/", "/brief/"} {
		t.Run(path, func(t *testing.T) {
			w := newWorld(t, newUpstream(t, "u1", streams)).impatient()
			w.relayer.Pool.Opened = func() { time.Sleep(callerGap) }
			a := w.ask(t, path, "r1")
			must.Eq(t, 503, a.status)
			must.SliceEmpty(t, w.upstreams[0].came())
			must.False(t, w.relayer.Chooser.Avoided("u1"))
		})
	}
}

// Guards against passing over an engine because its entry gave a request up at the end of the time of
// its weights: the engine did not fail, and may have new weights by then.
func TestGivenUpRequestSaysNothingOfItsUpstream(t *testing.T) {
	waits := newWaitsForClose(t)
	w := oldEngines(t, clock.RealClock{}, 1, waits.answer, direct)
	name(w.registrar, 2)
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.ask(t, "/draft/", "r1")
	}()
	<-waits.closed
	time.Sleep(50 * time.Millisecond)
	must.False(t, w.relayer.Chooser.Avoided("engine-0"))
	<-done
}

// Guards against an entry that stays without the age of an announcement that it found in the store,
// although others tell it.
func TestStartedEntryLearnsSinceWhenFromAnother(t *testing.T) {
	w := oldEngines(t, clock.RealClock{}, 1, streams, direct)
	name(w.registrar, 2)
	other := w.registrar
	w.restart()
	_, known := w.registrar.TimeLeft("", 1, weightsBound)
	must.False(t, known)
	w.registrar.Apply(other.Since(0))
	_, known = w.registrar.TimeLeft("", 1, weightsBound)
	must.True(t, known)
}

// Guards against answers that come sooner than they should: a caller that takes a while to send its
// body has not waited for a first event meanwhile.
func TestSlowBodyTakesNothingOffTheWaitForAnEvent(t *testing.T) {
	w := newWorld(t, newUpstream(t, "u1", streams)).impatient()
	conn, err := net.Dial("tcp", w.Listener.Addr().String())
	must.NoError(t, err)
	defer conn.Close()
	say(conn, "POST /stream/ HTTP/1.1\r\nHost: 127.0.0.1\r\nId: r1\r\nKey: k\r\nContent-Length: 5\r\n\r\nor")
	time.Sleep(callerGap)
	say(conn, "der")
	c := &caller{Conn: conn, reader: bufio.NewReader(conn)}
	res, err := c.waitAnswer(callerGap)
	must.NoError(t, err)
	defer res.Body.Close()
	must.Eq(t, 200, res.StatusCode)
}
