package localizer_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	clocktesting "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/localizer"
)

const (
	// step is the increment of virtual time. Entries push their evidence every pushInterval; it arrives after pushDelay.
	step         = 10 * time.Millisecond
	pushInterval = 50 * time.Millisecond
	pushDelay    = 20 * time.Millisecond
	// stableWindow is the time limit of the requirements.
	stableWindow = 3 * time.Second
	// engineRestartTime is how long an engine takes to restart.
	engineRestartTime = 3 * time.Second
	// eventInterval is the pause between two events of a reply, replyEvents their number.
	eventInterval = 50 * time.Millisecond
	replyEvents   = 20
	fatalPart     = "fatal"
)

// simulation simulates a fleet of entries and engines in virtual time.
type simulation struct {
	clock     *clocktesting.FakeClock
	random    *rand.Rand
	startedAt time.Time
	entries   []*entry
	engines   []*engine
	// perSecond is the rate of harmless requests, fatalInterval the time between those that crash engines.
	perSecond     float64
	fatalInterval time.Duration
	// prompt returns the shared parts of a request with the fatal part.
	prompt func(n int) []string
	// isFatal reports whether a part currently crashes engines.
	isFatal func(part string) bool
	// event is called in each step.
	event func(s *simulation, at time.Duration)

	requests, crashes, fatalCrashes int
	// refusalDeadline is the time after which no request with the fatal part may be sent: a stable window after
	// the fifth crash. lateSends counts violations, without trials.
	refusalDeadline time.Time
	lateSends       int
	sent            map[string]int
	inFlight        []message
}

type entry struct {
	*localizer.Localizer
	name  string
	acked []uint64
	// partitioned entries exchange no updates.
	partitioned bool
}

type engine struct {
	name      string
	domain    int
	starts    int
	downUntil time.Time
	running   []*request
}

type request struct {
	entry       *entry
	id          string
	parts       []string
	startAt     time.Time
	events      int
	nextEventAt time.Time
	retried     bool
}

type message struct {
	deliverAt time.Time
	from, to  *entry
	update    localizer.Update
}

func newSimulation(seed uint64, entries, engines int) *simulation {
	start := time.Unix(1e9, 0)
	s := &simulation{
		clock: clocktesting.NewFakeClock(start), random: rand.New(rand.NewPCG(seed, 1)), startedAt: start, perSecond: 90, sent: map[string]int{},
		prompt:  func(n int) []string { return []string{"kind0", fatalPart, fmt.Sprintf("farm%d", n%40)} },
		isFatal: func(part string) bool { return part == fatalPart },
	}
	for i := range entries {
		s.entries = append(s.entries, s.newEntry(i))
	}
	for i := range engines {
		s.engines = append(s.engines, &engine{name: fmt.Sprintf("engine%d", i), domain: i % 3})
	}
	return s
}

func (s *simulation) newEntry(i int) *entry {
	e := &entry{name: fmt.Sprintf("entry%d", i), acked: make([]uint64, 64)}
	e.Localizer = &localizer.Localizer{Entry: e.name, Clock: s.clock, WallClock: s.clock, Members: func() []string {
		var names []string
		for _, other := range s.entries {
			names = append(names, other.name)
		}
		return names
	}}
	return e
}

// harmlessPrompt returns parts of which some are shared with many other prompts.
func (s *simulation) harmlessPrompt() []string {
	kind := fmt.Sprintf("kind%d", s.random.IntN(3))
	farm := fmt.Sprintf("farm%d", min(s.random.IntN(40), s.random.IntN(40)))
	only := fmt.Sprintf("only%d", s.requests)
	return [][]string{{kind}, {kind, farm}, {kind, farm, only}, {only, farm}}[s.random.IntN(4)]
}

