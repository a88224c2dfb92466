// Package emulator emulates a model engine: it computes from the figures of the route
// table when each request's events come. It has no clock and no socket; the caller passes
// the time and requests the end of each pass.
package emulator

import (
	"slices"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/matcher"
)

// firstEventDelay is the time of a reply's first event beyond the pass that makes it. Lone
// requests at idle engines on a recorded day took 15.7 ms beyond reading their prompts: a step
// of 9.3 ms, 2.4 ms of network delay, and this.
const firstEventDelay = 4 * time.Millisecond

// Request is a request to an engine.
type Request struct {
	ID string
	// Prompt and Answer are its size in tokens.
	Prompt, Answer int
	// Priority orders the waiting requests, the smallest first.
	Priority int
}

// Event is a part of a reply.
type Event struct {
	ID string
	At time.Time
	// First and Last mark the ends of a reply.
	First, Last bool
}

// Prediction is the predicted course of a request that arrives now.
type Prediction struct {
	// First is how long its first event takes.
	First time.Duration
	// Pause is the longest pause that reading its prompt causes in running replies. Their usual
	// pause is a pass in which nothing is read.
	Pause time.Duration
}

// Report is the load as the engine reports it.
type Report struct {
	Running, Waiting int
	// Tokens are those that occupy its memory.
	Tokens int
}

// Engine works in passes. In each it reads prompts, up to a chunk for each step, and then
// takes its steps: one if no request is writing yet, else as many as its stride. A request whose
// prompt is read takes part in the steps of the same pass; one that arrives during a pass waits.
//
// Set the exported fields before use. It is not safe for concurrent use.
type Engine struct {
	Figures *matcher.Engine
	// Pace is the factor by which it is slower than its figures; 0 for their pace.
	Pace float64
	// Momentary is a further factor by which it is slower at present; 0 for the normal pace.
	Momentary float64
	// Memory is how many tokens it holds; 0 for any number. When it is exhausted the newest
	// request is evicted and read again later.
	Memory int
	// Lag is the age of its reports.
	Lag time.Duration

	// waiting requests are not in the batch yet, running ones are, both in order of arrival.
	waiting, running []*job
	// passEnd is the end of the current pass; zero when there is none.
	passEnd time.Time
	reports []timedReport
}

// job is a request at the engine.
type job struct {
	Request
	// tokensRead are the tokens read so far, events those made.
	tokensRead, events int
	// writing is set if it took part in the steps of the current pass.
	writing bool
}

type timedReport struct {
	Report
	madeAt time.Time
}

// requiredTokens is how many tokens have to be read before it continues writing: its prompt,
// and after an eviction the part of the answer already written.
func (m *job) requiredTokens(stride int) int { return m.Prompt + m.events*stride }

// Add adds a request. It returns false for one that is larger than the engine's memory.
func (e *Engine) Add(r Request, now time.Time) bool {
	if e.Memory > 0 && r.Prompt+r.Answer > e.Memory {
		return false
	}
	e.enqueue(&job{Request: r})
	if e.passEnd.IsZero() {
		e.startPass(now)
	}
	return true
}

// enqueue inserts a request behind the waiting ones of the same or a more urgent priority.
func (e *Engine) enqueue(m *job) {
	i := len(e.waiting)
	for i > 0 && e.waiting[i-1].Priority > m.Priority {
		i--
	}
	e.waiting = slices.Insert(e.waiting, i, m)
}

// Remove removes a request, as when its caller has left. The current pass continues.
func (e *Engine) Remove(id string) {
	matches := func(m *job) bool { return m.ID == id }
	e.waiting = slices.DeleteFunc(e.waiting, matches)
	e.running = slices.DeleteFunc(e.running, matches)
}

// Waiting returns how many requests are not in the batch yet.
func (e *Engine) Waiting() int { return len(e.waiting) }

// PassEnd returns the end of the current pass, and false when the engine is idle.
func (e *Engine) PassEnd() (time.Time, bool) { return e.passEnd, !e.passEnd.IsZero() }

// FinishPass ends the current pass, starts the next, and returns the events that were made.
func (e *Engine) FinishPass() []Event {
	if e.passEnd.IsZero() {
		return nil
	}
	now := e.passEnd
	var events []Event
	remaining := e.running[:0]
	for _, m := range e.running {
		if !m.writing {
			remaining = append(remaining, m)
			continue
		}
		// The tokens just written are in the engine's memory and need not be read.
		m.events++
		m.tokensRead += e.stride()
		v := Event{ID: m.ID, At: now, First: m.events == 1, Last: m.events >= e.eventCount(m.Answer)}
		if v.First {
			v.At = now.Add(firstEventDelay)
		}
		events = append(events, v)
		if !v.Last {
			remaining = append(remaining, m)
		}
	}
	clear(e.running[len(remaining):])
	e.running = remaining
	e.startPass(now)
	return events
}

// eventCount is the number of events of an answer, one for each pass.
func (e *Engine) eventCount(answer int) int {
	stride := e.stride()
	return max(1, (answer+stride-1)/stride)
}

func (e *Engine) stride() int { return max(1, e.Figures.Stride) }

// startPass starts a pass, or leaves the engine idle if there are no requests.
func (e *Engine) startPass(now time.Time) {
	e.passEnd = time.Time{}
	e.admitWaiting()
	e.recordLoad(now)
	if len(e.running) == 0 {
		return
	}
	writers := 0
	for _, m := range e.running {
		m.writing = m.events > 0 && m.tokensRead >= m.requiredTokens(e.stride())
		if m.writing {
			writers++
		}
	}
	steps := 1
	if writers > 0 {
		steps = e.stride()
	}
	readDuration := e.readPrompts(steps)
	e.passEnd = now.Add(e.scaled(readDuration + time.Duration(steps)*e.stepTime()))
}

