package relayer_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"time"

	clocktest "k8s.io/utils/clock/testing"
	"pgregory.net/rapid"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/relayer"
)

// randomAgent answers at random and records which slots it granted.
type randomAgent struct {
	t       *rapid.T
	clock   *clocktest.FakeClock
	leave   context.CancelFunc
	granted map[string]bool
}

func (a *randomAgent) Reserve(ctx context.Context, r messenger.Reservation) (messenger.Decision, error) {
	a.clock.Step(time.Duration(rapid.IntRange(0, 60).Draw(a.t, "took")) * time.Millisecond)
	if rapid.IntRange(0, 9).Draw(a.t, "leaves") == 0 {
		a.leave()
	}
	switch rapid.IntRange(0, 5).Draw(a.t, "answer") {
	case 0:
		return messenger.Decision{}, errors.New("silent")
	case 1:
		return messenger.Decision{ClosedReason: "no weights"}, nil
	case 2:
		return messenger.Decision{WaitMS: 50, Active: 1, Slots: 12}, nil
	case 3:
		return messenger.Decision{Active: 12, Slots: 12, FreeInMS: 30}, nil
	default:
		a.granted[r.Request] = true
		v := messenger.Decision{Granted: true, Active: 1, Slots: 12, Version: rapid.Uint64Range(1, 2).Draw(a.t, "version")}
		return v, ctx.Err()
	}
}

func (a *randomAgent) SendProgress(p messenger.Progress) {
	for _, id := range p.Ended {
		delete(a.granted, id)
	}
}

// Agents grant, refuse, close, don't answer or hold other weights, and callers leave in between.
// Guards against requests that are counted at an engine and never removed and slots that stay
// reserved without a request, which make the engine look full, and requests removed twice, which
// let more through than the engine has connections for.
func TestRequestsAreCountedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := clocktest.NewFakeClock(time.Unix(1000, 0))
		p, table := newPlacer(c, 0, 1)
		table.Services["engines"].Connections = rapid.IntRange(0, 40).Draw(t, "connections")
		agent := &randomAgent{t: t, clock: c, granted: map[string]bool{}}
		p.Reach = func(netip.AddrPort) relayer.Agent { return agent }
		var places []*relayer.Placement
		for i := range rapid.IntRange(1, 30).Draw(t, "jobs") {
			ctx, leave := context.WithCancel(context.Background())
			agent.leave = leave
			// Late jobs, and those without an objective, try to get a slot once. The latter accept
			// a wait in a second round of reservations.
			route := *table.Routes[0]
			if rapid.Bool().Draw(t, "patient") {
				route.Objective = 0
			}
			j := &relayer.Job{Route: &route, Service: "engines", Arrived: c.Now().Add(-immediateRefusalAge), Deadline: c.Now().Add(5 * time.Second)}
			j.ID, j.Model, j.Prompt = fmt.Sprint(i), "m", 800
			j.Version = rapid.Uint64Range(0, 1).Draw(t, "bound")
			if rapid.Bool().Draw(t, "alive") {
				p.Chooser.RecordProgress("engine")
			}
			if place, err := p.Place(ctx, j); err == nil {
				places = append(places, place)
			}
			leave()
			c.Step(time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond)
			if got := p.Chooser.Running("engine"); got != len(places) {
				t.Fatalf("%d requests counted, %d placed", got, len(places))
			}
			if len(agent.granted) > len(places) {
				t.Fatalf("the agent holds %d slots for %d requests", len(agent.granted), len(places))
			}
			if len(places) > 0 && rapid.Bool().Draw(t, "ends") {
				places[0].Release()
				places = places[1:]
			}
		}
		for _, place := range places {
			place.Release()
		}
		if p.Chooser.Running("engine") != 0 || len(agent.granted) != 0 {
			t.Fatalf("%d requests and %d slots left over", p.Chooser.Running("engine"), len(agent.granted))
		}
	})
}

var _ relayer.Agent = (*randomAgent)(nil)
