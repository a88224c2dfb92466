package admitter

import "time"

// weights are those that the last successful probe found in the engine.
type weights struct {
	model, version, manifest string
}

func (h weights) satisfies(w Request) bool {
	return (w.Model == "" || w.Model == h.model) &&
		(w.Version == "" || w.Version == h.version) &&
		(w.Manifest == "" || w.Manifest == h.manifest)
}

// Mark must be called before a probe is sent; its result goes into Probe.Mark.
func (g *Gate) Mark() Mark {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.initialize()
	return Mark{connected: g.connected, resets: g.resets}
}

// ProbeWanted returns a channel that requests a probe besides the regular ones.
func (g *Gate) ProbeWanted() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.initialize()
	return g.probeWanted
}

// requestProbe requests a probe; pending requests are merged.
func (g *Gate) requestProbe() {
	select {
	case g.probeWanted <- struct{}{}:
	default:
	}
}

// Probe applies the result of a probe of the upstream.
func (g *Gate) Probe(p Probe) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.initialize()
	defer g.notifyChanged()
	if p.Err != nil || p.Latency >= g.Slow {
		g.resetLimit()
		return
	}
	now := g.Clock.Now()
	if p.Cold || g.restarted(p, now) {
		g.resetLimit()
	}
	g.probed = true
	g.startID, g.uptime, g.probedAt = p.StartID, p.Uptime, now
	g.loaded = weights{model: p.Model, version: p.Version, manifest: p.Manifest}
	// A probe sent before the last failure shows nothing about the time after
	// it.
	if !p.Cold && p.Mark.resets == g.resets {
		g.cold = false
		g.confirm(p.Mark)
		g.raiseLimit()
	}
}

// restarted reports whether the upstream may have restarted since the last
// probe: its start id changed, or its uptime is shorter than the time since
// then requires.
func (g *Gate) restarted(p Probe, now time.Time) bool {
	minUptime := g.uptime + now.Sub(g.probedAt) - g.Slow
	return !g.probed || p.StartID != g.startID || p.Uptime < max(g.uptime, minUptime)
}

// confirm marks those requests as confirmed that were connected before the
// probe was sent.
func (g *Gate) confirm(m Mark) {
	for t := range g.unconfirmed {
		if t.connected > 0 && t.connected <= m.connected {
			delete(g.unconfirmed, t)
		}
	}
}

// coldLimit is the limit while the upstream is not known to be warm.
func (g *Gate) coldLimit() int { return min(g.ColdLimit, g.Limit) }

// raiseLimit increments the limit, at most once per Step and only while the
// upstream does not report itself cold.
func (g *Gate) raiseLimit() {
	now := g.Clock.Now()
	if g.cold || g.currentLimit >= g.Limit || now.Sub(g.limitRaisedAt) < g.Step {
		return
	}
	g.currentLimit++
	g.limitRaisedAt = now
}

// resetLimit reduces the limit to that of a cold upstream.
func (g *Gate) resetLimit() {
	g.resets++
	g.currentLimit = g.coldLimit()
	g.cold = true
}
