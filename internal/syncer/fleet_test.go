package syncer_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/connector/connectortest"
	"github.com/oriolecroft/oriolecroft/internal/matcher"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/syncer"
)

const (
	// nearDelay and farDelay are the time of a write within a region and between two.
	nearDelay = 500 * time.Microsecond
	farDelay  = 10 * time.Millisecond
	// squeezedDelay is what a narrow link adds to a write.
	squeezedDelay = 300 * time.Millisecond
)

// fleet is a deployment in memory and in virtual time: a store, entries and agents that
// keep each other up to date, and the network between them.
type fleet struct {
	shape   shape
	store   *memoryStore
	links   links
	members []*node
	byPeers map[string]*node
}

// node is one process of a fleet, with the faults that it may have.
type node struct {
	registrar.Member
	*registrar.Registrar
	listener *connectortest.Listener
	stop     context.CancelFunc
	// bytes is what was read and written here, watches and lists how often it watched and listed
	// the store.
	bytes          atomic.Int64
	watches, lists atomic.Int32
	// cut processes don't reach the store, refused ones get no answer from it.
	cut, refused atomic.Bool
	// deaf processes take connections and never answer, squeezed ones take a while to write.
	deaf, squeezed atomic.Bool
	// processor is held while records are prepared for others, recordTime for each of them. Records
	// that have been prepared are sent again without that.
	processor  chan struct{}
	recordTime time.Duration
	prepared   []registrar.Record
	// refuses tells that no process runs there yet.
	refuses atomic.Bool
	// spoilt ones tell records that can't be unpacked.
	spoilt atomic.Bool
	// answerDelay is how much longer than others' the store's answers to it are on their way, in nanoseconds.
	answerDelay atomic.Int64

	mu sync.Mutex
	// askers are the processes that asked something.
	askers map[string]bool
	conns  []net.Conn
	// stopped processes were killed, and nothing that is written to those in unheard arrives.
	stopped bool
	unheard map[string]bool
}

// memoryStore is the platform's store as a syncer sees it.
type memoryStore struct {
	mu      sync.Mutex
	records []registrar.Record
	changed chan struct{}
	watches int
}

func (s *memoryStore) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, registrar.Record{Key: key, Value: data, Revision: uint64(len(s.records)) + 1})
	close(s.changed)
	s.changed = make(chan struct{})
}

// remove deletes a key.
func (s *memoryStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, registrar.Record{Key: key, Deleted: true, Revision: uint64(len(s.records)) + 1})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *memoryStore) after(revision uint64) (registrar.Batch, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return registrar.Batch{After: revision, At: uint64(len(s.records)), Records: slices.Clone(s.records[revision:])}, s.changed
}

// watched is how many times it was asked for changes.
func (s *memoryStore) watched() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watches
}

func (s *memoryStore) List(context.Context) (registrar.Batch, error) {
	b, _ := s.after(0)
	b.Whole = true
	return b, nil
}

func (s *memoryStore) Watch(ctx context.Context, after uint64, wait time.Duration) (registrar.Batch, error) {
	s.mu.Lock()
	s.watches++
	s.mu.Unlock()
	b, changed := s.after(after)
	if len(b.Records) > 0 {
		return b, nil
	}
	select {
	case <-changed:
	case <-time.After(wait):
	case <-ctx.Done():
		return b, ctx.Err()
	}
	b, _ = s.after(after)
	return b, nil
}

// nodeStore is the store as a node reaches it.
type nodeStore struct {
	*memoryStore
	node  *node
	fleet *fleet
}

var errCut = errors.New("cut off")

// refusedCall is how long a call takes that the store doesn't answer.
const refusedCall = 1900 * time.Millisecond

// refused gives the error of a call that doesn't reach the store, once it is over.
func (s nodeStore) refused(ctx context.Context) error {
	switch {
	case s.node.cut.Load():
		return errCut
	case !s.node.refused.Load():
		return nil
	}
	select {
	case <-time.After(refusedCall):
	case <-ctx.Done():
	}
	return context.DeadlineExceeded
}

func (s nodeStore) List(ctx context.Context) (registrar.Batch, error) {
	s.node.lists.Add(1)
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	if err := s.refused(ctx); err != nil {
		return registrar.Batch{}, err
	}
	b, err := s.memoryStore.List(ctx)
	return s.deliver(ctx, b, err)
}

func (s nodeStore) Watch(ctx context.Context, after uint64, wait time.Duration) (registrar.Batch, error) {
	s.node.watches.Add(1)
	ctx, cancel := context.WithTimeout(ctx, callTimeout+wait)
	defer cancel()
	if err := s.refused(ctx); err != nil {
		return registrar.Batch{}, err
	}
	b, err := s.memoryStore.Watch(ctx, after, wait)
	if refused := s.refused(ctx); refused != nil {
		// What was under way is lost.
		return registrar.Batch{}, refused
	}
	return s.deliver(ctx, b, err)
}

