package syncer_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktesting "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/syncer"
)

func referralAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)
}

// Guards against seeds that send all records to each process of another region, and against
// referrals that leave a requester without records: to itself, to an entry that didn't answer it,
// within the region, or for a requester of an older version.
func TestSeedRefersLaterRequestersOfAnotherRegion(t *testing.T) {
	c := clocktesting.NewFakeClock(time.Unix(1000, 0))
	r := &registrar.Registrar{Clock: c, Decode: decodeFleet, Region: "a"}
	r.Apply(registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{{Key: "drained/x", Revision: 1}}})
	answer := syncer.RecordsHandler(r, c)
	answered := func(q messenger.RecordsQuery) bool { return len(answer(t.Context(), q).Records) == 1 }
	far := func(i int) messenger.RecordsQuery {
		return messenger.RecordsQuery{Region: "b", Peers: referralAddress(i)}
	}
	agent := messenger.RecordsQuery{Region: "b"}
	must.True(t, answered(agent), must.Sprint("no entry of the region has the records"))
	for i := range 9 {
		must.Eq(t, i < 3, answered(far(i)))
	}
	must.Less(t, byte(3), answer(t.Context(), agent).Refer.Addr().As4()[3])
	must.True(t, answered(messenger.RecordsQuery{}), must.Sprint("of an older version"))
	must.True(t, answered(messenger.RecordsQuery{Region: "a"}), must.Sprint("of the own region"))
	must.True(t, answered(far(1)), must.Sprint("it didn't get what it was sent"))
	failed := agent
	for i := range 3 {
		failed.Unresponsive = referralAddress(i)
		must.True(t, answered(failed), must.Sprint("was referred to an entry that didn't answer"))
	}
	must.True(t, answered(far(8)), must.Sprint("in place of the unresponsive ones"))
	c.Step(time.Minute)
	must.True(t, answered(agent), must.Sprint("the entries that got them may have ended"))
}
