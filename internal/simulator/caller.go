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
	// honouredShare is the part of the time they have left up to which callers wait as told.
	honouredShare = 1.0 / 3
	// atOncePause is how soon callers come back that don't wait as told.
	atOncePause = 10 * time.Millisecond
	// leastLeft is the time below which nobody comes back.
	leastLeft = 100 * time.Millisecond
)

// caller is one request with all its tries.
type caller struct {
	*world
	*Request
	kind *Kind
	// ignores tells that it doesn't wait as told.
	ignores  bool
	patience time.Duration
	hint     int
	began    time.Time
	lastAt   time.Time
	// events were delivered, of all that make up the answer.
	events int
	// fatal tells that its prompt crashes engines, and sentAt when its present try began.
	fatal  bool
	sentAt time.Time
}

// arrive has a caller come at a moment.
func (w *world) arrive(kind int, at time.Duration) {
	k := &w.Kinds[kind]
	c := &caller{world: w, kind: k, ignores: w.callers.Float64() < w.Callers.Ignoring}
	c.patience = time.Duration(float64(k.Timeout) * (1 - w.Callers.Patience*w.callers.Float64()))
	c.Request = &Request{Number: len(w.report.Requests), Kind: k.Name, Workspace: w.pickWorkspace(), At: at, Prompt: w.draw(k.Prompt), Answer: w.draw(k.Answer)}
	c.hint = max(1, int(float64(c.Answer)*math.Exp(w.callers.NormFloat64()*w.Callers.Hint)))
	domain := w.pickDomain()
	c.FailureDomain = domain.Name
	w.report.Requests = append(w.report.Requests, c.Request)
	w.open++
	w.time.In(at, func() { w.time.Go(c.run) })
}

func (w *world) pickWorkspace() string {
	total := 0.0
	for _, s := range w.Workspaces {
		total += s.Share
	}
	left := w.callers.Float64() * total
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
	left := w.callers.Float64() * total
	for i := range w.FailureDomains {
		if left -= w.FailureDomains[i].Callers; left < 0 {
			return &w.FailureDomains[i]
		}
	}
	return &w.FailureDomains[0]
}

// run makes the caller's tries until it has its answer or gives up.
func (c *caller) run() {
	c.began = c.time.Now()
	for try := 0; ; try++ {
		c.time.Sleep(c.Network.Callers)
		refused, err := c.try(try)
		c.time.Sleep(c.Network.Callers)
		if err == nil {
			if c.events*max(1, c.Engine.Stride) < c.Answer {
				c.report.Short++
			}
			c.end(c.served())
			return
		}
		if refused == nil {
			if c.events > 0 {
				c.report.Cut++
			}
			c.end(Failed)
			return
		}
		c.Refusals++
		left := c.patience - c.time.Since(c.began)
		if !c.comesBack(try) || left < leastLeft {
			c.end(Refused)
			return
		}
		c.time.Sleep(c.pause(refused.after, left))
	}
}

func (c *caller) comesBack(try int) bool {
	if c.ignores {
		return try < c.Callers.Repeats
	}
	return try < c.kind.Retries
}

func (c *caller) pause(told, left time.Duration) time.Duration {
	if c.ignores {
		return atOncePause
	}
	return min(told, time.Duration(honouredShare*float64(left)))
}

// refusal is an entry's word that a try did not run.
type refusal struct{ after time.Duration }

