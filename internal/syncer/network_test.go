package syncer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/connector/connectortest"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/syncer"
	"github.com/oriolecroft/oriolecroft/platform"
)

// network connects the processes of one test in memory.
type network struct{ connectortest.Network }

// inVirtualTime runs a test in virtual time with a network and a store of its own.
func inVirtualTime(t *testing.T, test func(t *testing.T, n *network, s *store)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		// Registered first, so run last.
		t.Cleanup(func() { time.Sleep(connectortest.SettleTime) })
		s := &store{revision: 1, records: map[string]registrar.Record{}, changed: make(chan struct{})}
		test(t, &network{}, s)
	})
}

// suspension keeps processes from answering once it has started. It ends by a channel, as virtual
// time doesn't advance while a goroutine waits for a lock.
type suspension struct {
	started atomic.Bool
	over    chan struct{}
}

// start runs a process that answers nothing during a suspension, if there is one.
func (n *network) start(t *testing.T, id string, entry bool, st *store, susp *suspension, seeds ...netip.AddrPort) *process {
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(stop)
	l := n.Listen()
	c := clock.RealClock{}
	p := &process{registrar: &registrar.Registrar{Clock: c, Decode: platform.Decode, Linger: time.Second},
		peers: netip.MustParseAddrPort(l.Addr().String()), stop: stop}
	answer := syncer.RecordsHandler(p.registrar, c)
	server := &messenger.Server{Listener: l, OnRecords: func(ctx context.Context, q messenger.RecordsQuery) registrar.Batch {
		b := answer(ctx, q)
		if susp != nil && susp.started.Load() {
			<-susp.over
		}
		return b
	}}
	go func() { _ = server.Serve(ctx) }()
	s := &syncer.Syncer{ID: id, Entry: entry, Region: "r", Registrar: p.registrar, Store: processStore{st, id}, Seeds: seeds,
		Dial: func(a netip.AddrPort) *messenger.Client { return &messenger.Client{Address: a, Dial: n.Dial} }, Clock: c,
		Random: rand.New(rand.NewPCG(1, 2))}
	go func() { _ = s.Serve(ctx) }()
	return p
}

// store is the platform's store in memory.
type store struct {
	mu       sync.Mutex
	revision uint64
	records  map[string]registrar.Record
	history  []registrar.Record
	changed  chan struct{}
	// lists and watches are the IDs of the calling processes, in order.
	lists, watches []string
}

// put writes a key with a value in JSON.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	rec := registrar.Record{Key: key, Value: data, Revision: s.revision}
	s.records[key] = rec
	s.history = append(s.history, rec)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) drain(failureDomain string) { s.put("op/evacuate/"+failureDomain, struct{}{}) }

// calls returns the IDs of the processes that have listed and watched so far.
func (s *store) calls() (lists, watches []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.lists), slices.Clone(s.watches)
}

// since returns the changes after a revision, and a channel that closes at the next one.
func (s *store) since(after uint64) (registrar.Batch, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := registrar.Batch{After: after, At: s.revision}
	for _, rec := range s.history {
		if rec.Revision > after {
			b.Records = append(b.Records, rec)
		}
	}
	return b, s.changed
}

// processStore is the store as reached by one process.
type processStore struct {
	*store
	id string
}

// List implements syncer.Store.
func (r processStore) List(context.Context) (registrar.Batch, error) {
	time.Sleep(connectortest.LinkDelay)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lists = append(r.lists, r.id)
	b := registrar.Batch{Whole: true, At: r.revision}
	for _, key := range slices.Sorted(maps.Keys(r.records)) {
		rec := r.records[key]
		rec.Age = registrar.UnknownAge
		b.Records = append(b.Records, rec)
	}
	return b, nil
}

// Watch implements syncer.Store.
func (r processStore) Watch(ctx context.Context, after uint64, wait time.Duration) (registrar.Batch, error) {
	return r.watch(ctx, after, wait, "")
}

// WatchWeights implements syncer.Store.
func (r processStore) WatchWeights(ctx context.Context, after uint64, wait time.Duration) (registrar.Batch, error) {
	b, err := r.watch(ctx, after, wait, "op/version/")
	b.WeightsOnly = true
	return b, err
}

func (r processStore) watch(ctx context.Context, after uint64, wait time.Duration, prefix string) (registrar.Batch, error) {
	time.Sleep(connectortest.LinkDelay)
	r.mu.Lock()
	r.watches = append(r.watches, r.id)
	r.mu.Unlock()
	return awaitRecords(ctx, wait, prefix, func() (registrar.Batch, <-chan struct{}) { return r.since(after) })
}

// awaitRecords waits until there are changed records whose keys have a prefix, at most for a time.
func awaitRecords(ctx context.Context, wait time.Duration, prefix string, read func() (b registrar.Batch, changed <-chan struct{})) (registrar.Batch, error) {
	over := time.After(wait)
	for {
		b, changed := read()
		b.Records = withPrefix(b.Records, prefix)
		if len(b.Records) > 0 {
			return b, nil
		}
		select {
		case <-changed:
		case <-over:
			return b, nil
		case <-ctx.Done():
			return b, ctx.Err()
		}
	}
}

