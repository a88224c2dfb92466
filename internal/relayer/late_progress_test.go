package relayer_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// heldLink is a link to an agent. Everything its first connection carries after the first request, the answer
// included, is held until released, as when lost packets are retransmitted later and later.
type heldLink struct {
	address netip.AddrPort
	release chan struct{}
}

func newHeldLink(t *testing.T, to net.Addr) *heldLink {
	h := &heldLink{release: make(chan struct{})}
	first := true
	h.address = netip.MustParseAddrPort(startProxy(t, "127.0.0.1", to, func(near, far net.Conn) {
		if !first {
			go h.forward(far, near, -1)
			go h.forward(near, far, -1)
			return
		}
		first = false
		go h.forward(far, near, 1)
		go h.forward(near, far, 0)
	}))
	return h
}

// forward copies messages and holds all after the given number; a negative number holds none.
func (h *heldLink) forward(to, from net.Conn, after int) {
	defer to.Close()
	b := make([]byte, 64<<10)
	for i := 0; ; i++ {
		n, err := from.Read(b)
		if after >= 0 && i >= after {
			<-h.release
		}
		if _, writeErr := to.Write(b[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

// Guards against freeing the slot of a running request: the entry returned a grant that came late, was granted a
// slot there again over another connection, and its message on the first grant arrives only then.
func TestLateProgressOfAnEarlierGrantFreesNoSlot(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	p, table, ledger, l := newLateAgent(t, c)
	first, ended := make(chan *messenger.Link, 1), make(chan *messenger.Link, 10)
	s := &messenger.Server{Listener: l, OnLost: func(link *messenger.Link) { ledger.ConnectionLost(link) },
		OnProgress: func(p messenger.Progress, link *messenger.Link) {
			for _, id := range p.Ended {
				ledger.Ended(id)
				ended <- link
			}
		},
		OnReserve: func(r messenger.Reservation, link *messenger.Link) messenger.Decision {
			v := ledger.Reserve(scheduler.Job{ID: r.Request, Prompt: r.Prompt, Patience: time.Second, Left: 60 * time.Second}, link)
			select {
			case first <- link:
			default:
			}
			return messenger.Decision{Granted: v.Granted, Version: 1, Slots: v.Slots, Active: v.Active}
		}}
	go func() { _ = s.Serve(t.Context()) }()
	link := newHeldLink(t, l.Addr())
	p.AgentPort = link.address.Port()
	must.False(t, placed(p, c, table))
	// By then the connection counts as unresponsive and is replaced.
	time.Sleep(500 * time.Millisecond)
	for !placed(p, c, table) {
		c.Step(time.Second)
	}
	close(link.release)
	for old := <-first; <-ended != old; {
	}
	v := ledger.Reserve(scheduler.Job{ID: "next", Prompt: 1, Patience: time.Second, Left: time.Second}, nil)
	must.Eq(t, 2, v.Active, must.Sprint("the running request and the next one"))
}
