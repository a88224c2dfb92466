package gossiper_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/gossiper"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/publisher"
	"github.com/oriolecroft/oriolecroft/internal/storer"
	"github.com/oriolecroft/oriolecroft/internal/storer/storertest"
	"github.com/oriolecroft/oriolecroft/standins/imitator"
)

// fleet is a set of entries with the real watcher and exchanger and the stand-in
// store, in virtual time.
type fleet struct {
	t         *testing.T
	kv        http.Handler
	storeLink *storertest.Transport // link of all entries to the store
	mu        sync.Mutex
	nodes     []*node
	states    []messenger.EntryState
	random    *rand.Rand
	// failCall returns the errors with which entries' calls to the store fail while
	// failing is set.
	failCall func(r *http.Request) error
	failing  atomic.Bool
}

type node struct {
	state       *gossiper.State
	watcher     *gossiper.Watcher
	exchanger   *gossiper.Exchanger
	partitioned atomic.Bool // from the store and the other entries
	stop        context.CancelFunc
}

// inFleet runs f in virtual time with n entries that are not started yet.
func inFleet(t *testing.T, n int, f func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		k := &imitator.KV{Clock: clock.RealClock{}, Seed: 1}
		fl := &fleet{t: t, kv: k.Handler(), random: rand.New(rand.NewPCG(1, 2)), nodes: make([]*node, n)}
		for i := range n {
			fl.states = append(fl.states, messenger.EntryState{ID: fmt.Sprintf("e%03d", i), Region: fmt.Sprintf("r%d", i%5)})
		}
		fl.storeLink = &storertest.Transport{Handler: fl.kv}
		defer func() {
			for i := range fl.nodes {
				fl.kill(i)
			}
			advance(time.Minute)
		}()
		f(fl)
	})
}

func (f *fleet) store(cut *atomic.Bool) storer.Store {
	t := roundTripper(func(r *http.Request) (*http.Response, error) {
		if cut != nil && cut.Load() {
			return nil, errors.New("no route")
		}
		if cut != nil && f.failing.Load() {
			if err := f.failCall(r); err != nil {
				return nil, err
			}
		}
		return f.storeLink.RoundTrip(r)
	})
	return &storer.HTTP{Address: netip.MustParseAddrPort("127.0.0.1:1"), Client: &http.Client{Transport: t}}
}

type roundTripper func(r *http.Request) (*http.Response, error)

func (t roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return t(r) }

// start replaces entry i by a new one without any state.
func (f *fleet) start(i int) {
	f.kill(i)
	n := &node{}
	random := rand.New(rand.NewPCG(f.random.Uint64(), uint64(i)))
	id := f.states[i].ID
	n.state = &gossiper.State{Keyring: keyring(), Clock: clock.RealClock{}, Entries: len(f.nodes), ID: id}
	n.watcher = &gossiper.Watcher{Store: f.store(&n.partitioned), State: n.state, Clock: clock.RealClock{}}
	n.exchanger = &gossiper.Exchanger{State: n.state, Clock: clock.RealClock{}, Random: random}
	n.watcher.Jitter = n.exchanger.RandomBelow
	n.watcher.Relay = n.exchanger.IsRelay
	n.exchanger.Self = func() messenger.EntryState { return f.states[i] }
	n.exchanger.Peers = func() []messenger.EntryState { return f.peers(i) }
	n.exchanger.Call = func(_ context.Context, p messenger.EntryState, x messenger.Exchange) (messenger.Exchange, error) {
		return f.call(n, p, x)
	}
	f.setNode(i, n)
	var ctx context.Context
	ctx, n.stop = context.WithCancel(f.t.Context())
	go func() { _ = n.watcher.Serve(ctx) }()
	go func() { _ = n.exchanger.Serve(ctx) }()
}

func (f *fleet) startAll() {
	for i := range f.nodes {
		f.start(i)
	}
}

func (f *fleet) kill(i int) {
	if f.nodes[i] != nil {
		f.nodes[i].stop()
	}
	f.setNode(i, nil)
}

func (f *fleet) setNode(i int, n *node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[i] = n
}

func (f *fleet) node(i int) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[i]
}

func (f *fleet) peers(i int) []messenger.EntryState {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ps []messenger.EntryState
	for j, n := range f.nodes {
		if n != nil && j != i {
			ps = append(ps, f.states[j])
		}
	}
	return ps
}

func (f *fleet) call(from *node, p messenger.EntryState, x messenger.Exchange) (messenger.Exchange, error) {
	var j int
	_, _ = fmt.Sscanf(p.ID, "e%d", &j)
	to := f.node(j)
	if to == nil || to.partitioned.Load() || from.partitioned.Load() {
		return messenger.Exchange{}, errors.New("no route")
	}
	advance(2 * time.Millisecond)
	a := to.exchanger.Answer(x)
	advance(2 * time.Millisecond)
	return a, nil
}

// advance lets virtual time pass.
func advance(d time.Duration) { <-time.After(d) }

// checkDuring runs the check on each node every 20 ms of d.
func (f *fleet) checkDuring(d time.Duration, check func(n *node)) {
	for end := time.Now().Add(d); time.Now().Before(end); advance(20 * time.Millisecond) {
		for _, n := range f.nodes {
			if n != nil {
				check(n)
			}
		}
	}
}

func (f *fleet) mustServe(n *node) { must.NoError(f.t, n.state.MayServe()) }

// awaitRevision returns the time until all reachable nodes hold the revision.
func (f *fleet) awaitRevision(revision uint64, limit time.Duration) time.Duration {
	started := time.Now()
	for ; time.Since(started) < limit; advance(5 * time.Millisecond) {
		behind := 0
		for _, n := range f.nodes {
			if n != nil && !n.partitioned.Load() && !holds(n.state, revision) {
				behind++
			}
		}
		if behind == 0 {
			return time.Since(started)
		}
	}
	f.t.Fatalf("revision %d did not reach all nodes within %v", revision, limit)
	return 0
}

func holds(s *gossiper.State, revision uint64) bool {
	b, _ := s.Current()
	return b != nil && b.Revision == revision
}

func (f *fleet) publish(revision uint64) {
	p := &publisher.Publisher{Store: f.store(nil), Keyring: keyring()}
	_, err := p.Publish(f.t.Context(), signed(revision, fmt.Sprintf("c%d", revision)))
	must.NoError(f.t, err)
}

// admin sends an administrative request to the stand-in store.
func (f *fleet) admin(path, body string) {
	w := httptest.NewRecorder()
	f.kv.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
	must.Eq(f.t, http.StatusOK, w.Code)
}

func (f *fleet) faults(body string) { f.admin("/admin/faults", body) }

// alarms returns the number of an entry's alarms of one kind.
func alarms(s *gossiper.State, k gossiper.AlarmKind) int {
	for _, a := range s.Alarms() {
		if a.Kind == k {
			return a.Count
		}
	}
	return 0
}
