package relayer_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/matcher"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/relayer"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// loadingEngine is an agent whose engine loads weights.
type loadingEngine struct {
	ledgerAgent
	asked int
}

// opensIn opens the engine for requests after a time, which the agent states if stated is set.
func (e *loadingEngine) opensIn(d time.Duration, stated bool) {
	opens := time.Time{}
	if stated {
		opens = time.Now().Add(d)
	}
	e.ledger.CloseUntil("no weights", opens)
	time.AfterFunc(d, func() { e.ledger.Open(engineTable().Services["engines"].Engine) })
}

func (e *loadingEngine) Reserve(ctx context.Context, r messenger.Reservation) (messenger.Decision, error) {
	e.asked++
	return e.ledgerAgent.Reserve(ctx, r)
}

// withOneEngine runs a test in virtual time with an entry that has one engine.
func withOneEngine(t *testing.T, test func(t *testing.T, p *relayer.Placer, e *loadingEngine)) {
	synctest.Test(t, func(t *testing.T) {
		c := clock.RealClock{}
		e := &loadingEngine{ledgerAgent: ledgerAgent{&scheduler.Ledger{Clock: c}}}
		reg := &registrar.Registrar{Clock: c, Decode: func(key string, _ []byte) (registrar.Fact, error) {
			if key == "table" {
				return registrar.Table{Table: engineTable()}, nil
			}
			return registrar.Upstream{ID: key, Service: "engines", Address: hostAddr(1), FailureDomain: "a", Slots: 12}, nil
		}}
		reg.Apply(registrar.Batch{Whole: true, At: 2, Records: []registrar.Record{{Key: "table", Revision: 1}, {Key: "engine", Revision: 2}}})
		test(t, &relayer.Placer{Registrar: reg, Clock: c, FailureDomain: "a", Region: "r", Regions: map[string]string{"a": "r"},
			Chooser: &scheduler.Chooser{Clock: c, Random: rand.New(rand.NewPCG(1, 2))}, AgentPort: 1,
			Reach: func(netip.AddrPort) relayer.Agent { return e }}, e)
	})
}

func newJob(route *matcher.Route, returned bool) *relayer.Job {
	j := &relayer.Job{Route: route, Service: "engines", Arrived: time.Now(), Deadline: time.Now().Add(5 * time.Second), Returned: returned}
	j.ID, j.Model, j.Prompt = "r", "m", 100
	return j
}

// Guards against refusing callers that an engine could serve in time as soon as it has loaded its
// weights.
func TestRequestWaitsForAnEngineThatOpensInTime(t *testing.T) {
	withOneEngine(t, func(t *testing.T, p *relayer.Placer, e *loadingEngine) {
		e.opensIn(200*time.Millisecond, true)
		start := time.Now()
		_, err := p.Place(t.Context(), newJob(engineTable().Routes[0], false))
		must.NoError(t, err)
		must.Less(t, 260*time.Millisecond, time.Since(start))
		must.LessEq(t, 5, e.asked)
	})
}

// Guards against holding callers for an engine that opens too late for them, or at an unknown time.
func TestRequestDoesNotWaitForAnEngineThatOpensLate(t *testing.T) {
	for name, stated := range map[string]bool{"too late": true, "not known when": false} {
		t.Run(name, func(t *testing.T) {
			withOneEngine(t, func(t *testing.T, p *relayer.Placer, e *loadingEngine) {
				e.opensIn(400*time.Millisecond, stated)
				start := time.Now()
				_, err := p.Place(t.Context(), newJob(engineTable().Routes[0], false))
				var refused *relayer.RefusedError
				must.True(t, errors.As(err, &refused))
				must.LessEq(t, 60*time.Millisecond, time.Since(start))
				time.Sleep(time.Second)
			})
		})
	}
}

// Guards against refusing callers again that came back while all engines load.
func TestReturnedRequestWaitsForASlot(t *testing.T) {
	withOneEngine(t, func(t *testing.T, p *relayer.Placer, e *loadingEngine) {
		e.opensIn(700*time.Millisecond, false)
		_, err := p.Place(t.Context(), newJob(engineTable().Routes[0], true))
		must.NoError(t, err)
	})
}

// Guards against holding a late request for so long that its caller has no time left for the reply.
func TestReturnedRequestIsRefusedWithTimeLeft(t *testing.T) {
	withOneEngine(t, func(t *testing.T, p *relayer.Placer, e *loadingEngine) {
		e.opensIn(time.Minute, false)
		j := newJob(engineTable().Routes[0], true)
		_, err := p.Place(t.Context(), j)
		var refused *relayer.RefusedError
		must.True(t, errors.As(err, &refused))
		must.Greater(t, time.Second, time.Until(j.Deadline))
		time.Sleep(time.Minute)
	})
}

// Guards against counting callers with too little time left to wait as waits that got no slot:
// callers that come back with enough time would be refused although slots are freed.
func TestCallersThatCannotWaitDoNotCountAsWaits(t *testing.T) {
	withOneEngine(t, func(t *testing.T, p *relayer.Placer, e *loadingEngine) {
		e.opensIn(700*time.Millisecond, false)
		for range 20 {
			j := newJob(engineTable().Routes[0], true)
			j.Deadline = time.Now().Add(500 * time.Millisecond)
			_, err := p.Place(t.Context(), j)
			must.Error(t, err)
		}
		_, err := p.Place(t.Context(), newJob(engineTable().Routes[0], true))
		must.NoError(t, err)
	})
}