// decodeFleet reads the records that a fleet's store holds.
func decodeFleet(key string, value []byte) (registrar.Fact, error) {
	switch {
	case strings.HasPrefix(key, "entry/"):
		var m registrar.Member
		err := json.Unmarshal(value, &m)
		return m, err
	case strings.HasPrefix(key, "drained/"):
		return registrar.Drained{FailureDomain: strings.TrimPrefix(key, "drained/")}, nil
	case strings.HasPrefix(key, "weights/"):
		var version uint64
		err := json.Unmarshal(value, &version)
		return registrar.Weights{Model: strings.TrimPrefix(key, "weights/"), Version: version}, err
	case key == tableKey:
		var t matcher.Table
		err := json.Unmarshal(value, &t)
		return registrar.Table{Table: &t}, err
	}
	return nil, nil
}

// newFleet starts entries and agents, spread over regions in turn.
func newFleet(t testing.TB, sh shape) *fleet {
	f := &fleet{shape: sh, store: &memoryStore{changed: make(chan struct{})}, byPeers: map[string]*node{}}
	entries := sh.entries
	for i := range entries + sh.agents {
		n := &node{Member: registrar.Member{
			ID: fmt.Sprintf("entry-%d", i), Region: regionName(i % sh.regions), FailureDomain: "a",
			Peers: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80),
		}, askers: map[string]bool{}, processor: make(chan struct{}, 1), recordTime: sh.recordTime}
		n.cut.Store(sh.cut)
		n.Callers, n.listener = n.Peers, connectortest.NewListener(n.Peers)
		f.members = append(f.members, n)
		f.byPeers[n.Peers.String()] = n
		if i < entries {
			f.store.put("entry/"+n.ID, n.Member)
		}
	}
	if sh.table {
		f.store.put(tableKey, largeTable(1))
	}
	r := rand.New(rand.NewPCG(1, 2))
	for i := range sh.upstreams {
		f.store.put(fmt.Sprintf("upstream/%d", i), fmt.Sprintf("%x%x%x%x", r.Uint64(), r.Uint64(), r.Uint64(), r.Uint64()))
	}
	seeds := f.members[:f.seedCount()]
	for i, n := range f.members {
		if sh.seedsLater > 0 && sh.onTime <= i && i < len(seeds) {
			n.refuses.Store(true)
			continue
		}
		f.start(t, n, i < entries)
	}
	if sh.seedsLater > 0 {
		time.Sleep(sh.seedsLater)
		for _, n := range seeds[sh.onTime:] {
			n.refuses.Store(false)
			f.start(t, n, true)
		}
	}
	return f
}

func (f *fleet) seedCount() int { return max(2, f.shape.seeds) }

func (f *fleet) start(t testing.TB, n *node, entry bool) {
	ctx, stop := context.WithCancel(t.Context())
	n.stop = func() {
		stop()
		n.mu.Lock()
		defer n.mu.Unlock()
		n.stopped = true
		for _, c := range n.conns {
			_ = c.Close()
		}
	}
	c := clock.RealClock{}
	n.Registrar = &registrar.Registrar{Clock: c, Decode: decodeFleet, Linger: time.Second, Region: n.Member.Region}
	answer := syncer.Answer(n.Registrar, c)
	server := &messenger.Server{Listener: n.listener, OnRecords: func(ctx context.Context, q messenger.RecordsQuery) registrar.Batch {
		if n.deaf.Load() {
			<-ctx.Done()
		}
		b := answer(ctx, q)
		if n.deaf.Load() {
			// It froze while it held the answer back.
			<-ctx.Done()
		}
		n.process(ctx, b.Records)
		if n.spoilt.Load() {
			b.Records = slices.Clone(b.Records)
			for i := range b.Records {
				b.Records[i].Value, b.Records[i].Packed = nil, []byte("nonsense")
			}
		}
		return b
	}}
	s := &syncer.Syncer{ID: n.ID, Entry: entry, Region: n.Member.Region, Registrar: n.Registrar, Store: nodeStore{f.store, n, f}, Clock: c,
		Seeds: f.seeds(), Seed: slices.Contains(f.seeds(), n.Peers), Peers: n.answersAt(entry),
		Random: rand.New(rand.NewPCG(1, uint64(n.Peers.Addr().As4()[3]))),
		Dial:   func(a netip.AddrPort) *messenger.Client { return &messenger.Client{Address: a, Dial: f.dialer(n)} }}
	done := make(chan struct{}, 2)
	go func() { _ = server.Serve(ctx); done <- struct{}{} }()
	go func() { _ = s.Serve(ctx); done <- struct{}{} }()
	t.Cleanup(func() {
		n.stop()
		<-done
		<-done
	})
}

// answersAt is where others may ask a process; agents answer nobody.
func (n *node) answersAt(entry bool) netip.AddrPort {
	if !entry {
		return netip.AddrPort{}
	}
	return n.Peers
}

