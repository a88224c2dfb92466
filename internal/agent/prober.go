package agent

import (
	"context"
	"net/http/httptrace"

	"github.com/oriolecroft/oriolecroft/internal/admitter"
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
		case <-p.agent.Gate.Wanted():
		}
	}
}

func (p *prober) String() string { return "probe" }

// noting tells the gate when a request to the upstream has its connection.
func noting(ctx context.Context, t *admitter.Ticket) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { t.Connected() },
	})
}
