package granter_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"k8s.io/klog/v2"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/granter"
	"github.com/oriolecroft/oriolecroft/internal/logger"
	"github.com/oriolecroft/oriolecroft/internal/matcher"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// Guards against priorities that don't reach the ledger, and against logs and counters of an agent that don't
// show for whom slots were kept.
func TestLogAndMetricsShowKeptSlots(t *testing.T) {
	var out bytes.Buffer
	logger.Install(&out)
	defer klog.ClearLogger()
	l := &scheduler.Ledger{Clock: clocktest.NewFakeClock(time.Unix(1000, 0))}
	l.Open(&matcher.Engine{Slots: 1, ReadPerSecond: 1000, Step: time.Millisecond, Chunk: 512, Stride: 4, UsualAnswer: 100})
	g := &granter.Granter{Ledger: l, Holds: func(string) uint64 { return 1 }, Clock: l.Clock, Metrics: metrics.NewRegistry()}
	ask := func(id string, priority, asked, refusals int) messenger.Decision {
		return g.Reserve(messenger.Reservation{Request: id, Prompt: 1, Answer: 1, WaitLimitMS: 300, BudgetMS: 300, TimeLeftMS: 1000,
			Priority: &priority, Workspace: "w", Asked: asked, Refusals: refusals}, nil)
	}
	must.True(t, ask("held", 2, 0, 0).Granted)
	for i := range 10 {
		ask("live", 0, i, i)
	}
	g.Progress(messenger.Progress{Ended: []string{"held", "live"}}, nil)
	for range 20 {
		ask("live", 0, 0, 3)
	}
	g.Progress(messenger.Progress{Ended: []string{"live"}}, nil)
	out.Reset()
	must.Eq(t, scheduler.KeptForUrgent, ask("batch", 2, 1, 0).KeptFor)
	must.StrContains(t, out.String(), `"priority":2,"workspace":"w","asked":1,"refusals":0`)
	must.StrContains(t, out.String(), `"kept":"kept for more urgent requests"`)
	for _, name := range []string{"priority.2.granted", "priority.2.kept", "priority.0.queued"} {
		must.Positive(t, metrics.GetOrRegisterCounter(name, g.Metrics).Count(), must.Sprint(name))
	}
}

// Guards against a line for each request while entries have different route tables.
func TestDifferentRouteTablesAreLoggedOnce(t *testing.T) {
	var out bytes.Buffer
	logger.Install(&out)
	defer klog.ClearLogger()
	l := &scheduler.Ledger{Clock: clocktest.NewFakeClock(time.Unix(1000, 0))}
	g := &granter.Granter{Ledger: l, Holds: func(string) uint64 { return 1 }, Clock: l.Clock}
	for i := range uint64(40) {
		g.Reserve(messenger.Reservation{Request: "r", Priority: new(int), Table: 7 + i%2}, nil)
	}
	must.Eq(t, 1, bytes.Count(out.Bytes(), []byte("Priorities from different route tables")))
}
