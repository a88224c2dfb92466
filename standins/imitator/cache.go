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
	// PrefixBlockBytes is the length of the blocks of a prompt that the prefix
	// cache tells apart.
	PrefixBlockBytes = 64

	lostEventEvery  = 7    // every so many events one is never shown
	keptCacheEvents = 4096 // events shown at most
)

// prefixes returns the names of the prompt's prefixes that are whole blocks,
// shortest first: 16 hex digits of their xxHash64.
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

	at time.Time
}

// prefixCache holds the prefixes that were used last.
type prefixCache struct {
	limit  int
	held   []string // least recently used first
	seq    int64
	events []cacheEvent
}

// hit returns how many of the blocks are held without a gap from the first on.
func (c *prefixCache) hit(blocks []string) int {
	for i, p := range blocks {
		if !slices.Contains(c.held, p) {
			return i
		}
	}
	return len(blocks)
}

// store makes the prefix the last used one.
func (c *prefixCache) store(prefix string, now time.Time) {
	i := slices.Index(c.held, prefix)
	if i >= 0 {
		c.held = slices.Delete(c.held, i, i+1)
	} else {
		c.record("stored", prefix, now)
	}
	c.held = append(c.held, prefix)
	if len(c.held) > c.limit {
		c.record("evicted", c.held[0], now)
		c.held = c.held[1:]
	}
}

// clear forgets all prefixes without an event, as a restart does.
func (c *prefixCache) clear() {
	c.held = nil
}

func (c *prefixCache) record(kind, prefix string, now time.Time) {
	c.seq++
	if c.seq%lostEventEvery == 0 {
		return
	}
	c.events = append(c.events, cacheEvent{Seq: c.seq, Prefix: prefix, Kind: kind, at: now})
	if len(c.events) > keptCacheEvents {
		c.events = c.events[1:]
	}
}

// since returns the events after that number that are no younger than horizon.
func (c *prefixCache) since(after int64, horizon time.Time) []cacheEvent {
	shown := []cacheEvent{}
	for _, v := range c.events {
		if v.Seq > after && !v.at.After(horizon) {
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
	events := e.cache.since(after, e.Clock.Now().Add(-e.EventLag))
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, struct {
		Events []cacheEvent `json:"events"`
	}{events})
}

// cacheEntry is the exported form of a prefix. It is of use only to an engine
// that holds the same weights.
type cacheEntry struct {
	Prefix  string `json:"prefix"`
	Weights string `json:"weights"`
}

func (e *Engine) exportCache(w http.ResponseWriter, r *http.Request) {
	c := cacheEntry{Prefix: r.PathValue("prefix")}
	e.mu.Lock()
	found := e.held != nil && slices.Contains(e.cache.held, c.Prefix)
	if found {
		c.Weights = e.held.weights
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
	fits := e.held != nil && c.Weights == e.held.weights
	if fits {
		e.cache.store(c.Prefix, e.Clock.Now())
	}
	e.mu.Unlock()
	if !fits {
		writeError(w, http.StatusConflict, "other weights are loaded")
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}
