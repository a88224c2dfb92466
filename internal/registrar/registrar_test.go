package registrar_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"
	"pgregory.net/rapid"

	"github.com/oriolecroft/oriolecroft/internal/matcher"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

var errUnreadable = errors.New("unreadable")

// decode decodes the records of these tests: up/ID, weights/MODEL, drained/DOMAIN, entry/ID and
// table. The value ? is unreadable.
func decode(key string, value []byte) (registrar.Fact, error) {
	kind, name, _ := strings.Cut(key, "/")
	if string(value) == "?" {
		if kind == "weights" {
			return registrar.Weights{Model: name}, errUnreadable
		}
		return nil, errUnreadable
	}
	switch kind {
	case "up":
		return registrar.Upstream{ID: name, Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:1"), Leaving: string(value) == `"leaving"`}, nil
	case "weights":
		var v uint64
		err := json.Unmarshal(value, &v)
		return registrar.Weights{Model: name, Version: v}, err
	case "entry":
		return registrar.Member{ID: name, Region: name}, nil
	case "drained":
		return registrar.Drained{FailureDomain: name}, nil
	case "table":
		var v uint64
		err := json.Unmarshal(value, &v)
		t := &matcher.Table{Version: v}
		t.Index()
		return registrar.Table{Table: t}, err
	}
	return nil, nil
}

func newRegistrar() (*registrar.Registrar, *clocktest.FakeClock) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	return &registrar.Registrar{Clock: c, Decode: decode, Linger: 1600 * time.Millisecond}, c
}

// withoutAges returns a batch like a list of the store, without the ages of its records.
func withoutAges(b registrar.Batch) registrar.Batch {
	b.Records = slices.Clone(b.Records)
	for i := range b.Records {
		b.Records[i].Age = registrar.UnknownAge
	}
	return b
}

func record(key, value string, revision uint64) registrar.Record {
	return registrar.Record{Key: key, Value: []byte(value), Revision: revision}
}

// A peer that is behind answers a process with newer records. A caller would be routed by a table
// that was replaced.
func TestOlderRecordsChangeNothing(t *testing.T) {
	r, _ := newRegistrar()
	r.Apply(registrar.Batch{Whole: true, At: 9, Records: []registrar.Record{record("table", "7", 9)}})
	must.False(t, r.Apply(registrar.Batch{Whole: true, At: 5, Records: []registrar.Record{record("table", "6", 5)}}))
	must.Eq(t, 7, r.View().Table.Version)
	must.True(t, r.Apply(registrar.Batch{After: 9, At: 12, Records: []registrar.Record{record("table", "3", 12)}}))
	must.Eq(t, 7, r.View().Table.Version, must.Sprint("a version below the one in force"))
}

// A batch may start above the known revision if one was lost in transit. The changes in between
// would never arrive: a drained failure domain would continue to get requests.
func TestBatchWithGapIsRejected(t *testing.T) {
	r, _ := newRegistrar()
	r.Apply(registrar.Batch{Whole: true, At: 5})
	must.False(t, r.Apply(registrar.Batch{After: 7, At: 8, Records: []registrar.Record{record("up/a", "1", 8)}}))
	at, _, _ := r.Revision()
	must.Eq(t, 5, at)
}

// The leases of running upstreams expired while the store was unreachable. If they were dropped at
// once, every request would be refused although all of them serve; if they stayed for good, one
// that is really gone would get requests.
func TestExpiredUpstreamsLingerAfterOutage(t *testing.T) {
	r, c := newRegistrar()
	r.Apply(registrar.Batch{Whole: true, At: 5, Records: []registrar.Record{record("up/a", "1", 4), record("up/b", "1", 5)}})
	c.Step(10 * time.Second)
	r.StoreCallFailed()
	r.Apply(registrar.Batch{Whole: true, At: 9})
	must.Len(t, 2, r.View().Service("s"))
	c.Step(time.Second)
	r.Apply(registrar.Batch{After: 9, At: 10, Records: []registrar.Record{record("up/a", "1", 10)}})
	c.Step(700 * time.Millisecond)
	r.Tick()
	must.Len(t, 1, r.View().Service("s"))
	must.Eq(t, "a", r.View().Service("s")[0].ID)
}

