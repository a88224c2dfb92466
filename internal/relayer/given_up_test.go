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

// Guards against an unlimited wait where neither side has the time of the announcement: the entry started after
// it, and the agent, as after its VM was suspended, has not received it and grants for any time. The
// announcement is older than the entry's start, so the limit counts from there at the latest.
func TestRestartedEntryLimitsGrantsOfOutdatedAgent(t *testing.T) {
	waits := newWaitsForClose(t)
	w := entryWithOldEngines(t, clock.RealClock{}, 1, waits.answer, directAddress)
	announce(w.registrar, 2)
	w.restartRegistrar()
	started := time.Now()
	w.request(t, "/draft/", "r1")
	if len(waits.arrived) == 0 {
		return // Not sent at all, which is as good.
	}
	waits.mustCloseWithin(t, started, weightsBound)
}

// Guards against the same where the restarted entry has received a further announcement itself.
func TestRestartedEntryUsesTheNextAnnouncement(t *testing.T) {
	waits := newWaitsForClose(t)
	w := entryWithOldEngines(t, clock.RealClock{}, 1, waits.answer, directAddress)
	announce(w.registrar, 2)
	w.restartRegistrar()
	announced := time.Now()
	announce(w.registrar, 3)
	w.request(t, "/draft/", "r1")
	if len(waits.arrived) == 0 {
		return
	}
	waits.mustCloseWithin(t, announced, weightsBound)
}

// Guards against ignoring a time that the agent states because the agent doesn't state the version.
func TestStatedTimeAppliesWithoutAVersion(t *testing.T) {
	waits := newWaitsForClose(t)
	announced := time.Now()
	ledger := openLedger(12)
	ledger.Expiry = func() time.Time { return announced.Add(weightsBound - scheduler.OldWeightsMargin) }
	w := entryWithLedgers(t, clock.RealClock{}, []*scheduler.Ledger{ledger}, waits.answer, directAddress)
	g := &granter.Granter{Ledger: ledger, Holds: func(string) uint64 { return 0 }, Clock: clock.RealClock{}}
	w.relayer.Placer.Reach = func(netip.AddrPort) relayer.Agent { return granterAgent{g} }
	w.request(t, "/draft/", "r1")
	waits.mustCloseWithin(t, announced, weightsBound)
}

// granterAgent calls a granter without a network.
type granterAgent struct{ *granter.Granter }

func (a granterAgent) Reserve(_ context.Context, r messenger.Reservation) (messenger.Decision, error) {
	return a.Granter.Reserve(r, nil), nil
}

func (a granterAgent) SendProgress(p messenger.Progress) { a.Progress(p, nil) }

// Guards against skipping a working upstream because its entry withheld a request itself: its caller was about
// to leave, or its time was over.
func TestWithheldRequestDoesNotMarkItsUpstream(t *testing.T) {
	for _, path := range []string{"/stream/", "/brief/"} {
		t.Run(path, func(t *testing.T) {
			w := newTestEntry(t, newUpstream(t, "u1", streamsOneEvent)).withEventTimeout()
			w.relayer.Pool.Opened = func() { time.Sleep(callerGap) }
			a := w.request(t, path, "r1")
			must.Eq(t, 503, a.status)
			must.SliceEmpty(t, w.upstreams[0].received())
			must.False(t, w.relayer.Chooser.Avoided("u1"))
		})
	}
}

// Guards against skipping an engine because its entry gave a request up at the end of its weights' time: the
// engine did not fail, and may have new weights by then.
func TestGivenUpRequestDoesNotMarkItsUpstream(t *testing.T) {
	waits := newWaitsForClose(t)
	w := entryWithOldEngines(t, clock.RealClock{}, 1, waits.answer, directAddress)
	announce(w.registrar, 2)
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.request(t, "/draft/", "r1")
	}()
	<-waits.closed
	time.Sleep(50 * time.Millisecond)
	must.False(t, w.relayer.Chooser.Avoided("engine-0"))
	<-done
}

// Guards against an entry that lacks the age of an announcement that it found in the store, although others
// report it.
func TestRestartedEntryLearnsAnnouncementAgeFromAnother(t *testing.T) {
	w := entryWithOldEngines(t, clock.RealClock{}, 1, streamsOneEvent, directAddress)
	announce(w.registrar, 2)
	other := w.registrar
	w.restartRegistrar()
	_, known := w.registrar.TimeLeft("", 1, weightsBound)
	must.False(t, known)
	w.registrar.Apply(other.ChangesSince(0))
	_, known = w.registrar.TimeLeft("", 1, weightsBound)
	must.True(t, known)
}

// Guards against answers that come too early: a caller that takes a while to send its body has not waited for a
// first event meanwhile.
func TestSlowBodyDoesNotShortenTheFirstEventWait(t *testing.T) {
	w := newTestEntry(t, newUpstream(t, "u1", streamsOneEvent)).withEventTimeout()
	conn, err := net.Dial("tcp", w.Listener.Addr().String())
	must.NoError(t, err)
	defer conn.Close()
	writeString(conn, "POST /stream/ HTTP/1.1\r\nHost: 127.0.0.1\r\nId: r1\r\nKey: k\r\nContent-Length: 5\r\n\r\nor")
	time.Sleep(callerGap)
	writeString(conn, "der")
	c := &caller{Conn: conn, reader: bufio.NewReader(conn)}
	res, err := c.waitAnswer(callerGap)
	must.NoError(t, err)
	defer res.Body.Close()
	must.Eq(t, 200, res.StatusCode)
}
