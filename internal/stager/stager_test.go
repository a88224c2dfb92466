package stager_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/fetcher"
	"github.com/oriolecroft/oriolecroft/internal/loader"
	"github.com/oriolecroft/oriolecroft/internal/matcher"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
	"github.com/oriolecroft/oriolecroft/internal/stager"
	"github.com/oriolecroft/oriolecroft/internal/suspender"
)

const (
	chunkCount = 6
	model      = "m"
)

// chunkOf returns the bytes of a version's chunk.
func chunkOf(version uint64, chunk int) []byte {
	return fmt.Appendf(nil, "version %d chunk %d", version, chunk)
}

// engine loads whatever is staged without checking it, like a real one.
type engine struct {
	mu        sync.Mutex
	staged    map[int][]byte
	held      uint64
	startedAt int64
	// loaded is what was staged at the last order.
	loaded map[int][]byte
	orders int
	// versions lists the versions of the orders.
	versions []uint64
	// corruptNext, when set, corrupts the next chunk that is staged.
	corruptNext bool
	// running is the number of requests that delay an order.
	running int
	// delay is how long the engine takes to stage a chunk.
	delay time.Duration
	// unresponsive engines refuse calls for their report.
	unresponsive bool
	// loadTime is how long loading takes.
	loadTime time.Duration
	// onReport and onRead, when set, are called while the engine's report is requested, and while a
	// staged chunk is read back.
	onReport func()
	onRead   func(chunk int)
}

var (
	errNotStaged = errors.New("not staged")
	errWithheld  = errors.New("withheld")
)

func (e *engine) Report(context.Context) (stager.Report, error) {
	e.mu.Lock()
	looking := e.onReport
	e.mu.Unlock()
	if looking != nil {
		looking()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.unresponsive {
		return stager.Report{}, errRefused
	}
	r := stager.Report{StartedAt: time.UnixMilli(e.startedAt), Running: e.running}
	if e.held > 0 {
		r.Models = []registrar.HeldModel{{Name: model, Version: e.held}}
	}
	return r, nil
}

func (e *engine) Stage(_ context.Context, _ string, chunk int, data []byte) error {
	e.mu.Lock()
	slow := e.delay
	e.mu.Unlock()
	time.Sleep(slow)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.corruptNext {
		e.corruptNext = false
		data = []byte("spoilt")
	}
	e.staged[chunk] = data
	return nil
}

func (e *engine) Staged(_ context.Context, _ string, chunk int, _ int64) ([]byte, error) {
	e.mu.Lock()
	data, ok := e.staged[chunk]
	reading := e.onRead
	e.mu.Unlock()
	if reading != nil {
		reading(chunk)
	}
	if !ok {
		return nil, errNotStaged
	}
	return data, nil
}

func (e *engine) StagedChunks(context.Context, string) ([]int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Sorted(maps.Keys(e.staged)), nil
}

var errRefused = errors.New("connection refused")

func (e *engine) Load(_ context.Context, _ string, version uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders++
	e.versions = append(e.versions, version)
	e.loaded = map[int][]byte{}
	for i, data := range e.staged {
		e.loaded[i] = data
	}
	if e.loadTime == 0 {
		e.held = version
		return nil
	}
	time.AfterFunc(e.loadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.held = version
	})
	return nil
}

func (e *engine) holds() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.held
}

// hasStaged reports whether these chunks of a version are staged.
func (e *engine) hasStaged(version uint64, chunks ...int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, i := range chunks {
		if string(e.staged[i]) != string(chunkOf(version, i)) {
			return false
		}
	}
	return true
}

// origin serves every version; while differing is set, its lists of digests are wrong.
type origin struct {
	mu           sync.Mutex
	listRequests int
	// differing makes each list of digests differ from the one before.
	differing bool
	// withheld chunks are not served; served lists those served so far.
	withheld map[int]bool
	// withheldVersion is the version of which nothing is served; 0 for none.
	withheldVersion uint64
	served          []int
	// servedOf counts the chunks served of each version.
	servedOf map[uint64]int
	// down refuses all lists of digests; listed are the versions whose list was served.
	down   bool
	listed map[uint64]bool
}

func (o *origin) Digests(_ context.Context, _ string, version uint64) (stager.Digests, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.listRequests++
	if o.down {
		return stager.Digests{}, errWithheld
	}
	if o.listed == nil {
		o.listed = map[uint64]bool{}
	}
	o.listed[version] = true
	d := stager.Digests{ChunkBytes: int64(len(chunkOf(version, 0)))}
	for i := range chunkCount {
		sum := sha256.Sum256(chunkOf(version, i))
		d.SHA256 = append(d.SHA256, hex.EncodeToString(sum[:]))
	}
	if o.differing {
		sum := sha256.Sum256(fmt.Append(nil, o.listRequests))
		d.SHA256[0] = hex.EncodeToString(sum[:])
	}
	return d, nil
}

