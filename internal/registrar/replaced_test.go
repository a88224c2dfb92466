package registrar_test

import (
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// upstreamRecord is an upstream's record in these tests.
type upstreamRecord struct {
	Service   string
	Port      uint16
	StartedAt int64
}

func decodeUpstream(key string, value []byte) (registrar.Fact, error) {
	var s upstreamRecord
	if err := json.Unmarshal(value, &s); err != nil {
		return nil, err
	}
	u := registrar.Upstream{ID: key, Service: s.Service, Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), s.Port)}
	if s.StartedAt != 0 {
		u.StartedAt = time.UnixMilli(s.StartedAt)
	}
	return u, nil
}

// harness drives a registrar whose upstreams start and stop.
type harness struct {
	*registrar.Registrar
	t        *testing.T
	revision uint64
}

func newHarness(t *testing.T) *harness {
	r := &registrar.Registrar{Clock: clocktest.NewFakeClock(time.Unix(1000, 0)), Decode: decodeUpstream}
	r.Apply(registrar.Batch{Whole: true, At: 1})
	return &harness{Registrar: r, t: t, revision: 1}
}

func (r *harness) put(id string, s upstreamRecord) {
	value, err := json.Marshal(s)
	must.NoError(r.t, err)
	r.apply(record(id, string(value), r.revision+1))
}

func (r *harness) remove(id string) {
	r.apply(registrar.Record{Key: id, Revision: r.revision + 1, Deleted: true})
}

func (r *harness) apply(rec registrar.Record) {
	r.Apply(registrar.Batch{After: r.revision, At: r.revision + 1, Records: []registrar.Record{rec}})
	r.revision++
}

func (r *harness) expect(ids ...string) {
	r.t.Helper()
	var got []string
	for _, u := range r.View().Upstreams {
		got = append(got, u.ID)
	}
	must.SliceContainsAll(r.t, ids, got)
}

// Guards against requests to the former starts of restarted upstreams, whose records stay until
// their leases expire.
func TestLatestStartAtAnAddressIsUsed(t *testing.T) {
	r := newHarness(t)
	r.put("old", upstreamRecord{"s", 1, 100})
	r.put("other", upstreamRecord{"s", 2, 100})
	r.expect("old", "other")
	r.put("new", upstreamRecord{"s", 1, 200})
	r.expect("new", "other")
	r.put("old", upstreamRecord{"s", 1, 100})
	r.expect("new", "other")
	r.remove("old")
	r.expect("new", "other")
}

// Guards against requests to an upstream whose address another service has taken over.
func TestLatestStartAtAnAddressIsUsedAcrossServices(t *testing.T) {
	r := newHarness(t)
	r.put("desk", upstreamRecord{"desk", 1, 100})
	r.put("draft", upstreamRecord{"draft", 1, 200})
	must.SliceEmpty(t, r.View().Service("desk"))
	must.SliceLen(t, 1, r.View().Service("draft"))
}

// Guards against dropping upstreams that don't state their start times.
func TestUpstreamsWithoutAStatedStartAreUsed(t *testing.T) {
	r := newHarness(t)
	r.put("a", upstreamRecord{"s", 1, 0})
	r.put("b", upstreamRecord{"s", 1, 0})
	r.put("c", upstreamRecord{"s", 1, 100})
	r.expect("a", "b", "c")
}

// Guards against using an upstream at whose address another one answered.
func TestReplacedUpstreamIsUnusedUntilRestart(t *testing.T) {
	for name, startedAt := range map[string]int64{"stated": 100, "not stated": 0} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t)
			r.put("a", upstreamRecord{"s", 1, startedAt})
			r.put("b", upstreamRecord{"s", 2, startedAt})
			r.MarkReplaced(r.View().Upstreams[0].Upstream)
			r.expect("b")
			r.put("a", upstreamRecord{"s", 1, startedAt})
			r.expect("b")
			r.put("a", upstreamRecord{"s", 1, 300})
			r.expect("a", "b")
		})
	}
}

// Guards against a record whose start is in the future, as after a clock jump or from another writer: it would keep
// the upstream that runs at its address out of use.
func TestReplacedUpstreamHidesNoOther(t *testing.T) {
	r := newHarness(t)
	r.put("lives", upstreamRecord{"s", 1, 100})
	r.put("wrong", upstreamRecord{"s", 1, 1 << 50})
	r.expect("wrong")
	r.MarkReplaced(r.View().Upstreams[0].Upstream)
	r.expect("lives")
}

// Guards against a record whose start is far in the future, from another writer, that hides the upstream at its address.
func TestStartInTheFutureHidesNoOther(t *testing.T) {
	now := time.UnixMilli(1790000000000)
	r := newHarness(t)
	r.WallClock = clocktest.NewFakePassiveClock(now)
	start := func(ahead time.Duration) int64 { return now.Add(ahead).UnixMilli() }
	r.put("lives", upstreamRecord{"s", 1, start(-time.Minute)})
	r.put("odd", upstreamRecord{"s", 1, start(30 * 24 * time.Hour)})
	r.put("odder", upstreamRecord{"t", 1, 253_370_764_800_000})
	r.expect("lives")
	r.put("next", upstreamRecord{"s", 1, start(time.Minute)})
	r.expect("next")
	r.remove("next")
	r.expect("lives")
}

// Guards against dropping an upstream whose clock is wrong.
func TestUpstreamWithStartInTheFutureIsUsed(t *testing.T) {
	now := time.UnixMilli(1790000000000)
	r := newHarness(t)
	r.WallClock = clocktest.NewFakePassiveClock(now)
	start := func(ahead time.Duration) int64 { return now.Add(ahead).UnixMilli() }
	r.put("ahead", upstreamRecord{"s", 1, start(48 * time.Hour)})
	r.expect("ahead")
	r.put("restarted", upstreamRecord{"s", 1, start(49 * time.Hour)})
	r.expect("restarted")
	r.put("unstated", upstreamRecord{"s", 1, 0})
	r.expect("restarted", "unstated")
	// The clock was set before the next start, whose former record stays for a while.
	r.put("set", upstreamRecord{"s", 1, start(0)})
	r.expect("set", "unstated")
}

// Guards against keeping a mark for each upstream that was ever replaced.
func TestReplacedUpstreamIsForgottenWithItsRecord(t *testing.T) {
	r := newHarness(t)
	r.put("a", upstreamRecord{"s", 1, 100})
	r.MarkReplaced(r.View().Upstreams[0].Upstream)
	r.expect()
	r.remove("a")
	r.put("b", upstreamRecord{"s", 2, 100})
	r.MarkReplaced(r.View().Upstreams[0].Upstream)
	r.put("a", upstreamRecord{"s", 1, 100})
	r.expect("a")
}
