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

// started is an upstream's record in these tests.
type started struct {
	Service   string
	Port      uint16
	StartedAt int64
}

func decodeStarted(key string, value []byte) (registrar.Fact, error) {
	var s started
	if err := json.Unmarshal(value, &s); err != nil {
		return nil, err
	}
	u := registrar.Upstream{ID: key, Service: s.Service, Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), s.Port)}
	if s.StartedAt != 0 {
		u.StartedAt = time.UnixMilli(s.StartedAt)
	}
	return u, nil
}

// restarts is a registrar whose upstreams come and go.
type restarts struct {
	*registrar.Registrar
	t        *testing.T
	revision uint64
}

func newRestarts(t *testing.T) *restarts {
	r := &registrar.Registrar{Clock: clocktest.NewFakeClock(time.Unix(1000, 0)), Decode: decodeStarted}
	r.Apply(registrar.Batch{Whole: true, At: 1})
	return &restarts{Registrar: r, t: t, revision: 1}
}

func (r *restarts) put(id string, s started) {
	value, err := json.Marshal(s)
	must.NoError(r.t, err)
	r.apply(record(id, string(value), r.revision+1))
}

func (r *restarts) remove(id string) {
	r.apply(registrar.Record{Key: id, Revision: r.revision + 1, Deleted: true})
}

func (r *restarts) apply(rec registrar.Record) {
	r.Apply(registrar.Batch{After: r.revision, At: r.revision + 1, Records: []registrar.Record{rec}})
	r.revision++
}

func (r *restarts) expect(ids ...string) {
	r.t.Helper()
	var got []string
	for _, u := range r.View().Upstreams {
		got = append(got, u.ID)
	}
	must.SliceContainsAll(r.t, ids, got)
}

// Guards against requests to the former starts of restarted upstreams, whose records stay until their
// leases end.
func TestLatestStartAtAnAddressIsUsed(t *testing.T) {
	r := newRestarts(t)
	r.put("old", started{"s", 1, 100})
	r.put("other", started{"s", 2, 100})
	r.expect("old", "other")
	r.put("new", started{"s", 1, 200})
	r.expect("new", "other")
	r.put("old", started{"s", 1, 100})
	r.expect("new", "other")
	r.remove("old")
	r.expect("new", "other")
}

// Guards against requests to an upstream whose address belongs to another service by now.
func TestLatestStartAtAnAddressIsUsedAcrossServices(t *testing.T) {
	r := newRestarts(t)
	r.put("desk", started{"desk", 1, 100})
	r.put("draft", started{"draft", 1, 200})
	must.SliceEmpty(t, r.View().Service("desk"))
	must.SliceLen(t, 1, r.View().Service("draft"))
}

// Guards against taking upstreams out of use that don't state their starts.
func TestUpstreamsWithoutAStatedStartAreUsed(t *testing.T) {
	r := newRestarts(t)
	r.put("a", started{"s", 1, 0})
	r.put("b", started{"s", 1, 0})
	r.put("c", started{"s", 1, 100})
	r.expect("a", "b", "c")
}

// Guards against asking an upstream again at whose address another one answered.
func TestReplacedUpstreamIsNotUsedUntilItStartsAnew(t *testing.T) {
	for name, startedAt := range map[string]int64{"stated": 100, "not stated": 0} {
		t.Run(name, func(t *testing.T) {
			r := newRestarts(t)
			r.put("a", started{"s", 1, startedAt})
			r.put("b", started{"s", 2, startedAt})
			r.Replaced(r.View().Upstreams[0].Upstream)
			r.expect("b")
			r.put("a", started{"s", 1, startedAt})
			r.expect("b")
			r.put("a", started{"s", 1, 300})
			r.expect("a", "b")
		})
	}
}

// Guards against a record whose start lies in the future, as after a clock jump or from another writer:
// it would keep the upstream that lives at its address out of use.
func TestReplacedUpstreamHidesNoOther(t *testing.T) {
	r := newRestarts(t)
	r.put("lives", started{"s", 1, 100})
	r.put("wrong", started{"s", 1, 1 << 50})
	r.expect("wrong")
	r.Replaced(r.View().Upstreams[0].Upstream)
	r.expect("lives")
}

// Guards against keeping a mark for each upstream that ever was replaced.
func TestReplacedUpstreamIsForgottenWithItsRecord(t *testing.T) {
	r := newRestarts(t)
	r.put("a", started{"s", 1, 100})
	r.Replaced(r.View().Upstreams[0].Upstream)
	r.expect()
	r.remove("a")
	r.put("b", started{"s", 2, 100})
	r.Replaced(r.View().Upstreams[0].Upstream)
	r.put("a", started{"s", 1, 100})
	r.expect("a")
}
