package simulator

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/emulator"
	"github.com/oriolecroft/oriolecroft/internal/matcher"
	"github.com/oriolecroft/oriolecroft/internal/relayer"
	"github.com/oriolecroft/oriolecroft/internal/retrier"
	"github.com/oriolecroft/oriolecroft/internal/sequencer"
)

const (
	// maxWaitShare is the share of the remaining time up to which callers obey Retry-After.
	maxWaitShare = 1.0 / 3
	// immediateRetryPause is the pause of callers that ignore Retry-After.
	immediateRetryPause = 10 * time.Millisecond
	// minTimeLeft is the remaining time below which callers don't retry.
	minTimeLeft = 100 * time.Millisecond
)

// caller is one request with all its tries.
type caller struct {
	*world
	*Request
	kind *Kind
	// ignoresRetryAfter is set for callers that come back at once.
	ignoresRetryAfter bool
	timeLimit         time.Duration
	hint              int
	startedAt         time.Time
	lastEventAt       time.Time
	// events is the number of delivered events of the answer.
	events int
	// fatal is set if the prompt crashes engines; tryStartedAt is the start of the present try.
	fatal        bool
	tryStartedAt time.Time
}

// addCaller schedules the arrival of a caller.
func (w *world) addCaller(kind int, at time.Duration) {
	k := &w.Kinds[kind]
	c := &caller{world: w, kind: k, ignoresRetryAfter: w.callerRandom.Float64() < w.Callers.Ignoring}
	c.timeLimit = time.Duration(float64(k.Timeout) * (1 - w.Callers.Patience*w.callerRandom.Float64()))
	c.Request = &Request{Number: len(w.report.Requests), Kind: k.Name, Workspace: w.pickWorkspace(), At: at, Prompt: w.drawSize(k.Prompt), Answer: w.drawSize(k.Answer)}
	c.hint = max(1, int(float64(c.Answer)*math.Exp(w.callerRandom.NormFloat64()*w.Callers.Hint)))
	domain := w.pickDomain()
	c.FailureDomain = domain.Name
	w.report.Requests = append(w.report.Requests, c.Request)
	w.openRequests++
	w.time.In(at, func() { w.time.Go(c.run) })
}

func (w *world) pickWorkspace() string {
	total := 0.0
	for _, s := range w.Workspaces {
		total += s.Share
	}
	left := w.callerRandom.Float64() * total
	for _, s := range w.Workspaces {
		if left -= s.Share; left < 0 {
			return s.Name
		}
	}
	return w.Workspaces[0].Name
}

func (w *world) pickDomain() *FailureDomain {
	total := 0.0
	for _, d := range w.FailureDomains {
		total += d.Callers
	}
	left := w.callerRandom.Float64() * total
	for i := range w.FailureDomains {
		if left -= w.FailureDomains[i].Callers; left < 0 {
			return &w.FailureDomains[i]
		}
	}
	return &w.FailureDomains[0]
}

// run makes the caller's tries until it has its answer or gives up.
func (c *caller) run() {
	c.startedAt = c.time.Now()
	for try := 0; ; try++ {
		c.time.Sleep(c.Network.Callers)
		refused, err := c.try(try)
		c.time.Sleep(c.Network.Callers)
		if err == nil {
			if c.events*max(1, c.Engine.Stride) < c.Answer {
				c.report.Short++
			}
			c.finish(c.answerOutcome())
			return
		}
		if refused == nil {
			if c.events > 0 {
				c.report.Cut++
			}
			c.finish(Failed)
			return
		}
		c.Refusals++
		left := c.timeLimit - c.time.Since(c.startedAt)
		if !c.willRetry(try) || left < minTimeLeft {
			c.finish(Refused)
			return
		}
		c.time.Sleep(c.retryPause(refused.retryAfter, left))
	}
}

func (c *caller) willRetry(try int) bool {
	if c.ignoresRetryAfter {
		return try < c.Callers.Repeats
	}
	return try < c.kind.Retries
}

func (c *caller) retryPause(retryAfter, left time.Duration) time.Duration {
	if c.ignoresRetryAfter {
		return immediateRetryPause
	}
	return min(retryAfter, time.Duration(maxWaitShare*float64(left)))
}

// refusal is an entry's statement that a try did not run.
type refusal struct{ retryAfter time.Duration }

