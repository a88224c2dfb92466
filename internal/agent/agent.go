// Package agent is the daemon beside each upstream. It is the only road to that
// upstream, so it alone counts exactly what runs there; it brings the weights
// that the bundle names into memory, orders the engine to load them, and opens
// its gate only to what it has proved.
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

// Agent is one agent process. Set the exported fields before Run.
type Agent struct {
	ID            string
	Incarnation   string
	FailureDomain string
	Region        string
	Listener      net.Listener
	// ForEngine serves whole weights to the engine, which knows no TLS of ours; nil
	// means that Listener does.
	ForEngine net.Listener
	// Certifier makes connections between our processes; nil means plain ones.
	Certifier *certifier.Certifier
	// Operators serves status, metrics and health; nil leaves it out.
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
	// ReportTo is how many entries are told.
	ReportTo int

	links    *links
	proof    *proof
	switcher *switcher
	streams  *streams
	// listed is when an entry last said that the platform lists this VM as leaving.
	listed  stamp
	digests *digests
	probing sync.Mutex
	// wrongWeights counts replies that were cut for it.
	wrongWeights metrics.Counter
}

// probeEvery is how often the upstream is asked for its state. It bounds how
// long a restart that cut no request goes unnoticed.
const probeEvery = 100 * time.Millisecond

// linger is how long a leaving agent stays after its last request, so that every
// entry has heard that it leaves before its address goes dead.
const linger = 500 * time.Millisecond

// Run serves until the context ends, then leaves: the gate closes, entries are
// told, and what runs is finished.
func (a *Agent) Run(ctx context.Context) error {
	a.Gate.Confirm = true
	a.links = newLinks(a)
	a.proof = &proof{}
	a.switcher = &switcher{agent: a}
	a.streams = newStreams(a)
	a.digests = &digests{loader: a.Loader}
	a.wrongWeights = metrics.NewCounter()
	return reporter.RunUntil(ctx, a.parts(), a.leave)
}

// parts are all that runs as long as the agent does.
func (a *Agent) parts() *suture.Supervisor {
	s := suture.New("agent", suture.Spec{EventHook: reporter.LogEvents})
	s.Add(&reporter.Web{Name: "requests", Listener: a.Certifier.Listen(a.Listener), Handler: a.handler()})
	if a.Operators != nil {
		s.Add(&reporter.Web{Name: "operators", Listener: a.Certifier.Listen(a.Operators), Handler: a.operators()})
	}
	if a.ForEngine != nil {
		s.Add(&reporter.Web{Name: "weights", Listener: a.ForEngine, Handler: a.Loader.Handler()})
	}
	if a.Certifier != nil {
		s.Add(a.Certifier)
	}
	s.Add(reporter.Every("holds", a.Clock, holdEvery, a.hold))
	s.Add(&prober{agent: a})
	s.Add(reporter.Every("links", a.Clock, a.Heartbeat, a.links.adjust))
	s.Add(a.links.each)
	if _, ok := a.Upstream.(*driver.Engine); ok {
		s.Add(a.Loader)
		s.Add(reporter.Every("weights", a.Clock, switchEvery, a.switcher.step))
	}
	return s
}

// leave closes the gate first and tells the entries next, so that what they send
// meanwhile is refused as not run; then what runs is finished, however long it
// takes: its deadlines bound it.
func (a *Agent) leave(ctx context.Context) {
	klog.InfoS("Leaving", "agent", a.ID)
	a.Gate.Close(admitter.Leaving)
	a.links.announce()
	if err := a.Gate.WaitIdle(ctx); err != nil {
		klog.ErrorS(err, "Leaving with work under way", "agent", a.ID)
	}
	t := a.Clock.NewTimer(linger)
	defer t.Stop()
	<-t.C()
}

func (a *Agent) handler() http.Handler {
	m := http.NewServeMux()
	m.Handle("/run/", forwarder.Handler(&runner{agent: a}))
	if a.Loader != nil {
		m.Handle("/", a.Loader.Handler())
	}
	return m
}

// proof is what the engine was last found to hold.
type proof struct {
	mu     sync.Mutex
	health driver.Health
	known  bool
}

func (p *proof) set(h driver.Health) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.health, p.known = h, true
}

func (p *proof) clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.health, p.known = driver.Health{}, false
}

// get gives the last finding; ok is false while the upstream does not answer.
func (p *proof) get() (h driver.Health, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.health, p.known
}

// probe asks the upstream for its state and tells the gate, one question at a time:
// an answer that came after one to a newer question would be taken for the newest,
// and have an engine loaded again that was only just loaded.
func (a *Agent) probe(ctx context.Context) {
	a.probing.Lock()
	defer a.probing.Unlock()
	mark := a.Gate.Mark()
	asked := a.Clock.Now()
	h, err := driver.Check(ctx, a.Upstream)
	a.Gate.Probe(admitter.Probe{
		Mark:     mark,
		Err:      err,
		Latency:  a.Clock.Since(asked),
		StartID:  h.StartID,
		Uptime:   h.Uptime,
		Cold:     h.Cold,
		Model:    h.Model,
		Version:  h.Version,
		Manifest: h.Manifest,
	})
	if err != nil {
		a.proof.clear()
		a.Gate.Close(admitter.UpstreamGone)
		return
	}
	a.proof.set(h)
	a.Gate.Open(admitter.UpstreamGone)
}

// state is the agent's account of itself.
func (a *Agent) state() messenger.AgentState {
	s := a.brief()
	if s.Kind == messenger.KindEngine {
		s.Holdings = a.Loader.Holdings()
	}
	return s
}

// brief is the account without what the agent holds of weights.
func (a *Agent) brief() messenger.AgentState {
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
	if h, ok := a.proof.get(); ok {
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
