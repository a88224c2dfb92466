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

// recorded is a request that an agent granted a place, with the times that the entry's log
// line told.
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
	// toldMs is the first event as predicted when the request came.
	toldMs float64
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
	// wayNear and wayFar are the time from the agent's grant to the engine: the answer to the
	// entry, a new connection, and the request.
	wayNear = 2 * time.Millisecond
	wayFar  = 10 * time.Millisecond
	// backNear and backFar are an event's way to the entry.
	backNear = 200 * time.Microsecond
	backFar  = 2 * time.Millisecond
)

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// replay has an engine do what one did on a recorded day, and fills in the model's times.
func replay(requests []*recorded) {
	type arrival struct {
		*recorded
		at time.Time
		id string
	}
	var arrivals []arrival
	byID := map[string]*recorded{}
	for i, r := range requests {
		way := wayNear
		if r.OtherRegion {
			way = wayFar
		}
		at := start.Add(time.Duration(r.AskedMs*float64(time.Millisecond)) + way)
		arrivals = append(arrivals, arrival{r, at, fmt.Sprint(i)})
		byID[fmt.Sprint(i)] = r
	}
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return a.at.Compare(b.at) })
	e := &emulator.Engine{Figures: figures()}
	last := map[string]time.Time{}
	finish := func() {
		for _, v := range e.Finish() {
			r := byID[v.ID]
			back := backNear
			if r.OtherRegion {
				back = backFar
			}
			if v.First {
				r.firstMs = milliseconds(v.At.Add(back).Sub(start)) - r.AskedMs
			} else {
				r.pauseMs = max(r.pauseMs, milliseconds(v.At.Sub(last[v.ID])))
			}
			last[v.ID] = v.At
		}
	}
	for _, a := range arrivals {
		for at, busy := e.Next(); busy && !at.After(a.at); at, busy = e.Next() {
			finish()
		}
		request := emulator.Request{ID: a.id, Prompt: a.Prompt, Answer: a.Events * figures().Stride}
		a.toldMs = milliseconds(a.at.Add(e.Predict(request, a.at).First).Sub(start)) - a.AskedMs
		e.Add(request, a.at)
	}
	for _, busy := e.Next(); busy; _, busy = e.Next() {
		finish()
	}
}

// summary is how far values lie from those recorded.
type summary struct {
	count                        int
	mean, absolute, median, most float64
}

func summarize(errors []float64) summary {
	s := summary{count: len(errors)}
	var sizes []float64
	for _, e := range errors {
		s.mean += e / float64(len(errors))
		s.absolute += max(e, -e) / float64(len(errors))
		sizes = append(sizes, max(e, -e))
	}
	slices.Sort(errors)
	slices.Sort(sizes)
	s.median, s.most = errors[len(errors)/2], sizes[len(sizes)*9/10]
	return s
}

func (s summary) String() string {
	return fmt.Sprintf("%d, mean %+.1f ms, median %+.1f ms, mean size %.1f ms, nine in ten within %.1f ms", s.count, s.mean, s.median, s.absolute, s.most)
}

// The model is held against one engine of a quiet day and one of a day with more load than
// the engines bear. Requests that come just around the end of a pass are in the one or in
// the next, a usual pass of 47 ms apart.
func TestModelMeetsRecordedTimes(t *testing.T) {
	const pass = 47.0
	for _, name := range []string{"quiet", "overloaded"} {
		requests := load(t, name)
		replay(requests)
		var first, pause, told, ledger []float64
		for _, r := range requests {
			if r.AskedMs+r.WholeMs > requests[len(requests)-1].AskedMs {
				// What came to the engine after the recording is not known.
				continue
			}
			first = append(first, r.firstMs-r.FirstEventMs)
			told = append(told, r.toldMs-r.FirstEventMs)
			ledger = append(ledger, r.PredictedWaitMs+milliseconds(readAlone(r.Prompt))-r.FirstEventMs)
			if r.Events > 2 {
				pause = append(pause, r.pauseMs-r.LongestPauseMs)
			}
		}
		f, p, q := summarize(first), summarize(pause), summarize(told)
		t.Logf("%s: first event %v", name, f)
		t.Logf("%s: longest pause %v", name, p)
		t.Logf("%s: for comparison, the ledger's wait and the reading alone: %v", name, summarize(ledger))
		t.Logf("%s: predicted when it came: %v", name, q)
		must.Between(t, -10, f.mean, 10)
		must.Between(t, -5, f.median, 5)
		must.LessEq(t, pass*0.6, f.absolute)
		must.LessEq(t, pass*1.2, f.most)
		must.Between(t, -30, q.mean, 5)
		must.LessEq(t, pass*0.8, q.absolute)
		must.Between(t, -5, p.median, 5)
		must.LessEq(t, pass*0.4, p.absolute)
	}
}

