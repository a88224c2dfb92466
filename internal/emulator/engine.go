// Package emulator is a model engine without an engine: it computes from the figures of
// the route table when each request's events come. It has no clock and no socket; the
// caller tells moments and asks what happens next.
package emulator

import (
	"slices"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/matcher"
)

// firstExtra is what a reply's first event takes beyond the pass that makes it. Lone
// requests at idle engines on a recorded day needed 15.7 ms beyond their reading: a step of
// 9.3 ms, 2.4 ms for the way, and this.
const firstExtra = 4 * time.Millisecond

// Request is what an engine is asked for.
type Request struct {
	ID string
	// Prompt and Answer are its size in tokens.
	Prompt, Answer int
	// Priority orders those that wait, the smallest first.
	Priority int
}

// Event is a part of a reply.
type Event struct {
	ID string
	At time.Time
	// First and Last mark the ends of a reply.
	First, Last bool
}

// Prediction is what would become of a request that came now.
type Prediction struct {
	// First is how long its first event takes.
	First time.Duration
	// Pause is the longest pause that its reading makes for those who write. Their usual
	// one is a pass in which nothing is read.
	Pause time.Duration
}

// Report is an engine's own word on its load.
type Report struct {
	Running, Waiting int
	// Tokens are those that lie in its memory.
	Tokens int
}

// Engine works in passes. In each it reads prompts, up to a chunk for each step, and then
// takes its steps: one if nobody writes yet, else as many as its stride. Whoever has been
// read takes part in the steps of the same pass; who comes during a pass waits for the next.
//
// Set the exported fields before use. It is not safe for concurrent use.
type Engine struct {
	Figures *matcher.Engine
	// Pace is how much slower than its figures it works; 0 is as told.
	Pace float64
	// Momentary is by what factor it is slower than that at the moment; 0 for the normal pace.
	Momentary float64
	// Memory is how many tokens it holds; 0 for any number. When it runs out the newest
	// request gives way and is read again later.
	Memory int
	// Lag is how old its reports are.
	Lag time.Duration

	// waiting came and are not in the batch, running are, in the order in which they came.
	waiting, running []*member
	// until is the end of the pass under way; zero when there is none.
	until   time.Time
	reports []datedReport
}

// member is a request at the engine.
type member struct {
	Request
	// read are the tokens read so far, events those made.
	read, events int
	// writes tells that it took part in the steps of the pass under way.
	writes bool
}

type datedReport struct {
	Report
	at time.Time
}

// whole is how many tokens have to be read before it goes on writing: its prompt, and after
// a loss of its memory what it had written.
func (m *member) whole(stride int) int { return m.Prompt + m.events*stride }

// Add brings a request. It is false for one that is larger than the engine's memory.
func (e *Engine) Add(r Request, now time.Time) bool {
	if e.Memory > 0 && r.Prompt+r.Answer > e.Memory {
		return false
	}
	e.enqueue(&member{Request: r})
	if e.until.IsZero() {
		e.begin(now)
	}
	return true
}

// enqueue has a request wait behind those that are as urgent or more.
func (e *Engine) enqueue(m *member) {
	i := len(e.waiting)
	for i > 0 && e.waiting[i-1].Priority > m.Priority {
		i--
	}
	e.waiting = slices.Insert(e.waiting, i, m)
}

// Remove takes a request away, as when its caller has left. The pass under way goes on.
func (e *Engine) Remove(id string) {
	is := func(m *member) bool { return m.ID == id }
	e.waiting = slices.DeleteFunc(e.waiting, is)
	e.running = slices.DeleteFunc(e.running, is)
}

// Waiting is how many requests are not in the batch yet.
func (e *Engine) Waiting() int { return len(e.waiting) }

// Next is the end of the pass under way, and false when the engine is idle.
func (e *Engine) Next() (time.Time, bool) { return e.until, !e.until.IsZero() }

// Finish ends the pass under way, begins the next, and gives the events that were made.
func (e *Engine) Finish() []Event {
	if e.until.IsZero() {
		return nil
	}
	now := e.until
	var events []Event
	left := e.running[:0]
	for _, m := range e.running {
		if !m.writes {
			left = append(left, m)
			continue
		}
		// What it wrote is in the engine's memory and need not be read.
		m.events++
		m.read += e.stride()
		v := Event{ID: m.ID, At: now, First: m.events == 1, Last: m.events >= e.eventsOf(m.Answer)}
		if v.First {
			v.At = now.Add(firstExtra)
		}
		events = append(events, v)
		if !v.Last {
			left = append(left, m)
		}
	}
	clear(e.running[len(left):])
	e.running = left
	e.begin(now)
	return events
}

// eventsOf is in how many events an answer comes, one for each pass.
func (e *Engine) eventsOf(answer int) int {
	stride := e.stride()
	return max(1, (answer+stride-1)/stride)
}

