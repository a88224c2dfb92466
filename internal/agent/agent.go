// Package agent implements the daemon beside each upstream. All requests to the
// upstream pass through it, so its count of running requests is exact. It loads
// the weights that the bundle names into memory, orders the engine to load them,
// and opens its gate only for what the engine is proved to hold.
package agent

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/thejerf/suture/v4"
	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/admitter"
	"github.com/oriolecroft/oriolecroft/internal/certifier"
	"github.com/oriolecroft/oriolecroft/internal/deduplicator"
	"github.com/oriolecroft/oriolecroft/internal/driver"
	"github.com/oriolecroft/oriolecroft/internal/forwarder"
	"github.com/oriolecroft/oriolecroft/internal/gossiper"
	"github.com/oriolecroft/oriolecroft/internal/loader"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/reporter"
)

// Agent is one agent process. Its exported fields are set before Run.
type Agent struct {
	ID            string
	Incarnation   string
	FailureDomain string
	Region        string
	Listener      net.Listener
	// ForEngine serves whole weights to the engine, which does not support our TLS;
	// if nil, Listener serves them.
	ForEngine net.Listener
	// Certifier secures connections between our processes; nil means plain ones.
	Certifier *certifier.Certifier
	// Operators serves status, metrics and health; if nil, they are not served.
	Operators net.Listener
	// Seeds are the peer addresses of some entries.
	Seeds []netip.AddrPort
	// Upstream is an engine or a plain service.
	Upstream driver.Upstream
	// Service is the plain service's name.
	Service string
	Loader  *loader.Loader
	State   *gossiper.State
	Gate    *admitter.Gate
	Ledger  *deduplicator.Ledger
	Clock   clock.WithTickerAndDelayedExecution
	// Heartbeat is the longest time between two reports to an entry.
	Heartbeat time.Duration
	// ReportTo is how many entries receive reports.
	ReportTo int
	// Metrics has other metrics of the process; nil for none.
	Metrics metrics.Registry

	links    *links
	health   *healthRecord
	switcher *switcher
	streams  *streams
	// lastListed is when an entry last reported that the platform lists this VM as leaving.
	lastListed atomicTime
	digests    *digests
	probeMu    sync.Mutex
	// wrongWeights counts replies cut for wrong weights.
	wrongWeights metrics.Counter
	requests     *reporter.Web
}

// probeInterval is the time between probes of the upstream's state. It bounds how
// long a restart that cut no request stays undetected.
const probeInterval = 100 * time.Millisecond

// shutdownLinger is how long an agent stays up after its last request, so that
// its shutdown reaches every entry before its address stops answering.
const shutdownLinger = 500 * time.Millisecond

// refusalTimeout bounds the time for refusing the requests that arrive as the agent stops.
const refusalTimeout = 2 * time.Second

// Run serves until the context ends, then closes the gate, notifies the entries and
// finishes the running requests.
func (a *Agent) Run(ctx context.Context) error {
	a.Gate.Confirm = true
	a.links = newLinks(a)
	a.health = &healthRecord{}
	a.switcher = &switcher{agent: a}
	a.streams = newStreams(a)
	a.digests = &digests{loader: a.Loader}
	a.wrongWeights = metrics.NewCounter()
	return reporter.RunUntil(ctx, a.newSupervisor(), a.shutDown)
}

// newSupervisor returns a supervisor of all parts of the agent.
func (a *Agent) newSupervisor() *suture.Supervisor {
	s := suture.New("agent", suture.Spec{EventHook: reporter.LogEvents})
	a.requests = &reporter.Web{Name: "requests", Listener: a.Certifier.Listen(a.Listener), Handler: a.requestHandler()}
	s.Add(a.requests)
	if a.Operators != nil {
		s.Add(&reporter.Web{Name: "operators", Listener: a.Certifier.Listen(a.Operators), Handler: a.operatorHandler()})
	}
	if a.ForEngine != nil {
		s.Add(&reporter.Web{Name: "weights", Listener: a.ForEngine, Handler: a.Loader.Handler()})
	}
	if a.Certifier != nil {
		s.Add(a.Certifier)
	}
	s.Add(reporter.Every("holds", a.Clock, holdInterval, a.updateHolds))
	s.Add(&prober{agent: a})
	s.Add(reporter.Every("links", a.Clock, a.Heartbeat, a.links.reconcile))
	s.Add(a.links.supervisor)
	if _, ok := a.Upstream.(*driver.Engine); ok {
		s.Add(a.Loader)
		s.Add(reporter.Every("weights", a.Clock, switchInterval, a.switcher.step))
	}
	return s
}

