package relayer_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/matcher"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/platform"
)

const (
	// limitWindow is the span in which an upstream's requests are counted, and limitBound the most
	// requests in it at a limit of one a second.
	limitWindow = 4 * time.Second
	limitBound  = 1.5*1*4 + 5
	// limitGrace is the time after the first reply with the limit in which an entry may exceed it.
	limitGrace = 500 * time.Millisecond
)

// statesLimit serves all and states a limit of one request a second.
func statesLimit(u *statingUpstream, w http.ResponseWriter, entry string) {
	u.inform(entry)
	w.Header().Set("Server-Limit", "1.0")
	serveWhole(w)
}

// maxFromInformed is the largest number of requests within limitWindow from entries that had
// received the limit.
func (u *statingUpstream) maxFromInformed() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	var informed []time.Time
	for entry, arrived := range u.arrived {
		for _, at := range arrived {
			if at.Sub(u.informed[entry]) > limitGrace {
				informed = append(informed, at)
			}
		}
	}
	slices.SortFunc(informed, time.Time.Compare)
	return maxWithin(informed, limitWindow)
}

// limitedEntries makes entries that have each other as members, with upstreams of one service.
func limitedEntries(t *testing.T, n int, service *matcher.Service, us ...registrar.Upstream) []*testEntry {
	route := &matcher.Route{Name: "r", Host: "127.0.0.1", Prefix: "/", Kind: matcher.Idempotent, Timeout: stepTimeout, MaxAttempts: 2,
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
	var ws []*testEntry
	for range n {
		reg := &registrar.Registrar{Clock: clock.RealClock{}, Decode: decode}
		reg.Apply(b)
		w := newTestEntryWith(t, reg, nil)
		w.relayer.Codec = platform.Headers{}
		ws = append(ws, w)
	}
	return ws
}

// loadEntries sends requests through all entries for a while, and returns how many were served.
func loadEntries(t *testing.T, ws []*testEntry, each, last time.Duration) (served int) {
	t.Helper()
	var mu sync.Mutex
	var all sync.WaitGroup
	for i, w := range ws {
		all.Go(func() {
			for n, start := 0, time.Now(); time.Since(start) < last; n++ {
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

// Guards against entries that together exceed the limit that a plain service states.
func TestEntriesKeepToTheLimitOfAService(t *testing.T) {
	u := newStatingUpstream(t, statesLimit)
	ws := limitedEntries(t, 9, &matcher.Service{Name: "desk"}, u.record("u", "desk", 6))
	served := loadEntries(t, ws, 20*time.Millisecond, 6*time.Second)
	must.LessEq(t, limitBound, u.maxFromInformed())
	must.Positive(t, served)
}

// Guards against an agent that grants slots beyond the limit that its engine states to entries.
func TestAgentKeepsToTheLimitOfItsEngine(t *testing.T) {
	u := newStatingUpstream(t, statesLimit)
	engine := engineTable().Services["engines"].Engine
	port := agentBeside(t, "127.0.0.1", engine, noDelay)
	ws := limitedEntries(t, 9, &matcher.Service{Name: "engines", Engine: engine}, u.record("u", "engines", engine.Slots))
	for _, w := range ws {
		w.relayer.Placer.AgentPort = port
	}
	served := loadEntries(t, ws, 20*time.Millisecond, 6*time.Second)
	must.LessEq(t, limitBound, u.maxFromInformed())
	must.Positive(t, served)
}