// admitWaiting fills the batch, and evicts requests from it while memory is short.
func (e *Engine) admitWaiting() {
	for len(e.waiting) > 0 && len(e.running) < max(1, e.Figures.Slots) {
		m := e.waiting[0]
		if e.Memory > 0 && e.usedTokens()+m.requiredTokens(e.stride()) > e.Memory {
			break
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, m)
	}
	for e.Memory > 0 && len(e.running) > 1 && e.usedTokens() > e.Memory {
		last := len(e.running) - 1
		m := e.running[last]
		m.tokensRead, m.writing = 0, false
		e.running = e.running[:last]
		e.waiting = slices.Insert(e.waiting, 0, m)
	}
}

// readPrompts reads prompts in a pass of so many steps, and returns how long that takes.
func (e *Engine) readPrompts(steps int) time.Duration {
	budget := steps * e.Figures.Chunk
	if budget <= 0 {
		budget = e.unreadTokens()
	}
	duration := time.Duration(0)
	for _, m := range e.running {
		if budget <= 0 {
			break
		}
		n := min(budget, m.requiredTokens(e.stride())-m.tokensRead)
		if n <= 0 {
			continue
		}
		duration += readTime(e.Figures, m.tokensRead, m.tokensRead+n)
		m.tokensRead += n
		budget -= n
		m.writing = m.tokensRead >= m.requiredTokens(e.stride())
	}
	return duration
}

func (e *Engine) unreadTokens() int {
	n := 0
	for _, m := range e.running {
		n += m.requiredTokens(e.stride()) - m.tokensRead
	}
	return n
}

// readTime is how long reading a part of a prompt takes: each of its tokens is compared with
// all before it.
func readTime(f *matcher.Engine, from, to int) time.Duration {
	if f.ReadPerSecond <= 0 {
		return 0
	}
	linear := float64(to-from) / f.ReadPerSecond * float64(time.Second)
	millionPairs := (float64(to)*float64(to) - float64(from)*float64(from)) / 2 / 1e6
	return time.Duration(linear + millionPairs*float64(f.PerMillionPairs))
}

// stepTime is how long a token step takes with the requests that write in this pass.
func (e *Engine) stepTime() time.Duration {
	f := e.Figures
	duration := f.Step
	for _, m := range e.running {
		if m.writing {
			duration += f.PerRequest + time.Duration(float64(m.requiredTokens(e.stride()))/1000*float64(f.PerThousand))
		}
	}
	return duration
}

func (e *Engine) scaled(d time.Duration) time.Duration {
	if e.Pace > 0 {
		d = time.Duration(float64(d) * e.Pace)
	}
	if e.Momentary > 0 {
		d = time.Duration(float64(d) * e.Momentary)
	}
	return d
}

// usedTokens are those that occupy memory: prompts and the written parts of answers.
func (e *Engine) usedTokens() int {
	n := 0
	for _, m := range e.running {
		n += m.requiredTokens(e.stride())
	}
	return n
}

// recordLoad keeps the present load for later reports.
func (e *Engine) recordLoad(now time.Time) {
	r := timedReport{Report{Running: len(e.running), Waiting: len(e.waiting), Tokens: e.usedTokens()}, now}
	e.reports = append(e.reports, r)
	old := 0
	for old+1 < len(e.reports) && !e.reports[old+1].madeAt.After(now.Add(-e.Lag)) {
		old++
	}
	e.reports = slices.Delete(e.reports, 0, old)
}

// Report returns the load as the engine reports it, older than now by its lag.
func (e *Engine) Report(now time.Time) Report {
	var found Report
	for _, r := range e.reports {
		if r.madeAt.After(now.Add(-e.Lag)) {
			break
		}
		found = r.Report
	}
	return found
}

// Predict returns the time until a request's first event if it arrived now, and the pause
// that reading its prompt would cause for the others. It assumes no other arrivals until then.
func (e *Engine) Predict(r Request, now time.Time) Prediction {
	c := e.clone()
	writing := c.writingIDs()
	last := map[string]time.Time{}
	for id := range writing {
		last[id] = now
	}
	if !c.Add(r, now) {
		return Prediction{}
	}
	// Pauses are counted from the end of the current pass, as its start is not known here.
	var p Prediction
	for counted := false; ; counted = true {
		for _, v := range c.FinishPass() {
			if counted && writing[v.ID] {
				p.Pause = max(p.Pause, v.At.Sub(last[v.ID]))
			}
			last[v.ID] = v.At
			if v.ID == r.ID && v.First {
				p.First = v.At.Sub(now)
				return p
			}
		}
	}
}

// writingIDs are the requests that have had their first event.
func (e *Engine) writingIDs() map[string]bool {
	ids := map[string]bool{}
	for _, m := range e.running {
		if m.events > 0 {
			ids[m.ID] = true
		}
	}
	return ids
}

func (e *Engine) clone() *Engine {
	c := *e
	c.reports = nil
	c.waiting, c.running = cloneJobs(e.waiting), cloneJobs(e.running)
	return &c
}

func cloneJobs(ms []*job) []*job {
	cs := make([]*job, 0, len(ms))
	for _, m := range ms {
		c := *m
		cs = append(cs, &c)
	}
	return cs
}
