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

// restartedEngines is an entry before engines that were restarted; the agents know their starts.
type restartedEngines struct {
	clock    *clocktest.FakeClock
	placer   *relayer.Placer
	granters map[netip.Addr]*granter.Granter
	asked    int
	revision uint64
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
		return registrar.Upstream{ID: key, Service: "engines", FailureDomain: "a", Slots: 12, Address: host(e.Host), StartedAt: time.UnixMilli(e.StartedAt)}, err
	}}
	reg.Apply(registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{{Key: "table", Revision: 1}}})
	w.placer.Registrar, w.placer.Without = reg, ablator.Set{ablator.LateWait}
	w.placer.Reach = func(a netip.AddrPort) relayer.Agent {
		return countedAgent{granterAgent{w.granters[a.Addr()]}, &w.asked}
	}
	return w
}

func host(n byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, n}), 1)
}

// put writes the record of an engine.
func (w *restartedEngines) put(t *testing.T, id string, e engineRecord) {
	value, err := json.Marshal(e)
	must.NoError(t, err)
	w.placer.Registrar.Apply(registrar.Batch{After: w.revision, At: w.revision + 1,
		Records: []registrar.Record{{Key: id, Value: value, Revision: w.revision + 1}}})
	w.revision++
}

// observed has the agent on a host have observed a start of its engine a while ago.
func (w *restartedEngines) observed(hostNumber byte, startedAt int64, age time.Duration) {
	l := openLedger(12)
	l.Clock = w.clock
	w.granters[host(hostNumber).Addr()] = &granter.Granter{Ledger: l, Holds: func(string) uint64 { return 1 }, Clock: w.clock,
		EngineStart: func() (time.Time, time.Duration) { return time.UnixMilli(startedAt), age }}
}

// place looks for a slot for a request that has been refused before, so that it is looked for once.
func (w *restartedEngines) place() (*relayer.Place, error) {
	j := &relayer.Job{Route: engineTable().Routes[0], Service: "engines", Arrived: w.clock.Now(), Deadline: w.clock.Now().Add(5 * time.Second), Returned: true}
	j.ID, j.Model, j.Prompt = "r", "m", 100
	return w.placer.Place(context.Background(), j)
}

// countedAgent counts the reservations that an agent is asked for.
type countedAgent struct {
	granterAgent
	asked *int
}

func (a countedAgent) Reserve(ctx context.Context, r messenger.Reservation) (messenger.Decision, error) {
	*a.asked++
	return a.granterAgent.Reserve(ctx, r)
}

// Guards against sending requests to the former starts of engines: they cost an attempt each, and their
// callers are refused once the retry budget is spent.
func TestSlotAtAFormerStartIsNotUsed(t *testing.T) {
	w := newRestartedEngines(t)
	w.put(t, "old", engineRecord{Host: 1, StartedAt: 100})
	w.put(t, "well", engineRecord{Host: 2, StartedAt: 100})
	w.observed(1, 200, 0)
	w.observed(2, 100, 0)
	for range 10 {
		place, err := w.place()
		must.NoError(t, err)
		must.Eq(t, "well", place.Upstream.ID)
		place.Ended()
	}
	must.LessEq(t, 11, w.asked, must.Sprint("the former start is asked once at most"))
}

// Guards against leaving an engine unused for good whose agent hasn't observed its restart so far.
func TestStartThatItsAgentHasNotObservedIsAskedAgain(t *testing.T) {
	w := newRestartedEngines(t)
	w.put(t, "new", engineRecord{Host: 1, StartedAt: 200})
	w.observed(1, 100, 50*time.Millisecond)
	_, err := w.place()
	must.Error(t, err)
	w.clock.Step(200 * time.Millisecond)
	w.observed(1, 200, 0)
	place, err := w.place()
	must.NoError(t, err)
	must.Eq(t, "new", place.Upstream.ID)
}

// Guards against a record with a start in the future, as after a clock jump: its agent has looked at the
// engine since, and the engine's own record must be used.
func TestRecordOfAStartThatNeverWasIsNotUsed(t *testing.T) {
	w := newRestartedEngines(t)
	w.put(t, "lives", engineRecord{Host: 1, StartedAt: 100})
	w.put(t, "wrong", engineRecord{Host: 1, StartedAt: 1 << 50})
	w.clock.Step(time.Second)
	w.observed(1, 100, 10*time.Millisecond)
	_, err := w.place()
	must.Error(t, err)
	place, err := w.place()
	must.NoError(t, err)
	must.Eq(t, "lives", place.Upstream.ID)
}

// Guards against asking a plain service's upstream again after another one answered at its address.
func TestUpstreamThatIsAnotherIsAskedOnce(t *testing.T) {
	other := newUpstream(t, "a", func(_ int, id string, conn net.Conn) bool {
		say(conn, fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nId: %s\r\nNot-Run: 1\r\nUpstream: z\r\nContent-Length: 0\r\n\r\n", id))
		return true
	})
	w := newWorld(t, other, newUpstream(t, "b", serves))
	for i := range 40 {
		must.Eq(t, http.StatusOK, w.ask(t, "/once/1", fmt.Sprint("r", i)).status)
	}
	must.Eq(t, 1, len(other.came()))
}

// Guards against taking an upstream out of use that refuses a request for its weights' version alone.
func TestUpstreamThatRefusesAVersionStaysInUse(t *testing.T) {
	refuses := newUpstream(t, "a", func(n int, id string, conn net.Conn) bool {
		if n > 0 {
			return serves(n, id, conn)
		}
		say(conn, fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nId: %s\r\nNot-Run: 1\r\nUpstream: a\r\nContent-Length: 0\r\n\r\n", id))
		return true
	})
	w := newWorld(t, refuses)
	w.ask(t, "/once/1", "r1")
	must.SliceLen(t, 1, w.registrar.View().Service("desk"))
}