// advance simulates a period of time.
func (s *simulation) advance(duration time.Duration) {
	for end := s.clock.Now().Add(duration); s.clock.Now().Before(end); {
		s.clock.Step(step)
		at := s.clock.Since(s.startedAt)
		if s.event != nil {
			s.event(s, at)
		}
		if s.random.Float64() < s.perSecond*step.Seconds() {
			s.send(&request{parts: s.harmlessPrompt()})
		}
		if s.fatalInterval > 0 && at%s.fatalInterval == 0 {
			s.send(&request{parts: s.prompt(s.requests)})
		}
		for _, e := range s.engines {
			s.process(e)
		}
		if at%pushInterval == 0 {
			s.exchangeEvidence()
		}
	}
}

// send sends a request through a random entry to a random available engine.
func (s *simulation) send(r *request) {
	if r.entry == nil {
		s.requests++
		r.id = fmt.Sprint(s.requests)
		r.entry = s.entries[s.random.IntN(len(s.entries))]
	}
	id := r.id
	if r.retried {
		id = ""
	}
	if r.entry.Check(id, r.parts) != nil {
		return
	}
	var available []*engine
	for _, e := range s.engines {
		if !s.clock.Now().Before(e.downUntil) && len(e.running) < 16 {
			available = append(available, e)
		}
	}
	if len(available) == 0 {
		return
	}
	for _, part := range r.parts {
		s.sent[part]++
		if s.isFatal(part) && !s.refusalDeadline.IsZero() && s.clock.Now().After(s.refusalDeadline) {
			s.lateSends++
		}
	}
	r.entry.RequestSent(id, r.parts)
	e := available[s.random.IntN(len(available))]
	r.startAt, r.events = s.clock.Now().Add(60*time.Millisecond+time.Duration(s.random.Int64N(int64(200*time.Millisecond)))), 0
	r.nextEventAt = r.startAt.Add(eventInterval)
	e.running = append(e.running, r)
}

func (s *simulation) process(e *engine) {
	now := s.clock.Now()
	var remaining []*request
	for i, r := range e.running {
		if now.Before(r.nextEventAt) {
			remaining = append(remaining, r)
			continue
		}
		for _, part := range r.parts {
			if s.isFatal(part) {
				if s.fatalCrashes++; s.fatalCrashes == 5 {
					s.refusalDeadline = now.Add(stableWindow)
				}
				e.running = append(remaining, e.running[i:]...)
				s.crash(e)
				return
			}
		}
		r.events++
		r.nextEventAt = now.Add(eventInterval)
		if r.events == 3 {
			r.entry.ReplyStarted(r.parts, r.startAt)
		}
		if r.events < replyEvents {
			remaining = append(remaining, r)
		}
	}
	e.running = remaining
}

// crash crashes an engine. Interrupted requests are retried once at another one.
func (s *simulation) crash(e *engine) {
	if s.clock.Now().Before(e.downUntil) {
		return
	}
	s.crashes++
	interrupted := e.running
	e.running, e.downUntil = nil, s.clock.Now().Add(engineRestartTime)
	for _, r := range interrupted {
		if r.events < 3 {
			r.entry.Crashed(fmt.Sprintf("%s.%d", e.name, e.starts), r.parts, s.clock.Now())
		}
	}
	e.starts++
	for _, r := range interrupted {
		if !r.retried {
			r.retried = true
			s.send(r)
		}
	}
}

func (s *simulation) exchangeEvidence() {
	now := s.clock.Now()
	var undelivered []message
	for _, m := range s.inFlight {
		if now.Before(m.deliverAt) {
			undelivered = append(undelivered, m)
		} else if !m.to.partitioned {
			m.from.HandleAck(m.update, m.to.Handle(m.update))
		}
	}
	s.inFlight = undelivered
	for _, e := range s.entries {
		e.Tick()
		for i, to := range s.entries {
			if to == e || e.partitioned {
				continue
			}
			u, sequence := e.ChangesSince(e.acked[i])
			if e.acked[i] = sequence; !u.Empty() {
				s.inFlight = append(s.inFlight, message{now.Add(pushDelay), e, to, u})
			}
		}
	}
}

// blameCounts counts the entries that blame each part.
func (s *simulation) blameCounts() map[string]int {
	counts := map[string]int{}
	for _, e := range s.entries {
		for _, b := range e.Blames() {
			if !b.Lifted {
				counts[b.Part]++
			}
		}
	}
	return counts
}
