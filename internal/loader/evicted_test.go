package loader_test

import (
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
)

// Guards against an agent that crashes when weights are evicted between the order of a fetch and
// its start.
func TestFetchOfEvictedWeightsFails(t *testing.T) {
	inBubble(t, func(t *testing.T, n *network) {
		older, newer := publish("v1", 10), publish("v2", 10)
		a := n.newAgent(t, "vm", newOrigin(newer))
		a.Memory = newer.manifest.Size + 1000
		staged := map[int][]byte{}
		for i := range len(older.manifest.Chunks) - 1 {
			staged[i] = older.chunk(i)
		}
		must.NoError(t, a.Adopt(older.digest, older.body, staged))
		must.NoError(t, a.AddManifest(newer.digest, newer.body))
		a.SetHolders([]messenger.Holder{{
			ID: "gone", FailureDomain: "a", Region: a.Region, Address: netip.MustParseAddrPort("10.9.9.9:80"),
			Holding: messenger.Holding{Manifest: older.digest, Chunks: 10, Have: []byte{0xff, 0x03}},
		}})
		a.Want([]string{newer.digest})
		t.Cleanup(a.run(t))
		a.await(t, newer)
	})
}
