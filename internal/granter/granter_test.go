package granter_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"k8s.io/klog/v2"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/granter"
	"github.com/oriolecroft/oriolecroft/internal/logger"
	"github.com/oriolecroft/oriolecroft/internal/matcher"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// Guards against a line for each refusal: when all entries ask a closed engine's agent at once, a thousand
// times, they would fill the log's queue and displace the lines of served requests.
func TestRefusalLogIsRateLimited(t *testing.T) {
	var out bytes.Buffer
	logger.Install(&out)
	defer klog.ClearLogger()
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	l := &scheduler.Ledger{Clock: c}
	l.Close("no weights")
	g := &granter.Granter{Ledger: l, Holds: func(string) uint64 { return 0 }, Clock: c}
	ask := func(id string) bool {
		return g.Reserve(messenger.Reservation{Request: id, Prompt: 1, WaitLimitMS: 100, TimeLeftMS: 1000}, nil).Granted
	}
	for i := range 1000 {
		must.False(t, ask(fmt.Sprint(i)))
	}
	must.Eq(t, 100, bytes.Count(out.Bytes(), []byte("\n")))
	out.Reset()

	// A grant is always logged, with the number of lines left out before it.
	l.Open(&matcher.Engine{Slots: 4, ReadPerSecond: 1000, Step: time.Millisecond, Chunk: 512, Stride: 4})
	must.True(t, ask("granted"))
	var line struct {
		Request  string
		Unlogged int
	}
	must.NoError(t, json.Unmarshal(out.Bytes(), &line))
	must.Eq(t, "granted", line.Request)
	must.Eq(t, 900, line.Unlogged)
}

// Guards against lines on a reservation that can't be found by the request's ID.
func TestReservationLogNamesRequest(t *testing.T) {
	var out bytes.Buffer
	logger.Install(&out)
	defer klog.ClearLogger()
	l := &scheduler.Ledger{Clock: clocktest.NewFakeClock(time.Unix(1000, 0))}
	l.Open(&matcher.Engine{Slots: 4, ReadPerSecond: 1000, Step: time.Millisecond, Chunk: 512, Stride: 4})
	g := &granter.Granter{Ledger: l, Holds: func(string) uint64 { return 0 }, Clock: l.Clock}
	for _, id := range []string{"r1", "r#1"} {
		for _, name := range []string{messenger.ReservationName(id, 0), messenger.ReservationName(id, 1<<31)} {
			out.Reset()
			must.True(t, g.Reserve(messenger.Reservation{Request: name, Prompt: 1, WaitLimitMS: 100, TimeLeftMS: 1000}, nil).Granted)
			var line struct{ Request string }
			must.NoError(t, json.Unmarshal(out.Bytes(), &line))
			must.Eq(t, id, line.Request)
		}
	}
}

// engineStart is the last observed state of the engine beside an agent.
type engineStart struct {
	startedAt time.Time
	age       time.Duration
	polls     int
}

func (e *engineStart) granter(c *clocktest.FakeClock) *granter.Granter {
	l := &scheduler.Ledger{Clock: c}
	l.Open(&matcher.Engine{Slots: 4, ReadPerSecond: 1000, Step: time.Millisecond, Chunk: 512, Stride: 4})
	return &granter.Granter{Ledger: l, Holds: func(string) uint64 { return 1 }, Clock: c,
		EngineStart: func() (time.Time, time.Duration) { return e.startedAt, e.age }, Poll: func() { e.polls++ }}
}

// Guards against granting slots for an engine other than the one beside the agent: each request is rejected
// there, which frees its slot for the next.
func TestSlotIsGrantedOnlyForMatchingEngineStart(t *testing.T) {
	startedAt := time.UnixMilli(5000)
	for name, e := range map[string]struct {
		meant   time.Time
		known   time.Time
		granted bool
		polls   int
	}{
		"same start":                       {startedAt, startedAt, true, 0},
		"start not stated":                 {time.Time{}, startedAt, true, 0},
		"start not known here":             {startedAt, time.Time{}, true, 0},
		"former start":                     {startedAt.Add(-time.Second), startedAt, false, 0},
		"later start, not observed so far": {startedAt.Add(time.Second), startedAt, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			engine := &engineStart{startedAt: e.known, age: 70 * time.Millisecond}
			g := engine.granter(clocktest.NewFakeClock(time.Unix(1000, 0)))
			v := g.Reserve(messenger.Reservation{Request: "r", StartedAt: e.meant, Prompt: 1, WaitLimitMS: 100, TimeLeftMS: 1000}, nil)
			must.Eq(t, e.granted, v.Granted)
			must.Eq(t, e.polls, engine.polls)
			if !e.granted {
				must.Eq(t, granter.AnotherEngine, v.ClosedReason)
				must.Eq(t, e.known, v.StartedAt)
				must.Eq(t, engine.age, v.Observed())
			}
		})
	}
}
