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
	// nearDelay and farDelay are the durations of a write within a region and between two.
	nearDelay = 500 * time.Microsecond
	farDelay  = 10 * time.Millisecond
	// slowLinkDelay is what a slow link adds to a write.
	slowLinkDelay = 300 * time.Millisecond
	// weightsPrefix starts the keys of weights.
	weightsPrefix = "weights/"
)

// fleet is a deployment in memory and in virtual time: a store, the entries and agents that keep
// each other up to date, and the network between them.
type fleet struct {
	shape     shape
	store     *memoryStore
	links     links
	members   []*node
	byAddress map[string]*node
}

// node is one process of a fleet, with the faults injected into it.
type node struct {
	registrar.Member
	*registrar.Registrar
	listener *connectortest.Listener
	stop     context.CancelFunc
	// bytes counts what was read and written here; watches and lists count the node's calls to the
	// store.
	bytes          atomic.Int64
	watches, lists atomic.Int32
	// partitioned processes can't reach the store, storeUnresponsive ones get no answer from it.
	partitioned, storeUnresponsive atomic.Bool
	// silences counts how often the connections to the store fell silent; calls in flight then get no answer.
	silences atomic.Int32
	// unresponsive processes accept connections and never answer, slowLink ones write slowly.
	unresponsive, slowLink atomic.Bool
	// processor is held while records are prepared for others, recordTime for each of them. Records
	// in prepared are sent again without that.
	processor  chan struct{}
	recordTime time.Duration
	prepared   []registrar.Record
	// refusesConnections is set while no process runs there.
	refusesConnections atomic.Bool
	// corrupted processes send records that can't be unpacked.
	corrupted atomic.Bool
	// answerDelay is the additional time in transit of the store's answers, in nanoseconds.
	answerDelay atomic.Int64

	mu sync.Mutex
	// requesters are the processes that sent a request to this one.
	requesters map[string]bool
	conns      []net.Conn
	// stopped processes were killed; writes to droppedPeers never arrive.
	stopped      bool
	droppedPeers map[string]bool
}

// memoryStore is the platform's store as used by a syncer.
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

func (s *memoryStore) changesAfter(revision uint64) (registrar.Batch, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return registrar.Batch{After: revision, At: uint64(len(s.records)), Records: slices.Clone(s.records[revision:])}, s.changed
}

// watchCount returns the number of watches.
func (s *memoryStore) watchCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watches
}

func (s *memoryStore) List(context.Context) (registrar.Batch, error) {
	b, _ := s.changesAfter(0)
	b.Whole = true
	return b, nil
}

func (s *memoryStore) watch(ctx context.Context, after uint64, wait time.Duration, prefix string) (registrar.Batch, error) {
	s.mu.Lock()
	s.watches++
	s.mu.Unlock()
	return awaitRecords(ctx, wait, prefix, func() (registrar.Batch, <-chan struct{}) { return s.changesAfter(after) })
}

// nodeStore is the store as reached by one node.
type nodeStore struct {
	*memoryStore
	node  *node
	fleet *fleet
}

var errPartitioned = errors.New("store unreachable")

// unansweredCallTime is the duration of a call that the store doesn't answer.
const unansweredCallTime = 1900 * time.Millisecond

// callError returns the error of a call that gets no answer from the store, once the call is over.
func (s nodeStore) callError(ctx context.Context) error {
	switch {
	case s.node.partitioned.Load():
		return errPartitioned
	case !s.node.storeUnresponsive.Load():
		return nil
	}
	select {
	case <-time.After(unansweredCallTime):
	case <-ctx.Done():
	}
	return context.DeadlineExceeded
}

func (s nodeStore) List(ctx context.Context) (registrar.Batch, error) {
	s.node.lists.Add(1)
	ctx, cancel := s.fleet.withCallTimeout(ctx, listTimeout)
	defer cancel()
	if err := s.callError(ctx); err != nil {
		return registrar.Batch{}, err
	}
	b, err := s.memoryStore.List(ctx)
	if s.fleet.shape.patient {
		b.Records = newestRecords(b.Records)
	}
	return s.deliver(ctx, b, err)
}

func (s nodeStore) Watch(ctx context.Context, after uint64, wait time.Duration) (registrar.Batch, error) {
	return s.watch(ctx, after, wait, "")
}

func (s nodeStore) WatchWeights(ctx context.Context, after uint64, wait time.Duration) (registrar.Batch, error) {
	b, err := s.watch(ctx, after, wait, weightsPrefix)
	b.WeightsOnly = true
	return b, err
}