func (o *origin) Chunk(_ context.Context, _ string, version uint64, chunk int, _ int64) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.withheld[chunk] || version == o.withheldVersion {
		return nil, errWithheld
	}
	if version > 1 {
		o.served = append(o.served, chunk)
	}
	if o.servedOf == nil {
		o.servedOf = map[uint64]int{}
	}
	o.servedOf[version]++
	return chunkOf(version, chunk), nil
}

// fixture is one agent beside one engine.
type fixture struct {
	loader    *loader.Loader
	stager    *stager.Stager
	registrar *registrar.Registrar
	ledger    *scheduler.Ledger
	engine    *engine
	origin    *origin
	revision  uint64
	stop      context.CancelFunc
}

func newFixture(t *testing.T, e *engine, bound time.Duration, found ...registrar.Record) *fixture {
	return newFixtureWithClock(t, clock.RealClock{}, e, bound, found...)
}

// newFixtureWithClock makes a fixture whose ages are measured by the given clock.
func newFixtureWithClock(t *testing.T, c clock.WithTicker, e *engine, bound time.Duration, found ...registrar.Record) *fixture {
	return newFixtureWithOrigin(t, c, e, &origin{}, bound, found...)
}

func newFixtureWithOrigin(t *testing.T, c clock.WithTicker, e *engine, o *origin, bound time.Duration, found ...registrar.Record) *fixture {
	f := &fixture{engine: e, origin: o, ledger: &scheduler.Ledger{Clock: c}, revision: 1}
	if e.staged == nil {
		e.staged = map[int][]byte{}
	}
	f.registrar = &registrar.Registrar{Clock: c, Decode: decode}
	f.registrar.Apply(registrar.Batch{Whole: true, At: 1, Records: append(found, registrar.Record{Key: "table", Revision: 1})})
	client := &http.Client{}
	digests := &stager.Digester{Client: client}
	l := &loader.Loader{ID: "self", Region: "r", Clock: clock.RealClock{}, Sources: []fetcher.Source{digests}, Memory: 1 << 20,
		Peer:     func(a netip.AddrPort) fetcher.Source { return &fetcher.HTTP{Address: a, Client: client} },
		Patience: 50 * time.Millisecond, Settle: time.Millisecond, Poll: 20 * time.Millisecond}
	s := &stager.Stager{ID: "agent", Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:1"), Region: "r",
		Registrar: f.registrar, Loader: l, Ledger: f.ledger, Engine: e, Bound: bound, Clock: c, Digests: digests,
		Origin: func(netip.AddrPort) stager.Origin { return f.origin }}
	f.loader = l
	f.stager, f.ledger.Expiry = s, s.Expiry
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	t.Cleanup(stop)
	go func() { _ = l.Serve(ctx) }()
	go func() { _ = s.Serve(ctx) }()
	return f
}

func decode(key string, value []byte) (registrar.Fact, error) {
	switch key {
	case "table":
		coldRate := 0.0
		if len(value) > 0 {
			coldRate = float64(value[0])
		}
		t := &matcher.Table{Version: 1, Services: map[string]*matcher.Service{
			"s": {Name: "s", ColdRate: coldRate, Engine: &matcher.Engine{Slots: 4, Chunks: chunkCount, ReadPerSecond: 1000, Models: []string{model}}},
			"o": {Name: "o", Origin: &matcher.Origin{Address: netip.MustParseAddrPort("127.0.0.1:2")}},
		}}
		t.Index()
		return registrar.Table{Table: t}, nil
	case "upstream":
		return registrar.Upstream{
			ID: key, Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:1"), Cold: time.Duration(value[0]) * time.Second,
		}, nil
	}
	if address, ok := strings.CutPrefix(key, "peer "); ok {
		a, err := netip.ParseAddrPort(address)
		return registrar.Upstream{ID: key, Service: "s", Address: a}, err
	}
	return registrar.Weights{Model: model, Version: uint64(value[0])}, nil
}

// announce makes a version the one to hold.
func (f *fixture) announce(version byte) {
	f.registrar.Apply(announcement(f.revision, version))
	f.revision++
}

// announcement returns the change after a revision that makes a version the one to hold.
func announcement(after uint64, version byte) registrar.Batch {
	return registrar.Batch{After: after, At: after + 1, Records: []registrar.Record{
		{Key: "weights", Value: []byte{version}, Revision: after + 1}}}
}

