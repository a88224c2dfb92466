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
	// confirmedAt is when the address was last confirmed.
	confirmedAt time.Time
}

// Serve exchanges with one entry until the context ends.
func (p *peer) Serve(ctx context.Context) error {
	p.members.exchangePeriodically(ctx, p.client)
	return ctx.Err()
}

func (p *peer) String() string { return "link to " + p.client.Address.String() }

// exchangePeriodically exchanges with one entry in each round, and at once when woken.
func (m *members) exchangePeriodically(ctx context.Context, c *messenger.Client) {
	defer c.Close()
	for ctx.Err() == nil {
		m.exchangeOnce(ctx, c)
		m.waitForRound(ctx)
	}
}

// waitForRound waits for about one round, or until woken. Of the woken links only
// about as many exchange as in one heartbeat, and each of them wakes others in turn;
// but all of them do when this entry drains, since callers must not be sent here.
func (m *members) waitForRound(ctx context.Context) {
	round := m.roundDuration()
	t := m.entry.Clock.NewTimer(round*3/4 + rand.N(round/2))
	defer t.Stop()
	for {
		woken := m.wakeup.Wait()
		select {
		case <-ctx.Done():
			return
		case <-t.C():
			return
		case <-woken:
			if m.isDraining() || rand.N(round) < m.entry.Heartbeat {
				return
			}
		}
	}
}

func (m *members) exchangeOnce(ctx context.Context, c *messenger.Client) {
	sentAt := m.entry.Clock.Now()
	x, err := c.Exchange(ctx, m.exchangeFor(0))
	if err != nil {
		klog.V(2).InfoS("Exchange failed", "entry", m.entry.ID, "peer", c.Address, "err", err)
		return
	}
	if x.State.ID == m.entry.ID {
		return
	}
	m.entry.applyExchange(x)
	m.entry.State.ReceiveAnswer(x.State, sentAt)
}
