package agent

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/thejerf/suture/v4"
	"k8s.io/klog/v2"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/notifier"
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
	// due wakes the links when a report can't wait for the heartbeat.
	due notifier.Broadcast

	mu       sync.Mutex
	sequence uint64
	known    map[string]heardEntry
	open     map[netip.AddrPort]*link
}

type heardEntry struct {
	state messenger.EntryState
	at    time.Time
}

func newLinks(a *Agent) *links {
	return &links{
		agent: a,
		each:  suture.New("links of the agent", suture.Spec{EventHook: reporter.LogEvents}),
		known: map[string]heardEntry{},
		open:  map[netip.AddrPort]*link{},
	}
}

// announce makes all links report at once.
func (l *links) announce() { l.due.NotifyAll() }

// adjust opens links to the chosen entries and closes the others. Until an entry
// has answered, the seeds from the settings are all there is.
func (l *links) adjust(context.Context) {
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

// next numbers the agent's accounts of itself, by whichever way they go.
func (l *links) next() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	return l.sequence
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
