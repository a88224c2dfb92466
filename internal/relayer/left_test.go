package relayer_test

import (
	"context"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/relayer"
)

// leavingAgent grants each slot just as the caller leaves.
type leavingAgent struct {
	leave context.CancelFunc
	ended []string
}

func (a *leavingAgent) Reserve(ctx context.Context, _ messenger.Reservation) (messenger.Decision, error) {
	a.leave()
	return messenger.Decision{}, ctx.Err()
}

func (a *leavingAgent) SendProgress(p messenger.Progress) { a.ended = append(a.ended, p.Ended...) }

// Guards against a leaked slot when a caller leaves while its entry asks an agent for one and the agent grants
// it. Unless the agent is informed, the slot stays taken for the caller's whole time limit, and others are
// refused meanwhile.
func TestSlotOfACallerThatLeftIsReleased(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	p, table := newPlacer(c, 0, 1)
	ctx, leave := context.WithCancel(t.Context())
	agent := &leavingAgent{leave: leave}
	p.Reach = func(netip.AddrPort) relayer.Agent { return agent }
	j := &relayer.Job{Route: table.Routes[0], Service: "engines", Arrived: c.Now(), Deadline: c.Now().Add(5 * time.Second)}
	j.ID, j.Model, j.Prompt = "id", "m", 800
	_, err := p.Place(ctx, j)
	must.ErrorIs(t, err, context.Canceled)
	must.True(t, slices.Contains(agent.ended, "id"))
	must.Eq(t, 0, p.Chooser.Running("engine"))
}
