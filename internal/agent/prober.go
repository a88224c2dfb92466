package agent

import (
	"context"
)

// prober asks the upstream for its state regularly, and at once when the gate
// waits for that. An upstream that was restarted while nothing ran there has no
// connection to break: without the question asked in between, a rush right after
// would meet a cold upstream with the gate still wide, and it would fall over.
type prober struct {
	agent *Agent
}

// Serve runs until the context ends.
func (p *prober) Serve(ctx context.Context) error {
	t := p.agent.Clock.NewTicker(probeEvery)
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
