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
	// reportTimeout bounds one report; an entry that takes longer is skipped until
	// the next heartbeat.
	reportTimeout = time.Second
	// minReportGap is the shortest time between two reports to one entry, however
	// often the state changes.
	minReportGap = 30 * time.Millisecond
	// entryTTL is how long an entry that is not mentioned stays known.
	entryTTL = 10 * time.Second
)

// links holds the agent's connections to the entries that it reports to.
type links struct {
	agent *Agent
	// supervisor runs the links.
	supervisor *suture.Supervisor
	// reportDue makes the links report before the next heartbeat.
	reportDue notifier.Broadcast

	mu       sync.Mutex
	sequence uint64
	known    map[string]knownEntry
	open     map[netip.AddrPort]*link
}

type knownEntry struct {
	state    messenger.EntryState
	lastSeen time.Time
}

func newLinks(a *Agent) *links {
	return &links{
		agent:      a,
		supervisor: suture.New("agent links", suture.Spec{EventHook: reporter.LogEvents}),
		known:      map[string]knownEntry{},
		open:       map[netip.AddrPort]*link{},
	}
}

// reportNow makes all links report at once.
func (l *links) reportNow() { l.reportDue.NotifyAll() }

// reconcile opens links to the chosen entries and closes the others. Until an entry
// has answered, only the seeds from the settings are known.
func (l *links) reconcile(context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	wanted := l.wantedEntries()
	for a, k := range l.open {
		if !wanted[a] {
			l.disconnect(a, k)
		}
	}
	for a := range wanted {
		if l.open[a] == nil {
			l.open[a] = l.connect(a)
		}
	}
}

func (l *links) wantedEntries() map[netip.AddrPort]bool {
	entries := l.knownEntries()
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
	wanted[highestRanked(domainKey(l.agent.FailureDomain), entries)] = true
	if m := l.agent.switcher.assignedModel(); m != "" {
		wanted[highestRanked(modelKey(m), entries)] = true
	}
	return wanted
}

// knownEntries lists the entries mentioned lately.
func (l *links) knownEntries() []messenger.EntryState {
	var entries []messenger.EntryState
	now := l.agent.Clock.Now()
	for id, e := range l.known {
		if now.Sub(e.lastSeen) > entryTTL {
			delete(l.known, id)
			continue
		}
		entries = append(entries, e.state)
	}
	return entries
}

func (l *links) connect(to netip.AddrPort) *link {
	k := &link{links: l}
	k.client = &messenger.Client{Address: to, Timeout: reportTimeout, Dial: l.agent.Certifier.Dial, OnNews: l.handlePush}
	k.token = l.supervisor.Add(k)
	return k
}

// disconnect ends a link, which its supervisor may have stopped already.
func (l *links) disconnect(a netip.AddrPort, k *link) {
	if err := l.supervisor.Remove(k.token); err != nil {
		klog.V(1).InfoS("Link not removed", "entry", a, "err", err)
	}
	delete(l.open, a)
}

// nextSequence numbers the agent's states, whichever way they are sent.
func (l *links) nextSequence() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	return l.sequence
}

// handlePush applies an unrequested update from an entry. It can carry a higher bundle but
// confirms no freshness: how long it lay in a socket is unknown.
func (l *links) handlePush(n messenger.Update) {
	l.applyUpdate(n)
	l.agent.updateHolds(context.Background())
	l.reportNow()
}

func (l *links) applyUpdate(n messenger.Update) {
	a := l.agent
	if n.Record != nil {
		if _, err := a.State.Offer(n.Record); err != nil {
			klog.ErrorS(err, "Bundle refused", "agent", a.ID)
		}
	}
	if n.Leaving {
		a.lastListed.set(a.Clock.Now())
	}
	l.recordEntries(n.Entries)
	if a.Loader != nil && n.Holders != nil {
		a.Loader.SetHolders(n.Holders)
	}
}

// applyAssignment applies the model and the permit that an entry gave. Only one entry
// counts for each: if every entry handed out its own permits, a quarter of the
// replicas for each of nine entries would switch at the same time.
func (l *links) applyAssignment(n messenger.Update, from netip.AddrPort) {
	a := l.agent
	if n.Assignment == "" {
		return
	}
	if l.homeEntry(domainKey(a.FailureDomain)) == from {
		a.switcher.assign(n.Assignment)
	}
	if l.homeEntry(modelKey(n.Assignment)) == from {
		a.switcher.permit(n.Assignment, n.Freshness.Revision, n.Switch)
	}
}

func domainKey(domain string) string { return "failureDomain " + domain }

func modelKey(model string) string { return "model " + model }

// homeEntry is the entry that decides a matter for all agents: the highest ranked for
// its name. While two agents have different lists of entries two may decide, which
// costs capacity at most.
func (l *links) homeEntry(name string) netip.AddrPort {
	l.mu.Lock()
	defer l.mu.Unlock()
	return highestRanked(name, l.knownEntries())
}

func highestRanked(name string, entries []messenger.EntryState) netip.AddrPort {
	first := router.ReportTo(name, "", entries, 1)
	if len(first) == 0 {
		return netip.AddrPort{}
	}
	return first[0].Peers
}

func (l *links) recordEntries(entries []messenger.EntryRef) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.agent.Clock.Now()
	for _, e := range entries {
		s := messenger.EntryState{ID: e.ID, FailureDomain: e.FailureDomain, Region: e.Region, Peers: e.Peers}
		l.known[e.ID] = knownEntry{state: s, lastSeen: now}
	}
}