func readAlone(prompt int) time.Duration {
	p := (&emulator.Engine{Figures: figures()}).Predict(emulator.Request{ID: "a", Prompt: prompt, Answer: 5}, start)
	return p.First
}

// Lone requests at an idle engine took 15.7 ms beyond their reading, 2.4 ms of it on the way.
func TestLoneRequest(t *testing.T) {
	must.Between(t, 36200*time.Microsecond, readAlone(473)+backNear+wayNear, 38800*time.Microsecond)
	must.Between(t, 220*time.Millisecond, readAlone(3920)+backNear+wayNear, 225*time.Millisecond)
}

// A long prompt comes to an engine at which others write. These wait while it is read, and
// a prediction tells both how long they do and when the newcomer begins.
func TestPredictionIsWhatHappens(t *testing.T) {
	e := &emulator.Engine{Figures: figures()}
	for i := range 8 {
		e.Add(emulator.Request{ID: fmt.Sprint(i), Prompt: 500, Answer: 400}, start)
	}
	now := start
	for range 10 {
		now, _ = e.Next()
		e.Finish()
	}
	now = now.Add(5 * time.Millisecond)
	long := emulator.Request{ID: "long", Prompt: 3500, Answer: 50}
	told := e.Predict(long, now)
	must.Eq(t, told, e.Predict(long, now), must.Sprint("predicting changes nothing"))
	e.Add(long, now)
	last, longest := time.Time{}, time.Duration(0)
	for {
		for _, v := range e.Finish() {
			if v.ID == "0" {
				if !last.IsZero() {
					longest = max(longest, v.At.Sub(last))
				}
				last = v.At
			}
			if v.ID == "long" && v.First {
				must.Eq(t, told.First, v.At.Sub(now))
				must.Eq(t, told.Pause, longest)
				must.Between(t, 220*time.Millisecond, longest, 240*time.Millisecond)
				return
			}
		}
	}
}

// When memory runs out the newest request gives way, is read once more, and all of its
// events come exactly once.
func TestMemoryRunsOut(t *testing.T) {
	e := &emulator.Engine{Figures: figures(), Memory: 2100}
	must.False(t, e.Add(emulator.Request{ID: "huge", Prompt: 2000, Answer: 200}, start))
	counts := map[string]int{}
	firsts := map[string]int{}
	for _, id := range []string{"a", "b"} {
		must.True(t, e.Add(emulator.Request{ID: id, Prompt: 1000, Answer: 200}, start))
	}
	for _, busy := e.Next(); busy; _, busy = e.Next() {
		for _, v := range e.Finish() {
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

// Reports tell of the engine as it was a while ago. Whoever takes them for the present sees
// an idle engine just when a burst has filled it.
func TestReportsLag(t *testing.T) {
	e := &emulator.Engine{Figures: figures(), Lag: 200 * time.Millisecond}
	e.Add(emulator.Request{ID: "a", Prompt: 100, Answer: 400}, start)
	must.Eq(t, 0, e.Report(start.Add(199*time.Millisecond)).Running)
	must.Eq(t, 1, e.Report(start.Add(200*time.Millisecond)).Running)
}

// A slow engine takes longer for all that it does.
func TestSlowEngine(t *testing.T) {
	slow := &emulator.Engine{Figures: figures(), Pace: 3}
	took := slow.Predict(emulator.Request{ID: "a", Prompt: 1000, Answer: 5}, start).First
	must.Between(t, 2*readAlone(1000), took, 3*readAlone(1000))
}

// Callers leave in the middle of a pass. The pass goes on, nothing more is made for them,
// and their places are free in the next.
func TestRemovedRequestMakesNothing(t *testing.T) {
	e := &emulator.Engine{Figures: figures()}
	for i := range 17 {
		e.Add(emulator.Request{ID: fmt.Sprint(i), Prompt: 100, Answer: 50}, start)
	}
	e.Remove("0")
	for _, v := range e.Finish() {
		must.NotEq(t, "0", v.ID)
	}
	must.Eq(t, 16, e.Report(start.Add(time.Hour)).Running)
}
