package relayer_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/matcher"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/relayer"
	"github.com/oriolecroft/oriolecroft/internal/retrier"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// scriptedAgent answers all reservations with a function and records them.
type scriptedAgent struct {
	decision func(messenger.Reservation) messenger.Decision
	asked    *[]messenger.Reservation
}

func (a scriptedAgent) Reserve(_ context.Context, r messenger.Reservation) (messenger.Decision, error) {
	*a.asked = append(*a.asked, r)
	return a.decision(r), nil
}

func (scriptedAgent) SendProgress(messenger.Progress) {}

// newPrioritized makes an entry with a live and a batch route, and engines whose agents answer as
// scripted.
func newPrioritized(engines int, decision func(messenger.Reservation) messenger.Decision) (d *decider, live, batch relayer.Job, asked *[]messenger.Reservation) {
	d = newDecider(1, engines, 0)
	asked = &[]messenger.Reservation{}
	d.Placer.Reach = func(netip.AddrPort) relayer.Agent { return scriptedAgent{decision, asked} }
	mostUrgent, leastUrgent := 0, 2
	table := d.Registrar.View().Table
	liveRoute, batchRoute := *table.Routes[0], *table.Routes[0]
	liveRoute.Name, liveRoute.Priority, batchRoute.Name, batchRoute.Priority = "live", &mostUrgent, "batch", &leastUrgent
	table.Routes = append(table.Routes[:0], &liveRoute, &batchRoute)
	table.Index()
	live, batch = d.job, d.job
	live.Route, batch.Route = &liveRoute, &batchRoute
	return d, live, batch, asked
}

func (d *decider) place(j *relayer.Job) error {
	j.Arrived = d.clock.Now()
	d.Admit(j)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan error)
	go func() {
		_, err := d.Placer.Place(ctx, j)
		done <- err
	}()
	for {
		select {
		case err := <-done:
			return err
		case <-time.After(time.Millisecond):
			d.clock.Step(20 * time.Millisecond)
		}
	}
}

func keepsForUrgent(r messenger.Reservation) messenger.Decision {
	return messenger.Decision{Granted: *r.Priority == 0, KeptFor: scheduler.KeptForUrgent, Version: 1, FreeInMS: 100, Active: 11, Slots: 12}
}

// Guards against refusals that state that all engines are full while slots are kept for others, and
// against urgent requests that pass over an engine which keeps a slot for them.
func TestRequestRefusedForUrgentOnesGetsTheReason(t *testing.T) {
	d, live, batch, asked := newPrioritized(3, keepsForUrgent)
	var refused *relayer.RefusedError
	must.True(t, errors.As(d.place(&batch), &refused))
	must.Eq(t, scheduler.KeptForUrgent, refused.Reason)
	must.True(t, refused.KeptForOthers())
	must.Positive(t, refused.Met.Kept)
	refusals := 0
	for i, r := range *asked {
		must.Eq(t, i, r.Asked)
		must.GreaterEq(t, refusals, r.Refusals)
		must.GreaterEq(t, r.WaitLimitMS, r.BudgetMS)
		refusals = r.Refusals
	}
	must.Positive(t, refusals)
	must.NoError(t, d.place(&live))
}

// Guards against requests that state a priority where all have the same, so that agents decide by
// priority.
func TestPriorityIsStatedOnlyWhereThereIsMoreThanOne(t *testing.T) {
	granted := func(messenger.Reservation) messenger.Decision {
		return messenger.Decision{Granted: true, Version: 1, Slots: 12}
	}
	d, live, batch, asked := newPrioritized(1, granted)
	batch.Workspace = &matcher.Workspace{Name: "w"}
	must.NoError(t, d.place(&live))
	must.NoError(t, d.place(&batch))
	must.Eq(t, 0, *(*asked)[0].Priority)
	must.Eq(t, 1, *(*asked)[1].Priority, must.Sprint("priorities are ranks in the order"))
	must.Eq(t, "w", (*asked)[1].Workspace)

	table := d.Registrar.View().Table
	table.Routes[1].Priority = table.Routes[0].Priority
	table.Index()
	j := d.job
	j.Route, j.Workspace = table.Routes[1], batch.Workspace
	must.NoError(t, d.place(&j))
	text, err := json.Marshal((*asked)[2])
	must.NoError(t, err)
	must.Eq(t, `{"request":"id","model":"m","prompt":800,"answer":80,"maxAnswer":80,"patienceMs":40,"leftMs":5985}`, string(text))
}

