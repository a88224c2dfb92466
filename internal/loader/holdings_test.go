package loader_test

import (
	"errors"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/fetcher"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
)

// Guards against agents that learn of each other's chunks only by polls, which saturate their links
// as their number grows.
func TestChunkRequestReportsItsSendersHoldings(t *testing.T) {
	inBubble(t, func(t *testing.T, n *network) {
		w := publish("v1", 8)
		holder := n.startAgent(t, "holder", newOrigin(w))
		holder.Want([]string{w.digest})
		holder.await(t, w)
		// chunksOnly serves no bitmaps of holdings.
		chunksOnly := n.serve(t, http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
			if strings.HasPrefix(r.URL.Path, "/holdings/") {
				http.NotFound(out, r)
				return
			}
			holder.Handler().ServeHTTP(out, r)
		}))
		empty := n.startAgent(t, "empty")
		empty.Want([]string{w.digest})
		known := holder.holder(w.digest)
		known.Address = netip.MustParseAddrPort(chunksOnly.Listener.Addr().String())
		empty.SetHolders([]messenger.Holder{known})
		time.Sleep(time.Second)
		must.Eq(t, 0, empty.Progress()[0].Chunks)

		request := func(agent string, held []byte) {
			caller := &fetcher.HTTP{
				Address: empty.holder(w.digest).Address, Client: n.client, Watched: w.digest, Agent: agent, Held: held,
			}
			_, err := caller.Chunk(t.Context(), w.manifest.Chunks[0], w.manifest.ChunkBytes(0))
			var missing *fetcher.NotHeldError
			must.True(t, errors.As(err, &missing))
		}
		request("unknown", []byte{0xff})
		must.Eq(t, 0, empty.Progress()[0].Chunks)
		// A bitmap with more chunks than the manifest is truncated.
		request("holder", []byte{0xff, 0xff, 0xff})
		empty.await(t, w)
	})
}