func (f *fixture) isOpen() bool {
	v := f.ledger.Reserve(scheduler.Job{ID: "probe", Prompt: 1, Patience: time.Hour, Left: time.Millisecond}, nil)
	f.ledger.Ended("probe")
	return v.Granted
}

func eventually(t *testing.T, f func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(f), wait.Timeout(10*time.Second), wait.Gap(10*time.Millisecond)))
}

// An added engine is empty. It must not get a request before it holds complete weights.
func TestEmptyEngineIsLoadedBeforeItOpens(t *testing.T) {
	e := &engine{startedAt: 1}
	f := newFixture(t, e, 8*time.Second)
	must.False(t, f.isOpen())
	eventually(t, func() bool { return e.holds() == 1 })
	eventually(t, f.isOpen)
}

// Guards against a chunk that is corrupted between its staging and the load order: the engine does
// not check, and would generate from corrupted weights.
func TestCorruptStagedChunkIsReplacedBeforeTheLoadOrder(t *testing.T) {
	e := &engine{startedAt: 1, corruptNext: true}
	newFixture(t, e, 8*time.Second)
	eventually(t, func() bool { return e.holds() == 1 })
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range chunkCount {
		must.Eq(t, string(chunkOf(1, i)), string(e.loaded[i]))
	}
}

// A restarted engine keeps what was staged and holds nothing. Its agent must detect the restart and
// order a load before requests are sent there.
func TestRestartedEngineIsLoadedAgain(t *testing.T) {
	e := &engine{startedAt: 1}
	f := newFixture(t, e, 8*time.Second)
	eventually(t, f.isOpen)
	e.mu.Lock()
	e.startedAt, e.held, e.orders = 2, 0, 0
	e.mu.Unlock()
	eventually(t, func() bool { e.mu.Lock(); defer e.mu.Unlock(); return e.orders == 1 })
	eventually(t, f.isOpen)
}

// If engines stopped at the announcement of a version, all would stop at once. An engine continues
// with the old weights until its switch, and then loads the new ones.
func TestAnnouncedVersionIsLoadedAtTheSwitchTime(t *testing.T) {
	const bound = 3 * time.Second
	e := &engine{startedAt: 1}
	vm := &suspender.VM{Steady: fixedClock{at: time.Unix(1000, 0)}}
	f := newFixtureWithClock(t, vm.Clock(), e, bound)
	eventually(t, f.isOpen)
	f.announce(2)
	eventually(t, func() bool { return e.hasStaged(2, 0, 1, 2, 3, 4, 5) })
	must.Eq(t, 1, e.holds())
	must.True(t, f.isOpen(), must.Sprint("the old weights must still serve"))
	// The switch of the only engine is due at half the bound.
	vm.Suspend(bound/2 + time.Millisecond)
	eventually(t, func() bool { return e.holds() == 2 })
	eventually(t, f.isOpen)
}

// fixedClock always shows the same time, but its timers run: ages are those that a test sets,
// however long its steps take on a busy machine.
type fixedClock struct {
	clock.RealClock
	at time.Time
}

func (c fixedClock) Now() time.Time                  { return c.at }
func (c fixedClock) Since(t time.Time) time.Duration { return c.at.Sub(t) }

// All agents lose their memory just before the engines switch to a new version, and only the staged
// chunks are left. If they are the old version's, the new one has to come from the origin again,
// and callers are refused until then.
func TestCompleteWeightsAreStagedBeforeTheSwitch(t *testing.T) {
	e := &engine{startedAt: 1}
	f := newFixture(t, e, time.Minute)
	eventually(t, f.isOpen)
	f.announce(2)
	eventually(t, func() bool { return e.hasStaged(2, 0, 1, 2, 3, 4, 5) })
	must.Eq(t, 1, e.holds(), must.Sprint("the engine must keep the old weights until its switch"))
	must.True(t, f.isOpen())
}

// The origin fails while a version is being fetched, and then the agent is killed. Chunks that
// arrived must not be fetched again when both are back: after a power failure all agents lose
// theirs together, and the complete version would have to cross the origin's link again before any
// request is served.
func TestStagedChunksSurviveAnAgentRestart(t *testing.T) {
	e := &engine{startedAt: 1}
	f := newFixture(t, e, time.Minute)
	eventually(t, f.isOpen)
	f.origin.mu.Lock()
	f.origin.withheld = map[int]bool{2: true, 4: true}
	f.origin.mu.Unlock()
	f.announce(2)
	eventually(t, func() bool { return e.hasStaged(2, 0, 1, 3, 5) })
	f.stop()
	e.mu.Lock()
	e.startedAt, e.held = 2, 0
	e.mu.Unlock()
	next := newFixture(t, e, time.Minute, registrar.Record{Key: "weights", Value: []byte{2}, Revision: 1})
	eventually(t, next.isOpen)
	must.Eq(t, 2, e.holds())
	next.origin.mu.Lock()
	defer next.origin.mu.Unlock()
	slices.Sort(next.origin.served)
	must.Eq(t, []int{2, 4}, slices.Compact(next.origin.served))
}