func (e *Engine) stride() int { return max(1, e.Figures.Stride) }

// begin begins a pass, or leaves the engine idle if there is nothing to do.
func (e *Engine) begin(now time.Time) {
	e.until = time.Time{}
	e.admit()
	e.note(now)
	if len(e.running) == 0 {
		return
	}
	writers := 0
	for _, m := range e.running {
		m.writes = m.events > 0 && m.read >= m.whole(e.stride())
		if m.writes {
			writers++
		}
	}
	steps := 1
	if writers > 0 {
		steps = e.stride()
	}
	reading := e.readPart(steps)
	e.until = now.Add(e.scaled(reading + time.Duration(steps)*e.step()))
}

// admit fills the batch, and empties it again as far as memory is short.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < max(1, e.Figures.Slots) {
		m := e.waiting[0]
		if e.Memory > 0 && e.tokens()+m.whole(e.stride()) > e.Memory {
			break
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, m)
	}
	for e.Memory > 0 && len(e.running) > 1 && e.tokens() > e.Memory {
		last := len(e.running) - 1
		m := e.running[last]
		m.read, m.writes = 0, false
		e.running = e.running[:last]
		e.waiting = slices.Insert(e.waiting, 0, m)
	}
}

// readPart reads what one pass with so many steps reads, and tells how long that takes.
func (e *Engine) readPart(steps int) time.Duration {
	left := steps * e.Figures.Chunk
	if left <= 0 {
		left = e.tokensUnread()
	}
	took := time.Duration(0)
	for _, m := range e.running {
		if left <= 0 {
			break
		}
		n := min(left, m.whole(e.stride())-m.read)
		if n <= 0 {
			continue
		}
		took += readTime(e.Figures, m.read, m.read+n)
		m.read += n
		left -= n
		m.writes = m.read >= m.whole(e.stride())
	}
	return took
}

func (e *Engine) tokensUnread() int {
	n := 0
	for _, m := range e.running {
		n += m.whole(e.stride()) - m.read
	}
	return n
}

// readTime is how long a part of a prompt takes: each of its tokens is compared with all
// before it.
func readTime(f *matcher.Engine, from, to int) time.Duration {
	if f.ReadPerSecond <= 0 {
		return 0
	}
	linear := float64(to-from) / f.ReadPerSecond * float64(time.Second)
	millionPairs := (float64(to)*float64(to) - float64(from)*float64(from)) / 2 / 1e6
	return time.Duration(linear + millionPairs*float64(f.PerMillionPairs))
}

// step is how long a token step takes with those who write in this pass.
func (e *Engine) step() time.Duration {
	f := e.Figures
	took := f.Step
	for _, m := range e.running {
		if m.writes {
			took += f.PerRequest + time.Duration(float64(m.whole(e.stride()))/1000*float64(f.PerThousand))
		}
	}
	return took
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

// tokens are those for which memory is taken: prompts with what was written.
func (e *Engine) tokens() int {
	n := 0
	for _, m := range e.running {
		n += m.whole(e.stride())
	}
	return n
}

// note keeps the load for later reports.
func (e *Engine) note(now time.Time) {
	r := datedReport{Report{Running: len(e.running), Waiting: len(e.waiting), Tokens: e.tokens()}, now}
	e.reports = append(e.reports, r)
	old := 0
	for old+1 < len(e.reports) && !e.reports[old+1].at.After(now.Add(-e.Lag)) {
		old++
	}
	e.reports = slices.Delete(e.reports, 0, old)
}

// Report is the load as the engine tells it, older than now by its lag.
func (e *Engine) Report(now time.Time) Report {
	var found Report
	for _, r := range e.reports {
		if r.at.After(now.Add(-e.Lag)) {
			break
		}
		found = r.Report
	}
	return found
}

// Predict tells when a request's first event would come if it came now, and what pause
// its reading would make for the others. Nobody else comes until then.
func (e *Engine) Predict(r Request, now time.Time) Prediction {
	c := e.clone()
	writing := c.writing()
	last := map[string]time.Time{}
	for id := range writing {
		last[id] = now
	}
	if !c.Add(r, now) {
		return Prediction{}
	}
	// Pauses count from the pass under way, whose beginning is not known here.
	var p Prediction
	for counted := false; ; counted = true {
		for _, v := range c.Finish() {
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

// writing are the requests that have had their first event.
func (e *Engine) writing() map[string]bool {
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
	c.waiting, c.running = copies(e.waiting), copies(e.running)
	return &c
}

func copies(ms []*member) []*member {
	cs := make([]*member, 0, len(ms))
	for _, m := range ms {
		c := *m
		cs = append(cs, &c)
	}
	return cs
}
