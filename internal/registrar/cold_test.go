package registrar_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// newColdRegistrar returns a registrar that decodes an upstream's record as its cold time.
func newColdRegistrar() (*registrar.Registrar, *clocktest.FakeClock) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	return &registrar.Registrar{Clock: c, Decode: func(key string, value []byte) (registrar.Fact, error) {
		cold, err := time.ParseDuration(string(value))
		return registrar.Upstream{ID: key, Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:1"), Cold: cold}, err
	}}, c
}

// Guards against a cold upstream that gets its full load: its record is found in a list of the
// store after a gap without updates, and its cold time counts from the last update before the gap.
// The upstream would fail, and all requests that run there would be lost.
func TestListedUpstreamKeepsColdTime(t *testing.T) {
	r, c := newColdRegistrar()
	r.Apply(registrar.Batch{Whole: true, At: 3})
	c.Step(10 * time.Second)
	found := record("up", "6s", 9)
	found.Age = registrar.UnknownAge
	r.Apply(registrar.Batch{Whole: true, At: 9, Records: []registrar.Record{found}})
	u := r.View().Service("s")[0]
	must.GreaterEq(t, 6*time.Second, u.ColdFor())

	// A process that receives it from that entry must not treat it as warm either.
	peer, _ := newColdRegistrar()
	peer.Apply(r.ChangesSince(0))
	u = peer.View().Service("s")[0]
	must.GreaterEq(t, 6*time.Second, u.ColdFor())
}

// Guards against a cold upstream that gets its full load too soon: the longest possible transit time of a record
// isn't time since it was written.
func TestTransitDoesNotShortenColdTime(t *testing.T) {
	const transit = time.Second
	r, c := newColdRegistrar()
	r.Apply(registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{record("up", "6s", 1)}})
	c.Step(2 * time.Second)
	peer, _ := newColdRegistrar()
	peer.Clock = c
	peer.Apply(r.ChangesSince(0).Older(transit))
	must.Eq(t, 4*time.Second, peer.View().Service("s")[0].ColdFor())
}