// Guards against engines and plain upstreams that admit requests in order of arrival because the
// priority isn't passed on.
func TestUpstreamGetsThePriority(t *testing.T) {
	w := newTestEntry(t, newUpstream(t, "one", serves))
	must.Eq(t, http.StatusOK, w.request(t, "/safe/x", "r1").status)
	must.Eq(t, "", w.upstreams[0].header(0).Get("Priority"))
	table, mostUrgent := w.registrar.View().Table, 0
	table.Match("127.0.0.1", "/safe/x").Priority = &mostUrgent
	table.Index()
	must.Eq(t, http.StatusOK, w.request(t, "/safe/x", "r2").status)
	must.Eq(t, "0", w.upstreams[0].header(1).Get("Priority"))
}

// Guards against callers refused together that come back together, against the least urgent ones
// coming back first, and against a Retry-After beyond the time that callers wait.
func TestRetryAfterDependsOnPriority(t *testing.T) {
	d, live, batch, _ := newPrioritized(1, keepsForUrgent)
	estimate := 200 * time.Millisecond
	for _, timeLimit := range []time.Duration{6 * time.Second, 900 * time.Millisecond} {
		sum, distinct := map[string]time.Duration{}, map[time.Duration]bool{}
		for range 100 {
			for _, j := range []relayer.Job{live, batch} {
				j.Patience, j.Arrived = timeLimit, d.clock.Now()
				d.Admit(&j)
				wait := d.RetryAfter(&j, &relayer.RefusedError{RetryAfter: estimate})
				must.Between(t, 0, wait, timeLimit/3)
				if timeLimit > time.Second && j.Route.Name == "live" {
					must.Between(t, estimate, wait, estimate+500*time.Millisecond)
				}
				sum[j.Route.Name] += wait
				distinct[wait] = true
			}
		}
		must.LessEq(t, sum["batch"], sum["live"])
		must.Greater(t, 50, len(distinct))
	}
}

// Guards against less urgent requests that fill the upstreams of a plain service, which has no
// agent, while these refuse, and against holding back the most urgent ones as well.
func TestPlainServiceInAShortageTakesUrgentRequests(t *testing.T) {
	d, live, batch, _ := newPrioritized(3, keepsForUrgent)
	table := d.Registrar.View().Table
	table.Services["engines"].Engine = nil
	for _, r := range table.Routes {
		r.Kind, r.Generates = matcher.Idempotent, false
	}
	d.Metrics = metrics.NewRegistry()
	d.Budgets = &retrier.Budgets{New: func() *retrier.Budget { return &retrier.Budget{Clock: d.clock, Share: 1, Burst: 100} }}
	var refusal error = &relayer.SendError{Outcome: retrier.NotRun, Status: http.StatusServiceUnavailable, Err: &relayer.UnusableError{Problem: "full"}}
	for _, e := range []struct {
		job    relayer.Job
		answer error
		sent   bool
		// after is how much later than the previous request this one arrives.
		after time.Duration
	}{
		{batch, refusal, true, 0},
		{batch, refusal, true, 0}, // No more urgent requests arrive.
		{live, nil, true, 0},
		{batch, nil, false, 0},
		{batch, nil, true, time.Second}, // The shortage is over.
	} {
		d.clock.Step(e.after)
		sent, j := false, e.job
		j.Arrived = d.clock.Now()
		d.Admit(&j)
		err := d.Serve(context.Background(), &j, func(context.Context, *relayer.Placement) error {
			sent = true
			return e.answer
		})
		must.Eq(t, e.sent, sent)
		var refused *relayer.RefusedError
		must.True(t, sent || errors.As(err, &refused) && refused.KeptForOthers())
	}
}
