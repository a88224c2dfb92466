// Package explainer tells from log lines what became of one request: the lines that
// name it, in order of time, and what the processes involved believed meanwhile.
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

// maxLine bounds a log line in bytes; longer ones are passed over.
const maxLine = 1 << 20

// around is how long before the first and after the last line of a request other
// lines on the same upstream count as context.
const around = 2 * time.Second

// Line is a log line.
type Line struct {
	Time time.Time
	Msg  string
	// Prefix is what stands before the JSON, such as a VM's name.
	Prefix string
	// Fields are all but the time, the level and the message.
	Fields map[string]any
}

// text gives a field as text; empty when it isn't there.
func (l Line) text(name string) string {
	if v, ok := l.Fields[name]; ok {
		return fmt.Sprint(v)
	}
	return ""
}

// Read takes JSON log lines, each with anything before the first brace. It gives the
// lines that it understood and the number of those that it did not.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
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
	at := bytes.IndexByte(text, '{')
	if at < 0 {
		return Line{}, false
	}
	l := Line{Prefix: strings.TrimSpace(string(text[:at]))}
	if err := json.Unmarshal(text[at:], &l.Fields); err != nil {
		return Line{}, false
	}
	t, err := time.Parse(time.RFC3339Nano, l.text("time"))
	if err != nil {
		return Line{}, false
	}
	l.Time, l.Msg = t, l.text("msg")
	for _, name := range []string{"time", "level", "msg"} {
		delete(l.Fields, name)
	}
	return l, true
}

// UnknownRequestError reports a request that no line names.
type UnknownRequestError struct{ Request string }

func (e *UnknownRequestError) Error() string {
	return fmt.Sprintf("no line names request %q", e.Request)
}

// process is the last word before the line's JSON.
func (l Line) process() string {
	words := strings.Fields(l.Prefix)
	if len(words) == 0 {
		return ""
	}
	return words[len(words)-1]
}

// Explain writes the lines of a request and, marked by a dash, those on its upstreams
// around it by the same processes, and their last words before it on their engines. All
// others tell the same of an upstream.
func Explain(w io.Writer, lines []Line, request string) error {
	own := slices.DeleteFunc(slices.Clone(lines), func(l Line) bool { return l.text("request") != request })
	if len(own) == 0 {
		return &UnknownRequestError{Request: request}
	}
	byTime := func(a, b Line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) }
	slices.SortStableFunc(own, byTime)
	from, to := own[0].Time.Add(-around), own[len(own)-1].Time.Add(around)
	upstreams, processes := map[string]bool{}, map[string]bool{}
	for _, l := range own {
		processes[l.process()] = true
		if u := l.text("upstream"); u != "" {
			upstreams[u] = true
		}
	}
	gates := lastGates(lines, processes, own[0].Time)
	shown := slices.DeleteFunc(slices.Clone(lines), func(l Line) bool {
		if l.text("request") == request || gates[l.process()].same(l) {
			return false
		}
		return l.text("request") != "" || !upstreams[l.text("upstream")] || !processes[l.process()] || l.Time.Before(from) || l.Time.After(to)
	})
	slices.SortStableFunc(shown, byTime)
	for _, l := range shown {
		if err := printLine(w, l, own[0].Time, l.text("request") == request); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "outcome: %s\n", outcome(own))
	return err
}

// gateLines are those by which an agent tells whether its engine takes requests.
var gateLines = map[string]bool{"Engine opened": true, "Engine closed": true, "Engine ordered to load": true}

// lastGates gives each process's last word on its engine before a moment, however long ago:
// an agent that refuses says why it is closed, but not since when.
func lastGates(lines []Line, processes map[string]bool, before time.Time) map[string]gate {
	gates := map[string]gate{}
	for _, l := range lines {
		p := l.process()
		if gateLines[l.Msg] && processes[p] && !l.Time.After(before) && !l.Time.Before(gates[p].at) {
			gates[p] = gate{l.Time, l.Msg}
		}
	}
	return gates
}

// gate is a process's word on its engine.
type gate struct {
	at  time.Time
	msg string
}

func (g gate) same(l Line) bool { return l.Msg == g.msg && l.Time.Equal(g.at) }

func printLine(w io.Writer, l Line, began time.Time, own bool) error {
	mark := "-"
	if own {
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
	_, err := fmt.Fprintf(w, "%s %+9.3fs %s %s%s\n", mark, l.Time.Sub(began).Seconds(), l.Prefix, l.Msg, b.String())
	return err
}

// outcomes gives the words for the lines that end a request.
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

// outcome is what the last line that ends the request means.
func outcome(own []Line) string {
	for _, l := range slices.Backward(own) {
		if text, ok := outcomes[l.Msg]; ok {
			if late := l.text("lateMs"); late != "" {
				text += ", but " + late + " ms after the route's objective"
			}
			return l.Msg + ": " + text
		}
	}
	return "not in these lines; the entry may have been killed, or lines were dropped"
}
