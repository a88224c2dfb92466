package relayer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/relayer"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

const (
	// engineConnections is how many connections an engine bears from all entries, and
	// ownConnections an entry's part of them.
	engineConnections = 15
	ownConnections    = 2
	// tooLate is after what time a request is refused at once when it finds no place.
	tooLate = 400 * time.Millisecond
)

// newTwoEnginePlacer makes an entry's placer before an engine of its own failure domain and
// one of another region, both with agents that grant every place.
func newTwoEnginePlacer(t *testing.T) (*relayer.Placer, *clocktest.FakeClock) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	table := engineTable()
	table.Services["engines"].Connections = engineConnections
	engines := map[string]registrar.Upstream{
		"near": {Address: netip.MustParseAddrPort("127.0.0.1:1"), FailureDomain: "a"},
		"far":  {Address: netip.MustParseAddrPort("127.0.0.2:1"), FailureDomain: "b"},
	}
	reg := &registrar.Registrar{Clock: c, Decode: func(key string, _ []byte) (registrar.Fact, error) {
		u, ok := engines[key]
		if !ok {
			return registrar.Table{Table: table}, nil
		}
		u.ID, u.Service, u.Slots, u.Models = key, "engines", 12, []registrar.HeldModel{{Name: "m", Version: 1}}
		return u, nil
	}}
	reg.Apply(registrar.Batch{Whole: true, At: 10, Records: []registrar.Record{
		{Key: "table", Revision: 1}, {Key: "near", Revision: 2}, {Key: "far", Revision: 3},
	}})
	p := &relayer.Placer{
		Registrar: reg, Clock: c, FailureDomain: "a", Region: "r", Regions: map[string]string{"a": "r", "b": "s"},
		Chooser:      &scheduler.Chooser{Clock: c, Random: rand.New(rand.NewPCG(1, 1))},
		WeightsBound: 8 * time.Second,
		Agents:       &messenger.Clients{Timeout: 5 * time.Second, Dial: func(a netip.AddrPort) *messenger.Client { return &messenger.Client{Address: a} }},
	}
	port := uint16(0)
	for _, ip := range []string{"127.0.0.1", "127.0.0.2"} {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		must.NoError(t, err)
		port = netip.MustParseAddrPort(l.Addr().String()).Port()
		serveWilling(t, l)
	}
	p.AgentPort = port
	return p, c
}

// serveWilling is an agent whose engine has ever the same few places taken.
func serveWilling(t *testing.T, l net.Listener) {
	s := &messenger.Server{Listener: l, OnLost: func(*messenger.Link) {}, OnProgress: func(messenger.Progress, *messenger.Link) {},
		OnReserve: func(messenger.Reservation, *messenger.Link) messenger.Decision {
			return messenger.Decision{Granted: true, Version: 1, Slots: 12, Active: 1}
		}}
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() { _ = s.Serve(ctx) }()
}

// placeDraft looks for a place for one generation that came some time ago.
func placeDraft(p *relayer.Placer, c *clocktest.FakeClock, id string, waited time.Duration) (*relayer.Place, error) {
	j := &relayer.Job{Route: engineTable().Routes[0], Service: "engines", Arrived: c.Now().Add(-waited), Deadline: c.Now().Add(5 * time.Second)}
	j.ID, j.Model, j.Prompt = id, "m", 800
	return p.Place(context.Background(), j)
}

// An entry has favoured one engine for a while and has all the connections there that it may
// open. The engine has places, so its agent goes on granting them, but nothing can be sent:
// the request fails within the entry, three times at most and each time at the cost of a
// retry, and its caller is told to come back although other engines are free. With 33
// entries before engines that bear 248 connections, which is 6 for each entry, 30 to 70 of
// 520 requests a second were refused so on a calm stretch of a recorded day.
func TestEngineWithoutAConnectionToSpareIsPassedOver(t *testing.T) {
	p, c := newTwoEnginePlacer(t)
	at := map[string]int{}
	for i := range 2 * ownConnections {
		place, err := placeDraft(p, c, fmt.Sprint(i), 0)
		must.NoError(t, err)
		at[place.Upstream.ID]++
	}
	must.Eq(t, map[string]int{"near": ownConnections, "far": ownConnections}, at)
	_, err := placeDraft(p, c, "one too many", tooLate)
	must.Error(t, err)
	must.Eq(t, ownConnections, p.Chooser.Running("near"), must.Sprint("what is refused leaves nothing behind"))
}

// Many callers come to an entry at the same moment. While their questions are on the way,
// none of them has a connection yet; were each to look only before it asks, all would go to
// the nearest engine, and most fail there.
func TestBurstSharesOutAnEnginesConnections(t *testing.T) {
	p, c := newTwoEnginePlacer(t)
	var mu sync.Mutex
	at := map[string]int{}
	var callers sync.WaitGroup
	for i := range 40 {
		callers.Go(func() {
			place, err := placeDraft(p, c, fmt.Sprint(i), 0)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			at[place.Upstream.ID]++
		})
	}
	// Whoever finds no connection looks again for a while of the entry's clock.
	done := make(chan struct{})
	go func() {
		callers.Wait()
		close(done)
	}()
	for {
		select {
		case <-done:
			must.Eq(t, map[string]int{"near": ownConnections, "far": ownConnections}, at)
			return
		case <-time.After(5 * time.Millisecond):
			c.Step(20 * time.Millisecond)
		}
	}
}
