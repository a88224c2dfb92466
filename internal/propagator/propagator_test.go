package propagator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/localizer"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/propagator"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/storer"
)

// stepTimeout bounds how long a step may take on a machine that is short of processor time.
const stepTimeout = 20 * time.Second

// fakeStore stores records and passes them to the registrars of entries, unless it is unavailable.
type fakeStore struct {
	mu          sync.Mutex
	unavailable bool
	revision    uint64
	registrars  []*registrar.Registrar
	puts        map[string]localizer.Blame
}

func (s *fakeStore) PutBlame(_ context.Context, b localizer.Blame) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return &storer.UnavailableError{Op: "put"}
	}
	s.puts[b.Part] = b
	value, err := json.Marshal(b)
	if err != nil {
		return err
	}
	s.write("blame "+b.Part, value)
	return nil
}

func (s *fakeStore) DropBlame(context.Context, string) error { return nil }

func (s *fakeStore) write(key string, value []byte) {
	s.revision++
	for _, r := range s.registrars {
		r.Apply(registrar.Batch{After: s.revision - 1, At: s.revision, Records: []registrar.Record{{Key: key, Value: value, Revision: s.revision}}})
	}
}

func (s *fakeStore) storedBlame(part string) localizer.Blame {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.puts[part]
}

func decode(key string, value []byte) (registrar.Fact, error) {
	if strings.HasPrefix(key, "blame ") {
		var b localizer.Blame
		err := json.Unmarshal(value, &b)
		return registrar.Blame{Blame: b}, err
	}
	var m registrar.Member
	err := json.Unmarshal(value, &m)
	return m, err
}

// testEntry is an entry of a deployment, with its own server and propagator.
type testEntry struct {
	*localizer.Localizer
	propagator *propagator.Propagator
	registrar  *registrar.Registrar
	member     registrar.Member
	stop       func()
	crashes    int
}

// deployment is a set of connected entries.
type deployment struct {
	t       *testing.T
	store   *fakeStore
	entries []*testEntry
}

func newDeployment(t *testing.T, n int) *deployment {
	d := &deployment{t: t, store: &fakeStore{puts: map[string]localizer.Blame{}}}
	for i := range n {
		d.entries = append(d.entries, d.start(fmt.Sprint("e", i), "1", nil))
	}
	d.announceMembers()
	return d
}

// announceMembers publishes all entries through the store.
func (d *deployment) announceMembers() {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	for _, e := range d.entries {
		value, err := json.Marshal(e.member)
		must.NoError(d.t, err)
		d.store.write(e.member.ID, value)
	}
}

func (d *deployment) start(id, incarnation string, seeds []netip.AddrPort) *testEntry {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(d.t, err)
	e := &testEntry{registrar: &registrar.Registrar{Clock: clock.RealClock{}, Decode: decode}}
	e.Localizer = &localizer.Localizer{Entry: id, Clock: clock.RealClock{}, WallClock: clock.RealClock{}}
	a := netip.MustParseAddrPort(l.Addr().String())
	e.member = registrar.Member{ID: id, Incarnation: incarnation, Callers: a, Peers: a}
	e.propagator = &propagator.Propagator{
		Localizer: e.Localizer, Registrar: e.registrar, Member: e.member, Seeds: seeds, Store: d.store, Clock: clock.RealClock{},
		Dial: func(a netip.AddrPort) *messenger.Client { return &messenger.Client{Address: a} },
	}
	ctx, cancel := context.WithCancel(context.Background())
	server := &messenger.Server{Listener: l, OnEvidence: e.Handle}
	var wg sync.WaitGroup
	wg.Go(func() { _ = server.Serve(ctx) })
	wg.Go(func() { _ = e.propagator.Serve(ctx) })
	e.stop = func() {
		cancel()
		wg.Wait()
	}
	d.t.Cleanup(e.stop)
	d.store.mu.Lock()
	d.store.registrars = append(d.store.registrars, e.registrar)
	d.store.mu.Unlock()
	return e
}

