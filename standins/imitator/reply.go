package imitator

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
	"time"
)

// maxEventBytes is the greatest size of one event of a reply.
const maxEventBytes = 1 << 20

// reply is what a caller makes of one answer to a model request.
type reply struct {
	whole   bool // the end mark came and all that it says holds
	mixed   bool // two events differ in their weights or version
	broken  bool // it ended without an end mark or an error event
	cut     bool // the connection ended before the reply did
	unbegun bool // it was cut before its first event
	outcome outcome
	pause   time.Duration // before a retry
}

// mayAskAnew tells whether the caller loses nothing by asking again: drafting a
// text twice does no harm, as long as no part of the first has been read.
func (r reply) mayAskAnew() bool {
	return r.outcome == outcomeNotRun || r.unbegun
}

// wireEvent is an event as an entry sends it: an engine's, or a last one with
// an error.
type wireEvent struct {
	Event
	Error *struct {
		Outcome      outcome `json:"outcome"`
		Message      string  `json:"message"`
		RetryAfterMs int64   `json:"retryAfterMs"`
	} `json:"error"`
}

// reading is a reply under way, over all connections on which it is read.
type reading struct {
	first      Event
	tokens     []string
	mixed      bool
	misordered bool
}

// read reads a stream of events to its end, or to where it broke, and checks it.
func (a *reading) read(body io.Reader) reply {
	r := reply{mixed: a.mixed}
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		var v wireEvent
		if json.Unmarshal([]byte(data), &v) != nil {
			return reply{broken: true, mixed: a.mixed}
		}
		if v.Error != nil {
			r.outcome = v.Error.Outcome
			if len(a.tokens) > 0 && r.outcome == outcomeNotRun {
				r.outcome = outcomeUnknown // its tokens show that it ran
			}
			r.pause = time.Duration(v.Error.RetryAfterMs) * time.Millisecond
			return r
		}
		a.take(v.Event)
		r.mixed = a.mixed
		if v.Done {
			r.whole = !a.misordered && !a.mixed && ends(v.Event, a.tokens)
			r.broken = !r.whole
			return r
		}
	}
	r.broken = true
	r.cut = true
	return r
}

func (a *reading) take(v Event) {
	if len(a.tokens) == 0 {
		a.first = v
	}
	a.mixed = a.mixed || !sameWeights(a.first, v)
	if v.Done {
		return
	}
	a.misordered = a.misordered || v.Index != len(a.tokens)
	a.tokens = append(a.tokens, v.Token)
}

func sameWeights(a, b Event) bool {
	return a.Weights == b.Weights && a.Version == b.Version && a.AdapterWeights == b.AdapterWeights
}

// ends tells whether the end mark is that of these tokens.
func ends(last Event, tokens []string) bool {
	return last.Tokens == len(tokens) && last.Digest == digestOf([]byte(strings.Join(tokens, " ")))
}
