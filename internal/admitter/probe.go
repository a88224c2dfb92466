package admitter

import "time"

// weights are what the last good probe found in the engine.
type weights struct {
	model, version, manifest string
}

func (h weights) suit(w Work) bool {
	return (w.Model == "" || w.Model == h.model) &&
		(w.Version == "" || w.Version == h.version) &&
		(w.Manifest == "" || w.Manifest == h.manifest)
}

// Mark is to be taken before a probe is sent and put into Probe.Mark.
func (g *Gate) Mark() Mark {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.begin()
	return Mark{connected: g.connected, narrowed: g.narrowed}
}

// Wanted gives a channel that asks for a probe now, besides the regular ones.
func (g *Gate) Wanted() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.begin()
	return g.wanted
}

// want asks for a probe; one request for it is as good as many.
func (g *Gate) want() {
	select {
	case g.wanted <- struct{}{}:
	default:
	}
}

// Probe takes in what a probe of the upstream gave.
func (g *Gate) Probe(p Probe) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.begin()
	defer g.announce()
	if p.Err != nil || p.Latency >= g.Slow {
		g.narrow()
		return
	}
	now := g.Clock.Now()
	if p.Cold || g.restarted(p, now) {
		g.narrow()
	}
	g.proved = true
	g.startID, g.uptime, g.asOf = p.StartID, p.Uptime, now
	g.held = weights{model: p.Model, version: p.Version, manifest: p.Manifest}
	// A probe sent before the last bad sign says nothing of the time after it.
	if !p.Cold && p.Mark.narrowed == g.narrowed {
		g.cold = false
		g.confirm(p.Mark)
		g.widen()
	}
}

// restarted tells whether the upstream may be another one than at the last
// probe: its start id has changed, or it has been up for less long than it must
// have been.
func (g *Gate) restarted(p Probe, now time.Time) bool {
	least := g.uptime + now.Sub(g.asOf) - g.Slow
	return !g.proved || p.StartID != g.startID || p.Uptime < max(g.uptime, least)
}

// confirm takes those requests for confirmed that had their connection before
// the probe was sent.
func (g *Gate) confirm(m Mark) {
	for t := range g.fresh {
		if t.connected > 0 && t.connected <= m.connected {
			delete(g.fresh, t)
		}
	}
}

// floor is the limit of a gate that knows nothing good of its upstream.
func (g *Gate) floor() int { return min(g.ColdLimit, g.Limit) }

// widen adds one to the limit for a good sign, at most once per Step. While the
// upstream calls itself cold nothing counts as a good sign.
func (g *Gate) widen() {
	now := g.Clock.Now()
	if g.cold || g.width >= g.Limit || now.Sub(g.widened) < g.Step {
		return
	}
	g.width++
	g.widened = now
}

// narrow takes the gate back to the cold limit.
func (g *Gate) narrow() {
	g.narrowed++
	g.width = g.floor()
	g.cold = true
}