// try makes one try at some entry. It returns a refusal with the error if the try certainly
// did not run.
func (c *caller) try(number int) (*refusal, error) {
	e := c.entries[c.random.IntN(len(c.entries))]
	c.tryStartedAt = c.time.Now()
	left := c.timeLimit - c.time.Since(c.startedAt)
	j := &relayer.Job{
		Request: relayer.Request{ID: fmt.Sprintf("%d-%d", c.Number, number), Model: model, Prompt: c.Prompt, Parts: c.parts(),
			MaxAnswer: max(c.kind.Answer.Most, c.Answer), Hint: c.hint, Patience: left},
		Route: c.route(), Workspace: c.table.Keys[c.Workspace], Arrived: c.time.Now(),
	}
	e.relayer.Admit(j)
	ctx := &deadlineContext{Context: context.Background(), sequencer: c.time, deadline: j.Deadline}
	err := e.relayer.Serve(ctx, j, func(ctx context.Context, p *relayer.Placement) error { return c.attempt(ctx, e, j, p) })
	if err == nil {
		return nil, nil
	}
	if refused := j.Refusal(err); refused != nil && c.events == 0 {
		return &refusal{retryAfter: e.relayer.RetryAfter(j, refused)}, err
	}
	return nil, err
}

func (c *caller) route() *matcher.Route {
	for _, r := range c.table.Routes {
		if r.Name == c.Kind {
			return r
		}
	}
	return nil
}

// attempt sends the request to an engine and receives its events, as an entry does.
func (c *caller) attempt(ctx context.Context, e *entry, j *relayer.Job, p *relayer.Placement) error {
	h := c.byID[p.Upstream.ID]
	latency := c.latency(e.domain, h.domain)
	mailbox := &sequencer.Mailbox[replyPart]{Sequencer: c.time}
	c.time.Sleep(3*latency + c.Network.Connect)
	stride := max(1, c.Engine.Stride)
	if p.Upstream.ID != h.id {
		c.time.Sleep(latency)
		c.report.Misdirected++
		e.relayer.Registrar.MarkReplaced(p.Upstream.Upstream)
		return &relayer.SendError{Upstream: p.Upstream.ID, Outcome: retrier.NotRun, Status: http.StatusMisdirectedRequest,
			Err: &UpstreamError{Problem: "another engine"}}
	}
	c.sentAfterStart = c.sentAfterStart || h.hasJustStarted()
	if c.fatal {
		c.fatals.recordSent(c, j.ID)
	}
	h.receive(emulator.Request{ID: j.ID, Prompt: c.Prompt + c.events*stride, Answer: c.Answer - c.events*stride, Priority: priority(j)}, e.name, mailbox, latency)
	limit := p.FirstEventLimit()
	for first := true; ; first = false {
		got, ok := mailbox.Get(min(limit, j.Deadline.Sub(c.time.Now())) + latency)
		if !ok {
			c.time.In(latency, func() { h.cancel(j.ID) })
			return h.failure(retrier.Unknown, 0, "silent")
		}
		e.relayer.Placer.RecordStatements(p.Upstream.Upstream, got.statements)
		if got.failure != nil {
			return got.failure
		}
		c.time.Sleep(latency)
		if first {
			e.relayer.RecordPace(p, got.pace)
			p.ReportStarted()
			j.Version = version
		}
		if h.leaving {
			h.requestBackoff(e.name, c.Length)
		}
		c.recordEvent()
		e.relayer.CountEvent(j)
		e.relayer.Chooser.RecordProgress(h.id)
		if got.Last {
			e.relayer.Chooser.RecordSuccess(h.id)
			return nil
		}
		if err := e.relayer.Move(ctx, j, p); err != nil {
			c.report.Moved++
			c.time.In(latency, func() { h.cancel(j.ID) })
			return err
		}
		limit = relayer.EventGap
	}
}

// priority is the priority by which an engine admits a request.
func priority(j *relayer.Job) int {
	if p := j.Priority(); p != nil {
		return *p
	}
	return matcher.UnstatedPriority
}

// recordEvent records an event that is delivered to the caller.
func (c *caller) recordEvent() {
	now := c.time.Now().Add(c.Network.Callers)
	if c.events == 0 {
		c.First = now.Sub(c.startedAt)
	} else {
		c.Pause = max(c.Pause, now.Sub(c.lastEventAt))
	}
	c.lastEventAt = now
	c.events++
}

// answerOutcome is InTime if the whole answer met the objectives, else Late.
func (c *caller) answerOutcome() Outcome {
	if c.First > c.kind.Objective || c.kind.PauseObjective > 0 && c.Pause > c.kind.PauseObjective {
		return Late
	}
	return InTime
}

func (c *caller) finish(o Outcome) {
	c.Ends++
	c.Outcome = o
	c.Took = c.time.Since(c.startedAt)
	c.openRequests--
}

// deadlineContext is a context with a deadline in virtual time.
type deadlineContext struct {
	context.Context
	sequencer *sequencer.Sequencer
	deadline  time.Time
}

// Deadline implements context.Context.
func (l *deadlineContext) Deadline() (time.Time, bool) { return l.deadline, true }

// Err implements context.Context.
func (l *deadlineContext) Err() error {
	if l.sequencer.Now().Before(l.deadline) {
		return nil
	}
	return context.DeadlineExceeded
}
