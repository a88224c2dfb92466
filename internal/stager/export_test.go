package stager

import (
	"context"
	"net/netip"
	"time"
)

// LearnFrom makes one attempt of an agent to learn a version's chunks from others.
func (d *Digester) LearnFrom(ctx context.Context, model string, number uint64, self netip.AddrPort, others []netip.AddrPort, since, step time.Duration) {
	var peers []peerAgent
	for _, a := range others {
		peers = append(peers, peerAgent{id: a.String(), chunks: a})
	}
	d.Learn(ctx, versionKey{model, number}, self.String(), peers, since, step)
}

// LearnInterval is the pause between two such attempts.
const LearnInterval = learnInterval
