package relayer_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/granter"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/relayer"
	"github.com/oriolecroft/oriolecroft/internal/retrier"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// rampingPair is an entry with a full engine and one just started, which has as many requests as
// its slow start allows.
func rampingPair(t *testing.T) (d *decider, started *scheduler.Ledger) {
	t.Helper()
	d = newDecider(1, 2, 0)
	agents := map[netip.AddrPort]relayer.Agent{}
	for _, u := range d.Registrar.View().Upstreams {
		l := &scheduler.Ledger{Clock: d.clock}
		if u.ID == "engine1" {
			started = l
			l.Close("no weights")
			l.StartRamp(scheduler.EngineStarted)
		}
		l.Open(d.Registrar.View().Table.Services["engines"].Engine)
		agents[netip.AddrPortFrom(u.Address.Addr(), 1)] = granterAgent{&granter.Granter{Ledger: l, Holds: func(string) uint64 { return 1 }, Clock: d.clock}}
		for i := range 12 {
			l.Reserve(scheduler.Job{ID: fmt.Sprint(i), Prompt: 1, Answer: 80, Patience: time.Hour, Left: time.Hour}, nil)
		}
	}
	d.Placer.Reach = func(a netip.AddrPort) relayer.Agent { return agents[a] }
	return d, started
}

func (d *decider) placeOwn(t *testing.T) (*relayer.Placement, error) {
	t.Helper()
	j := d.job
	j.Arrived = d.clock.Now()
	d.Admit(&j)
	j.Deadline = d.clock.Now().Add(6 * time.Second)
	d.pump(t)
	return d.Placer.Place(t.Context(), &j)
}

// pump advances the clock for its waiters until the test ends.
func (d *decider) pump(t *testing.T) {
	go func() {
		for t.Context().Err() == nil {
			if d.clock.HasWaiters() {
				d.clock.Step(time.Second)
			}
			time.Sleep(time.Millisecond)
		}
	}()
}

// Guards against a request refused only for a slow start although the engine answers well, and one
// admitted beyond the slow start before the engine has answered anything.
func TestSlowStartRefusesNothingWhileItsEngineAnswersWell(t *testing.T) {
	d, started := rampingPair(t)
	must.True(t, started.Ramping())
	place, err := d.placeOwn(t)
	must.NoError(t, err)
	must.Eq(t, "engine1", place.Upstream.ID)

	d, started = rampingPair(t)
	for i := range 3 {
		started.RecordFailure(fmt.Sprint(i), false)
	}
	_, err = d.placeOwn(t)
	must.Error(t, err)
}

// Guards against agents that don't receive failures of requests, and against those that receive a
// failure not caused by their engine.
func TestAgentReceivesAttemptOutcomes(t *testing.T) {
	for name, e := range map[string]struct {
		err  error
		ends bool
	}{
		"failed":        {&relayer.SendError{Outcome: retrier.Ran, Status: 500}, true},
		"refused":       {&relayer.SendError{Outcome: retrier.NotRun, Status: 503}, true},
		"another start": {&relayer.SendError{Outcome: retrier.NotRun, Status: 421}, false},
		"silent":        {&relayer.SendError{Outcome: retrier.Unknown, Err: context.DeadlineExceeded}, false},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDecider(1, 1, 0)
			recorder := &progressRecorder{Agent: d.Placer.Reach(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 0}), 1))}
			d.Placer.Reach = func(netip.AddrPort) relayer.Agent { return recorder }
			d.Budgets = &retrier.Budgets{New: func() *retrier.Budget { return &retrier.Budget{Clock: d.clock} }}
			j := d.job
			j.Arrived = d.clock.Now()
			d.Admit(&j)
			d.pump(t)
			must.Error(t, d.Serve(t.Context(), &j, func(context.Context, *relayer.Placement) error { return e.err }))
			must.Eq(t, e.ends, len(recorder.last.Failed)+len(recorder.last.Refused) == 1)
			must.SliceLen(t, 1, recorder.last.Ended)
		})
	}
}

// progressRecorder keeps the last progress sent.
type progressRecorder struct {
	relayer.Agent
	last messenger.Progress
}

func (r *progressRecorder) SendProgress(p messenger.Progress) {
	r.last = p
	r.Agent.SendProgress(p)
}