// try is one try at some entry. A refusal comes with the error if the try certainly did not
// run.
func (c *caller) try(number int) (*refusal, error) {
	e := c.entries[c.random.IntN(len(c.entries))]
	c.sentAt = c.time.Now()
	left := c.patience - c.time.Since(c.began)
	j := &relayer.Job{
		Request: relayer.Request{ID: fmt.Sprintf("%d-%d", c.Number, number), Model: model, Prompt: c.Prompt, Parts: c.parts(),
			MaxAnswer: max(c.kind.Answer.Most, c.Answer), Hint: c.hint, Patience: left},
		Route: c.route(), Workspace: c.table.Keys[c.Workspace], Arrived: c.time.Now(),
	}
	e.relayer.Admit(j)
	ctx := &limited{Context: context.Background(), sequencer: c.time, deadline: j.Deadline}
	err := e.relayer.Serve(ctx, j, func(ctx context.Context, p *relayer.Placement) error { return c.attempt(ctx, e, j, p) })
	if err == nil {
		return nil, nil
	}
	if refused := j.Refusal(err); refused != nil && c.events == 0 {
		return &refusal{after: e.relayer.RetryAfter(j, refused)}, err
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

// attempt sends the request to a place and takes its events, as an entry does.
func (c *caller) attempt(ctx context.Context, e *entry, j *relayer.Job, p *relayer.Placement) error {
	h := c.byID[p.Upstream.ID]
	way := c.way(e.domain, h.domain)
	box := &sequencer.Mailbox[part]{Sequencer: c.time}
	c.time.Sleep(3*way + c.Network.Connect)
	stride := max(1, c.Engine.Stride)
	if p.Upstream.ID != h.id {
		c.time.Sleep(way)
		c.report.Misdirected++
		e.relayer.Registrar.MarkReplaced(p.Upstream.Upstream)
		return &relayer.SendError{Upstream: p.Upstream.ID, Outcome: retrier.NotRun, Status: http.StatusMisdirectedRequest,
			Err: &UpstreamError{Problem: "another engine"}}
	}
	c.atStarted = c.atStarted || h.hasJustStarted()
	if c.fatal {
		c.fatals.reach(c, j.ID)
	}
	h.take(emulator.Request{ID: j.ID, Prompt: c.Prompt + c.events*stride, Answer: c.Answer - c.events*stride, Priority: priority(j)}, e.name, box, way)
	limit := p.FirstEventLimit()
	for first := true; ; first = false {
		got, ok := box.Get(min(limit, j.Deadline.Sub(c.time.Now())) + way)
		if !ok {
			c.time.In(way, func() { h.drop(j.ID) })
			return h.failure(retrier.Unknown, 0, "silent")
		}
		e.relayer.Placer.RecordStatements(p.Upstream.Upstream, got.stated)
		if got.failure != nil {
			return got.failure
		}
		c.time.Sleep(way)
		if first {
			e.relayer.RecordPace(p, got.pace)
			p.ReportStarted()
			j.Version = version
		}
		if h.leaving {
			h.ask(e.name, c.Length)
		}
		c.deliver()
		e.relayer.CountEvent(j)
		e.relayer.Chooser.RecordProgress(h.id)
		if got.Last {
			e.relayer.Chooser.RecordSuccess(h.id)
			return nil
		}
		if err := e.relayer.Move(ctx, j, p); err != nil {
			c.report.Moved++
			c.time.In(way, func() { h.drop(j.ID) })
			return err
		}
		limit = relayer.EventGap
	}
}

// priority is that by which an engine admits a request.
func priority(j *relayer.Job) int {
	if p := j.Priority(); p != nil {
		return *p
	}
	return matcher.UnstatedPriority
}

// deliver notes an event that goes to the caller.
func (c *caller) deliver() {
	now := c.time.Now().Add(c.Network.Callers)
	if c.events == 0 {
		c.First = now.Sub(c.began)
	} else {
		c.Pause = max(c.Pause, now.Sub(c.lastAt))
	}
	c.lastAt = now
	c.events++
}

// served tells whether a whole answer came in time.
func (c *caller) served() Outcome {
	if c.First > c.kind.Objective || c.kind.PauseObjective > 0 && c.Pause > c.kind.PauseObjective {
		return Late
	}
	return InTime
}

func (c *caller) end(o Outcome) {
	c.Ends++
	c.Outcome = o
	c.Took = c.time.Since(c.began)
	c.open--
}

// limited is a context that ends at a moment of virtual time.
type limited struct {
	context.Context
	sequencer *sequencer.Sequencer
	deadline  time.Time
}

// Deadline implements context.Context.
func (l *limited) Deadline() (time.Time, bool) { return l.deadline, true }

// Err implements context.Context.
func (l *limited) Err() error {
	if l.sequencer.Now().Before(l.deadline) {
		return nil
	}
	return context.DeadlineExceeded
}
