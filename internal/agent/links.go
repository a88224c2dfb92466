package agent

import (
	"context"
	"net/netip"
	"reflect"
	"sync"
	"time"

	"github.com/thejerf/suture/v4"
	"k8s.io/klog/v2"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/reporter"
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
	// each supervises the links themselves.
	each *suture.Supervisor

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
		each:    suture.New("links of the agent", suture.Spec{EventHook: reporter.LogEvents}),
		known:   map[string]heardEntry{},
		open:    map[netip.AddrPort]*link{},
		changed: make(chan struct{}),
	}
}

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

// Serve keeps a link to each entry that should hear of this agent.
func (l *links) Serve(ctx context.Context) error {
	defer l.closeAll()
	t := l.agent.Clock.NewTicker(l.agent.Heartbeat)
	defer t.Stop()
	for {
		l.adjust()
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
func (l *links) adjust() {
	l.mu.Lock()
	defer l.mu.Unlock()
	wanted := l.wanted()
	for a, k := range l.open {
		if !wanted[a] {
			l.drop(a, k)
		}
	}
	for a := range wanted {
		if l.open[a] == nil {
			l.open[a] = l.connect(a)
		}
	}
}

func (l *links) wanted() map[netip.AddrPort]bool {
	entries := l.entries()
	wanted := map[netip.AddrPort]bool{}
	for _, e := range router.ReportTo(l.agent.ID, l.agent.Region, entries, l.agent.ReportTo) {
		wanted[e.Peers] = true
	}
	if len(wanted) == 0 {
		for _, s := range l.agent.Seeds {
			wanted[s] = true
		}
		return wanted
	}
	wanted[homeAmong(domainHome(l.agent.FailureDomain), entries)] = true
	if m := l.agent.switcher.model(); m != "" {
		wanted[homeAmong(modelHome(m), entries)] = true
	}
	return wanted
}

// entries lists those mentioned lately.
func (l *links) entries() []messenger.EntryState {
	var entries []messenger.EntryState
	now := l.agent.Clock.Now()
	for id, e := range l.known {
		if now.Sub(e.at) > forgetAfter {
			delete(l.known, id)
			continue
		}
		entries = append(entries, e.state)
	}
	return entries
}

func (l *links) connect(to netip.AddrPort) *link {
	k := &link{links: l}
	k.client = &messenger.Client{Address: to, Timeout: reportTimeout, Dial: l.agent.Certifier.Dial, OnNews: l.pushed}
	k.token = l.each.Add(k)
	return k
}

// drop ends a link; that its supervisor has stopped already is no fault.
func (l *links) drop(a netip.AddrPort, k *link) {
	if err := l.each.Remove(k.token); err != nil {
		klog.V(1).InfoS("Link not removed", "entry", a, "err", err)
	}
	delete(l.open, a)
}

// Serve reports to one entry until the context ends.
func (k *link) Serve(ctx context.Context) error {
	k.links.run(ctx, k)
	return ctx.Err()
}

func (k *link) String() string { return "link to " + k.client.Address.String() }

func (l *links) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for a, k := range l.open {
		l.drop(a, k)
	}
}

// run reports at each heartbeat and, sooner, at each change that matters.
func (l *links) run(ctx context.Context, k *link) {
	defer k.client.Close()
	for ctx.Err() == nil {
		changed := l.changes()
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

// next numbers the agent's accounts of itself, by whichever way they go.
func (l *links) next() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	return l.sequence
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
		r.Beat = &messenger.Beat{ID: s.ID, Incarnation: s.Incarnation, Sequence: s.Sequence, Running: s.Running}
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
	k.behind = n.Word.Revision < w.Revision
	l.take(n)
	l.place(n, k.client.Address)
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
	if n.Leaving {
		a.listed.set(a.Clock.Now())
	}
	l.remember(n.Entries)
	if a.Loader != nil && n.Holders != nil {
		a.Loader.SetHolders(n.Holders)
	}
}

// place takes over the model and the permit that an entry gave. Of all entries
// only one counts for each: if every entry handed out its own permits, a quarter
// of the replicas for each of nine entries would switch at the same time.
func (l *links) place(n messenger.News, from netip.AddrPort) {
	a := l.agent
	if n.Assignment == "" {
		return
	}
	if l.home(domainHome(a.FailureDomain)) == from {
		a.switcher.assign(n.Assignment)
	}
	if l.home(modelHome(n.Assignment)) == from {
		a.switcher.permit(n.Assignment, n.Word.Revision, n.Switch)
	}
}

func domainHome(domain string) string { return "failureDomain " + domain }

func modelHome(model string) string { return "model " + model }

// home is the entry that decides a matter for all agents: the one that ranks
// highest for its name. While two agents see different entries two may decide,
// which costs capacity at most.
func (l *links) home(name string) netip.AddrPort {
	l.mu.Lock()
	defer l.mu.Unlock()
	return homeAmong(name, l.entries())
}

func homeAmong(name string, entries []messenger.EntryState) netip.AddrPort {
	first := router.ReportTo(name, "", entries, 1)
	if len(first) == 0 {
		return netip.AddrPort{}
	}
	return first[0].Peers
}

func (l *links) remember(entries []messenger.EntryRef) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.agent.Clock.Now()
	for _, e := range entries {
		s := messenger.EntryState{ID: e.ID, FailureDomain: e.FailureDomain, Region: e.Region, Peers: e.Peers}
		l.known[e.ID] = heardEntry{state: s, at: now}
	}
}
