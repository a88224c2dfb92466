package relayer_test

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/matcher"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/relayer"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// Guards against an entry that sends to failure domains, upstreams and services a minute after the store last confirmed
// that they are in force: a drain, a shutdown or a route change that it never received ends nothing.
func TestEntrySendsNothingToPlainServiceOnUnconfirmedRecords(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	table := &matcher.Table{Version: 1, Services: map[string]*matcher.Service{"s": {Name: "s"}}, Routes: []*matcher.Route{{Name: "r", Timeout: time.Second}}}
	reg := &registrar.Registrar{Clock: c, Decode: func(key string, _ []byte) (registrar.Fact, error) {
		if key == "table" {
			return registrar.Table{Table: table}, nil
		}
		return registrar.Upstream{ID: key, Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:1"), FailureDomain: "a", Slots: 12}, nil
	}}
	reg.Apply(registrar.Batch{Whole: true, At: 10, Records: []registrar.Record{{Key: "table", Revision: 1}, {Key: "u", Revision: 2}}})
	p := &relayer.Placer{Registrar: reg, Clock: c, FailureDomain: "a", Region: "r", Regions: map[string]string{"a": "r"},
		Chooser: &scheduler.Chooser{Clock: c, Random: rand.New(rand.NewPCG(1, 1))}}
	c.Step(time.Minute)
	j := &relayer.Job{Route: table.Routes[0], Service: "s", Arrived: c.Now(), Deadline: c.Now().Add(5 * time.Second)}
	j.ID = "id"
	place, err := p.Place(context.Background(), j)
	must.True(t, err != nil || place == nil, must.Sprint("placed a minute after the last confirmation"))
}
