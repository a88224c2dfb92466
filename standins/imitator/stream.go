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
	// AdapterWeights is the same of the adapter's bytes, if one was used.
	AdapterWeights string `json:"adapterWeights"`
	// Digest is that of all tokens joined by a space.
	Digest string `json:"digest"`
}

// MarshalJSON writes the fields of a token or those of the last event.
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
	defaultTokens   = 16
	keptStreams     = 1024 // ended streams that can still be resumed
	batchKnee       = 8    // running requests beyond which tokens slow down
	slowBlockTokens = 1    // token times that one uncached block of a prompt costs
)

// generation is the body of a request to generate.
type generation struct {
	RequestID string `json:"requestId"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"maxTokens"`
	Priority  int    `json:"priority"`
	Adapter   string `json:"adapter"`
}

// stream is one request's reply so far. Its fields are guarded by the engine's
// mutex.
type stream struct {
	request generation
	held    *holding // what was loaded when the request came
	events  []Event
	tokens  []string
	running bool
	ended   bool          // no event follows, the last one may be Done
	lost    bool          // cut: the connections are to be closed
	stopped chan struct{} // closed when ended
	changed signal
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var g generation
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
			cut()
		}
		writeError(w, status, text)
		return
	}
	e.serve(w, r, s, 0)
}

// accept puts the request into the queue and starts what can run. It returns no
// stream but a status when it refuses, and status 0 when the engine fell over.
func (e *Engine) accept(g generation) (s *stream, status int, text string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.held == nil {
		return nil, http.StatusServiceUnavailable, "nothing is loaded"
	}
	if _, ok := e.held.adapters[g.Adapter]; g.Adapter != "" && !ok {
		return nil, http.StatusNotFound, "no such adapter"
	}
	if _, ok := e.streams[g.RequestID]; ok {
		return nil, http.StatusConflict, "request id was seen before"
	}
	e.counts.Requests++
	e.counts.LastWorkAt = e.Clock.Now()
	if e.running+len(e.queued) >= e.Limit+e.Queue {
		e.fallOver("queue is full")
		return nil, 0, ""
	}
	s = &stream{request: g, held: e.held, stopped: make(chan struct{})}
	e.streams[g.RequestID] = s
	e.enqueue(s)
	e.startQueued()
	if s.lost {
		return nil, 0, ""
	}
	return s, 0, ""
}

// enqueue keeps the queue ordered by priority, greatest first, then by arrival.
func (e *Engine) enqueue(s *stream) {
	i := slices.IndexFunc(e.queued, func(q *stream) bool {
		return q.request.Priority < s.request.Priority
	})
	if i < 0 {
		i = len(e.queued)
	}
	e.queued = slices.Insert(e.queued, i, s)
}

// startQueued fills the batch from the queue. A cold engine knows no better
// than to fill it too, and falls over.
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
			e.fallOver("cold")
			return
		}
		go e.run(s)
	}
	e.sample()
}

// run emits the stream's tokens.
func (e *Engine) run(s *stream) {
	e.mu.Lock()
	first := e.firstToken(s)
	e.mu.Unlock()
	if !pause(e.Clock, first, s.stopped) {
		return
	}
	for {
		if !e.hang.hold(s.stopped) {
			return
		}
		d, more := e.emit(s)
		if !more || !pause(e.Clock, d, s.stopped) {
			return
		}
	}
}

// firstToken returns the time to the first token: the blocks of the prompt that
// the cache lacks have to be worked through.
func (e *Engine) firstToken(s *stream) time.Duration {
	blocks := prefixes(s.request.Prompt)
	missing := len(blocks) - e.cache.hit(blocks)
	for _, p := range blocks {
		e.cache.store(p, e.Clock.Now())
	}
	return time.Duration(1+missing*slowBlockTokens) * e.step(e.running)
}

// step returns the time from one token to the next in a batch of that size.
func (e *Engine) step(running int) time.Duration {
	d := e.TokenTime + time.Duration(e.faults.SlowMs)*time.Millisecond
	if running > batchKnee {
		d = d * time.Duration(running) / batchKnee
	}
	return d
}

// emit adds the next token and, after the last one, the end mark. It returns the
// time to the next token.
func (e *Engine) emit(s *stream) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.ended {
		return 0, false
	}
	if e.held != s.held {
		e.counts.Mixed++
	}
	v := Event{
		Index:          len(s.tokens),
		Version:        s.held.order.Version,
		Weights:        s.held.weights,
		AdapterWeights: s.held.adapters[s.request.Adapter],
	}
	v.Token = tokenText(s.request.Prompt, v)
	s.tokens = append(s.tokens, v.Token)
	s.events = append(s.events, v)
	s.changed.notify()
	if len(s.tokens) < s.request.MaxTokens {
		return e.step(e.running), true
	}
	e.finish(s, v)
	return 0, false
}

func (e *Engine) finish(s *stream, last Event) {
	last.Index, last.Token = 0, ""
	last.Done = true
	last.Tokens = len(s.tokens)
	last.Digest = digestOf([]byte(strings.Join(s.tokens, " ")))
	s.events = append(s.events, last)
	e.counts.Finished++
	e.end(s)
}

// end takes the stream out of the batch or the queue and keeps it for a while.
func (e *Engine) end(s *stream) {
	s.ended = true
	close(s.stopped)
	s.changed.notify()
	if s.running {
		e.running--
	} else {
		e.queued = slices.DeleteFunc(e.queued, func(q *stream) bool { return q == s })
	}
	e.finished = append(e.finished, s.request.RequestID)
	if len(e.finished) > keptStreams {
		delete(e.streams, e.finished[0])
		e.finished = e.finished[1:]
	}
	e.startQueued()
}

// cutStreams ends all streams without an end mark, forgets them and returns how
// many of them were running or queued.
func (e *Engine) cutStreams() int {
	n := 0
	for _, s := range e.streams {
		if s.ended {
			continue
		}
		n++
		s.ended, s.lost = true, true
		close(s.stopped)
		s.changed.notify()
	}
	clear(e.streams)
	e.finished = nil
	e.running = 0
	e.queued = nil
	return n
}

// tokenText depends on the prompt, the index and the weights only.
func tokenText(prompt string, v Event) string {
	text := fmt.Sprintf("%q %d %s %s", prompt, v.Index, v.Weights, v.AdapterWeights)
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:4])
}

// serve writes the stream's events from the given one on.
func (e *Engine) serve(w http.ResponseWriter, r *http.Request, s *stream, from int) {
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
		ended, lost, changed := s.ended, s.lost, s.changed.wait()
		e.mu.Unlock()
		if lost {
			cut()
		}
		if err := writeEvents(w, events); err != nil {
			return
		}
		from += len(events)
		if torn && from > 0 {
			// Nobody may take the connection's end for the reply's.
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

func (e *Engine) find(w http.ResponseWriter, r *http.Request) *stream {
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
	if s := e.find(w, r); s != nil {
		e.serve(w, r, s, from)
	}
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	s := e.find(w, r)
	if s == nil {
		return
	}
	e.mu.Lock()
	if !s.ended {
		e.counts.Cancelled++
		e.end(s)
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, struct{}{})
}
