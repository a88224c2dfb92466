package fetcher_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/bodyreader/bodyreadertest"
	"github.com/oriolecroft/oriolecroft/internal/fetcher"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

func serve(t *testing.T, h http.HandlerFunc) *fetcher.HTTP {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return &fetcher.HTTP{Address: netip.MustParseAddrPort(s.Listener.Addr().String())}
}

func TestStalledReplyIsCancelled(t *testing.T) {
	// Guards against a link that stalls in the middle of a chunk. The connection
	// stays open without data, so that without a timeout the call would never end
	// and its slot would be lost to all other chunks.
	ended := make(chan struct{})
	h := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "1000")
		w.Write(make([]byte, 500))
		_ = http.NewResponseController(w).Flush()
		<-ended
	})
	t.Cleanup(func() { close(ended) })
	h.Timeout = 50 * time.Millisecond
	_, err := h.Chunk(t.Context(), bundler.Digest(nil), 1000)
	var unavailable *fetcher.UnavailableError
	must.True(t, errors.As(err, &unavailable))
}

func TestReplyErrorTypes(t *testing.T) {
	chunk := []byte("weights")
	digest := bundler.Digest(chunk)
	reply := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", "2")
			w.WriteHeader(status)
			w.Write([]byte(body))
		}
	}
	for name, c := range map[string]struct {
		reply http.HandlerFunc
		want  any
	}{
		"other bytes": {reply(200, "weighty"), new(*fetcher.CorruptError)},
		"too few":     {reply(200, "weigh"), new(*fetcher.CorruptError)},
		"too many":    {reply(200, "weights and more"), new(*fetcher.CorruptError)},
		"not held":    {reply(404, ""), new(*fetcher.NotHeldError)},
		"busy":        {reply(429, ""), new(*fetcher.UnavailableError)},
		"down":        {reply(503, ""), new(*fetcher.UnavailableError)},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := serve(t, c.reply).Chunk(t.Context(), digest, int64(len(chunk)))
			must.True(t, errors.As(err, c.want), must.Sprintf("%T: %v", err, err))
		})
	}
	got, err := serve(t, reply(200, "weights")).Chunk(t.Context(), digest, int64(len(chunk)))
	must.NoError(t, err)
	must.Eq(t, chunk, got)
}

func TestInvalidManifests(t *testing.T) {
	// Guards against a published manifest whose sizes don't match its chunks. An
	// agent that trusts it would allocate without bound, or read past a chunk.
	digest := strings.Repeat("0", 64)
	for _, body := range []string{
		``, `[]`, `{"size":-1,"chunkSize":10,"chunks":[]}`, `{"size":10,"chunkSize":0,"chunks":[]}`,
		`{"size":10,"chunkSize":10,"chunks":["sha256:` + digest + `","sha256:` + digest + `"]}`,
		`{"size":9000000000000000000,"chunkSize":1,"chunks":["sha256:` + digest + `"]}`,
		`{"size":10,"chunkSize":10,"chunks":["sha256:../../admin"]}`,
		`{"size":10,"chunkSize":10,"chunks":["sha256:` + digest + `"]} more`,
	} {
		_, err := fetcher.ParseManifest(bundler.Digest([]byte(body)), []byte(body))
		var invalid *fetcher.InvalidManifestError
		must.True(t, errors.As(err, &invalid), must.Sprint(body))
	}
	body := []byte(`{"size":15,"chunkSize":10,"chunks":["sha256:` + digest + `","sha256:` + digest + `"]}`)
	m, err := fetcher.ParseManifest(bundler.Digest(body), body)
	must.NoError(t, err)
	must.Eq(t, 5, m.ChunkBytes(1))
	_, err = fetcher.ParseManifest("sha256:"+digest, body)
	var corrupt *fetcher.CorruptError
	must.True(t, errors.As(err, &corrupt))
}

// Guards against a source whose responses have heads without end.
func TestEndlessHeadIsRejected(t *testing.T) {
	bodyreadertest.EndlessHeads(t, func(a netip.AddrPort) error {
		_, err := (&fetcher.HTTP{Address: a}).Chunk(t.Context(), bundler.Digest(nil), 1000)
		return err
	})
}

// Guards against a reply whose status HTTP doesn't define counting as what an agent holds, or as a chunk that the source
// doesn't have.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	fields := http.Header{}
	fetcher.SetHolding(fields, []byte{1})
	var text strings.Builder
	must.NoError(t, fields.Write(&text))
	for name, call := range map[string]func(h *fetcher.HTTP) error{
		"manifest": func(h *fetcher.HTTP) error {
			_, err := h.Manifest(t.Context(), bundler.Digest([]byte("w")))
			return err
		},
		"chunk": func(h *fetcher.HTTP) error {
			_, err := h.Chunk(t.Context(), bundler.Digest([]byte("w")), 1)
			return err
		},
		"holding": func(h *fetcher.HTTP) error { _, err := h.Holding(t.Context(), bundler.Digest(nil)); return err },
	} {
		t.Run(name, func(t *testing.T) {
			bodyreadertest.InvalidStatuses(t, text.String(), "w", func(t *testing.T, a netip.AddrPort) error {
				held := func([]byte) { t.Error("reported as held") }
				err := call(&fetcher.HTTP{Address: a, OnHolding: held, Timeout: time.Minute})
				var unavailable *fetcher.UnavailableError
				must.True(t, errors.As(err, &unavailable), must.Sprint(err))
				return err
			})
		})
	}
}

// Guards against weights, or a bitmap of what an agent holds, from the address in a redirect.
func TestRedirectIsNoAnswer(t *testing.T) {
	digest := bundler.Digest([]byte("w"))
	bodyreadertest.Redirects(t, "w", map[string]func(netip.AddrPort) error{
		"manifest": func(a netip.AddrPort) error {
			_, err := (&fetcher.HTTP{Address: a}).Manifest(t.Context(), digest)
			return err
		},
		"chunk": func(a netip.AddrPort) error {
			_, err := (&fetcher.HTTP{Address: a}).Chunk(t.Context(), digest, 1)
			return err
		},
		"holding": func(a netip.AddrPort) error {
			_, err := (&fetcher.HTTP{Address: a}).Holding(t.Context(), digest)
			return err
		},
	})
}
