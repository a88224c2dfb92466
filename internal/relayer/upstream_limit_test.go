package relayer_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/granter"
	"github.com/oriolecroft/oriolecroft/internal/matcher"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
	"github.com/oriolecroft/oriolecroft/platform"
)

const (
	// limitWindow is the span in which an upstream's requests are counted, and limitBound what it
	// may get there at a limit of one a second.
	limitWindow = 4 * time.Second
	limitBound  = 1.5*1*4 + 5
	// limitKnown is how long after its first such reply an entry has to keep to the limit.
	limitKnown = 500 * time.Millisecond
)

// limitingUpstream names a limit of one request a second in its replies. It counts the requests
// of each entry that were sent after that entry had known of the limit.
type limitingUpstream struct {
	listener net.Listener

	mu      sync.Mutex
	stated  map[string]time.Time
	arrived []time.Time
}

func newLimitingUpstream(t *testing.T, ip string) *limitingUpstream {
	l, err := net.Listen("tcp", ip+":0")
	must.NoError(t, err)
	u := &limitingUpstream{listener: l, stated: map[string]time.Time{}}
	s := &http.Server{Handler: u}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { s.Close() })
	return u
}

// ServeHTTP answers a request; its body names the entry that it came through.
func (u *limitingUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	entry, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	if stated, ok := u.stated[string(entry)]; !ok {
		u.stated[string(entry)] = now
	} else if now.Sub(stated) > limitKnown {
		u.arrived = append(u.arrived, now)
	}
	w.Header().Set("Server-Limit", "1.0")
	w.Header().Set("X-Request-Attempt", r.Header.Get("X-Request-Attempt"))
	w.Header().Set("X-Replica-Seal", "s")
	_, _ = io.WriteString(w, "done")
}

// most is the largest number of counted requests within limitWindow.
func (u *limitingUpstream) most() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return mostWithin(u.arrived, limitWindow)
}

// limitedEntries are entries that know each other, before upstreams of one service.
func limitedEntries(t *testing.T, n int, service *matcher.Service, us ...registrar.Upstream) []*world {
	route := &matcher.Route{Name: "r", Host: "127.0.0.1", Prefix: "/", Kind: matcher.Idempotent, Timeout: patience, MaxAttempts: 2,
		Public: true, Generates: service.Engine != nil, Targets: []matcher.Target{{Service: service.Name, Weight: 1}}}
	table := &matcher.Table{Version: 1, Routes: []*matcher.Route{route}, Services: map[string]*matcher.Service{service.Name: service}}
	table.Index()
	decode := func(key string, _ []byte) (registrar.Fact, error) {
		for _, u := range us {
			if u.ID == key {
				return u, nil
			}
		}
		if key == "table" {
			return registrar.Table{Table: table}, nil
		}
		return registrar.Member{ID: key}, nil
	}
	b := registrar.Batch{Whole: true, At: 1000, Records: []registrar.Record{{Key: "table", Revision: 1}}}
	for i, u := range us {
		b.Records = append(b.Records, registrar.Record{Key: u.ID, Revision: uint64(i) + 2})
	}
	for i := range n {
		b.Records = append(b.Records, registrar.Record{Key: fmt.Sprintf("entry-%d", i), Revision: uint64(i) + 100})
	}
	var ws []*world
	for range n {
		reg := &registrar.Registrar{Clock: clock.RealClock{}, Decode: decode}
		reg.Apply(b)
		w := newWorldOf(t, reg, nil)
		w.relayer.Codec = platform.Headers{}
		ws = append(ws, w)
	}
	return ws
}

// loadEntries sends requests through all entries for a while, and gives how many were served.
func loadEntries(t *testing.T, ws []*world, each, last time.Duration) (served int) {
	t.Helper()
	var mu sync.Mutex
	var all sync.WaitGroup
	for i, w := range ws {
		all.Go(func() {
			for n, began := 0, time.Now(); time.Since(began) < last; n++ {
				r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, w.URL+"/", strings.NewReader(fmt.Sprint(i)))
				if err != nil {
					return
				}
				r.Header.Set("X-Request-Attempt", fmt.Sprintf("%d-%d", i, n))
				res, err := http.DefaultClient.Do(r)
				if err != nil {
					return
				}
				res.Body.Close()
				if res.StatusCode == http.StatusOK {
					mu.Lock()
					served++
					mu.Unlock()
				}
				time.Sleep(each)
			}
		})
	}
	all.Wait()
	return served
}

// Guards against entries that together send a plain service more than the limit that it names.
func TestEntriesKeepToTheLimitOfAService(t *testing.T) {
	u := newLimitingUpstream(t, "127.0.0.1")
	a := netip.MustParseAddrPort(u.listener.Addr().String())
	ws := limitedEntries(t, 9, &matcher.Service{Name: "desk"},
		registrar.Upstream{ID: "u", Service: "desk", Address: a, FailureDomain: "a", Slots: 6})
	served := loadEntries(t, ws, 20*time.Millisecond, 6*time.Second)
	must.LessEq(t, limitBound, u.most())
	must.Positive(t, served)
}

// Guards against an agent that grants slots beyond the limit that its engine names to entries.
func TestAgentKeepsToTheLimitOfItsEngine(t *testing.T) {
	u := newLimitingUpstream(t, "127.0.0.1")
	a := netip.MustParseAddrPort(u.listener.Addr().String())
	engine := engineTable().Services["engines"].Engine
	ledger := &scheduler.Ledger{Clock: clock.RealClock{}}
	ledger.Open(engine)
	g := &granter.Granter{Ledger: ledger, Holds: func(string) uint64 { return 1 }, Clock: clock.RealClock{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := &messenger.Server{Listener: l, OnReserve: g.Reserve, OnProgress: g.Progress, OnLost: g.Lost}
	go func() { _ = server.Serve(t.Context()) }()
	ws := limitedEntries(t, 9, &matcher.Service{Name: "engines", Engine: engine},
		registrar.Upstream{ID: "u", Service: "engines", Address: a, FailureDomain: "a", Slots: engine.Slots})
	for _, w := range ws {
		w.relayer.Placer.AgentPort = netip.MustParseAddrPort(l.Addr().String()).Port()
	}
	served := loadEntries(t, ws, 20*time.Millisecond, 6*time.Second)
	must.LessEq(t, limitBound, u.most())
	must.Positive(t, served)
}