func (s nodeStore) watch(ctx context.Context, after uint64, wait time.Duration, prefix string) (registrar.Batch, error) {
	s.node.watches.Add(1)
	ctx, cancel := s.fleet.withCallTimeout(ctx, callTimeout+wait)
	defer cancel()
	if err := s.callError(ctx); err != nil {
		return registrar.Batch{}, err
	}
	silences := s.node.silences.Load()
	b, err := s.memoryStore.watch(ctx, after, wait, prefix)
	if s.node.silences.Load() != silences {
		<-ctx.Done()
		return registrar.Batch{}, ctx.Err()
	}
	if callErr := s.callError(ctx); callErr != nil {
		// The call in flight is lost.
		return registrar.Batch{}, callErr
	}
	return s.deliver(ctx, b, err)
}

// withCallTimeout bounds a call to the store in total.
func (f *fleet) withCallTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	if f.shape.patient {
		d += arrivalTimeout
	}
	return context.WithTimeout(ctx, d)
}

// newestRecords returns the newest record of each key.
func newestRecords(records []registrar.Record) []registrar.Record {
	newest := map[string]uint64{}
	for _, rec := range records {
		newest[rec.Key] = rec.Revision
	}
	return slices.DeleteFunc(records, func(rec registrar.Record) bool { return rec.Deleted || rec.Revision < newest[rec.Key] })
}

// decodeFleet decodes the records in a fleet's store.
func decodeFleet(key string, value []byte) (registrar.Fact, error) {
	switch {
	case strings.HasPrefix(key, "entry/"):
		var m registrar.Member
		err := json.Unmarshal(value, &m)
		return m, err
	case strings.HasPrefix(key, "drained/"):
		return registrar.Drained{FailureDomain: strings.TrimPrefix(key, "drained/")}, nil
	case strings.HasPrefix(key, weightsPrefix):
		var version uint64
		err := json.Unmarshal(value, &version)
		return registrar.Weights{Model: strings.TrimPrefix(key, weightsPrefix), Version: version}, err
	case key == tableKey:
		var t matcher.Table
		err := json.Unmarshal(value, &t)
		return registrar.Table{Table: &t}, err
	}
	return nil, nil
}

