package simulator

import (
	"fmt"
	"math"
	"time"
)

// schedule schedules the callers and faults.
func (w *world) schedule() {
	for i := range w.Kinds {
		w.scheduleKind(i)
	}
	for _, f := range w.Faults {
		w.time.In(f.At, func() { w.injectFault(f) })
	}
}

// scheduleKind schedules the callers of a kind at random times, as a Poisson process.
func (w *world) scheduleKind(kind int) {
	k := &w.Kinds[kind]
	most := 1.0
	for _, s := range w.Surges {
		most *= max(1, s.Factor)
	}
	if k.PerSecond > 0 {
		at := w.nextGap(k.PerSecond * most)
		for at < w.Length {
			if w.callerRandom.Float64()*most < w.surgeFactor(k, at) {
				w.addCaller(kind, at)
			}
			at += w.nextGap(k.PerSecond * most)
		}
	}
	for _, s := range w.Surges {
		if s.Kind == "" || s.Kind == k.Name {
			for range s.AtOnce {
				w.addCaller(kind, s.At)
			}
		}
	}
}

// nextGap draws the time to the next caller at a rate a second.
func (w *world) nextGap(rate float64) time.Duration {
	return time.Duration(w.callerRandom.ExpFloat64() / rate * float64(time.Second))
}

// surgeFactor is the factor by which the rate of callers is higher at a time.
func (w *world) surgeFactor(k *Kind, at time.Duration) float64 {
	f := 1.0
	for _, s := range w.Surges {
		if s.Factor > 0 && at >= s.At && at < s.At+s.Lasts && (s.Kind == "" || s.Kind == k.Name) {
			f *= s.Factor
		}
	}
	return f
}

// drawSize draws a size, log-normally distributed as prompts and answers are.
func (w *world) drawSize(s Size) int {
	variance := math.Log(1 + s.Spread*s.Spread)
	size := s.Mean * math.Exp(w.callerRandom.NormFloat64()*math.Sqrt(variance)-variance/2)
	if s.Most > 0 {
		size = min(size, float64(s.Most))
	}
	return max(1, int(size))
}

// injectFault starts a fault, and ends it after its duration.
func (w *world) injectFault(f Fault) {
	var there []*host
	for _, h := range w.hosts {
		if f.FailureDomain == "" || h.domain.Name == f.FailureDomain {
			there = append(there, h)
		}
	}
	if f.Fault == FaultUneven {
		for _, h := range there {
			h.time.In(time.Duration(w.random.Int64N(int64(f.Every))), func() { h.drawPace(f) })
		}
		return
	}
	share := f.Share
	if share <= 0 {
		share = 1
	}
	n := max(1, int(math.Round(share*float64(len(there)))))
	w.random.Shuffle(len(there), func(i, j int) { there[i], there[j] = there[j], there[i] })
	for i, h := range there[:min(n, len(there))] {
		if f.Fault == FaultSwitch {
			h.planSwitch(f.Overrun, f.Lasts*time.Duration(i)/time.Duration(n))
			continue
		}
		h.startFault(f)
	}
}

// terminate ends the engine. Its record expires a while after the given time.
func (h *host) terminate(after time.Duration) {
	h.crash()
	former := h.id
	h.time.In(after+h.News.Lapse, func() { h.writeRecord(former, nil, h.News.Delay) })
}

// replace starts another engine at the address of the terminated one.
func (h *host) replace() {
	h.id = fmt.Sprintf("%s.%d", h.id, h.starts)
	h.byID[h.id] = h
	h.restart()
	h.writeRecord(h.id, h.storeRecord(h.Engine.Cold), h.News.Delay)
}

// drawPace draws the pace of an engine for the next interval, and schedules the next draw.
func (h *host) drawPace(f Fault) {
	h.engine.Momentary = 1
	if f.Lasts > 0 && h.time.Since(start) >= f.At+f.Lasts || !h.active() {
		return
	}
	if h.random.Float64() < f.Share {
		h.engine.Momentary = f.Pace
	}
	h.time.In(f.Every, func() { h.drawPace(f) })
}

func (h *host) startFault(f Fault) {
	after := func(do func()) {
		if f.Lasts > 0 {
			h.time.In(f.Lasts, do)
		}
	}
	switch f.Fault {
	case FaultReplace:
		h.terminate(f.Lasts)
		after(h.replace)
	case FaultLeave:
		h.leaving = true
		after(func() {
			h.terminate(0)
			h.replace()
		})
	case FaultTear:
		h.tearChance, h.failAgainChance = f.Chance, f.NextFails
		after(func() { h.tearChance, h.failAgainChance = 0, 0 })
	case FaultPause:
		h.pausedUntil = h.time.Now().Add(f.Lasts)
	case FaultRest:
		h.backoff = f.Rest
		after(func() { h.backoff = 0 })
	case FaultCrash:
		h.crash()
		starts := h.starts
		h.time.In(h.News.Lapse, func() {
			if h.starts == starts {
				h.writeRecord(h.id, nil, h.News.Delay)
			}
		})
		after(func() {
			h.restart()
			h.applyStartFaults(f)
			h.writeRecord(h.id, h.storeRecord(h.Engine.Cold), h.News.Delay)
		})
	case FaultSilent:
		h.partitioned = true
		after(func() { h.partitioned = false })
	case FaultSlow:
		h.engine.Pace = f.Pace
		after(func() { h.engine.Pace = 0 })
	case FaultAgentDown:
		h.agentDown = true
		after(func() {
			h.agentDown = false
			// A restarted agent has no record of the slots that its predecessor granted.
			h.ledger.Reset()
		})
	case FaultNoWeights:
		h.noWeights = true
		after(func() { h.noWeights = false })
	}
}