// Without an outage a deleted record means that the upstream has shut down.
func TestDeletedUpstreamIsDroppedAtOnce(t *testing.T) {
	r, _ := newRegistrar()
	r.Apply(registrar.Batch{Whole: true, At: 5, Records: []registrar.Record{record("up/a", "1", 4)}})
	r.Apply(registrar.Batch{After: 5, At: 6, Records: []registrar.Record{{Key: "up/a", Revision: 6, Deleted: true}}})
	must.Len(t, 0, r.View().Service("s"))
}

// Another writer corrupts a record. The route table and the weights stay in force, as nothing is
// served without them; a corrupted upstream record states nothing usable.
func TestUnreadableRecords(t *testing.T) {
	r, _ := newRegistrar()
	r.Apply(registrar.Batch{Whole: true, At: 5, Records: []registrar.Record{
		record("table", "7", 3), record("weights/m", "2", 4), record("up/a", "1", 5)}})
	r.Apply(registrar.Batch{After: 5, At: 8, Records: []registrar.Record{
		record("table", "?", 6), record("weights/m", "?", 7), record("up/a", "?", 8)}})
	must.Eq(t, 7, r.View().Table.Version)
	w, ok := r.View().Weights("m")
	must.True(t, ok)
	must.Eq(t, 2, w.Version)
	must.Len(t, 0, r.View().Service("s"))
}

// Guards against a process that restarts and finds a version announced long ago: if the bound
// counted from its own start, old weights would answer callers beyond it.
func TestAgeOfListedRecords(t *testing.T) {
	found := registrar.Record{Key: "weights/m", Value: []byte("2"), Revision: 4, Age: registrar.UnknownAge}
	started, _ := newRegistrar()
	started.Apply(registrar.Batch{Whole: true, At: 5, Records: []registrar.Record{found}})
	w, _ := started.View().Weights("m")
	must.True(t, w.Learned.IsZero(), must.Sprint("its age is unknown"))

	witness, c := newRegistrar()
	witness.Apply(registrar.Batch{Whole: true, At: 3})
	witness.Apply(registrar.Batch{After: 3, At: 4, Records: []registrar.Record{record("weights/m", "2", 4)}})
	c.Step(3 * time.Second)
	peer, now := newRegistrar()
	peer.Apply(witness.ChangesSince(0))
	w, _ = peer.View().Weights("m")
	must.Eq(t, 3*time.Second, now.Since(w.Learned), must.Sprint("a process that saw the change reports its age"))
}

// oracle is the state and the history of the store.
type oracle struct {
	revision uint64
	live     map[string]registrar.Record
	history  []registrar.Record
}

func (o *oracle) change(key, value string, deleted bool) {
	if _, exists := o.live[key]; deleted && !exists {
		return
	}
	o.revision++
	rec := registrar.Record{Key: key, Value: []byte(value), Revision: o.revision, Deleted: deleted}
	o.history = append(o.history, rec)
	if deleted {
		delete(o.live, key)
		return
	}
	o.live[key] = rec
}

func (o *oracle) list() registrar.Batch {
	b := registrar.Batch{Whole: true, At: o.revision}
	for _, rec := range o.live {
		b.Records = append(b.Records, rec)
	}
	return b
}

func (o *oracle) watch(after uint64) registrar.Batch {
	b := registrar.Batch{After: after, At: o.revision}
	for _, rec := range o.history {
		if rec.Revision > after {
			b.Records = append(b.Records, rec)
		}
	}
	return b
}

func formatUpstreams(v *registrar.View) string {
	if v == nil {
		return ""
	}
	var ids []string
	for _, u := range v.Upstreams {
		ids = append(ids, fmt.Sprintf("%s@%d", u.ID, u.Revision))
	}
	return strings.Join(ids, " ")
}

