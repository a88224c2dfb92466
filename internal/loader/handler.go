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
	// uploadPiece is how many bytes are written between two waits for the cap.
	uploadPiece = 64 << 10
	// uploadStall is how long a peer may take for one piece.
	uploadStall = 10 * time.Second
)

// Handler serves manifests, chunks and bitmaps of holdings to other agents, and
// whole weights to the engine.
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

// sendHeld answers with what is held of a manifest; nil is nothing.
func sendHeld(w http.ResponseWriter, contentType string, data []byte) {
	if data == nil {
		refuse(w, http.StatusNotFound, "manifest not held")
		return
	}
	w.Header().Set("Content-Type", contentType)
	w.Write(data)
}

// serveChunk sends a verified chunk when an upload slot is free.
func (l *Loader) serveChunk(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	c := l.chunks[r.PathValue("digest")]
	var data []byte
	if c != nil {
		data = c.data
	}
	if s := l.sets[r.Header.Get(fetcher.ManifestHeader)]; s != nil && s.transfer != nil {
		if have, ok := fetcher.Holding(r.Header); ok {
			l.observe(s, r.Header.Get(fetcher.AgentHeader), have)
		}
		fetcher.SetHolding(w.Header(), s.transfer.Have())
	}
	l.mu.Unlock()
	if data == nil {
		refuse(w, http.StatusNotFound, "chunk not held")
		return
	}
	export := l.isExport(r)
	slots := l.uploads
	if export {
		slots = l.exports
	}
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	default:
		refuse(w, http.StatusTooManyRequests, "no free upload slot")
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	l.send(r.Context(), w, data, export)
}

// isExport tells whether a request comes from another region. The origin fetchers there have
// upload slots of their own: the many agents of this region keep the others taken nearly
// all the time, and a chunk that can't leave the region holds up a whole region for as
// long.
func (l *Loader) isExport(r *http.Request) bool {
	region := r.Header.Get(fetcher.RegionHeader)
	return region != "" && region != l.Region
}

// send writes piece by piece, each after the cap allows it. A peer that stops
// reading would hold its upload slot for ever, and a few of them all the slots;
// each piece must therefore be taken within uploadStall.
func (l *Loader) send(ctx context.Context, w http.ResponseWriter, data []byte, export bool) {
	control := http.NewResponseController(w)
	size := uploadPiece
	if l.Upload != nil {
		size = max(1, min(size, l.Upload.Burst()))
	}
	for len(data) > 0 {
		n := min(size, len(data))
		if l.pacer.wait(ctx, n, export) != nil {
			return
		}
		// Writers without deadlines, as in tests, say so by an error.
		_ = control.SetWriteDeadline(time.Now().Add(uploadStall))
		if _, err := w.Write(data[:n]); err != nil {
			return
		}
		data = data[n:]
	}
	_ = control.SetWriteDeadline(time.Time{})
}

// serveWeights gives the engine the whole weights; it isn't paced, as it never
// leaves the VM.
func (l *Loader) serveWeights(w http.ResponseWriter, r *http.Request) {
	weights, err := l.Weights(r.PathValue("manifest"))
	if err != nil {
		refuse(w, http.StatusNotFound, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	http.ServeContent(w, r, "", time.Time{}, weights)
}

func refuse(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(struct {
		Error string `json:"error"`
	}{text})
}
