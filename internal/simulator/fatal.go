package simulator

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"
)

const (
	// fatalPart is the part of prompts that crashes engines. Each prompt belongs to one of farmCount farms.
	fatalPart = "fatal"
	farmCount = 40
	// pushInterval is how often entries exchange evidence and evaluate it.
	pushInterval = 50 * time.Millisecond
	// knownCrashes is the number of crashes after which, and knownAfter the delay by which, entries should refuse the part.
	knownCrashes = 5
	knownAfter   = 3 * time.Second
)

// fatals is the state of requests that crash engines.
type fatals struct {
	requests map[string]bool
	// callers is the number of callers so far.
	callers int
	// lateAfter is the time from which none should be sent; zero before the fifth crash.
	lateAfter time.Time
}

// scheduleFatal schedules the callers with a fatal part, and the exchange of evidence.
func (w *world) scheduleFatal() {
	w.fatals.requests = map[string]bool{}
	f := w.Fatal
	if f.Every > 0 {
		for at := f.At; at < f.At+f.Lasts; at += f.Every {
			w.time.In(at, w.addFatalCaller)
		}
	}
	w.time.In(pushInterval, w.exchangeEvidence)
}

// addFatalCaller adds a caller with the fatal part. It isn't among the reported requests.
func (w *world) addFatalCaller() {
	k := &w.Kinds[slices.IndexFunc(w.Kinds, func(k Kind) bool { return k.Name == w.Fatal.Kind })]
	w.openRequests++
	w.fatals.callers++
	n := w.fatals.callers
	c := &caller{world: w, kind: k, timeLimit: k.Timeout, fatal: true, hint: 100}
	// Negative numbers are used for no other requests.
	c.Request = &Request{Number: -n, Kind: k.Name, Prompt: int(k.Prompt.Mean), Answer: int(k.Answer.Mean)}
	w.time.Go(func() {
		c.run()
		if c.Outcome == Refused {
			w.report.FatalRefused++
		}
	})
}

// parts are those of the caller's prompt, of which the last is unique. The fatal one comes first, in the
// middle, and among parts that never recur.
func (c *caller) parts() []string {
	kind, own := "kind-"+c.Kind, fmt.Sprintf("own%d", c.Number)
	farm := fmt.Sprintf("farm%d", c.Number*c.Number%farmCount)
	if !c.fatal {
		return [][]string{{kind, own}, {kind, farm, own}, {own + "a", kind, own}}[c.Number%3]
	}
	return [][]string{{fatalPart, farm, own}, {kind, fatalPart, farm, own}, {own + "a", fatalPart, own + "b", own}}[-c.Number%3]
}

// recordSent counts a request with the fatal part that is about to reach an engine.
func (f *fatals) recordSent(c *caller, id string) {
	f.requests[id] = true
	c.report.FatalSent++
	if !f.lateAfter.IsZero() && c.tryStartedAt.After(f.lateAfter) {
		c.report.FatalLate++
	}
}

// crashByPrompt crashes the engine because of a request with the fatal part, and restarts it after a time.
func (h *host) crashByPrompt() {
	if h.report.Crashes++; h.report.Crashes == knownCrashes {
		h.fatals.lateAfter = h.time.Now().Add(knownAfter)
	}
	h.startFault(Fault{Fault: FaultCrash, Lasts: h.Fatal.Down})
}

// exchangeEvidence has entries push their evidence to each other and evaluate it.
func (w *world) exchangeEvidence() {
	for _, e := range w.entries {
		e.relayer.Localizer.Tick()
		for _, to := range w.entries {
			if to != e {
				e.pushEvidence(to)
			}
		}
	}
	if w.active() {
		w.time.In(pushInterval, w.exchangeEvidence)
	}
}

func (e *entry) pushEvidence(to *entry) {
	u, sequence := e.relayer.Localizer.ChangesSince(e.acked[to])
	e.acked[to] = sequence
	if u.Empty() {
		return
	}
	e.time.In(e.latency(e.domain, to.domain), func() {
		e.relayer.Localizer.HandleAck(u, to.relayer.Localizer.Handle(u))
	})
}

// blamedParts lists the parts that entries refuse.
func (w *world) blamedParts() []string {
	parts := map[string]bool{}
	for _, e := range w.entries {
		for _, b := range e.relayer.Localizer.Blames() {
			parts[b.Part] = parts[b.Part] || !b.Lifted
		}
	}
	return slices.Sorted(maps.Keys(parts))
}

// prober reports at once whether an engine is down.
type prober struct{ *world }

// CheckRefused implements relayer.Prober.
func (p prober) CheckRefused(a netip.AddrPort, then func(refused bool)) {
	i := slices.IndexFunc(p.hosts, func(h *host) bool { return h.address == a })
	then(i >= 0 && p.hosts[i].down)
}