// recordCrashes records crashes under requests with a part, far enough apart to count as separate ones.
func (e *testEntry) recordCrashes(part string, n int) {
	for range n {
		e.crashes++
		e.Crashed(fmt.Sprint(e.member.ID, " upstream ", e.crashes), []string{part}, time.Now())
		time.Sleep(250 * time.Millisecond)
	}
}

// waitForRefusal waits until an entry refuses a part, or accepts it if want is false.
func (d *deployment) waitForRefusal(e *testEntry, part string, want bool) {
	deadline := time.Now().Add(stepTimeout)
	for (e.Check("r", []string{part}) != nil) != want {
		must.True(d.t, time.Now().Before(deadline), must.Sprintf("%s: %v", e.member.ID, e.Blames()))
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against evidence that isn't exchanged: no single entry observes enough crashes, and the store is unavailable.
func TestEvidenceOfAllEntriesIsCombined(t *testing.T) {
	d := newDeployment(t, 3)
	d.store.unavailable = true
	for range 2 {
		for _, e := range d.entries {
			e.recordCrashes("fatal", 1)
		}
	}
	for _, e := range d.entries {
		d.waitForRefusal(e, "fatal", true)
		must.NoError(t, e.Check("r", []string{"other"}))
	}
}

// Guards against an entry that has just started and lacks the others' blames while the store is unavailable.
func TestStartedEntryPullsBlames(t *testing.T) {
	d := newDeployment(t, 2)
	d.store.unavailable = true
	d.entries[0].recordCrashes("fatal", 5)
	d.waitForRefusal(d.entries[1], "fatal", true)
	started := d.start("e2", "1", []netip.AddrPort{d.entries[1].member.Peers})
	must.False(t, started.propagator.Synced())
	d.waitForRefusal(started, "fatal", true)
}

// Guards against blames that are lost by a restart of all entries, and against blames that aren't stored because the
// entry that decided is down.
func TestBlamesArePersistedInStore(t *testing.T) {
	d := newDeployment(t, 2)
	d.store.mu.Lock()
	d.store.unavailable = true
	d.store.mu.Unlock()
	d.entries[0].recordCrashes("fatal", 5)
	for _, e := range d.entries {
		d.waitForRefusal(e, "fatal", true)
	}
	d.entries[0].stop()
	d.store.mu.Lock()
	d.store.unavailable = false
	d.store.mu.Unlock()
	deadline := time.Now().Add(stepTimeout)
	for d.store.storedBlame("fatal").Part == "" {
		must.True(t, time.Now().Before(deadline))
		time.Sleep(20 * time.Millisecond)
	}
	d.entries[1].stop()
	started := d.start("e3", "1", nil)
	value, err := json.Marshal(d.store.storedBlame("fatal"))
	must.NoError(t, err)
	started.registrar.Apply(registrar.Batch{Whole: true, At: 100, Records: []registrar.Record{{Key: "blame fatal", Value: value, Revision: 100}}})
	d.waitForRefusal(started, "fatal", true)
}

// Guards against a blame that stays active at entries that the operator's request to lift it didn't reach.
func TestLiftedBlameEndsEverywhere(t *testing.T) {
	d := newDeployment(t, 3)
	d.entries[0].recordCrashes("fatal", 5)
	for _, e := range d.entries {
		d.waitForRefusal(e, "fatal", true)
	}
	b := d.entries[2].Blames()[0]
	b.Lifted, b.Reason = true, "operator"
	client := &messenger.Client{Address: d.entries[2].member.Peers, Timeout: stepTimeout}
	defer client.Close()
	_, err := client.Evidence(t.Context(), localizer.Update{Blames: []localizer.Blame{b}})
	must.NoError(t, err)
	for _, e := range d.entries {
		d.waitForRefusal(e, "fatal", false)
	}
}
