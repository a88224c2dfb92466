package syncer

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

const (
	// maxReplyAge is the greatest age of a reply that a report may follow: two clocks drift apart by some milliseconds
	// until then.
	maxReplyAge = 10 * time.Second
	// maxClockDrift is by how much a report may seem to arrive before it was sent.
	maxClockDrift = 20 * time.Millisecond
)

// weightsReport returns what this process, which nobody asks for records, knows of weights beyond the last reply of a peer
// that has lost the store; nil if there is nothing. The store may answer an agent while it refuses all entries, which
// would infer that nothing is announced.
func (s *Syncer) weightsReport(a netip.AddrPort) *messenger.WeightsReport {
	reply := s.peers[a].lostReply
	if s.Entry || reply.SentAt == 0 {
		return nil
	}
	// If this process is paused between the two readings, the report looks older than it is. In the reverse order, it
	// would look younger.
	replyAge := s.Registrar.Clock.Since(reply.AsOf)
	if replyAge > maxReplyAge {
		return nil
	}
	b, ok := s.Registrar.WeightsBeyond(reply)
	if !ok {
		return nil
	}
	return &messenger.WeightsReport{Batch: b, ReplySentBy: reply.SentBy, ReplySentAt: reply.SentAt, ReplyAge: replyAge}
}

// reportReceiver applies the reports of weights that come with queries.
type reportReceiver struct {
	registrar *registrar.Registrar
	clock     clock.Clock
	// since is when this process began to answer queries, and id tells it from others at its address.
	since time.Time
	id    uint64
}

func newReportReceiver(r *registrar.Registrar, c clock.Clock) *reportReceiver {
	return &reportReceiver{registrar: r, clock: c, since: c.Now(), id: rand.Uint64()}
}

// stamp marks a reply, so that a report with the next query shows how long it was in transit.
func (r *reportReceiver) stamp(b registrar.Batch) registrar.Batch {
	if b.Lost {
		b.SentBy, b.SentAt = r.id, max(1, r.clock.Since(r.since))
	}
	return b
}

// apply applies a report. It may have arrived long ago while this process or its reader was suspended, so its ages count
// from the reply that it follows.
func (r *reportReceiver) apply(report messenger.WeightsReport) {
	// The order is that of weightsReport.
	b := report.Batch
	b.AsOf = r.registrar.Clock.Now()
	now := r.clock.Since(r.since)
	transit := now - report.ReplySentAt - report.ReplyAge
	followsReply := report.ReplySentBy == r.id && report.ReplySentAt > 0 && report.ReplySentAt <= now && report.ReplyAge >= 0 && report.ReplyAge <= maxReplyAge
	if !followsReply || transit < -maxClockDrift {
		klog.InfoS("Weights report ignored", "confirmedBy", b.ConfirmedBy, "age", b.Age, "replySentAt", report.ReplySentAt, "replyAge", report.ReplyAge)
		return
	}
	transit = max(0, transit)
	b.Source = registrar.Source{Name: "report", Took: transit}
	r.registrar.ApplyWeights(b, transit)
}
