package agent

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/router"
)

const (
	// reportTimeout bounds one report; an entry that takes longer is passed over
	// until the next heartbeat.
	reportTimeout = time.Second
	// reportGap is the shortest time between two reports to one entry, however
	// often the state changes.
	reportGap = 30 * time.Millisecond
	// forgetAfter is how long an entry that nobody mentions stays known.
	forgetAfter = 10 * time.Second
)

// links are the agent's connections to the entries that it reports to.
type links struct {
	agent *Agent

	mu       sync.Mutex
	sequence uint64
	known    map[string]heardEntry
	open     map[netip.AddrPort]*link
	changed  chan struct{}
}

type heardEntry struct {
	state messenger.EntryState
	at    time.Time
}

func newLinks(a *Agent) *links {
	return &links{
		agent:   a,
		known:   map[string]heardEntry{},
		open:    map[netip.AddrPort]*link{},
		changed: make(chan struct{}),
	}
}

// link is one connection with its loop.
type link struct {
	client *messenger.Client
	cancel context.CancelFunc
}

// Serve keeps a link to each entry that should hear of this agent.
func (l *links) Serve(ctx context.Context) error {
	defer l.closeAll()
	t := l.agent.Clock.NewTicker(l.agent.Heartbeat)
	defer t.Stop()
	for {
		l.adjust(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C():
		}
	}
}

func (l *links) String() string { return "links" }

// announce makes all links report at once.
func (l *links) announce() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *links) changes() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// adjust opens links to the chosen entries and closes the others. Until an entry
// has answered, the seeds from the settings are all there is.
func (l *links) adjust(ctx context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	wanted := l.wanted()
	for a, k := range l.open {
		if !wanted[a] {
			k.cancel()
			delete(l.open, a)
		}
	}
	for a := range wanted {
		if l.open[a] == nil {
			l.open[a] = l.connect(ctx, a)
		}
	}
}

func (l *links) wanted() map[netip.AddrPort]bool {
	var entries []messenger.EntryState
	now := l.agent.Clock.Now()
	for id, e := range l.known {
		if now.Sub(e.at) > forgetAfter {
			delete(l.known, id)
			continue
		}
		entries = append(entries, e.state)
	}
	wanted := map[netip.AddrPort]bool{}
	for _, e := range router.ReportTo(l.agent.ID, l.agent.Region, entries, l.agent.ReportTo) {
		wanted[e.Peers] = true
	}
	if len(wanted) == 0 {
		for _, s := range l.agent.Seeds {
			wanted[s] = true
		}
	}
	return wanted
}

func (l *links) connect(ctx context.Context, to netip.AddrPort) *link {
	ctx, cancel := context.WithCancel(ctx)
	k := &link{cancel: cancel}
	k.client = &messenger.Client{Address: to, Timeout: reportTimeout, OnNews: l.pushed}
	go l.run(ctx, k)
	return k
}

func (l *links) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for a, k := range l.open {
		k.cancel()
		delete(l.open, a)
	}
}

// run reports at each heartbeat and, sooner, at each change.
func (l *links) run(ctx context.Context, k *link) {
	defer k.client.Close()
	t := l.agent.Clock.NewTicker(l.agent.Heartbeat)
	defer t.Stop()
	for ctx.Err() == nil {
		changed := l.changes()
		gate := l.agent.Gate.Changed()
		l.report(ctx, k)
		l.rest(ctx)
		select {
		case <-ctx.Done():
		case <-t.C():
		case <-changed:
		case <-gate:
		}
	}
}

func (l *links) rest(ctx context.Context) {
	t := l.agent.Clock.NewTimer(reportGap)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C():
	}
}

func (l *links) report(ctx context.Context, k *link) {
	s := l.agent.state()
	l.mu.Lock()
	l.sequence++
	s.Sequence = l.sequence
	l.mu.Unlock()
	asked := l.agent.Clock.Now()
	n, err := k.client.Report(ctx, messenger.Report{State: s})
	if err != nil {
		klog.V(2).InfoS("Report failed", "agent", l.agent.ID, "entry", k.client.Address, "err", err)
		return
	}
	l.take(n)
	// The answer is as fresh as the question: while it was under way, or this
	// process frozen, a newer bundle may have come into force.
	l.agent.State.HearWord(n.Word, asked)
}

// pushed takes what an entry sent unasked. It can bring a higher bundle but no
// freshness: how long it lay in a socket is unknown.
func (l *links) pushed(n messenger.News) {
	l.take(n)
	l.agent.hold(context.Background())
	l.announce()
}

func (l *links) take(n messenger.News) {
	a := l.agent
	if n.Record != nil {
		if _, err := a.State.Offer(n.Record); err != nil {
			klog.ErrorS(err, "Bundle refused", "agent", a.ID)
		}
	}
	l.remember(n.Entries)
	if a.Loader != nil && n.Holders != nil {
		a.Loader.SetHolders(n.Holders)
	}
	permitted := uint64(0)
	if n.Switch {
		permitted = n.Word.Revision
	}
	if n.Assignment != "" {
		a.switcher.assign(n.Assignment, permitted)
	}
}

func (l *links) remember(entries []messenger.EntryState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.agent.Clock.Now()
	for _, e := range entries {
		if e.Leaving {
			delete(l.known, e.ID)
			continue
		}
		l.known[e.ID] = heardEntry{state: e, at: now}
	}
}