// The chunks of an announced version are unavailable. When the old weights expire, the agent is
// still waiting for slow calls. No reply may start on the old weights meanwhile: callers would get
// replies from weights that the operators replaced.
func TestOldWeightsExpireWhileTheAgentIsBusy(t *testing.T) {
	e := &engine{startedAt: 1}
	f := newFixture(t, e, 2*time.Second)
	eventually(t, f.isOpen)
	e.mu.Lock()
	e.delay = 1500 * time.Millisecond
	e.mu.Unlock()
	f.origin.mu.Lock()
	f.origin.withheld = map[int]bool{2: true}
	f.origin.mu.Unlock()
	f.announce(2)
	// The pending calls to the engine take until after the bound less its margin of 0.7 s.
	time.Sleep(1400 * time.Millisecond)
	must.False(t, f.isOpen())
}

// Guards against an announcement lost behind a newer one. An agent was suspended for 9.4 s while
// its engine was to load version 7 and versions 8 and 9 were announced. Records between processes
// carried only the newest version, so the agent measured the expiry of 7 from 9 instead of 8, and
// let requests start on 7 until 11.5 s after 8 (7.3 s after 9), with a bound of 8 s.
func TestAnnouncementMissedByASuspendedAgentCounts(t *testing.T) {
	e := &engine{startedAt: 1}
	f := newFixture(t, e, 2*time.Second)
	eventually(t, f.isOpen)
	f.origin.mu.Lock()
	f.origin.withheld = map[int]bool{2: true}
	f.origin.mu.Unlock()
	peer := &registrar.Registrar{Clock: clock.RealClock{}, Decode: decode}
	peer.Apply(f.registrar.ChangesSince(0))
	peer.Apply(announcement(f.revision, 2))
	time.Sleep(1500 * time.Millisecond)
	peer.Apply(announcement(f.revision+1, 3))
	f.registrar.Apply(peer.ChangesSince(f.revision))
	must.Eq(t, 1, e.holds())
	// The bound less its margin of 0.7 s has passed since the first of the two announcements.
	must.False(t, f.isOpen())
}

// Two versions are announced two seconds apart, and the origin fails before the first is complete.
// At its return the bound after which only the second may serve is nearly over: if the first were
// fetched and loaded then, it would serve nothing, and callers would be refused meanwhile.
func TestVersionCloseToItsExpiryIsSkipped(t *testing.T) {
	e := &engine{startedAt: 1}
	f := newFixture(t, e, 2700*time.Millisecond)
	eventually(t, f.isOpen)
	f.origin.mu.Lock()
	f.origin.withheld = map[int]bool{2: true}
	f.origin.mu.Unlock()
	f.announce(2)
	time.Sleep(800 * time.Millisecond)
	f.announce(3)
	time.Sleep(800 * time.Millisecond)
	f.origin.mu.Lock()
	f.origin.withheld = nil
	f.origin.mu.Unlock()
	eventually(t, func() bool { return e.holds() > 1 })
	must.Eq(t, 3, e.holds())
}

// The origin's list of digests may be corrupted, and every correct chunk would then look wrong
// forever. Two lists that differ are both rejected.
func TestCorruptDigestListIsRequestedAgain(t *testing.T) {
	e := &engine{startedAt: 1}
	f := newFixture(t, e, 3*time.Second)
	eventually(t, f.isOpen)
	f.origin.mu.Lock()
	f.origin.differing = true
	f.origin.mu.Unlock()
	f.announce(2)
	time.Sleep(200 * time.Millisecond)
	must.Eq(t, 1, e.holds())
	f.origin.mu.Lock()
	f.origin.differing = false
	f.origin.mu.Unlock()
	eventually(t, func() bool { return e.holds() == 2 })
}

// An agent starts beside an engine with old weights, long after a newer version was announced. The
// age of that is unknown, so no reply may start on the old weights.
func TestOldWeightsOfUnknownAgeServeNothing(t *testing.T) {
	e := &engine{startedAt: 1, held: 1}
	f := newFixtureWithOrigin(t, clock.RealClock{}, e, &origin{differing: true}, 8*time.Second,
		registrar.Record{Key: "weights", Value: []byte{2}, Revision: 1, Age: registrar.UnknownAge})
	time.Sleep(400 * time.Millisecond)
	must.False(t, f.isOpen())
}
