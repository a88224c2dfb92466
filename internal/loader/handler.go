package loader

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/fetcher"
)

const (
	// uploadPieceBytes is how many bytes are written between two waits for the rate limit.
	uploadPieceBytes = 64 << 10
	// uploadPieceTimeout limits how long a peer may take to read one piece.
	uploadPieceTimeout = 10 * time.Second
)

// Handler serves manifests, chunks and bitmaps of holdings to other agents, and complete weights to
// the engine.
func (l *Loader) Handler() http.Handler {
	l.setUp()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /manifests/{digest}", l.serveManifest)
	mux.HandleFunc("GET /chunks/{digest}", l.serveChunk)
	mux.HandleFunc("GET /holdings/{manifest}", l.serveHolding)
	mux.HandleFunc("GET /weights/{manifest}", l.serveWeights)
	return mux
}

func (l *Loader) serveManifest(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	s := l.sets[r.PathValue("digest")]
	var body []byte
	if s != nil {
		body = s.body
	}
	l.mu.Unlock()
	sendHeld(w, "application/json", body)
}

func (l *Loader) serveHolding(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	s := l.sets[r.PathValue("manifest")]
	var have []byte
	if s != nil && s.transfer != nil {
		have = bytes.Clone(s.transfer.Have())
	}
	l.mu.Unlock()
	sendHeld(w, "application/octet-stream", have)
}

// sendHeld responds with what is held of a manifest; nil means nothing.
func sendHeld(w http.ResponseWriter, contentType string, data []byte) {
	if data == nil {
		writeError(w, http.StatusNotFound, "manifest not held")
		return
	}
	w.Header().Set("Content-Type", contentType)
	w.Write(data)
}

// serveChunk sends a verified chunk if an upload slot is free.
func (l *Loader) serveChunk(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	c := l.chunks[r.PathValue("digest")]
	var data []byte
	if c != nil {
		data = c.data
	}
	if s := l.sets[r.Header.Get(fetcher.ManifestHeader)]; s != nil && s.transfer != nil {
		if have, ok := fetcher.Holding(r.Header); ok {
			l.recordHolding(s, r.Header.Get(fetcher.AgentHeader), have)
		}
		fetcher.SetHolding(w.Header(), s.transfer.Have())
	}
	l.mu.Unlock()
	if data == nil {
		writeError(w, http.StatusNotFound, "chunk not held")
		return
	}
	export := l.isExport(r)
	slots := l.uploadSlots
	if export {
		slots = l.exportSlots
	}
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	default:
		writeError(w, http.StatusTooManyRequests, "no free upload slot")
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	l.sendPaced(r.Context(), w, data, export)
}

// isExport reports whether a request comes from another region. Origin fetchers of other regions
// have separate upload slots: the many agents of this region keep theirs occupied nearly all the
// time, and a chunk that can't leave the region delays a whole region for as long.
func (l *Loader) isExport(r *http.Request) bool {
	region := r.Header.Get(fetcher.RegionHeader)
	return region != "" && region != l.Region
}

// sendPaced writes data in pieces, each within the rate limit. A peer that stops reading would
// occupy its upload slot forever, and a few of them all the slots, so each piece must be written
// within uploadPieceTimeout.
func (l *Loader) sendPaced(ctx context.Context, w http.ResponseWriter, data []byte, export bool) {
	control := http.NewResponseController(w)
	size := uploadPieceBytes
	if l.Upload != nil {
		size = max(1, min(size, l.Upload.Burst()))
	}
	for len(data) > 0 {
		n := min(size, len(data))
		if l.pacer.wait(ctx, n, export) != nil {
			return
		}
		// Writers without deadlines, as in tests, return an error.
		_ = control.SetWriteDeadline(time.Now().Add(uploadPieceTimeout))
		if _, err := w.Write(data[:n]); err != nil {
			return
		}
		data = data[n:]
	}
	_ = control.SetWriteDeadline(time.Time{})
}

// serveWeights sends the complete weights to the engine; it isn't paced, as the data never leaves
// the VM.
func (l *Loader) serveWeights(w http.ResponseWriter, r *http.Request) {
	weights, err := l.Weights(r.PathValue("manifest"))
	if err != nil {
		writeError(w, http.StatusNotFound, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	http.ServeContent(w, r, "", time.Time{}, weights)
}

func writeError(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(struct {
		Error string `json:"error"`
	}{text})
}
