package imitator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// PrefixBlockBytes is the block size at which the prefix cache splits prompts.
	PrefixBlockBytes = 64

	lostEventInterval = 7    // one event in this many is never shown
	maxCacheEvents    = 4096 // oldest events beyond this are dropped
)

// prefixes returns the names of the prompt's prefixes that consist of whole blocks,
// shortest first. A name is the xxHash64 of the prefix in 16 hex digits.
func prefixes(prompt string) []string {
	var names []string
	for n := PrefixBlockBytes; n <= len(prompt); n += PrefixBlockBytes {
		names = append(names, fmt.Sprintf("%016x", xxhash.Sum64String(prompt[:n])))
	}
	return names
}

type cacheEvent struct {
	Seq    int64  `json:"seq"`
	Prefix string `json:"prefix"`
	Kind   string `json:"kind"`

	recordedAt time.Time
}

// prefixCache holds the most recently used prefixes.
type prefixCache struct {
	limit  int
	cached []string // least recently used first
	seq    int64
	events []cacheEvent
}

// countHits returns the number of leading blocks that are cached without a gap.
func (c *prefixCache) countHits(blocks []string) int {
	for i, p := range blocks {
		if !slices.Contains(c.cached, p) {
			return i
		}
	}
	return len(blocks)
}

// store adds the prefix or marks it as the most recently used one.
func (c *prefixCache) store(prefix string, now time.Time) {
	i := slices.Index(c.cached, prefix)
	if i >= 0 {
		c.cached = slices.Delete(c.cached, i, i+1)
	} else {
		c.recordEvent("stored", prefix, now)
	}
	c.cached = append(c.cached, prefix)
	if len(c.cached) > c.limit {
		c.recordEvent("evicted", c.cached[0], now)
		c.cached = c.cached[1:]
	}
}

// clear removes all prefixes without recording events, as a restart does.
func (c *prefixCache) clear() {
	c.cached = nil
}

func (c *prefixCache) recordEvent(kind, prefix string, now time.Time) {
	c.seq++
	if c.seq%lostEventInterval == 0 {
		return
	}
	c.events = append(c.events, cacheEvent{Seq: c.seq, Prefix: prefix, Kind: kind, recordedAt: now})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// eventsAfter returns the events with a higher number than after that were recorded
// at horizon or before.
func (c *prefixCache) eventsAfter(after int64, horizon time.Time) []cacheEvent {
	shown := []cacheEvent{}
	for _, v := range c.events {
		if v.Seq > after && !v.recordedAt.After(horizon) {
			shown = append(shown, v)
		}
	}
	return shown
}

func (e *Engine) getCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.FormValue("after"), 10, 64)
	if r.FormValue("after") != "" && err != nil {
		writeError(w, http.StatusBadRequest, "after is no number")
		return
	}
	e.mu.Lock()
	events := e.cache.eventsAfter(after, e.Clock.Now().Add(-e.EventLag))
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, struct {
		Events []cacheEvent `json:"events"`
	}{events})
}

// cacheEntry is the exported form of a prefix. Only an engine that has loaded the
// same weights can import it.
type cacheEntry struct {
	Prefix  string `json:"prefix"`
	Weights string `json:"weights"`
}

func (e *Engine) exportCache(w http.ResponseWriter, r *http.Request) {
	c := cacheEntry{Prefix: r.PathValue("prefix")}
	e.mu.Lock()
	found := e.loaded != nil && slices.Contains(e.cache.cached, c.Prefix)
	if found {
		c.Weights = e.loaded.weights
	}
	e.mu.Unlock()
	if !found {
		writeError(w, http.StatusNotFound, "no such prefix")
		return
	}
	writeJSON(w, http.StatusOK, c)
}

func (e *Engine) importCache(w http.ResponseWriter, r *http.Request) {
	var c cacheEntry
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil || c.Prefix != r.PathValue("prefix") {
		writeError(w, http.StatusBadRequest, "no export of this prefix")
		return
	}
	e.mu.Lock()
	matches := e.loaded != nil && c.Weights == e.loaded.weights
	if matches {
		e.cache.store(c.Prefix, e.Clock.Now())
	}
	e.mu.Unlock()
	if !matches {
		writeError(w, http.StatusConflict, "other weights are loaded")
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}
