// Package entry implements the daemon that callers connect to. It has no
// persistent state: it gets the bundle from the store and from peers, the agents'
// states from their reports.
package entry

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/thejerf/suture/v4"
	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/certifier"
	"github.com/oriolecroft/oriolecroft/internal/dispatcher"
	"github.com/oriolecroft/oriolecroft/internal/gossiper"
	"github.com/oriolecroft/oriolecroft/internal/limiter"
	"github.com/oriolecroft/oriolecroft/internal/lister"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/receiver"
	"github.com/oriolecroft/oriolecroft/internal/reporter"
	"github.com/oriolecroft/oriolecroft/internal/roller"
	"github.com/oriolecroft/oriolecroft/internal/router"
	"github.com/oriolecroft/oriolecroft/internal/tracker"
)

// Entry is one entry process. Set the exported fields before Run.
type Entry struct {
	ID            string
	Incarnation   string
	FailureDomain string
	Region        string
	// Callers, Peers and Operators are the listeners for each of these clients.
	Callers, Peers, Operators net.Listener
	// Seeds are the peer addresses of some other entries.
	Seeds []netip.AddrPort
	// List is the platform's list of VMs; nil if there is none.
	List       lister.List
	State      *gossiper.State
	Watcher    *gossiper.Watcher
	Router     *router.Router
	Limiter    *limiter.Limiter
	Tracker    *tracker.Tracker
	Roller     *roller.Roller
	Dispatcher *dispatcher.Dispatcher
	Clock      clock.WithTicker
	// Certifier secures connections between processes; nil means plain ones.
	Certifier *certifier.Certifier
	// KeepFor is how long callers may cache the list of entries.
	KeepFor time.Duration
	// Heartbeat is the interval of exchanges between entries.
	Heartbeat time.Duration

	members     *members
	agents      *agents
	assignments *assignments
	requests    requestCounter
	callers     *reporter.Web
}

const (
	// listInterval is how often the list of VMs is read; it lags by seconds anyway.
	listInterval = time.Second
	// applyInterval is the maximum time until a new bundle is applied if no
	// change notification arrives.
	applyInterval = time.Second
)

// Run serves until the context ends, then drains: this entry is removed from the
// list for callers, and requests that still arrive or run are finished.
func (e *Entry) Run(ctx context.Context) error {
	e.members = newMembers(e)
	e.agents = newAgents()
	e.assignments = &assignments{clock: e.Clock, agents: e.Router.Agents, byDomain: map[string]domainAssignments{}}
	return reporter.RunUntil(ctx, e.services(), e.drain)
}

// services returns the supervisor of all services of the entry.
func (e *Entry) services() *suture.Supervisor {
	recv := &receiver.Receiver{Dispatcher: e.Dispatcher, Entries: e.callerEntries, KeepFor: e.KeepFor}
	s := suture.New("entry", suture.Spec{EventHook: reporter.LogEvents})
	e.callers = &reporter.Web{Name: "callers", Listener: e.Callers, Handler: e.requests.countRequests(recv.Handler()), Refuse: http.HandlerFunc(receiver.Refuse)}
	s.Add(e.callers)
	s.Add(&reporter.Web{Name: "operators", Listener: e.Certifier.Listen(e.Operators), Handler: e.operatorHandler()})
	s.Add(&messenger.Server{Listener: e.Certifier.Listen(e.Peers), OnReport: e.handleReport, OnExchange: e.handleExchange})
	s.Add(e.Watcher)
	s.Add(e.Dispatcher)
	s.Add(reporter.Every("members", e.Clock, e.Heartbeat, e.members.adjust))
	s.Add(e.members.supervisor)
	s.Add(&applier{entry: e})
	if e.Certifier != nil {
		s.Add(e.Certifier)
	}
	if e.List != nil {
		s.Add(reporter.Every("list", e.Clock, listInterval, e.refreshVMList))
	}
	return s
}

