package agent

import (
	"context"
	"reflect"
	"time"

	"github.com/thejerf/suture/v4"
	"k8s.io/klog/v2"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
)

// link is the connection to one entry with its report loop.
type link struct {
	links  *links
	client *messenger.Client
	token  suture.ServiceToken
	// entryBehind is set while the entry holds an older bundle than this agent.
	entryBehind bool
	// lastReported is the last full state that the entry has; nil when it has none.
	lastReported *messenger.AgentState
}

// Serve reports to one entry until the context ends.
func (k *link) Serve(ctx context.Context) error {
	k.links.reportLoop(ctx, k)
	return ctx.Err()
}

func (k *link) String() string { return "link to " + k.client.Address.String() }

// reportLoop reports at each heartbeat and, sooner, at each change that matters.
func (l *links) reportLoop(ctx context.Context, k *link) {
	defer k.client.Close()
	for ctx.Err() == nil {
		changed := l.reportDue.Wait()
		reported := l.gateSummary()
		l.report(ctx, k)
		l.waitMinGap(ctx)
		l.waitUntilDue(ctx, l.reportInterval(k), changed, reported)
	}
}

// waitUntilDue returns when the next report is due.
func (l *links) waitUntilDue(ctx context.Context, interval time.Duration, changed <-chan struct{}, reported gateSummary) {
	t := l.agent.Clock.NewTimer(interval)
	defer t.Stop()
	for {
		gate := l.agent.Gate.Changed()
		if l.gateSummary() != reported {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C():
			return
		case <-changed:
			return
		case <-gate:
		}
	}
}

// reportInterval is the time between reports without changes: one heartbeat for the
// entry that confirms the bundle to this agent, two for the others.
func (l *links) reportInterval(k *link) time.Duration {
	if l.homeEntry(l.agent.ID) == k.client.Address {
		return l.agent.Heartbeat
	}
	return 2 * l.agent.Heartbeat
}

// gateSummary is the part of the gate's state whose changes are reported at once. The
// number of running requests waits for the heartbeat: it changes with each of them,
// and a report for each would cost more than the requests.
type gateSummary struct {
	state messenger.GateState
	limit int
	full  bool
}

func (l *links) gateSummary() gateSummary {
	state, limit, running := l.agent.Gate.State()
	return gateSummary{state: state, limit: limit, full: running >= limit}
}

func (l *links) waitMinGap(ctx context.Context) {
	t := l.agent.Clock.NewTimer(minReportGap)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C():
	}
}

// composeReport builds the next report for one entry: a beat when that entry already
// has the rest of the state.
func (l *links) composeReport(k *link) messenger.Report {
	s := l.agent.state()
	s.Sequence = l.nextSequence()
	var r messenger.Report
	if k.entryBehind {
		// Entries that were all replaced during an outage of the store have no bundle,
		// and would refuse every request until it is back.
		_, r.Record = l.agent.State.Current()
	}
	if k.lastReported != nil && equalExceptBeat(*k.lastReported, s) {
		r.Heartbeat = &messenger.Heartbeat{ID: s.ID, Incarnation: s.Incarnation, Sequence: s.Sequence, Running: s.Running}
		return r
	}
	k.lastReported = &s
	r.State = &s
	return r
}

// equalExceptBeat reports whether two states differ only in the fields of a beat.
func equalExceptBeat(a, b messenger.AgentState) bool {
	a.Sequence, a.Running = b.Sequence, b.Running
	return reflect.DeepEqual(a, b)
}

func (l *links) report(ctx context.Context, k *link) {
	r := l.composeReport(k)
	sentAt := l.agent.Clock.Now()
	n, err := k.client.Report(ctx, r)
	if err != nil {
		klog.V(2).InfoS("Report failed", "agent", l.agent.ID, "entry", k.client.Address, "err", err)
		k.lastReported = nil
		return
	}
	if n.Resend {
		k.lastReported = nil
	}
	w := l.agent.State.StatusUpdate()
	k.entryBehind = n.Freshness.Revision < w.Revision
	l.applyUpdate(n)
	l.applyAssignment(n, k.client.Address)
	// The answer is as fresh as the request: while it was in flight, or this process
	// suspended, a newer bundle may have come into force.
	l.agent.State.ReceiveUpdate(n.Freshness, sentAt)
}