// newFleet starts entries and agents, assigned to the regions in turn.
func newFleet(t testing.TB, sh shape) *fleet {
	f := &fleet{shape: sh, store: &memoryStore{changed: make(chan struct{})}, byAddress: map[string]*node{}}
	entries := sh.entries
	for i := range entries + sh.agents {
		n := &node{Member: registrar.Member{
			ID: fmt.Sprintf("entry-%d", i), Region: regionName(i % sh.regions), FailureDomain: "a",
			Peers: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80),
		}, requesters: map[string]bool{}, processor: make(chan struct{}, 1), recordTime: sh.recordTime}
		n.partitioned.Store(sh.partitioned)
		n.Callers, n.listener = n.Peers, connectortest.NewListener(n.Peers)
		f.members = append(f.members, n)
		f.byAddress[n.Peers.String()] = n
		if i < entries {
			f.store.put("entry/"+n.ID, n.Member)
		}
	}
	if sh.hasTable {
		f.store.put(tableKey, largeTable(1))
	}
	r := rand.New(rand.NewPCG(1, 2))
	for i := range sh.upstreams {
		f.store.put(fmt.Sprintf("upstream/%d", i), fmt.Sprintf("%x%x%x%x", r.Uint64(), r.Uint64(), r.Uint64(), r.Uint64()))
	}
	seeds := f.members[:f.seedCount()]
	for i, n := range f.members {
		if sh.seedDelay > 0 && sh.punctualSeeds <= i && i < len(seeds) {
			n.refusesConnections.Store(true)
			continue
		}
		f.start(t, n, i < entries)
	}
	if sh.seedDelay > 0 {
		time.Sleep(sh.seedDelay)
		for _, n := range seeds[sh.punctualSeeds:] {
			n.refusesConnections.Store(false)
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
	answer := syncer.RecordsHandler(n.Registrar, c)
	server := &messenger.Server{Listener: n.listener, OnRecords: func(ctx context.Context, q messenger.RecordsQuery) registrar.Batch {
		if n.unresponsive.Load() {
			<-ctx.Done()
		}
		b := answer(ctx, q)
		if n.unresponsive.Load() {
			// It was suspended while it held the answer.
			<-ctx.Done()
		}
		n.prepare(ctx, b.Records)
		if n.corrupted.Load() {
			b.Records = slices.Clone(b.Records)
			for i := range b.Records {
				b.Records[i].Value, b.Records[i].Packed = nil, []byte("nonsense")
			}
		}
		return b
	}}
	s := &syncer.Syncer{ID: n.ID, Entry: entry, Region: n.Member.Region, Registrar: n.Registrar, Store: nodeStore{f.store, n, f}, Clock: c,
		Seeds: f.seeds(), Seed: slices.Contains(f.seeds(), n.Peers), Peers: n.peersAddress(entry),
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

// restart starts an entry that was stopped, without its records.
func (f *fleet) restart(t testing.TB, n *node) {
	n.mu.Lock()
	n.listener, n.stopped = connectortest.NewListener(n.Peers), false
	n.mu.Unlock()
	f.start(t, n, true)
}

// peersAddress is where a process answers its peers; agents answer none.
func (n *node) peersAddress(entry bool) netip.AddrPort {
	if !entry {
		return netip.AddrPort{}
	}
	return n.Peers
}

// prepare occupies the processor for the time that it takes to prepare records.
func (n *node) prepare(ctx context.Context, records []registrar.Record) {
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

// seeds returns the addresses of the processes that start as seeds.
func (f *fleet) seeds() []netip.AddrPort {
	var as []netip.AddrPort
	for _, n := range f.members[:f.seedCount()] {
		as = append(as, n.Peers)
	}
	return as
}

func (f *fleet) dialer(from *node) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		to := f.byAddress[address]
		near, far := net.Pipe()
		delay := nearDelay
		if from.Member.Region != to.Member.Region {
			delay = farDelay
		}
		// A connection takes a round trip.
		time.Sleep(2 * delay)
		if f.shape.patient {
			for _, l := range []*regionLink{f.linkBetween(from, to), f.linkBetween(to, from)} {
				if err := l.transfer(ctx, handshakeBytes); err != nil {
					return nil, err
				}
			}
		}
		if to.refusesConnections.Load() {
			return nil, syscall.ECONNREFUSED
		}
		to.mu.Lock()
		listener := to.listener
		to.conns = append(to.conns, far)
		if to.stopped {
			_ = far.Close()
		}
		to.mu.Unlock()
		back := &link{Conn: far, node: to, delay: delay, dialerID: from.ID, peer: from, shared: f.linkBetween(to, from)}
		if err := listener.Deliver(ctx, connectortest.NewAsyncConn(back, back.send)); err != nil {
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
	// dialerID is the process that dialed, set at the end that accepted.
	dialerID string
	// peer is the process that reads what is written here.
	peer *node
	// shared carries the bytes between two regions; nil for an unbounded link.
	shared *regionLink
}

func (l *link) Read(b []byte) (int, error) {
	n, err := l.Conn.Read(b)
	l.node.bytes.Add(int64(n))
	if l.dialerID != "" && n > 0 {
		l.node.mu.Lock()
		l.node.requesters[l.dialerID] = true
		l.node.mu.Unlock()
	}
	return n, err
}

// send delivers bytes to the peer, at the rate of the link between the regions.
func (l *link) send(b []byte) error {
	time.Sleep(l.delay)
	if l.node.slowLink.Load() {
		time.Sleep(slowLinkDelay)
	}
	if l.shared == nil {
		return l.deliver(b)
	}
	for part := range slices.Chunk(b, segmentBytes) {
		if err := l.shared.transferSegment(context.Background(), len(part)); err != nil {
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
	if !l.node.reaches(l.peer) {
		return nil
	}
	n, err := l.Write(b)
	l.node.bytes.Add(int64(n))
	return err
}

// reaches returns whether this process's writes arrive at another.
func (n *node) reaches(peer *node) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.droppedPeers[peer.ID]
}

// dropWritesTo drops all that this process writes to another.
func (n *node) dropWritesTo(peer *node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.droppedPeers == nil {
		n.droppedPeers = map[string]bool{}
	}
	n.droppedPeers[peer.ID] = true
}

// waitUntilDrained waits until all responsive processes that the store doesn't refuse have received
// the drain of a failure domain, and returns how long that took.
func (f *fleet) waitUntilDrained(t testing.TB, domain string, limit time.Duration) time.Duration {
	began := time.Now()
	for _, n := range f.members {
		for n.isResponsive() {
			changed := n.Changed()
			if v := n.View(); v != nil && v.Drained(domain) {
				break
			}
			select {
			case <-changed:
			case <-time.After(limit - time.Since(began)):
				t.Fatalf("%s in %s has not received the drain of %s after %v", n.ID, n.Member.Region, domain, limit)
			}
		}
	}
	return time.Since(began)
}

func (n *node) isResponsive() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.stopped && !n.unresponsive.Load() && !n.storeUnresponsive.Load()
}

// regionOf returns the region of a process.
func (f *fleet) regionOf(id string) string {
	i := slices.IndexFunc(f.members, func(n *node) bool { return n.ID == id })
	return f.members[i].Member.Region
}

// withFleet runs a test with a fleet in virtual time, after the fleet has settled.
func withFleet(t *testing.T, entries, regions, upstreams int, test func(t *testing.T, f *fleet)) {
	t.Helper()
	withShapedFleet(t, shape{entries: entries, regions: regions, agents: regions, upstreams: upstreams}, test)
}

func withShapedFleet(t *testing.T, sh shape, test func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		// Answers in flight when all processes have stopped still take their time.
		t.Cleanup(func() { time.Sleep(connectortest.SettleTime) })
		f := newFleet(t, sh)
		time.Sleep(10 * time.Second)
		for _, n := range f.members {
			n.mu.Lock()
			clear(n.requesters)
			n.mu.Unlock()
			n.bytes.Store(0)
		}
		test(t, f)
	})
}
