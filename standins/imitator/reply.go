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
	outcome outcome
	pause   time.Duration // before a retry
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

// readReply reads a stream of events to its end and checks it.
func readReply(body io.Reader) reply {
	var r reply
	var first Event
	var tokens []string
	consistent := true
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventBytes)
	for n := 0; lines.Scan(); {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		var v wireEvent
		if json.Unmarshal([]byte(data), &v) != nil {
			return reply{broken: true, mixed: r.mixed}
		}
		if v.Error != nil {
			r.outcome = v.Error.Outcome
			if n > 0 && r.outcome == outcomeNotRun {
				r.outcome = outcomeUnknown // its tokens show that it ran
			}
			r.pause = time.Duration(v.Error.RetryAfterMs) * time.Millisecond
			return r
		}
		if n == 0 {
			first = v.Event
		}
		r.mixed = r.mixed || !sameWeights(first, v.Event)
		if v.Done {
			r.whole = consistent && !r.mixed && ends(v.Event, tokens)
			r.broken = !r.whole
			return r
		}
		consistent = consistent && v.Index == n
		tokens = append(tokens, v.Token)
		n++
	}
	r.broken = true
	return r
}

func sameWeights(a, b Event) bool {
	return a.Weights == b.Weights && a.Version == b.Version && a.AdapterWeights == b.AdapterWeights
}

// ends tells whether the end mark is that of these tokens.
func ends(last Event, tokens []string) bool {
	return last.Tokens == len(tokens) && last.Digest == digestOf([]byte(strings.Join(tokens, " ")))
}
