package stager

import (
	"context"
	"net/netip"
	"time"
)

// LearnFrom has an agent look once for a version's chunks among others.
func (d *Digester) LearnFrom(ctx context.Context, model string, number uint64, self netip.AddrPort, others []netip.AddrPort, since, step time.Duration) {
	var peers []peerAgent
	for _, a := range others {
		peers = append(peers, peerAgent{id: a.String(), chunks: a})
	}
	d.Learn(ctx, versionKey{model, number}, self.String(), peers, since, step)
}

// LearnEvery is the pause between two such looks.
const LearnEvery = learnEvery