// withPrefix returns the records whose keys have a prefix.
func withPrefix(records []registrar.Record, prefix string) []registrar.Record {
	return slices.DeleteFunc(records, func(rec registrar.Record) bool { return !strings.HasPrefix(rec.Key, prefix) })
}

// startWithSeed starts processes beside a seed that has the record of a drained failure domain.
func (n *network) startWithSeed(t *testing.T, s *store, entries bool) []*process {
	s.drain("a")
	seed := n.start(t, "seed", true, s, nil)
	eventually(t, seed.drained("a"))
	var ps []*process
	for i := range 12 {
		ps = append(ps, n.start(t, fmt.Sprint("process", i), entries, s, nil, seed.peers))
	}
	return ps
}

// Guards against processes that all read the store when they start together, as after a loss of
// power everywhere. The links to the store would carry the same records for each of them, and the
// last ones would refuse callers for seconds after the first. Only seeds read it, for all.
func TestOnlySeedsReadTheStoreAtTheStart(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, n *network, s *store) {
		ps := n.startWithSeed(t, s, false)
		for _, p := range ps {
			eventually(t, p.drained("a"))
		}
		lists, _ := s.calls()
		must.Eq(t, []string{"seed"}, lists)
	})
}

// Guards against entries that all read the store until some have registered: the links to it would
// carry each record of the first start once per entry.
func TestOnlySeedsReadTheStoreUntilEntriesHaveRegistered(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, n *network, s *store) {
		ps := n.startWithSeed(t, s, true)
		for _, domain := range []string{"a", "b", "c"} {
			s.drain(domain)
			for _, p := range ps {
				eventually(t, p.drained(domain))
			}
		}
		_, watches := s.calls()
		slices.Sort(watches)
		must.Eq(t, []string{"seed"}, slices.Compact(watches))
	})
}

// Guards against more than two readers of the store among many entries and agents: each waiting
// read is a call that the operators pay for.
func TestTwoEntriesReadTheStoreForAll(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, n *network, s *store) {
		names := []string{"e1", "e2", "e3", "e4", "e5"}
		var all []*process
		for _, id := range names {
			all = append(all, n.start(t, id, true, s, nil))
		}
		for i, id := range names {
			s.put("oriolecroft/entries/"+id, member(id, all[i]))
		}
		all = append(all, n.start(t, "agent", false, s, nil))
		for _, p := range all {
			eventually(t, func() bool { v := p.registrar.View(); return v != nil && len(v.Members) == len(names) })
		}
		// One more change lets those that still wait for the store determine their roles.
		s.drain("first")
		for _, p := range all {
			eventually(t, p.drained("first"))
		}
		_, before := s.calls()
		s.drain("a")
		for _, p := range all {
			eventually(t, p.drained("a"))
		}
		_, after := s.calls()
		calls := after[len(before):]
		must.LessEq(t, 5, len(calls), must.Sprint("two readers, each with a call that ends and a new one"))
		slices.Sort(calls)
		must.LessEq(t, 2, len(slices.Compact(calls)))
	})
}

// Guards against one call per change and reader when engines load new weights one after the other
// and each writes that to the store. The operators pay for each call; these would be the largest
// cost of a deployment of some hundred processes.
func TestBurstsOfChangesAreReadTogether(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, n *network, s *store) {
		p := n.start(t, "reader", true, s, nil)
		eventually(t, func() bool { return p.registrar.View() != nil })
		_, before := s.calls()
		for i := range 40 {
			s.drain(fmt.Sprint("a", i))
			time.Sleep(5 * time.Millisecond)
		}
		eventually(t, p.drained("a39"))
		_, after := s.calls()
		must.Less(t, 15, len(after)-len(before))
	})
}

// Guards against counting an announcement too late when all readers become unresponsive, as when
// their VMs are suspended, just when a version is announced. A process waits for each reader and
// then finds the announcement in the store's history, which has no times; old weights would serve
// that much too long.
func TestAnnouncementInHistoryIsNotCountedLate(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, n *network, s *store) {
		s.put("op/version/m", map[string]any{"model": "m", "version": 1})
		susp := &suspension{over: make(chan struct{})}
		var seeds []netip.AddrPort
		for i := range 2 {
			seeds = append(seeds, n.start(t, fmt.Sprint("seed", i), true, s, susp).peers)
		}
		p := n.start(t, "agent", false, s, nil, seeds...)
		eventually(t, func() bool { return p.registrar.View() != nil })
		time.Sleep(time.Second)
		susp.started.Store(true)
		time.Sleep(50 * time.Millisecond)
		announced := time.Now()
		s.put("op/version/m", map[string]any{"model": "m", "version": 2})
		at := waitForAnnouncement(t, p.registrar)
		close(susp.over)
		// Some time may pass before the store is asked; agents leave a margin of 0.7 s before the
		// bound, and a part of it covers that.
		must.LessEq(t, 200*time.Millisecond, at.Sub(announced))
	})
}
