package imitator

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"

	"golang.org/x/time/rate"
)

// pieceBytes is the unit of transfer over the link.
const pieceBytes = 16 << 10

// Origin is a store of weights behind one shared link. The weights are generated
// from their seed for each response, so no copy is kept.
type Origin struct {
	// Rate is the link's bandwidth in bytes per second, shared by all requests. Zero
	// means no limit.
	Rate int64
	// Seed determines which chunks are corrupted.
	Seed uint64

	mu        sync.Mutex
	manifests map[string][]byte
	chunks    map[string]chunkSource
	faults    originFaults
	counts    originCounts
	random    *rand.Rand
	changed   notifier
	link      *rate.Limiter
}

// Publication describes weights to publish. Size and ChunkSize are in bytes.
// Equal publications produce equal weights.
type Publication struct {
	Model     string `json:"model"`
	Version   string `json:"version"`
	Size      int64  `json:"size"`
	ChunkSize int64  `json:"chunkSize"`
	Seed      uint64 `json:"seed"`
}

type manifest struct {
	Model     string   `json:"model"`
	Version   string   `json:"version"`
	Size      int64    `json:"size"`
	ChunkSize int64    `json:"chunkSize"`
	Chunks    []string `json:"chunks"`
}

// chunkSource holds the parameters from which a chunk's bytes are generated.
type chunkSource struct {
	key  [32]byte
	size int64
}

type originFaults struct {
	Down    bool    `json:"down"`
	Stall   bool    `json:"stall"`
	Corrupt float64 `json:"corrupt"`
}

type originCounts struct {
	ChunkBytes       int64 `json:"chunkBytes"`
	ChunkRequests    int64 `json:"chunkRequests"`
	ManifestRequests int64 `json:"manifestRequests"`
}

// Handler returns the store's HTTP interface.
func (o *Origin) Handler() http.Handler {
	o.manifests = map[string][]byte{}
	o.chunks = map[string]chunkSource{}
	o.random = rand.New(rand.NewPCG(o.Seed, 0))
	o.link = rate.NewLimiter(rate.Inf, 0)
	if o.Rate > 0 {
		o.link = rate.NewLimiter(rate.Limit(o.Rate), pieceBytes)
	}
	m := http.NewServeMux()
	m.HandleFunc("GET /manifests/{digest}", o.getManifest)
	m.HandleFunc("GET /chunks/{digest}", o.getChunk)
	m.HandleFunc("POST /admin/publish", o.publish)
	m.HandleFunc("POST /admin/faults", o.setFaults)
	m.HandleFunc("GET /admin/counts", o.getCounts)
	return m
}

// digestOf returns the digest of b in the form "sha256:…".
func digestOf(b []byte) string {
	sum := sha256.Sum256(b)
	return formatDigest(sum[:])
}

func formatDigest(sum []byte) string {
	return "sha256:" + hex.EncodeToString(sum)
}

// source returns the source of chunk i of the publication.
func (p Publication) source(i int64) chunkSource {
	seed := fmt.Sprintf("%q %q %d %d", p.Model, p.Version, p.Seed, i)
	return chunkSource{
		key:  sha256.Sum256([]byte(seed)),
		size: min(p.ChunkSize, p.Size-i*p.ChunkSize),
	}
}

// eachPiece calls f with the chunk's bytes, a piece at a time, until f returns
// false. It returns whether f accepted all of them. The piece's buffer is reused
// between calls.
func (c chunkSource) eachPiece(f func(piece []byte) bool) bool {
	g := rand.NewChaCha8(c.key)
	buffer := make([]byte, pieceBytes)
	for left := c.size; left > 0; {
		piece := buffer[:min(left, pieceBytes)]
		_, _ = g.Read(piece) // never fails
		if !f(piece) {
			return false
		}
		left -= int64(len(piece))
	}
	return true
}