// shutDown closes the gate before it notifies the entries, so that requests sent
// meanwhile are refused as not run. Running requests are then finished, within
// their deadlines.
func (a *Agent) shutDown(ctx context.Context) {
	klog.InfoS("Leaving", "agent", a.ID)
	a.Gate.Close(admitter.Leaving)
	a.links.reportNow()
	if err := a.Gate.WaitIdle(ctx); err != nil {
		klog.ErrorS(err, "Shutdown with running requests", "agent", a.ID)
	}
	t := a.Clock.NewTimer(shutdownLinger)
	defer t.Stop()
	<-t.C()
	refusal, cancel := context.WithTimeout(ctx, refusalTimeout)
	defer cancel()
	if err := a.requests.Drain(refusal); err != nil {
		klog.ErrorS(err, "Shutdown with open connections", "agent", a.ID)
	}
}

func (a *Agent) requestHandler() http.Handler {
	m := http.NewServeMux()
	m.Handle("/run/", forwarder.Handler(&runner{agent: a}))
	if a.Loader != nil {
		m.Handle("/", a.Loader.Handler())
	}
	return m
}

// healthRecord holds the last result of probing the upstream.
type healthRecord struct {
	mu     sync.Mutex
	health driver.Health
	known  bool
}

func (r *healthRecord) set(h driver.Health) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.health, r.known = h, true
}

func (r *healthRecord) clear() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.health, r.known = driver.Health{}, false
}

// get returns the last result; ok is false while the upstream does not answer.
func (r *healthRecord) get() (h driver.Health, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.health, r.known
}

// probe queries the upstream's state and passes it to the gate, one query at a time:
// a late answer to an older query would count as the newest, and cause an engine
// that was just loaded to be loaded again.
func (a *Agent) probe(ctx context.Context) {
	a.probeMu.Lock()
	defer a.probeMu.Unlock()
	mark := a.Gate.Mark()
	startedAt := a.Clock.Now()
	h, err := driver.Check(ctx, a.Upstream)
	a.Gate.Probe(admitter.Probe{
		Mark:     mark,
		Err:      err,
		Latency:  a.Clock.Since(startedAt),
		StartID:  h.StartID,
		Uptime:   h.Uptime,
		Cold:     h.Cold,
		Model:    h.Model,
		Version:  h.Version,
		Manifest: h.Manifest,
	})
	if err != nil {
		a.health.clear()
		a.Gate.Close(admitter.UpstreamGone)
		return
	}
	a.health.set(h)
	a.Gate.Open(admitter.UpstreamGone)
}

// state returns the agent's state for reports.
func (a *Agent) state() messenger.AgentState {
	s := a.stateWithoutHoldings()
	if s.Kind == messenger.KindEngine {
		s.Holdings = a.Loader.Holdings()
	}
	return s
}

// stateWithoutHoldings returns the state without the weights held.
func (a *Agent) stateWithoutHoldings() messenger.AgentState {
	gate, limit, running := a.Gate.State()
	w := a.State.StatusUpdate()
	s := messenger.AgentState{
		ID:            a.ID,
		Incarnation:   a.Incarnation,
		FailureDomain: a.FailureDomain,
		Region:        a.Region,
		Kind:          messenger.KindService,
		Service:       a.Service,
		Address:       addressOf(a.Listener),
		Gate:          gate,
		Limit:         limit,
		Running:       running,
		Leaving:       a.leaving(),
		Revision:      w.Revision,
		Digest:        w.Digest,
	}
	if _, ok := a.Upstream.(*driver.Engine); ok {
		s.Kind = messenger.KindEngine
	}
	if h, ok := a.health.get(); ok {
		s.Model, s.Version, s.Manifest, s.EngineStart = h.Model, h.Version, h.Manifest, h.StartID
		s.Adapters, s.AdapterManifests = adapters(h)
	}
	return s
}

func (a *Agent) leaving() bool {
	for _, r := range a.Gate.Holds() {
		if r == admitter.Leaving || r == admitter.ListedLeaving {
			return true
		}
	}
	return false
}

func addressOf(l net.Listener) netip.AddrPort {
	a, err := netip.ParseAddrPort(l.Addr().String())
	if err != nil {
		return netip.AddrPort{}
	}
	return a
}
