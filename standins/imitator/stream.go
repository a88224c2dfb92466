package imitator

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
)

// Event is one event of a reply: a token, or the last event with Done set.
type Event struct {
	Index   int    `json:"index"`
	Token   string `json:"token"`
	Done    bool   `json:"done"`
	Tokens  int    `json:"tokens"`
	Version string `json:"version"`
	// Weights is the digest of the bytes that the engine loaded.
	Weights string `json:"weights"`
	// AdapterWeights is the digest of the adapter's bytes, if one was used.
	AdapterWeights string `json:"adapterWeights"`
	// Digest is the digest of all tokens joined by spaces.
	Digest string `json:"digest"`
}

// MarshalJSON encodes the fields of a token event or those of the last event.
func (v Event) MarshalJSON() ([]byte, error) {
	if v.Done {
		return json.Marshal(struct {
			Done           bool   `json:"done"`
			Tokens         int    `json:"tokens"`
			Version        string `json:"version"`
			Weights        string `json:"weights"`
			AdapterWeights string `json:"adapterWeights,omitempty"`
			Digest         string `json:"digest"`
		}{true, v.Tokens, v.Version, v.Weights, v.AdapterWeights, v.Digest})
	}
	return json.Marshal(struct {
		Index          int    `json:"index"`
		Token          string `json:"token"`
		Version        string `json:"version"`
		Weights        string `json:"weights"`
		AdapterWeights string `json:"adapterWeights,omitempty"`
	}{v.Index, v.Token, v.Version, v.Weights, v.AdapterWeights})
}

const (
	defaultTokens       = 16
	maxEndedStreams     = 1024 // ended streams that can still be resumed
	fullSpeedBatch      = 8    // batch size above which token generation slows down
	uncachedBlockTokens = 1    // cost of an uncached block of a prompt, in token intervals
)

// generateRequest is the body of POST /generate.
type generateRequest struct {
	RequestID string `json:"requestId"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"maxTokens"`
	Priority  int    `json:"priority"`
	Adapter   string `json:"adapter"`
}

// stream holds one request and its reply so far. Its fields are guarded by the
// engine's mutex.
type stream struct {
	request generateRequest
	loaded  *loadedModel // the model loaded when the request arrived
	events  []Event
	tokens  []string
	running bool
	ended   bool          // no event follows, but the last one may be missing
	aborted bool          // ended by a load or restart; connections are closed
	stopped chan struct{} // closed when ended
	changed notifier
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var g generateRequest
	if !readJSON(w, r, &g) {
		return
	}
	if g.RequestID == "" {
		g.RequestID = uuid.NewString()
	}
	if g.MaxTokens <= 0 {
		g.MaxTokens = defaultTokens
	}
	s, status, text := e.accept(g)
	if s == nil {
		if status == 0 {
			abortConnection()
		}
		writeError(w, status, text)
		return
	}
	e.writeStream(w, r, s, 0)
}

// accept queues the request and starts requests that can run. If it refuses, it
// returns a status in place of a stream, with status 0 if the engine crashed.
func (e *Engine) accept(g generateRequest) (s *stream, status int, text string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loaded == nil {
		return nil, http.StatusServiceUnavailable, "nothing is loaded"
	}
	if _, ok := e.loaded.adapters[g.Adapter]; g.Adapter != "" && !ok {
		return nil, http.StatusNotFound, "no such adapter"
	}
	if _, ok := e.streams[g.RequestID]; ok {
		return nil, http.StatusConflict, "request id was seen before"
	}
	e.counts.Requests++
	e.counts.LastWorkAt = e.Clock.Now()
	if e.running+len(e.queued) >= e.Limit+e.Queue {
		e.crash("queue is full")
		return nil, 0, ""
	}
	s = &stream{request: g, loaded: e.loaded, stopped: make(chan struct{})}
	e.streams[g.RequestID] = s
	e.enqueue(s)
	e.startQueued()
	if s.aborted {
		return nil, 0, ""
	}
	return s, 0, ""
}

// enqueue inserts the stream by priority, highest first, then by arrival.
func (e *Engine) enqueue(s *stream) {
	i := slices.IndexFunc(e.queued, func(q *stream) bool {
		return q.request.Priority < s.request.Priority
	})
	if i < 0 {
		i = len(e.queued)
	}
	e.queued = slices.Insert(e.queued, i, s)
}

// startQueued fills the batch from the queue. A cold engine does so as well and
// crashes if the batch exceeds ColdLimit.
func (e *Engine) startQueued() {
	for len(e.queued) > 0 && e.running < e.Limit {
		s := e.queued[0]
		e.queued = e.queued[1:]
		e.running++
		s.running = true
		if e.cold() {
			e.counts.WorstCold = max(e.counts.WorstCold, e.running)
		}
		if e.cold() && e.running > e.ColdLimit {
			e.crash("cold")
			return
		}
		go e.runStream(s)
	}
	e.recordLoad()
}

// runStream generates the stream's tokens.
func (e *Engine) runStream(s *stream) {
	e.mu.Lock()
	first := e.timeToFirstToken(s)
	e.mu.Unlock()
	if !sleep(e.Clock, first, s.stopped) {
		return
	}
	for {
		if !e.gate.await(s.stopped) {
			return
		}
		d, more := e.emitToken(s)
		if !more || !sleep(e.Clock, d, s.stopped) {
			return
		}
	}
}

