package simulator

import (
	"fmt"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"syscall"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/emulator"
	"github.com/oriolecroft/oriolecroft/internal/granter"
	"github.com/oriolecroft/oriolecroft/internal/observer"
	"github.com/oriolecroft/oriolecroft/internal/relayer"
	"github.com/oriolecroft/oriolecroft/internal/retrier"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
	"github.com/oriolecroft/oriolecroft/internal/sequencer"
)

// host is the VM of an engine with the agent beside it.
type host struct {
	*world
	id      string
	domain  *FailureDomain
	address netip.AddrPort
	// starts counts the engine's starts; events scheduled during an earlier one are void. startedAt is the
	// last start, observedStart the one that the agent last saw, and observedAt the time of its last poll.
	starts                               int
	startedAt, observedStart, observedAt time.Time
	engine                               *emulator.Engine
	ledger                               *scheduler.Ledger
	granter                              *granter.Granter
	streams                              map[string]*sequencer.Mailbox[replyPart]
	// scheduledEnd is the end of the last scheduled pass.
	scheduledEnd time.Time
	// partitioned VMs continue, but no messages go in or out. Engines that are down refuse
	// connections, and those without weights accept no requests.
	partitioned, down, noWeights bool
	// agentDown is set while the agent's process is down.
	agentDown bool
	// backoff is the time that the engine asks of each entry that it rejects, 0 while it rejects none. Leaving
	// engines state that in their replies. backoffs are the entries that received one statement or the other.
	backoff  time.Duration
	leaving  bool
	backoffs map[string]backoffSpan
	// tearChance is the chance of each event that the reply breaks off inside it.
	tearChance float64
	// failAgainChance is the chance that a request fails that broke off at another engine.
	failAgainChance float64
	// pausedUntil is when the engine sends events again.
	pausedUntil time.Time
	// switching engines load new weights once they have completed their requests.
	switching bool
	// coldUntil is when the engine can serve a full load again.
	coldUntil time.Time
	// accepted are the arrival times of a cold engine's requests, for the bound on them.
	accepted []time.Time
	// overload is the fault by which load crashes the engine; nil for none.
	overload *overloadFault
	// hidesPace is set if the engine doesn't state its pace.
	hidesPace bool
}

// replyPart is a part of an engine's reply to a request: an event, or a failure, and the statements of the
// engine.
type replyPart struct {
	emulator.Event
	failure *relayer.SendError
	// pace is the engine's momentary pace as stated in the reply; 0 if it isn't.
	pace       float64
	statements observer.Statements
}

// UpstreamError is an engine's refusal or end, as an entry sees it. Err is the error of its connection; nil for
// none.
type UpstreamError struct {
	Problem string
	Err     error
}

func (e *UpstreamError) Error() string { return e.Problem }

func (e *UpstreamError) Unwrap() error { return e.Err }

func newHost(w *world, d *FailureDomain, number int) *host {
	h := &host{world: w, domain: d, id: fmt.Sprintf("%s-%d", d.Name, number), streams: map[string]*sequencer.Mailbox[replyPart]{}, backoffs: map[string]backoffSpan{},
		address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(len(w.hosts) >> 8), byte(len(w.hosts))}), 1)}
	h.engine = &emulator.Engine{Figures: w.Engine.figures(), Memory: w.Engine.Memory}
	h.ledger = &scheduler.Ledger{Clock: w.time, ColdFactor: w.Engine.ColdFactor, ColdSlack: w.Engine.ColdSlack, Without: w.Without}
	h.startedAt, h.observedStart, h.observedAt = w.time.Now(), w.time.Now(), w.time.Now()
	h.granter = &granter.Granter{Ledger: h.ledger, Holds: func(string) uint64 { return version }, Clock: w.time,
		EngineStart: func() (time.Time, time.Duration) { return h.observedStart, w.time.Since(h.observedAt) }, Poll: h.observe}
	h.ledger.Open(h.engine.Figures)
	return h
}

// poll has the agent poll its engine, and schedules the next poll.
func (h *host) poll() {
	if !h.partitioned {
		h.observe()
	}
	if h.active() {
		h.time.In(h.Engine.Look, h.poll)
	}
}

func (h *host) observe() {
	if h.down {
		h.ledger.Close("engine does not answer")
		return
	}
	h.observedStart, h.observedAt = h.startedAt, h.time.Now()
	r := h.engine.Report(h.time.Now())
	h.countIdleSlots(r.Running)
	h.ledger.Observe(r.Running+r.Waiting, h.reportedPace())
	h.ledger.SetColdLimit(h.Engine.ColdRate, h.coldUntil)
	if h.switching {
		h.ledger.Close("switching weights")
		return
	}
	if h.noWeights {
		h.ledger.Close("no weights")
		return
	}
	h.ledger.Open(h.engine.Figures)
}

