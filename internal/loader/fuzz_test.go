package loader_test

import (
	"context"
	"errors"
	"flag"
	"io"
	"net/netip"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/oriolecroft/oriolecroft/internal/fetcher"
	"github.com/oriolecroft/oriolecroft/internal/loader"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// Every run must have the same result.
	if err := errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.checks", "40")); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// checkedLoader is a loader and the state that a simple oracle expects of it.
type checkedLoader struct {
	*loader.Loader
	all  []weights
	want []string
	// keep lists what the engine holds: only what was complete.
	keep map[string]bool
}

const checkedMemory = 35_000

func (s *checkedLoader) check(t must.T) {
	var held int64
	seen := map[string]bool{}
	for _, h := range s.Holdings() {
		i := slices.IndexFunc(s.all, func(w weights) bool { return w.digest == h.Manifest })
		for c, digest := range s.all[i].manifest.Chunks {
			if h.Chunks > 0 && h.Have[c/8]&(1<<(c%8)) != 0 && !seen[digest] {
				seen[digest] = true
				held += s.all[i].manifest.ChunkBytes(c)
			}
		}
	}
	must.LessEq(t, checkedMemory, held)
	for _, w := range s.all {
		_, whole := s.Complete(w.digest)
		r, err := s.Weights(w.digest)
		must.Eq(t, whole, err == nil)
		must.True(t, whole || !s.keep[w.digest], must.Sprint("the engine's weights were evicted"))
		if whole {
			got, err := io.ReadAll(r)
			must.NoError(t, err)
			must.Eq(t, w.bytes, got)
		}
	}
}

func TestLoaderAgainstOracle(t *testing.T) {
	// Versions that share chunks are wanted, kept and dropped in any order, with too little memory
	// for all, from an origin that fails, corrupts data and recovers. The engine must never get a
	// wrong byte nor lose the weights that it runs on; and once the origin has recovered, the most
	// important version must arrive as in a naive implementation.
	synctest.Test(t, func(t *testing.T) {
		// A synctest bubble has no deadline, which rapid requests of a *testing.T.
		rapid.Check(struct{ rapid.TB }{t}, func(t *rapid.T) {
			v1, v2, v3 := publish("v1", 10), publish("v2", 15), publish("v3", 20)
			v4 := pack("v4", slices.Concat(v1.bytes[:5000], v2.bytes[:5000], v3.bytes[:3500]))
			s := &checkedLoader{all: []weights{v1, v2, v3, v4}, keep: map[string]bool{}}
			o := newOrigin(s.all...)
			s.Loader = &loader.Loader{
				ID: "vm-0", Region: "huon", Sources: []fetcher.Source{o}, Memory: checkedMemory, Seed: 1,
				Peer: func(netip.AddrPort) fetcher.Source { return o },
			}
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error)
			go func() { done <- s.Serve(ctx) }()
			digest := rapid.Custom(func(t *rapid.T) string { return rapid.SampledFrom(s.all).Draw(t, "version").digest })
			t.Repeat(map[string]func(*rapid.T){
				"want": func(t *rapid.T) {
					s.want = rapid.SliceOfNDistinct(digest, 1, 3, rapid.ID).Draw(t, "want")
					s.Want(s.want)
				},
				"keep": func(t *rapid.T) {
					clear(s.keep)
					d := digest.Draw(t, "keep")
					if _, whole := s.Complete(d); whole {
						s.keep[d] = true
						s.Keep(d)
						return
					}
					s.Keep()
				},
				"wait": func(t *rapid.T) {
					<-time.After(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
				},
				"fault": func(t *rapid.T) {
					every := rapid.IntRange(0, 4).Draw(t, "every")
					asked := 0
					o.setFault(func(string, int) ([]byte, error) {
						asked++
						switch {
						case every == 0 || asked%every != 0:
							return nil, nil
						case asked%2 == 0:
							return []byte("wrong"), nil
						}
						return nil, errDown
					})
				},
				"": func(t *rapid.T) { s.check(t) },
			})
			o.setFault(nil)
			<-time.After(10 * time.Minute)
			s.check(t)
			if len(s.want) > 0 && len(s.keep) == 0 {
				_, whole := s.Complete(s.want[0])
				must.True(t, whole, must.Sprintf("%s never arrived: %+v", s.want[0], s.Progress()))
			}
			cancel()
			must.ErrorIs(t, <-done, context.Canceled)
		})
	})
}