// timeToFirstToken returns the time to the first token, which grows with the number of
// uncached blocks of the prompt. It adds the prompt's prefixes to the cache.
func (e *Engine) timeToFirstToken(s *stream) time.Duration {
	blocks := prefixes(s.request.Prompt)
	missing := len(blocks) - e.cache.countHits(blocks)
	for _, p := range blocks {
		e.cache.store(p, e.Clock.Now())
	}
	return time.Duration(1+missing*uncachedBlockTokens) * e.tokenInterval(e.running)
}

// tokenInterval returns the time between tokens in a batch of running requests.
func (e *Engine) tokenInterval(running int) time.Duration {
	d := e.TokenTime + time.Duration(e.faults.SlowMs)*time.Millisecond
	if running > fullSpeedBatch {
		d = d * time.Duration(running) / fullSpeedBatch
	}
	return d
}

// emitToken adds the next token and, after the last one, the final event. It returns
// the time to the next token and whether there is one.
func (e *Engine) emitToken(s *stream) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.ended {
		return 0, false
	}
	if e.loaded != s.loaded {
		e.counts.Mixed++
	}
	v := Event{
		Index:          len(s.tokens),
		Version:        s.loaded.order.Version,
		Weights:        s.loaded.weights,
		AdapterWeights: s.loaded.adapters[s.request.Adapter],
	}
	v.Token = tokenText(s.request.Prompt, v)
	s.tokens = append(s.tokens, v.Token)
	s.events = append(s.events, v)
	s.changed.notify()
	if len(s.tokens) < s.request.MaxTokens {
		return e.tokenInterval(e.running), true
	}
	e.finishStream(s, v)
	return 0, false
}

func (e *Engine) finishStream(s *stream, last Event) {
	last.Index, last.Token = 0, ""
	last.Done = true
	last.Tokens = len(s.tokens)
	last.Digest = digestOf([]byte(strings.Join(s.tokens, " ")))
	s.events = append(s.events, last)
	e.counts.Finished++
	e.endStream(s)
}

// endStream removes the stream from the batch or queue. The stream can be resumed
// until maxEndedStreams further streams have ended.
func (e *Engine) endStream(s *stream) {
	s.ended = true
	close(s.stopped)
	s.changed.notify()
	if s.running {
		e.running--
	} else {
		e.queued = slices.DeleteFunc(e.queued, func(q *stream) bool { return q == s })
	}
	e.endedIDs = append(e.endedIDs, s.request.RequestID)
	if len(e.endedIDs) > maxEndedStreams {
		delete(e.streams, e.endedIDs[0])
		e.endedIDs = e.endedIDs[1:]
	}
	e.startQueued()
}

// abortStreams ends all streams without a final event, discards them and returns the
// number that were running or queued.
func (e *Engine) abortStreams() int {
	n := 0
	for _, s := range e.streams {
		if s.ended {
			continue
		}
		n++
		s.ended, s.aborted = true, true
		close(s.stopped)
		s.changed.notify()
	}
	clear(e.streams)
	e.endedIDs = nil
	e.running = 0
	e.queued = nil
	return n
}

// tokenText derives a token from the prompt, the index and the weights only.
func tokenText(prompt string, v Event) string {
	text := fmt.Sprintf("%q %d %s %s", prompt, v.Index, v.Weights, v.AdapterWeights)
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:4])
}

// writeStream sends the stream's events, starting with index from.
func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, s *stream, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	e.mu.Lock()
	unframed, torn := e.faults.Unframed, e.faults.Torn
	e.mu.Unlock()
	if unframed {
		unframe(w)
	}
	w.WriteHeader(http.StatusOK)
	c := http.NewResponseController(w)
	for {
		e.mu.Lock()
		var events []Event
		if from < len(s.events) {
			events = s.events[from:]
		}
		ended, aborted, changed := s.ended, s.aborted, s.changed.wait()
		e.mu.Unlock()
		if aborted {
			abortConnection()
		}
		if err := writeEvents(w, events); err != nil {
			return
		}
		from += len(events)
		if torn && from > 0 {
			// Clients must not mistake the end of the connection for the end of the reply.
			_, _ = io.WriteString(w, "data: {\"index\"")
			return
		}
		if ended {
			return
		}
		if err := c.Flush(); err != nil {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func writeEvents(w http.ResponseWriter, events []Event) error {
	for _, v := range events {
		b, err := json.Marshal(v)
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(w, "data: %s\n\n", b); err != nil {
			return err
		}
	}
	return nil
}

func (e *Engine) findStream(w http.ResponseWriter, r *http.Request) *stream {
	e.mu.Lock()
	s := e.streams[r.PathValue("id")]
	e.mu.Unlock()
	if s == nil {
		writeError(w, http.StatusNotFound, "no such request")
	}
	return s
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	from := 0
	if text := r.URL.Query().Get("from"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 {
			writeError(w, http.StatusBadRequest, "from is no index")
			return
		}
		from = n
	}
	if s := e.findStream(w, r); s != nil {
		e.writeStream(w, r, s, from)
	}
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	s := e.findStream(w, r)
	if s == nil {
		return
	}
	e.mu.Lock()
	if !s.ended {
		e.counts.Cancelled++
		e.endStream(s)
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, struct{}{})
}