// statements are those that the engine makes in its replies.
func (h *host) statements() observer.Statements {
	if h.leaving {
		return observer.Statements{observer.Leaving{}}
	}
	return nil
}

// backoffSpan is the time in which an entry must send no requests.
type backoffSpan struct{ from, until time.Time }

// backoffGrace is how long after an engine's reply requests may still be in transit.
const backoffGrace = 500 * time.Millisecond

// requestBackoff records that the engine asked an entry to send no requests for a time.
func (h *host) requestBackoff(entry string, d time.Duration) {
	now := h.time.Now()
	s := h.backoffs[entry]
	if now.After(s.until) {
		s.from = now.Add(backoffGrace)
	}
	s.until = now.Add(d)
	h.backoffs[entry] = s
}

// reject refuses a request of an entry and asks for a backoff.
func (h *host) reject(entry string, mailbox *sequencer.Mailbox[replyPart], latency time.Duration) {
	h.requestBackoff(entry, h.backoff)
	refusal := replyPart{failure: h.failure(retrier.NotRun, http.StatusServiceUnavailable, "requests backoff")}
	refusal.statements = append(h.statements(), observer.Backoff{For: h.backoff})
	h.deliver(mailbox, latency, refusal)
}

// receive passes a request of an entry to the engine; the reply is put into the mailbox.
func (h *host) receive(r emulator.Request, entry string, mailbox *sequencer.Mailbox[replyPart], latency time.Duration) {
	if h.partitioned {
		return
	}
	if s, now := h.backoffs[entry], h.time.Now(); now.After(s.from) && now.Before(s.until) {
		h.report.Disturbed++
	}
	if problem := h.rejectReason(); problem != "" {
		status := http.StatusServiceUnavailable
		if h.down {
			status = 0
		}
		h.deliver(mailbox, latency, replyPart{failure: h.failure(retrier.NotRun, status, problem)})
		return
	}
	if h.backoff > 0 {
		h.reject(entry, mailbox, latency)
		return
	}
	if h.failAgain(r.ID, mailbox, latency) {
		return
	}
	now := h.time.Now()
	if now.Before(h.coldUntil) {
		h.accepted = append(h.accepted, now)
		h.countColdExcess()
	}
	if h.crashesByLoad() {
		h.deliver(mailbox, latency, replyPart{failure: h.reset()})
		return
	}
	if !h.engine.Add(r, now) {
		h.deliver(mailbox, latency, replyPart{failure: h.failure(retrier.NotRun, http.StatusServiceUnavailable, "larger than the memory")})
		return
	}
	h.streams[r.ID] = mailbox
	h.schedulePass()
}

// failAgain makes a request fail that another engine has broken off, by the chance for it.
func (h *host) failAgain(id string, mailbox *sequencer.Mailbox[replyPart], latency time.Duration) bool {
	if h.failAgainChance == 0 || !h.torn[id] || h.random.Float64() >= h.failAgainChance {
		return false
	}
	delete(h.torn, id)
	h.report.Twice++
	switch h.random.IntN(4) {
	case 0:
		h.deliver(mailbox, latency, replyPart{failure: h.failure(retrier.Unknown, 0, "reply cut inside an event")})
	case 1:
		h.deliver(mailbox, latency, replyPart{failure: h.failure(retrier.Ran, http.StatusInternalServerError, "failed")})
	case 2:
		h.deliver(mailbox, latency, replyPart{failure: h.failure(retrier.NotRun, http.StatusServiceUnavailable, "refuses")})
	default:
		// No reply is sent.
	}
	return true
}

// rejectReason is why the engine accepts no request now; empty when it does.
func (h *host) rejectReason() string {
	switch {
	case h.down:
		return "connection refused"
	case h.noWeights:
		return "no weights"
	case h.switching:
		return "switching weights"
	case h.engine.Waiting() > h.Engine.Queue:
		return "queue full"
	default:
		return ""
	}
}

func (h *host) failure(o retrier.Outcome, status int, problem string) *relayer.SendError {
	return &relayer.SendError{Upstream: h.id, Outcome: o, Status: status, Err: &UpstreamError{Problem: problem}}
}

func (h *host) deliver(mailbox *sequencer.Mailbox[replyPart], delay time.Duration, p replyPart) {
	h.time.In(max(delay, h.pausedUntil.Sub(h.time.Now())), func() { mailbox.Put(p) })
}

