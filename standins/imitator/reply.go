package imitator

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
	"time"
)

// maxEventBytes is the maximum size of one event of a reply.
const maxEventBytes = 1 << 20

// reply is a caller's evaluation of one response to a model request.
type reply struct {
	whole        bool // the final event was received and matches the tokens
	mixed        bool // two events differ in their weights or version
	broken       bool // it ended without a valid final event or an error event
	disconnected bool // the connection ended before the reply did
	notStarted   bool // it was disconnected before its first event
	outcome      outcome
	retryDelay   time.Duration // before a retry
}

// safeToRetry returns whether the request can be repeated. Generating a text twice is
// harmless as long as no part of the first reply has been read.
func (r reply) safeToRetry() bool {
	return r.outcome == outcomeNotRun || r.notStarted
}

// wireEvent is an event as an entry sends it: one from an engine, or a final one
// with an error.
type wireEvent struct {
	Event
	Error *struct {
		Outcome      outcome `json:"outcome"`
		Message      string  `json:"message"`
		RetryAfterMs int64   `json:"retryAfterMs"`
	} `json:"error"`
}

// replyReader accumulates a reply over all connections on which it is read.
type replyReader struct {
	first      Event
	tokens     []string
	mixed      bool
	misordered bool
}

// read reads and checks a stream of events until it ends or breaks off.
func (a *replyReader) read(body io.Reader) reply {
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
				r.outcome = outcomeUnknown // its tokens prove that it ran
			}
			r.retryDelay = time.Duration(v.Error.RetryAfterMs) * time.Millisecond
			return r
		}
		a.addEvent(v.Event)
		r.mixed = a.mixed
		if v.Done {
			r.whole = !a.misordered && !a.mixed && endMatches(v.Event, a.tokens)
			r.broken = !r.whole
			return r
		}
	}
	r.broken = true
	r.disconnected = true
	return r
}

func (a *replyReader) addEvent(v Event) {
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

// endMatches returns whether the final event matches these tokens.
func endMatches(last Event, tokens []string) bool {
	return last.Tokens == len(tokens) && last.Digest == digestOf([]byte(strings.Join(tokens, " ")))
}
