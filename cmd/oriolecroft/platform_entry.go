package main

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"github.com/oriolecroft/oriolecroft/internal/acceptor"
	"github.com/oriolecroft/oriolecroft/internal/hoster"
	"github.com/oriolecroft/oriolecroft/internal/localizer"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/observer"
	"github.com/oriolecroft/oriolecroft/internal/propagator"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/relayer"
	"github.com/oriolecroft/oriolecroft/internal/retrier"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
	"github.com/oriolecroft/oriolecroft/internal/syncer"
	"github.com/oriolecroft/oriolecroft/platform"
)

const helpPlatformEntry = `
  Answers callers, the platform's checks, and those who ask which entry to use.

  Example:
    ORIOLECROFT_SETTINGS=/etc/oriolecroft/local.toml oriolecroft platform entry`

func platformEntryCommand() command {
	flags := newCommand("entry", "run an entry on the users' platform", helpPlatformEntry)
	return command{flags: flags, run: runPlatformEntry}
}

func runPlatformEntry(ctx context.Context) error {
	d, err := newDaemon("entry")
	if err != nil {
		return err
	}
	e, err := newPlatformEntry(d)
	if err != nil {
		return err
	}
	return e.run(ctx)
}

// platformEntry is the daemon of an entry with its hoster.
type platformEntry struct {
	*daemon
	hoster   *hoster.Hoster
	serveErr chan error
}

func newPlatformEntry(d *daemon) (*platformEntry, error) {
	s := d.settings
	chooser := &scheduler.Chooser{Clock: d.clock, Random: newRandom(), Sharers: func() int { return len(d.memberIDs()) }}
	d.observer = &observer.Observer{Clock: d.clock, Metrics: d.metrics}
	d.localizer = &localizer.Localizer{Entry: s.Name, Clock: d.ageClock, WallClock: d.clock, Metrics: d.metrics, Members: d.memberIDs}
	placer := &relayer.Placer{
		Registrar: d.registrar, Chooser: chooser, Observer: d.observer, Clock: d.clock,
		FailureDomain: s.FailureDomain, Region: s.Region, Regions: s.Regions,
		AgentPort: d.internalPort(reservePortOffset), Agents: &messenger.Clients{Dial: dialPeer, Timeout: relayer.ReserveTimeout}, WeightsBound: s.Bounds.Weights,
		ColdFactor: s.Bounds.ColdFactor, ColdSlack: s.Bounds.ColdSlack, Metrics: d.metrics,
	}
	openedConnections := metrics.GetOrRegisterCounter("upstreamConnections", d.metrics)
	pool := &relayer.Pool{Clock: d.ageClock, Stalls: d.stalls, Opened: func() { openedConnections.Inc(1) }}
	relay := &relayer.Relayer{
		Registrar: d.registrar, Placer: placer, Chooser: chooser, Pool: pool, Codec: platform.Headers{},
		Localizer: d.localizer,
		Prober:    &relayer.NetworkProber{},
		Liveness:  platform.Liveness{},
		Budgets:   &retrier.Budgets{New: func() *retrier.Budget { return retryBudget(s.Bounds, d) }}, Clock: d.clock, Started: d.clock.Now(), Random: newRandom(), Metrics: d.metrics,
		Memory: d.limits,
	}
	member := registrar.Member{
		ID: s.Name, Incarnation: uuid.NewString(), FailureDomain: s.FailureDomain, Region: s.Region,
		Callers: s.Callers, Peers: s.Peers,
	}
	e := &platformEntry{daemon: d, serveErr: make(chan error, 1)}
	e.hoster = &hoster.Hoster{
		Registrar: d.registrar, Clock: d.ageClock, Grace: s.Bounds.Grace, Stalls: d.stalls,
		Registration: &syncer.Registration{Store: d.store, Member: member, Clock: d.ageClock, LeastLease: s.Store.LeastLease},
		Requests:     relay,
	}
	e.hoster.Registration.Ready = e.hoster.Ready
	placer.Shutdown = e.hoster
	d.supervisor.Add(e.hoster.Registration)
	d.supervisor.Add(&syncer.Syncer{
		ID: s.Name, Entry: true, Region: s.Region, Registrar: d.registrar, Store: d.store,
		Seeds: addressesExcept(s.Seeds, s.Peers), Seed: slices.Contains(s.Seeds, s.Peers), Peers: s.Peers, Dial: dialPeer, Clock: d.ageClock, Random: newRandom(), Metrics: d.metrics,
	})
	evidence := &propagator.Propagator{
		Localizer: d.localizer, Registrar: d.registrar, Member: member, Seeds: addressesExcept(s.Seeds, s.Peers), Dial: dialPeer, Store: d.store, Clock: d.clock,
	}
	relay.BlamesSynced = evidence.Synced
	d.supervisor.Add(evidence)
	d.addTicks(pool.Sweep, placer.Sweep, placer.UpdateRampGauges, relay.CheckCutRequests)
	return e, e.listenAll()
}

