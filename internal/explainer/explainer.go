// Package explainer shows the course of one request from log lines: the lines of the
// request in order of time, and what the involved processes logged about its upstreams.
package explainer

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLineBytes limits a log line; Read fails at a longer one.
const maxLineBytes = 1 << 20

// contextWindow is the time before the first and after the last line of a request in
// which other lines about the same upstream are shown as context.
const contextWindow = 2 * time.Second

// Line is a log line.
type Line struct {
	Time time.Time
	Msg  string
	// Prefix is the text before the JSON, such as a VM's name.
	Prefix string
	// Fields contains all fields but the time, the level and the message.
	Fields map[string]any
}

// field returns a field as text; empty if it is missing.
func (l Line) field(name string) string {
	if v, ok := l.Fields[name]; ok {
		return fmt.Sprint(v)
	}
	return ""
}

// Read parses JSON log lines, each with any text before the first brace. It returns the
// parsed lines and the number of lines that could not be parsed.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		l, ok := parse(s.Bytes())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, l)
	}
	return lines, skipped, s.Err()
}

func parse(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	l := Line{Prefix: strings.TrimSpace(string(text[:start]))}
	if err := json.Unmarshal(text[start:], &l.Fields); err != nil {
		return Line{}, false
	}
	t, err := time.Parse(time.RFC3339Nano, l.field("time"))
	if err != nil {
		return Line{}, false
	}
	l.Time, l.Msg = t, l.field("msg")
	for _, name := range []string{"time", "level", "msg"} {
		delete(l.Fields, name)
	}
	return l, true
}

// UnknownRequestError reports a request without any log line.
type UnknownRequestError struct{ Request string }

func (e *UnknownRequestError) Error() string {
	return fmt.Sprintf("no line names request %q", e.Request)
}

// process returns the process that wrote the line: the last word before the JSON.
func (l Line) process() string {
	words := strings.Fields(l.Prefix)
	if len(words) == 0 {
		return ""
	}
	return words[len(words)-1]
}

// Explain writes the lines of a request and, marked by a dash, those of the same processes
// about its upstreams around that time, and their last gate changes before it. Other
// processes log the same about an upstream, so their lines are left out.
func Explain(w io.Writer, lines []Line, request string) error {
	requestLines := slices.DeleteFunc(slices.Clone(lines), func(l Line) bool { return l.field("request") != request })
	if len(requestLines) == 0 {
		return &UnknownRequestError{Request: request}
	}
	byTime := func(a, b Line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) }
	slices.SortStableFunc(requestLines, byTime)
	from, to := requestLines[0].Time.Add(-contextWindow), requestLines[len(requestLines)-1].Time.Add(contextWindow)
	upstreams, processes := map[string]bool{}, map[string]bool{}
	for _, l := range requestLines {
		processes[l.process()] = true
		if u := l.field("upstream"); u != "" {
			upstreams[u] = true
		}
	}
	gates := lastGateChanges(lines, processes, requestLines[0].Time)
	shown := slices.DeleteFunc(slices.Clone(lines), func(l Line) bool {
		if l.field("request") == request || gates[l.process()].matches(l) {
			return false
		}
		return l.field("request") != "" || !upstreams[l.field("upstream")] || !processes[l.process()] || l.Time.Before(from) || l.Time.After(to)
	})
	slices.SortStableFunc(shown, byTime)
	for _, l := range shown {
		if err := printLine(w, l, requestLines[0].Time, l.field("request") == request); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "outcome: %s\n", requestOutcome(requestLines))
	return err
}

// gateMessages are the messages with which an agent logs whether its engine accepts requests.
var gateMessages = map[string]bool{"Engine opened": true, "Engine closed": true, "Engine ordered to load": true}

// lastGateChanges returns each process's last gate change before a time, however long ago:
// a refusal of an agent states why its engine is closed, but not since when.
func lastGateChanges(lines []Line, processes map[string]bool, before time.Time) map[string]gateChange {
	gates := map[string]gateChange{}
	for _, l := range lines {
		p := l.process()
		if gateMessages[l.Msg] && processes[p] && !l.Time.After(before) && !l.Time.Before(gates[p].time) {
			gates[p] = gateChange{l.Time, l.Msg}
		}
	}
	return gates
}

// gateChange is a line in which a process opened or closed its engine.
type gateChange struct {
	time time.Time
	msg  string
}

func (g gateChange) matches(l Line) bool { return l.Msg == g.msg && l.Time.Equal(g.time) }

func printLine(w io.Writer, l Line, start time.Time, isRequestLine bool) error {
	mark := "-"
	if isRequestLine {
		mark = " "
	}
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		if name != "request" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var b strings.Builder
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
	}
	_, err := fmt.Fprintf(w, "%s %+9.3fs %s %s%s\n", mark, l.Time.Sub(start).Seconds(), l.Prefix, l.Msg, b.String())
	return err
}

// outcomes explains the messages that end a request.
var outcomes = map[string]string{
	"Served":                "answered by an upstream",
	"Refused":               "refused: it did not run; the reason stands in the line",
	"Failed":                "failed at its upstreams; whether it ran is in the field outcome",
	"Timed out":             "no answer within the route's timeout or the caller's patience",
	"Stream cut":            "broken off: no upstream could go on behind lastEvent",
	"Reply cut":             "broken off: the upstream broke off a long reply",
	"Caller left":           "the caller closed its connection first",
	"Caller doesn't read":   "a write to the caller was blocked for long, and its reply ended so",
	"Cut as the entry ends": "the entry reached the end of its grace first",

	"Handler panicked": "a fault of the entry itself; the stack is in the line",
}

// requestOutcome explains the last line that ends the request.
func requestOutcome(lines []Line) string {
	for _, l := range slices.Backward(lines) {
		if text, ok := outcomes[l.Msg]; ok {
			if late := l.field("lateMs"); late != "" {
				text += ", but " + late + " ms after the route's objective"
			}
			return l.Msg + ": " + text
		}
	}
	return "not in these lines; the entry may have been killed, or lines were dropped"
}
