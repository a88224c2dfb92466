package relayer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/ablator"
	"github.com/oriolecroft/oriolecroft/internal/granter"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/relayer"
)

// restartedEngines is a placer with engines that were restarted; their agents have observed the starts.
type restartedEngines struct {
	clock        *clocktest.FakeClock
	placer       *relayer.Placer
	granters     map[netip.Addr]*granter.Granter
	reserveCalls int
	revision     uint64
}

// engineRecord is the record of an engine in these tests.
type engineRecord struct {
	Host      byte
	StartedAt int64
}

func newRestartedEngines(t *testing.T) *restartedEngines {
	w := &restartedEngines{clock: clocktest.NewFakeClock(time.Unix(1000, 0)), granters: map[netip.Addr]*granter.Granter{}, revision: 1}
	w.placer, _ = newPlacer(w.clock, 0, 1)
	reg := &registrar.Registrar{Clock: w.clock, Decode: func(key string, value []byte) (registrar.Fact, error) {
		if key == "table" {
			return registrar.Table{Table: engineTable()}, nil
		}
		var e engineRecord
		err := json.Unmarshal(value, &e)
		return registrar.Upstream{ID: key, Service: "engines", FailureDomain: "a", Slots: 12, Address: hostAddr(e.Host), StartedAt: time.UnixMilli(e.StartedAt)}, err
	}}
	reg.Apply(registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{{Key: "table", Revision: 1}}})
	w.placer.Registrar, w.placer.Without = reg, ablator.Set{ablator.LateWait}
	w.placer.Reach = func(a netip.AddrPort) relayer.Agent {
		return countingAgent{granterAgent{w.granters[a.Addr()]}, &w.reserveCalls}
	}
	return w
}

func hostAddr(n byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, n}), 1)
}

// putRecord writes the record of an engine.
func (w *restartedEngines) putRecord(t *testing.T, id string, e engineRecord) {
	value, err := json.Marshal(e)
	must.NoError(t, err)
	w.placer.Registrar.Apply(registrar.Batch{After: w.revision, At: w.revision + 1,
		Records: []registrar.Record{{Key: id, Value: value, Revision: w.revision + 1}}})
	w.revision++
}

// setObserved makes the agent on a host have observed a start of its engine a while ago.
func (w *restartedEngines) setObserved(hostNumber byte, startedAt int64, age time.Duration) {
	l := openLedger(12)
	l.Clock = w.clock
	w.granters[hostAddr(hostNumber).Addr()] = &granter.Granter{Ledger: l, Holds: func(string) uint64 { return 1 }, Clock: w.clock,
		EngineStart: func() (time.Time, time.Duration) { return time.UnixMilli(startedAt), age }}
}

// place looks for a slot for a request that has been refused before, so that it makes only one round.
func (w *restartedEngines) place() (*relayer.Placement, error) {
	j := &relayer.Job{Route: engineTable().Routes[0], Service: "engines", Arrived: w.clock.Now(), Deadline: w.clock.Now().Add(5 * time.Second), Returned: true}
	j.ID, j.Model, j.Prompt = "r", "m", 100
	return w.placer.Place(context.Background(), j)
}

// countingAgent counts the reservations that an agent is asked for.
type countingAgent struct {
	granterAgent
	reserveCalls *int
}

func (a countingAgent) Reserve(ctx context.Context, r messenger.Reservation) (messenger.Decision, error) {
	*a.reserveCalls++
	return a.granterAgent.Reserve(ctx, r)
}

// Guards against sending requests to the former starts of engines: they cost an attempt each, and callers are
// refused once the retry budget is spent.
func TestSlotAtAFormerStartIsNotUsed(t *testing.T) {
	w := newRestartedEngines(t)
	w.putRecord(t, "old", engineRecord{Host: 1, StartedAt: 100})
	w.putRecord(t, "well", engineRecord{Host: 2, StartedAt: 100})
	w.setObserved(1, 200, 0)
	w.setObserved(2, 100, 0)
	for range 10 {
		place, err := w.place()
		must.NoError(t, err)
		must.Eq(t, "well", place.Upstream.ID)
		place.Release()
	}
	must.LessEq(t, 11, w.reserveCalls, must.Sprint("the former start is asked once at most"))
}

// Guards against never using an engine again whose agent hadn't observed its restart at first.
func TestUnobservedStartIsAskedAgain(t *testing.T) {
	w := newRestartedEngines(t)
	w.putRecord(t, "new", engineRecord{Host: 1, StartedAt: 200})
	w.setObserved(1, 100, 50*time.Millisecond)
	_, err := w.place()
	must.Error(t, err)
	w.clock.Step(200 * time.Millisecond)
	w.setObserved(1, 200, 0)
	place, err := w.place()
	must.NoError(t, err)
	must.Eq(t, "new", place.Upstream.ID)
}

// Guards against a record with a start in the future, as after a clock jump: its agent has checked the engine
// since, and the engine's own record must be used.
func TestRecordOfAFutureStartIsNotUsed(t *testing.T) {
	w := newRestartedEngines(t)
	w.putRecord(t, "lives", engineRecord{Host: 1, StartedAt: 100})
	w.putRecord(t, "wrong", engineRecord{Host: 1, StartedAt: 1 << 50})
	w.clock.Step(time.Second)
	w.setObserved(1, 100, 10*time.Millisecond)
	_, err := w.place()
	must.Error(t, err)
	place, err := w.place()
	must.NoError(t, err)
	must.Eq(t, "lives", place.Upstream.ID)
}

// Guards against sending more requests to a plain service's upstream after another one answered at its address.
func TestMisdirectedUpstreamIsAskedOnce(t *testing.T) {
	other := newUpstream(t, "a", func(_ int, id string, conn net.Conn) bool {
		writeString(conn, fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nId: %s\r\nNot-Run: 1\r\nUpstream: z\r\nContent-Length: 0\r\n\r\n", id))
		return true
	})
	w := newTestEntry(t, other, newUpstream(t, "b", serves))
	for i := range 40 {
		must.Eq(t, http.StatusOK, w.request(t, "/once/1", fmt.Sprint("r", i)).status)
	}
	must.Eq(t, 1, len(other.received()))
}

// Guards against taking an upstream out of use that refuses a request only for its weights' version.
func TestUpstreamThatRefusesAVersionStaysInUse(t *testing.T) {
	refuses := newUpstream(t, "a", func(n int, id string, conn net.Conn) bool {
		if n > 0 {
			return serves(n, id, conn)
		}
		writeString(conn, fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nId: %s\r\nNot-Run: 1\r\nUpstream: a\r\nContent-Length: 0\r\n\r\n", id))
		return true
	})
	w := newTestEntry(t, refuses)
	w.request(t, "/once/1", "r1")
	must.SliceLen(t, 1, w.registrar.View().Service("desk"))
}