// Processes receive updates from the store and from each other in any order, restart empty, and
// miss compacted changes. None may ever return to an older revision, and all must agree with the
// store once updates have reached all of them.
func TestRevisionsOnlyIncreaseAndConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &oracle{live: map[string]registrar.Record{}, revision: 1}
		rs := make([]*registrar.Registrar, 3)
		seen := make([]uint64, len(rs))
		for i := range rs {
			rs[i], _ = newRegistrar()
		}
		process := rapid.IntRange(0, len(rs)-1)
		check := func(i int) {
			at, _, _ := rs[i].Revision()
			if at < seen[i] {
				t.Fatalf("process %d went from revision %d to %d", i, seen[i], at)
			}
			seen[i] = at
		}
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				o.change("up/"+rapid.StringMatching("[a-d]").Draw(t, "key"), "1", rapid.Bool().Draw(t, "deleted"))
			},
			"list": func(t *rapid.T) {
				i := process.Draw(t, "process")
				rs[i].Apply(o.list())
				check(i)
			},
			"watch": func(t *rapid.T) {
				i := process.Draw(t, "process")
				at, _, _ := rs[i].Revision()
				rs[i].Apply(o.watch(at))
				check(i)
			},
			"tell": func(t *rapid.T) {
				from, to := process.Draw(t, "from"), process.Draw(t, "to")
				at, _, _ := rs[to].Revision()
				rs[to].Apply(rs[from].ChangesSince(at))
				check(to)
			},
			"restart": func(t *rapid.T) {
				i := process.Draw(t, "process")
				rs[i], _ = newRegistrar()
				seen[i] = 0
			},
		})
		rs[0].Apply(o.list())
		for _, r := range rs[1:] {
			at, _, _ := r.Revision()
			r.Apply(rs[0].ChangesSince(at))
			if got, want := formatUpstreams(r.View()), formatUpstreams(rs[0].View()); got != want {
				t.Fatalf("got %q in a process, want %q as in the store", got, want)
			}
		}
	})
}

// A route table of a megabyte goes to a hundred processes over narrow links. It must arrive
// unchanged, and much smaller in transit.
func TestLargeRecordsAreCompressed(t *testing.T) {
	from, _ := newRegistrar()
	large := "7" + strings.Repeat(" ", 100_000)
	from.Apply(registrar.Batch{Whole: true, At: 5, Records: []registrar.Record{record("table", large, 5)}})
	b := from.ChangesSince(0)
	sent, err := json.Marshal(b)
	must.NoError(t, err)
	must.Less(t, 10_000, len(sent))
	to, _ := newRegistrar()
	to.Apply(b)
	must.Eq(t, 7, to.View().Table.Version)
	again, err := json.Marshal(to.ChangesSince(0))
	must.NoError(t, err)
	must.Less(t, 10_000, len(again))
	b.Records[0].Packed = []byte("spoilt")
	b.Records[0].Revision = 9
	must.False(t, to.Apply(registrar.Batch{After: 5, At: 9, Records: b.Records}))
	must.Eq(t, 7, to.View().Table.Version)
	at, _, _ := to.Revision()
	must.Eq(t, 5, at, must.Sprint("the corrupted record is requested again"))
}

// Guards against a cold upstream that gets as much load as a warm one and fails. The store's
// history is compacted, and an entry lists the store after seconds without updates. It finds an
// upstream that stated a moment ago that it stays cold for three seconds. From the last update
// before the gap, that time would be over.
func TestListedUpstreamIsColdFromNow(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	r := &registrar.Registrar{Clock: c, Decode: func(key string, _ []byte) (registrar.Fact, error) {
		return registrar.Upstream{ID: key, Service: "s", Cold: 3 * time.Second}, nil
	}}
	r.Apply(registrar.Batch{Whole: true, At: 1})
	c.Step(10 * time.Second)
	r.Apply(registrar.Batch{Whole: true, At: 2, Records: []registrar.Record{{Key: "up/a", Revision: 2, Age: registrar.UnknownAge}}})
	must.Eq(t, 3*time.Second, r.View().Service("s")[0].ColdFor())
	until := c.Now().Add(3 * time.Second)
	c.Step(500 * time.Millisecond)
	peer := &registrar.Registrar{Clock: c, Decode: r.Decode}
	peer.Apply(r.ChangesSince(0))
	must.Eq(t, until.Sub(c.Now()), peer.View().Service("s")[0].ColdFor(), must.Sprint("a peer counts as its source does"))
	// Later updates don't extend it.
	c.Step(500 * time.Millisecond)
	r.Apply(registrar.Batch{After: 2, At: 3, Records: []registrar.Record{{Key: "up/b", Revision: 3}}})
	must.Eq(t, until.Sub(c.Now()), r.View().Service("s")[0].ColdFor())
}

// Guards against a record that is truncated to the size limit and accepted as whole.
func TestOversizedRecordIsRejected(t *testing.T) {
	from, _ := newRegistrar()
	from.Apply(registrar.Batch{Whole: true, At: 5, Records: []registrar.Record{record("table", "7"+strings.Repeat(" ", 9<<20), 5)}})
	to, _ := newRegistrar()
	must.False(t, to.Apply(from.ChangesSince(0)))
	must.Nil(t, to.View())
}