func (c chunkSource) digest() string {
	h := sha256.New()
	c.eachPiece(func(piece []byte) bool {
		_, err := h.Write(piece)
		return err == nil
	})
	return formatDigest(h.Sum(nil))
}

// Publish makes the weights available and returns the digest of their manifest.
// Handler must be called first.
func (o *Origin) Publish(p Publication) (string, error) {
	if p.Size <= 0 || p.ChunkSize <= 0 {
		return "", fmt.Errorf("size %d and chunk size %d must be positive", p.Size, p.ChunkSize)
	}
	m := manifest{Model: p.Model, Version: p.Version, Size: p.Size, ChunkSize: p.ChunkSize}
	sources := map[string]chunkSource{}
	for i := int64(0); i*p.ChunkSize < p.Size; i++ {
		c := p.source(i)
		d := c.digest()
		sources[d] = c
		m.Chunks = append(m.Chunks, d)
	}
	body, err := json.Marshal(m)
	if err != nil {
		return "", err
	}
	digest := digestOf(body)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.manifests[digest] = body
	for d, c := range sources {
		o.chunks[d] = c
	}
	return digest, nil
}

func (o *Origin) publish(w http.ResponseWriter, r *http.Request) {
	var p Publication
	if !readJSON(w, r, &p) {
		return
	}
	digest, err := o.Publish(p)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, struct {
		Manifest string `json:"manifest"`
	}{digest})
}

func (o *Origin) getManifest(w http.ResponseWriter, r *http.Request) {
	o.mu.Lock()
	down := o.faults.Down
	body, ok := o.manifests[r.PathValue("digest")]
	if !down {
		o.counts.ManifestRequests++
	}
	o.mu.Unlock()
	if down {
		writeError(w, http.StatusServiceUnavailable, "down")
		return
	}
	if !ok {
		writeError(w, http.StatusNotFound, "no such manifest")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(body)
}

func (o *Origin) getChunk(w http.ResponseWriter, r *http.Request) {
	o.mu.Lock()
	down := o.faults.Down
	c, ok := o.chunks[r.PathValue("digest")]
	corrupt := o.random.Float64() < o.faults.Corrupt
	if !down {
		o.counts.ChunkRequests++
	}
	o.mu.Unlock()
	if down {
		writeError(w, http.StatusServiceUnavailable, "down")
		return
	}
	if !ok {
		writeError(w, http.StatusNotFound, "no such chunk")
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", fmt.Sprint(c.size))
	whole := c.eachPiece(func(piece []byte) bool {
		if corrupt {
			piece[0] ^= 1
			corrupt = false
		}
		return o.sendPiece(w, r, piece)
	})
	if !whole {
		abortConnection()
	}
}

// sendPiece sends one piece over the link. It returns whether the response can
// continue.
func (o *Origin) sendPiece(w http.ResponseWriter, r *http.Request, piece []byte) bool {
	if !o.awaitLink(r) {
		return false
	}
	if err := o.link.WaitN(r.Context(), len(piece)); err != nil {
		return false
	}
	n, err := w.Write(piece)
	o.mu.Lock()
	o.counts.ChunkBytes += int64(n)
	o.mu.Unlock()
	return err == nil
}

// awaitLink waits while the link stalls. It returns false if the store goes down or
// the request ends.
func (o *Origin) awaitLink(r *http.Request) bool {
	for {
		o.mu.Lock()
		faults, changed := o.faults, o.changed.wait()
		o.mu.Unlock()
		if faults.Down {
			return false
		}
		if !faults.Stall {
			return true
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		}
	}
}

func (o *Origin) setFaults(w http.ResponseWriter, r *http.Request) {
	handleFaults(w, r, func(faults originFaults) {
		o.mu.Lock()
		o.faults = faults
		o.changed.notify()
		o.mu.Unlock()
	})
}

func (o *Origin) getCounts(w http.ResponseWriter, _ *http.Request) {
	o.mu.Lock()
	counts := o.counts
	o.mu.Unlock()
	writeJSON(w, http.StatusOK, counts)
}