// memberIDs returns the IDs of all known entries.
func (d *daemon) memberIDs() []string {
	var names []string
	if v := d.registrar.View(); v != nil {
		for _, m := range v.Members {
			names = append(names, m.ID)
		}
	}
	return names
}

// retryBudget returns an entry's share of the attempts that all entries may send to a service beyond first ones.
func retryBudget(b platform.Bounds, d *daemon) *retrier.Budget {
	bound := retrier.Bound{Ratio: b.RetryRatio, Slack: b.RetrySlack, Window: b.RetryWindow}
	return bound.Budget(d.clock, func() int {
		if v := d.registrar.View(); v != nil {
			return len(v.Members)
		}
		return 0
	})
}

// addressesExcept returns the addresses other than the process's own.
func addressesExcept(as []netip.AddrPort, own netip.AddrPort) []netip.AddrPort {
	var remaining []netip.AddrPort
	for _, a := range as {
		if a != own {
			remaining = append(remaining, a)
		}
	}
	return remaining
}

// peersShare is the share of the limits for messages. Most processes of a region may wait for updates at one entry.
const peersShare = 0.5

// listenAll opens all listeners, so that a port in use is reported at the start.
func (e *platformEntry) listenAll() error {
	s := e.settings
	var listeners [4]*acceptor.Listener
	for i, a := range []netip.AddrPort{s.Callers, s.Ready, s.Directory, s.Peers} {
		l, err := e.listen(a)
		if err != nil {
			return err
		}
		listeners[i] = l
	}
	e.hoster.Callers = listeners[0]
	listeners[3].Share = peersShare
	e.supervisor.Add(newWebService("ready", listeners[1], platform.Ready(e.hoster.Ready)))
	e.supervisor.Add(newWebService("directory", listeners[2], platform.Directory(e.registrar)))
	e.supervisor.Add(&messenger.Server{Listener: listeners[3], OnRecords: syncer.RecordsHandler(e.registrar, e.ageClock), OnEvidence: e.localizer.Handle})
	return e.serveMetrics(func() any { return e.status(e.readiness) }, e.readiness)
}

func (e *platformEntry) readiness() error {
	if e.hoster.Draining() {
		return &UnreadyError{Why: "leaving"}
	}
	return e.daemon.readiness()
}

func (e *platformEntry) run(ctx context.Context) error {
	go func() { e.serveErr <- e.hoster.Run(ctx) }()
	return e.daemon.run(ctx, func(context.Context) {
		if err := <-e.serveErr; err != nil {
			klog.ErrorS(err, "Callers' listener failed")
		}
		// The last answers may still be in the kernel's buffers. A process that stalls repeatedly may not run again before the kill.
		if e.stalls.Recurring() == 0 {
			time.Sleep(lastWritesDelay)
		}
	})
}

// lastWritesDelay is the time for the last answers to be sent.
const lastWritesDelay = 50 * time.Millisecond
