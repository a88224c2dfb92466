package simulator

import "time"

// startPeriod is how long after an engine's start its requests and idle slots are reported separately.
const startPeriod = 10 * time.Second

// Starts counts requests and slots at engines in the first seconds after their starts.
type Starts struct {
	// Sent counts requests that were sent there, of which InTime had their whole answer in time and
	// Failed broke off or timed out, regardless of where their last attempt was.
	Sent, InTime, Failed int
	// Crashes counts engines that crashed under too many requests.
	Crashes int
	// slots and idle are sums over the agents' polls of engines that accept requests.
	slots, idle int
}

// Idle returns the share of the slots that were idle.
func (s Starts) Idle() float64 { return float64(s.idle) / float64(max(1, s.slots)) }

func (s *Starts) add(o Starts) {
	s.Sent += o.Sent
	s.InTime += o.InTime
	s.Failed += o.Failed
	s.Crashes += o.Crashes
	s.slots += o.slots
	s.idle += o.idle
}

// hasJustStarted reports whether the engine restarted during the experiment a short time ago.
func (h *host) hasJustStarted() bool { return h.starts > 0 && h.time.Since(h.startedAt) < startPeriod }

// countIdleSlots counts the engine's idle slots after a start.
func (h *host) countIdleSlots(running int) {
	if h.hasJustStarted() && !h.noWeights && !h.switching {
		h.report.Starts.slots += h.Engine.Slots
		h.report.Starts.idle += max(0, h.Engine.Slots-running)
	}
}

// sumStarts counts the requests that were sent to engines after their starts.
func (r *Report) sumStarts() {
	for _, q := range r.Requests {
		if !q.sentAfterStart {
			continue
		}
		r.Starts.Sent++
		switch q.Outcome {
		case InTime:
			r.Starts.InTime++
		case Failed, Open:
			r.Starts.Failed++
		case Late, Refused:
		}
	}
}

// applyStartFaults applies the parts of a fault that concern starts to an engine that has just started.
func (h *host) applyStartFaults(f Fault) {
	starts := h.starts
	after := func(d time.Duration, do func()) {
		h.time.In(d, func() {
			if h.starts == starts {
				do()
			}
		})
	}
	if f.SlowFor > 0 {
		h.engine.Pace, h.hidesPace = f.Pace, true
		after(f.SlowFor, func() { h.engine.Pace, h.hidesPace = 0, false })
	}
	if f.Again > 0 {
		again := f
		again.Again--
		after(f.UpFor, func() { h.startFault(again) })
	}
	h.overload = nil
	if f.Bears > 0 {
		h.overload = &overloadFault{fault: f, until: h.time.Now().Add(f.BearsFor)}
	}
}

// reportedPace is the pace in the engine's report.
func (h *host) reportedPace() float64 {
	if h.hidesPace {
		return 0
	}
	return h.engine.Pace
}

// overloadFault is the fault of an engine that crashes above a rate of requests a second.
type overloadFault struct {
	fault Fault
	until time.Time
	taken []time.Time
}

// crashesByLoad counts one more request and reports whether the engine crashes because of it.
func (h *host) crashesByLoad() bool {
	now := h.time.Now()
	if h.overload == nil || now.After(h.overload.until) {
		return false
	}
	taken := h.overload.taken
	for len(taken) > 0 && now.Sub(taken[0]) >= time.Second {
		taken = taken[1:]
	}
	h.overload.taken = append(taken, now)
	if len(h.overload.taken) <= h.overload.fault.Bears {
		return false
	}
	h.report.Starts.Crashes++
	h.startFault(h.overload.fault)
	return true
}
