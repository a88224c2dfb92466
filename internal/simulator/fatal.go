package simulator

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"
)

const (
	// fatalPart is the part of prompts that crashes engines. Prompts are of one of some farms.
	fatalPart = "fatal"
	farmCount = 40
	// pushInterval is how often entries exchange evidence and weigh it.
	pushInterval = 50 * time.Millisecond
	// knownCrashes is after how many crashes, and knownAfter how much later, entries should refuse the part.
	knownCrashes = 5
	knownAfter   = 3 * time.Second
)

// fatals is what is known of requests that crash engines.
type fatals struct {
	requests map[string]bool
	// callers is how many came.
	callers int
	// lateFrom is from when on none should be sent; zero before the fifth crash.
	lateAfter time.Time
}

// planFatal puts the callers with a fatal part on the agenda, and the exchange of evidence.
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

// arriveFatal has a caller with the fatal part come. It isn't among the requests that are reported.
func (w *world) addFatalCaller() {
	k := &w.Kinds[slices.IndexFunc(w.Kinds, func(k Kind) bool { return k.Name == w.Fatal.Kind })]
	w.openRequests++
	w.fatals.callers++
	n := w.fatals.callers
	c := &caller{world: w, kind: k, timeLimit: k.Timeout, fatal: true, hint: 100}
	// Numbers below zero are nobody else's.
	c.Request = &Request{Number: -n, Kind: k.Name, Prompt: int(k.Prompt.Mean), Answer: int(k.Answer.Mean)}
	w.time.Go(func() {
		c.run()
		if c.Outcome == Refused {
			w.report.FatalRefused++
		}
	})
}

// parts are those of the caller's prompt, of which the last is its own. The fatal one comes first, in the
// middle, and among parts that never recur.
func (c *caller) parts() []string {
	kind, own := "kind-"+c.Kind, fmt.Sprintf("own%d", c.Number)
	farm := fmt.Sprintf("farm%d", c.Number*c.Number%farmCount)
	if !c.fatal {
		return [][]string{{kind, own}, {kind, farm, own}, {own + "a", kind, own}}[c.Number%3]
	}
	return [][]string{{fatalPart, farm, own}, {kind, fatalPart, farm, own}, {own + "a", fatalPart, own + "b", own}}[-c.Number%3]
}

// reach notes that a request with the fatal part is about to reach an engine.
func (f *fatals) recordSent(c *caller, id string) {
	f.requests[id] = true
	c.report.FatalSent++
	if !f.lateAfter.IsZero() && c.tryStartedAt.After(f.lateAfter) {
		c.report.FatalLate++
	}
}

// crashUnder ends the engine under a request with the fatal part, and starts it again after a time.
func (h *host) crashByPrompt() {
	if h.report.Crashes++; h.report.Crashes == knownCrashes {
		h.fatals.lateAfter = h.time.Now().Add(knownAfter)
	}
	h.startFault(Fault{Fault: FaultCrash, Lasts: h.Fatal.Down})
}

// exchange has entries push their evidence to each other and decide.
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
	u, sequence := e.relayer.Localizer.Since(e.acked[to])
	e.acked[to] = sequence
	if u.Empty() {
		return
	}
	e.time.In(e.latency(e.domain, to.domain), func() {
		e.relayer.Localizer.Acked(u, to.relayer.Localizer.Handle(u))
	})
}

// blamed lists the parts that entries refuse.
func (w *world) blamedParts() []string {
	parts := map[string]bool{}
	for _, e := range w.entries {
		for _, b := range e.relayer.Localizer.Blames() {
			parts[b.Part] = parts[b.Part] || !b.Lifted
		}
	}
	return slices.Sorted(maps.Keys(parts))
}

// prober knows at once whether an engine is down.
type prober struct{ *world }

// Refuses implements relayer.Prober.
func (p prober) Refuses(a netip.AddrPort, then func(refused bool)) {
	i := slices.IndexFunc(p.hosts, func(h *host) bool { return h.address == a })
	then(i >= 0 && p.hosts[i].down)
}
