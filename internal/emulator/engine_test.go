package emulator_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/emulator"
	"github.com/oriolecroft/oriolecroft/internal/matcher"
)

// figures are those of the engines on the recorded days.
func figures() *matcher.Engine {
	return &matcher.Engine{
		Slots: 16, Stride: 5, Chunk: 2048, Step: 9270 * time.Microsecond,
		PerRequest: 23200 * time.Nanosecond, PerThousand: 32200 * time.Nanosecond,
		ReadPerSecond: 20_700, PerMillionPairs: 1180 * time.Microsecond,
		UsualPrompt: 940, UsualAnswer: 90,
	}
}

var start = time.Unix(1000, 0)

// recorded is a request that was granted a slot by an agent, with the times in the entry's
// log.
type recorded struct {
	AskedMs          float64 `json:"askedMs"`
	OtherRegion      bool    `json:"otherRegion"`
	Prompt           int     `json:"prompt"`
	Events           int     `json:"events"`
	PredictedWaitMs  float64 `json:"predictedWaitMs"`
	FirstEventMs     float64 `json:"firstEventMs"`
	LongestPauseMs   float64 `json:"longestPauseMs"`
	WholeMs          float64 `json:"wholeMs"`
	firstMs, pauseMs float64
	// predictedMs is the first event as predicted when the request arrived.
	predictedMs float64
}

func load(t *testing.T, name string) []*recorded {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name+".json"))
	must.NoError(t, err)
	var file struct {
		Requests []*recorded `json:"requests"`
	}
	must.NoError(t, json.Unmarshal(data, &file))
	return file.Requests
}

const (
	// nearRequestDelay and farRequestDelay are the time from the agent's grant to the engine: the
	// reply to the entry, a new connection, and the request.
	nearRequestDelay = 2 * time.Millisecond
	farRequestDelay  = 10 * time.Millisecond
	// nearEventDelay and farEventDelay are an event's delay to the entry.
	nearEventDelay = 200 * time.Microsecond
	farEventDelay  = 2 * time.Millisecond
)

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// replay replays the requests of a recorded day on an emulated engine, and sets the emulated times.
func replay(requests []*recorded) {
	type arrival struct {
		*recorded
		at time.Time
		id string
	}
	var arrivals []arrival
	byID := map[string]*recorded{}
	for i, r := range requests {
		delay := nearRequestDelay
		if r.OtherRegion {
			delay = farRequestDelay
		}
		at := start.Add(time.Duration(r.AskedMs*float64(time.Millisecond)) + delay)
		arrivals = append(arrivals, arrival{r, at, fmt.Sprint(i)})
		byID[fmt.Sprint(i)] = r
	}
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return a.at.Compare(b.at) })
	e := &emulator.Engine{Figures: figures()}
	last := map[string]time.Time{}
	finish := func() {
		for _, v := range e.FinishPass() {
			r := byID[v.ID]
			delay := nearEventDelay
			if r.OtherRegion {
				delay = farEventDelay
			}
			if v.First {
				r.firstMs = milliseconds(v.At.Add(delay).Sub(start)) - r.AskedMs
			} else {
				r.pauseMs = max(r.pauseMs, milliseconds(v.At.Sub(last[v.ID])))
			}
			last[v.ID] = v.At
		}
	}
	for _, a := range arrivals {
		for at, busy := e.PassEnd(); busy && !at.After(a.at); at, busy = e.PassEnd() {
			finish()
		}
		request := emulator.Request{ID: a.id, Prompt: a.Prompt, Answer: a.Events * figures().Stride}
		a.predictedMs = milliseconds(a.at.Add(e.Predict(request, a.at).First).Sub(start)) - a.AskedMs
		e.Add(request, a.at)
	}
	for _, busy := e.PassEnd(); busy; _, busy = e.PassEnd() {
		finish()
	}
}

// summary is the deviation of values from the recorded ones.
type summary struct {
	count                       int
	mean, meanSize, median, p90 float64
}

func summarize(errors []float64) summary {
	s := summary{count: len(errors)}
	var sizes []float64
	for _, e := range errors {
		s.mean += e / float64(len(errors))
		s.meanSize += max(e, -e) / float64(len(errors))
		sizes = append(sizes, max(e, -e))
	}
	slices.Sort(errors)
	slices.Sort(sizes)
	s.median, s.p90 = errors[len(errors)/2], sizes[len(sizes)*9/10]
	return s
}

func (s summary) String() string {
	return fmt.Sprintf("%d, mean %+.1f ms, median %+.1f ms, mean size %.1f ms, nine in ten within %.1f ms", s.count, s.mean, s.median, s.meanSize, s.p90)
}