// process takes the processor for the time that it takes to prepare records.
func (n *node) process(ctx context.Context, records []registrar.Record) {
	if n.recordTime == 0 || len(records) == 0 {
		return
	}
	select {
	case n.processor <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-n.processor }()
	if len(n.prepared) == len(records) && &n.prepared[0] == &records[0] {
		return
	}
	time.Sleep(time.Duration(len(records)) * n.recordTime)
	n.prepared = records
}

// seeds are the addresses of those processes that start as such.
func (f *fleet) seeds() []netip.AddrPort {
	var as []netip.AddrPort
	for _, n := range f.members[:f.seedCount()] {
		as = append(as, n.Peers)
	}
	return as
}

func (f *fleet) dialer(from *node) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		to := f.byPeers[address]
		near, far := net.Pipe()
		delay := nearDelay
		if from.Member.Region != to.Member.Region {
			delay = farDelay
		}
		// A connection takes a round trip.
		time.Sleep(2 * delay)
		if to.refuses.Load() {
			return nil, syscall.ECONNREFUSED
		}
		to.mu.Lock()
		to.conns = append(to.conns, far)
		if to.stopped {
			_ = far.Close()
		}
		to.mu.Unlock()
		back := &link{Conn: far, node: to, delay: delay, asker: from.ID, peer: from, shared: f.linkBetween(to, from)}
		if err := to.listener.Deliver(ctx, connectortest.NewAsyncConn(back, back.send)); err != nil {
			return nil, err
		}
		forth := &link{Conn: near, node: from, delay: delay, peer: to, shared: f.linkBetween(from, to)}
		return connectortest.NewAsyncConn(forth, forth.send), nil
	}
}

// link is one end of a connection; it counts its bytes and delays its writes.
type link struct {
	net.Conn
	node  *node
	delay time.Duration
	// asker is who dialed, at the end that was dialed.
	asker string
	// peer is who reads what is written here.
	peer *node
	// shared carries the bytes between two regions; nil for a link without a bound.
	shared *regionLink
}

func (l *link) Read(b []byte) (int, error) {
	n, err := l.Conn.Read(b)
	l.node.bytes.Add(int64(n))
	if l.asker != "" && n > 0 {
		l.node.mu.Lock()
		l.node.askers[l.asker] = true
		l.node.mu.Unlock()
	}
	return n, err
}

// send brings bytes to the peer, as fast as the links between regions are.
func (l *link) send(b []byte) error {
	time.Sleep(l.delay)
	if l.node.squeezed.Load() {
		time.Sleep(squeezedDelay)
	}
	if l.shared == nil {
		return l.deliver(b)
	}
	for part := range slices.Chunk(b, segment) {
		if err := l.shared.carrySegment(context.Background(), len(part)); err != nil {
			return err
		}
		if err := l.deliver(part); err != nil {
			return err
		}
	}
	return nil
}

// deliver hands bytes to the peer once they have crossed the network.
func (l *link) deliver(b []byte) error {
	if !l.node.heardBy(l.peer) {
		return nil
	}
	n, err := l.Write(b)
	l.node.bytes.Add(int64(n))
	return err
}

// heardBy tells whether another process gets what this one writes.
func (n *node) heardBy(peer *node) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.unheard[peer.ID]
}

// loseTo has nothing that this process writes arrive at another.
func (n *node) loseTo(peer *node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.unheard == nil {
		n.unheard = map[string]bool{}
	}
	n.unheard[peer.ID] = true
}

// knows waits until all processes that live, and that the store doesn't refuse, know a failure
// domain to be drained, and gives how long that took.
func (f *fleet) knows(t testing.TB, domain string, limit time.Duration) time.Duration {
	began := time.Now()
	for _, n := range f.members {
		for n.lives() {
			changed := n.Changed()
			if v := n.View(); v != nil && v.Drained(domain) {
				break
			}
			select {
			case <-changed:
			case <-time.After(limit - time.Since(began)):
				t.Fatalf("%s in %s does not know %s after %v", n.ID, n.Member.Region, domain, limit)
			}
		}
	}
	return time.Since(began)
}

func (n *node) lives() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.stopped && !n.deaf.Load() && !n.refused.Load()
}

// region is that of a process.
func (f *fleet) region(id string) string {
	i := slices.IndexFunc(f.members, func(n *node) bool { return n.ID == id })
	return f.members[i].Member.Region
}

// inFleet runs a test with a fleet in virtual time, which has settled.
func inFleet(t *testing.T, entries, regions, upstreams int, test func(t *testing.T, f *fleet)) {
	t.Helper()
	inShapedFleet(t, shape{entries: entries, regions: regions, agents: regions, upstreams: upstreams}, test)
}

func inShapedFleet(t *testing.T, sh shape, test func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		// Answers that are under way when all have stopped still take their time.
		t.Cleanup(func() { time.Sleep(connectortest.SettleTime) })
		f := newFleet(t, sh)
		time.Sleep(10 * time.Second)
		for _, n := range f.members {
			n.mu.Lock()
			clear(n.askers)
			n.mu.Unlock()
			n.bytes.Store(0)
		}
		test(t, f)
	})
}
