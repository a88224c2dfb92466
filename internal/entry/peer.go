package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/thejerf/suture/v4"
	"k8s.io/klog/v2"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
)

// peer is the link to another entry.
type peer struct {
	members *members
	client  *messenger.Client
	token   suture.ServiceToken
	// mentioned is when the address was last vouched for by anything but a seed.
	mentioned time.Time
}

// Serve exchanges with one entry until the context ends.
func (p *peer) Serve(ctx context.Context) error {
	p.members.run(ctx, p.client)
	return ctx.Err()
}

func (p *peer) String() string { return "link to " + p.client.Address.String() }

// run exchanges with one entry at each heartbeat, and at once when woken.
func (m *members) run(ctx context.Context, c *messenger.Client) {
	defer c.Close()
	for ctx.Err() == nil {
		m.swap(ctx, c)
		m.rest(ctx)
	}
}

// rest waits for about one round, or until woken. Of those woken only about as
// many ask as in one heartbeat, and each of them wakes others in turn; but all of
// them do when this entry leaves, since callers must not be sent here any more.
func (m *members) rest(ctx context.Context) {
	round := m.round()
	t := m.entry.Clock.NewTimer(round*3/4 + rand.N(round/2))
	defer t.Stop()
	for {
		woken := m.due.Wait()
		select {
		case <-ctx.Done():
			return
		case <-t.C():
			return
		case <-woken:
			if m.isLeaving() || rand.N(round) < m.entry.Heartbeat {
				return
			}
		}
	}
}

func (m *members) swap(ctx context.Context, c *messenger.Client) {
	asked := m.entry.Clock.Now()
	x, err := c.Exchange(ctx, m.mine(0))
	if err != nil {
		klog.V(2).InfoS("Exchange failed", "entry", m.entry.ID, "peer", c.Address, "err", err)
		return
	}
	if x.State.ID == m.entry.ID {
		return
	}
	m.entry.learn(x)
	m.entry.State.ReceiveAnswer(x.State, asked)
}