// drain removes the entry from the list for callers, waits until the lists cached by
// callers have expired, and then until the last request is done. Closing at once
// would disconnect callers that connect by a cached list.
func (e *Entry) drain(context.Context) {
	klog.InfoS("Leaving", "entry", e.ID)
	e.members.drain()
	// The other entries are notified at once, but a caller may have got its list from
	// one of them right before that.
	t := e.Clock.NewTimer(e.KeepFor + 2*e.Heartbeat)
	defer t.Stop()
	<-t.C()
	// Without an end of its context it returns no error.
	_ = e.callers.Drain(context.Background())
}

// applier applies each new bundle to the components that use it.
type applier struct {
	entry *Entry
}

// Serve runs until the context ends.
func (a *applier) Serve(ctx context.Context) error {
	t := a.entry.Clock.NewTicker(applyInterval)
	defer t.Stop()
	for {
		changed := a.entry.State.Changed()
		a.entry.applyBundle()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-t.C():
		}
	}
}

func (a *applier) String() string { return "applier" }

// applyBundle applies the bundle in force and pushes it to agents at once.
func (e *Entry) applyBundle() {
	b, r := e.State.Current()
	if b == nil {
		return
	}
	e.Router.SetBundle(b)
	e.Limiter.SetBundle(b)
	if !e.agents.advanceRevision(b.Revision) {
		return
	}
	klog.InfoS("Bundle in force", "entry", e.ID, "revision", b.Revision, "change", b.ChangeID, "digest", r.Digest())
	e.agents.pushUpdate(messenger.Update{Freshness: e.State.StatusUpdate(), Record: r}, e.notifyFilter())
	e.members.wakeLinks()
}

// notifyFilter returns the filter for the agents to which this entry pushes a new
// bundle: those for which it ranks first among the entries in use.
func (e *Entry) notifyFilter() func(messenger.AgentState) bool {
	entries := e.members.aliveEntries()
	return func(s messenger.AgentState) bool {
		first := router.ReportTo(s.ID, s.Region, entries, 1)
		return len(first) == 0 || first[0].ID == e.ID
	}
}

// refreshVMList applies the platform's list of VMs. As the list lags, it can only
// take an agent out of use; only an agent's reports prove that it is alive.
func (e *Entry) refreshVMList(ctx context.Context) {
	vms, err := e.List.VMs(ctx)
	if err != nil {
		klog.V(1).InfoS("Listing VMs failed", "entry", e.ID, "err", err)
		return
	}
	drainingAgents := map[string]bool{}
	drainingEntries := map[string]bool{}
	for _, v := range vms {
		switch {
		case v.Role == lister.RoleEntry && v.Leaving:
			drainingEntries[v.ID] = true
		case v.Role == lister.RoleEntry:
			e.members.addAddress(v.Address)
		case v.Leaving:
			drainingAgents[v.ID] = true
		}
	}
	e.agents.setDraining(drainingAgents)
	e.members.setListedDraining(drainingEntries)
}

// callerEntries lists the entries that callers may connect to: those that accept
// work, or all if none does. The order is random to spread callers.
func (e *Entry) callerEntries() []receiver.Entry {
	var serving, refusing []receiver.Entry
	for _, m := range e.members.aliveEntries() {
		candidate := receiver.Entry{Address: m.Callers, FailureDomain: m.FailureDomain, Region: m.Region}
		if m.Refusing {
			refusing = append(refusing, candidate)
		} else {
			serving = append(serving, candidate)
		}
	}
	if len(serving) == 0 {
		serving = refusing
	}
	shuffleEntries(serving)
	return serving
}

// readiness returns the reason why this entry accepts no new work; nil if it does.
func (e *Entry) readiness() error { return e.State.MayServe() }

// Entries returns the number of entries in use, at least one.
func (e *Entry) Entries() int { return e.members.aliveCount() }