// The emulation is compared with one engine of a quiet day and one of a day with more load
// than the engines can serve. Requests that arrive near the end of a pass are in this or in
// the next one, a usual pass of 47 ms apart.
func TestModelMatchesRecordedTimes(t *testing.T) {
	const pass = 47.0
	for _, name := range []string{"quiet", "overloaded"} {
		requests := load(t, name)
		replay(requests)
		var first, pause, predicted, ledger []float64
		for _, r := range requests {
			if r.AskedMs+r.WholeMs > requests[len(requests)-1].AskedMs {
				// Requests that reached the engine after the recording are unknown.
				continue
			}
			first = append(first, r.firstMs-r.FirstEventMs)
			predicted = append(predicted, r.predictedMs-r.FirstEventMs)
			ledger = append(ledger, r.PredictedWaitMs+milliseconds(firstEventAlone(r.Prompt))-r.FirstEventMs)
			if r.Events > 2 {
				pause = append(pause, r.pauseMs-r.LongestPauseMs)
			}
		}
		f, p, q := summarize(first), summarize(pause), summarize(predicted)
		t.Logf("%s: first event %v", name, f)
		t.Logf("%s: longest pause %v", name, p)
		t.Logf("%s: for comparison, the ledger's wait and the reading alone: %v", name, summarize(ledger))
		t.Logf("%s: predicted when it came: %v", name, q)
		must.Between(t, -10, f.mean, 10)
		must.Between(t, -5, f.median, 5)
		must.LessEq(t, pass*0.6, f.meanSize)
		must.LessEq(t, pass*1.2, f.p90)
		must.Between(t, -30, q.mean, 5)
		must.LessEq(t, pass*0.8, q.meanSize)
		must.Between(t, -5, p.median, 5)
		must.LessEq(t, pass*0.4, p.meanSize)
	}
}

func firstEventAlone(prompt int) time.Duration {
	p := (&emulator.Engine{Figures: figures()}).Predict(emulator.Request{ID: "a", Prompt: prompt, Answer: 5}, start)
	return p.First
}

// Lone requests at an idle engine took 15.7 ms beyond reading their prompts, 2.4 ms of it network delay.
func TestLoneRequest(t *testing.T) {
	must.Between(t, 36200*time.Microsecond, firstEventAlone(473)+nearEventDelay+nearRequestDelay, 38800*time.Microsecond)
	must.Between(t, 220*time.Millisecond, firstEventAlone(3920)+nearEventDelay+nearRequestDelay, 225*time.Millisecond)
}

// A long prompt arrives at an engine that writes other replies. These pause while it is read,
// and a prediction must give both the length of their pause and the first event of the new request.
func TestPredictionMatchesExecution(t *testing.T) {
	e := &emulator.Engine{Figures: figures()}
	for i := range 8 {
		e.Add(emulator.Request{ID: fmt.Sprint(i), Prompt: 500, Answer: 400}, start)
	}
	now := start
	for range 10 {
		now, _ = e.PassEnd()
		e.FinishPass()
	}
	now = now.Add(5 * time.Millisecond)
	long := emulator.Request{ID: "long", Prompt: 3500, Answer: 50}
	predicted := e.Predict(long, now)
	must.Eq(t, predicted, e.Predict(long, now), must.Sprint("predicting changes nothing"))
	e.Add(long, now)
	last, longest := time.Time{}, time.Duration(0)
	for {
		for _, v := range e.FinishPass() {
			if v.ID == "0" {
				if !last.IsZero() {
					longest = max(longest, v.At.Sub(last))
				}
				last = v.At
			}
			if v.ID == "long" && v.First {
				must.Eq(t, predicted.First, v.At.Sub(now))
				must.Eq(t, predicted.Pause, longest)
				must.Between(t, 220*time.Millisecond, longest, 240*time.Millisecond)
				return
			}
		}
	}
}

// When memory is exhausted the newest request is evicted, read once more, and all of its
// events come exactly once.
func TestMemoryRunsOut(t *testing.T) {
	e := &emulator.Engine{Figures: figures(), Memory: 2100}
	must.False(t, e.Add(emulator.Request{ID: "huge", Prompt: 2000, Answer: 200}, start))
	counts := map[string]int{}
	firsts := map[string]int{}
	for _, id := range []string{"a", "b"} {
		must.True(t, e.Add(emulator.Request{ID: id, Prompt: 1000, Answer: 200}, start))
	}
	for _, busy := e.PassEnd(); busy; _, busy = e.PassEnd() {
		for _, v := range e.FinishPass() {
			counts[v.ID]++
			if v.First {
				firsts[v.ID]++
			}
		}
		must.LessEq(t, 2100, e.Report(start.Add(time.Hour)).Tokens)
	}
	must.Eq(t, map[string]int{"a": 40, "b": 40}, counts)
	must.Eq(t, map[string]int{"a": 1, "b": 1}, firsts)
}

// Reports describe an earlier state of the engine. Taken as the present one, they show an
// idle engine just when a burst has filled it.
func TestReportsLag(t *testing.T) {
	e := &emulator.Engine{Figures: figures(), Lag: 200 * time.Millisecond}
	e.Add(emulator.Request{ID: "a", Prompt: 100, Answer: 400}, start)
	must.Eq(t, 0, e.Report(start.Add(199*time.Millisecond)).Running)
	must.Eq(t, 1, e.Report(start.Add(200*time.Millisecond)).Running)
}

// A slow engine takes longer for all of its work.
func TestSlowEngine(t *testing.T) {
	slow := &emulator.Engine{Figures: figures(), Pace: 3}
	duration := slow.Predict(emulator.Request{ID: "a", Prompt: 1000, Answer: 5}, start).First
	must.Between(t, 2*firstEventAlone(1000), duration, 3*firstEventAlone(1000))
}

// Callers leave in the middle of a pass. The pass continues, makes no events for them, and
// their slots are free in the next.
func TestRemovedRequestMakesNoEvents(t *testing.T) {
	e := &emulator.Engine{Figures: figures()}
	for i := range 17 {
		e.Add(emulator.Request{ID: fmt.Sprint(i), Prompt: 100, Answer: 50}, start)
	}
	e.Remove("0")
	for _, v := range e.FinishPass() {
		must.NotEq(t, "0", v.ID)
	}
	must.Eq(t, 16, e.Report(start.Add(time.Hour)).Running)
}
