package relayer_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/relayer"
)

// startingAgent grants what it can once it has a route table.
type startingAgent struct {
	clock   *clocktest.FakeClock
	readyAt time.Time
	active  int
	// grants are the times of its grants, and refusals counts its other answers.
	grants   []time.Time
	refusals int
}

func (a *startingAgent) Reserve(context.Context, messenger.Reservation) (messenger.Decision, error) {
	if a.clock.Now().Before(a.readyAt) {
		a.refusals++
		return messenger.Decision{ClosedReason: "no route table"}, nil
	}
	a.grants = append(a.grants, a.clock.Now())
	return messenger.Decision{Granted: true, Version: 1, Active: a.active, Slots: 12}, nil
}

func (a *startingAgent) SendProgress(messenger.Progress) {}

// Guards against a new engine that gets no request for as long as the others have free slots, because its agent had no
// route table yet when it was first asked.
func TestEngineAskedBeforeItsAgentIsReadyIsAskedAgain(t *testing.T) {
	const (
		startTime = 500 * time.Millisecond
		interval  = 20 * time.Millisecond
	)
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	p, table := newPlacer(c, 0, 1)
	newAddress := netip.MustParseAddrPort("127.0.0.2:1")
	decode := p.Registrar.Decode
	p.Registrar.Decode = func(key string, value []byte) (registrar.Fact, error) {
		f, err := decode(key, value)
		if u, ok := f.(registrar.Upstream); ok && key == "new" {
			u.Address = newAddress
			return u, nil
		}
		return f, err
	}
	p.Registrar.Apply(registrar.Batch{After: 10, At: 11, Records: []registrar.Record{{Key: "new", Revision: 11}}})
	started := &startingAgent{clock: c, readyAt: c.Now().Add(startTime)}
	running := &startingAgent{clock: c, active: 6}
	p.Reach = func(a netip.AddrPort) relayer.Agent {
		if a.Addr() == newAddress.Addr() {
			return started
		}
		return running
	}
	for n := range int(10 * time.Second / interval) {
		p.Registrar.Apply(registrar.Batch{After: 11, At: 11})
		j := &relayer.Job{Route: table.Routes[0], Service: "engines", Arrived: c.Now(), Deadline: c.Now().Add(5 * time.Second)}
		j.ID, j.Model, j.Prompt = fmt.Sprint(n), "m", 800
		place, err := p.Place(context.Background(), j)
		must.NoError(t, err)
		place.Release()
		c.Step(interval)
	}
	must.Positive(t, started.refusals)
	must.SliceNotEmpty(t, started.grants, must.Sprintf("%d requests at the other engine", len(running.grants)))
	must.LessEq(t, 1500*time.Millisecond, started.grants[0].Sub(started.readyAt))
}
