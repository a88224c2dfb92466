package agent

import (
	"context"
)

// prober probes the upstream's state regularly, and at once when the gate waits for
// it. An upstream that restarts while nothing runs there breaks no connection:
// without the probes in between, a burst right after would reach a cold upstream
// through a wide open gate and overload it.
type prober struct {
	agent *Agent
}

// Serve runs until the context ends.
func (p *prober) Serve(ctx context.Context) error {
	t := p.agent.Clock.NewTicker(probeInterval)
	defer t.Stop()
	for {
		p.agent.probe(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C():
		case <-p.agent.Gate.ProbeWanted():
		}
	}
}

func (p *prober) String() string { return "probe" }