// schedulePass schedules the end of the current pass, unless that is already scheduled.
func (h *host) schedulePass() {
	end, busy := h.engine.PassEnd()
	if !busy || end.Equal(h.scheduledEnd) {
		return
	}
	h.scheduledEnd = end
	starts := h.starts
	h.time.In(end.Sub(h.time.Now()), func() {
		if h.starts == starts {
			h.finishPass()
		}
	})
}

// finishPass ends a pass and sends its events.
func (h *host) finishPass() {
	now := h.time.Now()
	for _, v := range h.engine.FinishPass() {
		mailbox := h.streams[v.ID]
		if v.First && h.fatals.requests[v.ID] {
			h.crashByPrompt()
			return
		}
		if h.tearChance > 0 && mailbox != nil && h.random.Float64() < h.tearChance {
			h.tearReply(v, mailbox, now)
			continue
		}
		if v.Last {
			delete(h.streams, v.ID)
		}
		if mailbox != nil && !h.partitioned {
			h.deliver(mailbox, v.At.Sub(now), replyPart{Event: v, pace: h.engine.Momentary, statements: h.statements()})
		}
	}
	h.loadWhenIdle()
	h.schedulePass()
}

// tearReply ends a reply inside an event.
func (h *host) tearReply(v emulator.Event, mailbox *sequencer.Mailbox[replyPart], now time.Time) {
	h.report.Torn++
	h.torn[v.ID] = true
	h.engine.Remove(v.ID)
	delete(h.streams, v.ID)
	h.deliver(mailbox, v.At.Sub(now), replyPart{failure: h.failure(retrier.Unknown, 0, "reply cut inside an event")})
}

// cancel ends a request that its entry has cancelled.
func (h *host) cancel(id string) {
	if h.partitioned {
		return
	}
	h.engine.Remove(id)
	delete(h.streams, id)
	h.loadWhenIdle()
}

// planSwitch schedules the engine's switch to new weights. Until then its agent admits only
// requests that should end soon after the switch.
func (h *host) planSwitch(overrun, after time.Duration) {
	h.ledger.OpenUntil(h.time.Now().Add(after + overrun))
	starts := h.starts
	h.time.In(after, func() {
		if h.starts == starts {
			h.switching = true
			h.observe()
			h.loadWhenIdle()
		}
	})
}

// loadWhenIdle loads the new weights once the engine has completed its requests.
func (h *host) loadWhenIdle() {
	if !h.switching || h.noWeights || len(h.streams) > 0 {
		return
	}
	h.noWeights = true
	starts := h.starts
	h.time.In(h.Engine.Load, func() {
		if h.starts == starts {
			h.noWeights, h.switching = false, false
			h.ledger.OpenUntil(time.Time{})
		}
	})
}

func (h *host) reset() *relayer.SendError {
	reset := h.failure(retrier.Unknown, 0, "connection reset")
	reset.Err = &UpstreamError{Problem: "connection reset", Err: syscall.ECONNRESET}
	return reset
}

// crash ends the engine with all its requests.
func (h *host) crash() {
	h.starts++
	h.down = true
	h.pausedUntil = time.Time{}
	reset := h.reset()
	for _, id := range slices.Sorted(maps.Keys(h.streams)) {
		h.deliver(h.streams[id], h.Network.OtherRegion, replyPart{failure: reset})
	}
	clear(h.streams)
}

// restart restarts the engine, cold and without weights at first.
func (h *host) restart() {
	h.starts++
	pace, momentary := h.engine.Pace, h.engine.Momentary
	h.engine = &emulator.Engine{Figures: h.Engine.figures(), Memory: h.Engine.Memory, Pace: pace, Momentary: momentary}
	clear(h.streams)
	clear(h.backoffs)
	h.leaving = false
	h.scheduledEnd = time.Time{}
	h.down, h.partitioned, h.switching = false, false, false
	h.ledger.OpenUntil(time.Time{})
	h.startedAt = h.time.Now()
	h.coldUntil = h.time.Now().Add(h.Engine.Cold)
	h.ledger.Reset()
	h.ledger.StartRamp(scheduler.EngineStarted)
	h.ledger.SetColdLimit(h.Engine.ColdRate, h.coldUntil)
	h.noWeights = true
	h.time.In(h.Engine.Load, func() { h.noWeights = false })
}

// countColdExcess counts requests beyond the bound of a cold engine for a second.
func (h *host) countColdExcess() {
	now := h.time.Now()
	for len(h.accepted) > 0 && now.Sub(h.accepted[0]) >= time.Second {
		h.accepted = h.accepted[1:]
	}
	if float64(len(h.accepted)) > h.Engine.ColdFactor*h.Engine.ColdRate+h.Engine.ColdSlack {
		h.report.ColdExcess++
	}
}
