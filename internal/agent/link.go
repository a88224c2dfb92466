package agent

import (
	"context"
	"reflect"
	"time"

	"github.com/thejerf/suture/v4"
	"k8s.io/klog/v2"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
)

// link is one connection with its loop.
type link struct {
	links  *links
	client *messenger.Client
	token  suture.ServiceToken
	// behind is set while the entry holds an older bundle than this agent.
	behind bool
	// told is the last whole account that the entry has; nil when it has none.
	told *messenger.AgentState
}

// Serve reports to one entry until the context ends.
func (k *link) Serve(ctx context.Context) error {
	k.links.run(ctx, k)
	return ctx.Err()
}

func (k *link) String() string { return "link to " + k.client.Address.String() }

// run reports at each heartbeat and, sooner, at each change that matters.
func (l *links) run(ctx context.Context, k *link) {
	defer k.client.Close()
	for ctx.Err() == nil {
		changed := l.due.Wait()
		told := l.summary()
		l.report(ctx, k)
		l.rest(ctx)
		l.await(ctx, l.pace(k), changed, told)
	}
}

// await returns when the next report is due.
func (l *links) await(ctx context.Context, pace time.Duration, changed <-chan struct{}, told summary) {
	t := l.agent.Clock.NewTimer(pace)
	defer t.Stop()
	for {
		gate := l.agent.Gate.Changed()
		if l.summary() != told {
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

// pace is how long an entry hears nothing while nothing changes: a heartbeat for the
// one from which this agent has its word on the bundle, two for the others.
func (l *links) pace(k *link) time.Duration {
	if l.home(l.agent.ID) == k.client.Address {
		return l.agent.Heartbeat
	}
	return 2 * l.agent.Heartbeat
}

// summary is what of a gate's change can't wait for the heartbeat. The number of
// running requests alone can: it changes with each of them, and a report for each
// would cost more than the requests.
type summary struct {
	state messenger.GateState
	limit int
	full  bool
}

func (l *links) summary() summary {
	state, limit, running := l.agent.Gate.State()
	return summary{state: state, limit: limit, full: running >= limit}
}

func (l *links) rest(ctx context.Context) {
	t := l.agent.Clock.NewTimer(reportGap)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C():
	}
}

// compose makes the next report for one entry: a beat when that entry was already
// told all that matters.
func (l *links) compose(k *link) messenger.Report {
	s := l.agent.state()
	s.Sequence = l.next()
	var r messenger.Report
	if k.behind {
		// Entries that were all replaced while the store is out know no bundle, and
		// would refuse every request until it is back.
		_, r.Record = l.agent.State.Current()
	}
	if k.told != nil && sameBut(*k.told, s) {
		r.Heartbeat = &messenger.Heartbeat{ID: s.ID, Incarnation: s.Incarnation, Sequence: s.Sequence, Running: s.Running}
		return r
	}
	k.told = &s
	r.State = &s
	return r
}

// sameBut tells whether two accounts differ only in what a beat says.
func sameBut(a, b messenger.AgentState) bool {
	a.Sequence, a.Running = b.Sequence, b.Running
	return reflect.DeepEqual(a, b)
}

func (l *links) report(ctx context.Context, k *link) {
	r := l.compose(k)
	asked := l.agent.Clock.Now()
	n, err := k.client.Report(ctx, r)
	if err != nil {
		klog.V(2).InfoS("Report failed", "agent", l.agent.ID, "entry", k.client.Address, "err", err)
		k.told = nil
		return
	}
	if n.Resend {
		k.told = nil
	}
	w := l.agent.State.Word()
	k.behind = n.Freshness.Revision < w.Revision
	l.take(n)
	l.place(n, k.client.Address)
	// The answer is as fresh as the question: while it was under way, or this
	// process frozen, a newer bundle may have come into force.
	l.agent.State.HearWord(n.Freshness, asked)
}
