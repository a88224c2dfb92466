// Package entry is the daemon that callers connect to. It keeps nothing that
// must last: the bundle is relearned from the store and from peers, the agents
// from their reports.
package entry

import (
	"context"
	"net"
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
	// Callers, Peers and Operators are where each connects.
	Callers, Peers, Operators net.Listener
	// Seeds are the peer addresses of some other entries.
	Seeds []netip.AddrPort
	// List is the platform's list of VMs; nil when there is none.
	List       lister.List
	State      *gossiper.State
	Watcher    *gossiper.Watcher
	Router     *router.Router
	Limiter    *limiter.Limiter
	Tracker    *tracker.Tracker
	Roller     *roller.Roller
	Dispatcher *dispatcher.Dispatcher
	Clock      clock.WithTicker
	// Certifier makes connections between our processes; nil means plain ones.
	Certifier *certifier.Certifier
	// KeepFor is how long callers may keep the list of entries.
	KeepFor time.Duration
	// Heartbeat is how often entries exchange what they know.
	Heartbeat time.Duration

	members *members
	agents  *agents
	places  *places
	running running
}

const (
	// listEvery is how often the list of VMs is read; it lags by seconds anyhow.
	listEvery = time.Second
	// applyEvery is the longest time until a new bundle reaches the deciding
	// parts when no change wakes them.
	applyEvery = time.Second
)

// Run serves until the context ends, then leaves: callers are no longer told of
// this entry, and what still comes and runs is finished.
func (e *Entry) Run(ctx context.Context) error {
	e.members = newMembers(e)
	e.agents = newAgents()
	e.places = &places{clock: e.Clock, agents: e.Router.Agents, byDomain: map[string]division{}}
	return reporter.RunUntil(ctx, e.parts(), e.leave)
}

// parts are all that runs as long as the entry does.
func (e *Entry) parts() *suture.Supervisor {
	receive := &receiver.Receiver{Dispatcher: e.Dispatcher, Entries: e.callerEntries, KeepFor: e.KeepFor}
	s := suture.New("entry", suture.Spec{EventHook: reporter.LogEvents})
	s.Add(&reporter.Web{Name: "callers", Listener: e.Callers, Handler: e.running.count(receive.Handler())})
	s.Add(&reporter.Web{Name: "operators", Listener: e.Certifier.Listen(e.Operators), Handler: e.operators()})
	s.Add(&messenger.Server{Listener: e.Certifier.Listen(e.Peers), OnReport: e.report, OnExchange: e.exchange})
	s.Add(e.Watcher)
	s.Add(e.Dispatcher)
	s.Add(reporter.Every("members", e.Clock, e.Heartbeat, e.members.adjust))
	s.Add(e.members.each)
	s.Add(&applier{entry: e})
	if e.Certifier != nil {
		s.Add(e.Certifier)
	}
	if e.List != nil {
		s.Add(reporter.Every("list", e.Clock, listEvery, e.readList))
	}
	return s
}

// leave takes the entry out of the list that callers get, waits until the lists
// that callers kept have run out, and then until the last request is done.
// Closing at once would cut those who connect by an answer they kept.
func (e *Entry) leave(context.Context) {
	klog.InfoS("Leaving", "entry", e.ID)
	e.members.leave()
	// All others are told at once, and a caller may have asked one of them right
	// before that.
	t := e.Clock.NewTimer(e.KeepFor + 2*e.Heartbeat)
	defer t.Stop()
	<-t.C()
	e.running.wait()
}

// applier hands each new bundle to the parts that decide by it.
type applier struct {
	entry *Entry
}

// Serve runs until the context ends.
func (a *applier) Serve(ctx context.Context) error {
	t := a.entry.Clock.NewTicker(applyEvery)
	defer t.Stop()
	for {
		changed := a.entry.State.Changed()
		a.entry.apply()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-t.C():
		}
	}
}

func (a *applier) String() string { return "applier" }

// apply puts the bundle in force into effect and tells the agents at once.
func (e *Entry) apply() {
	b, r := e.State.Current()
	if b == nil {
		return
	}
	e.Router.SetBundle(b)
	e.Limiter.SetBundle(b)
	if !e.agents.bring(b.Revision) {
		return
	}
	klog.InfoS("Bundle in force", "entry", e.ID, "revision", b.Revision, "change", b.ChangeID, "digest", r.Digest())
	e.agents.push(messenger.Update{Freshness: e.State.Word(), Record: r}, e.tells())
	e.members.wake()
}

// tells gives the rule by which this entry is the one to tell an agent of a new
// bundle: it ranks first among the entries in use.
func (e *Entry) tells() func(messenger.AgentState) bool {
	entries := e.members.alive()
	return func(s messenger.AgentState) bool {
		first := router.ReportTo(s.ID, s.Region, entries, 1)
		return len(first) == 0 || first[0].ID == e.ID
	}
}

// readList takes over what the platform says of VMs. The list lags, so that it
// can only take an agent out of use; that one lives is proved by its reports.
func (e *Entry) readList(ctx context.Context) {
	vms, err := e.List.VMs(ctx)
	if err != nil {
		klog.V(1).InfoS("List of VMs failed", "entry", e.ID, "err", err)
		return
	}
	leaving := map[string]bool{}
	entries := map[string]bool{}
	for _, v := range vms {
		switch {
		case v.Role == lister.RoleEntry && v.Leaving:
			entries[v.ID] = true
		case v.Role == lister.RoleEntry:
			e.members.mention(v.Address)
		case v.Leaving:
			leaving[v.ID] = true
		}
	}
	e.agents.setLeaving(leaving)
	e.members.setListed(entries)
}

// callerEntries lists where callers may connect: the entries that take work, or
// all if none does. Each caller gets another order, so that callers spread.
func (e *Entry) callerEntries() []receiver.Entry {
	var serving, refusing []receiver.Entry
	for _, m := range e.members.alive() {
		at := receiver.Entry{Address: m.Callers, FailureDomain: m.FailureDomain, Region: m.Region}
		if m.Refusing {
			refusing = append(refusing, at)
		} else {
			serving = append(serving, at)
		}
	}
	if len(serving) == 0 {
		serving = refusing
	}
	shuffle(serving)
	return serving
}

// ready is why this entry takes no new work; nil when it does.
func (e *Entry) ready() error { return e.State.MayServe() }

// Entries is how many entries are in use, at least one.
func (e *Entry) Entries() int { return e.members.count() }
