package main

import (
	"context"
	"net/http"
	"net/netip"
	"runtime/debug"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"github.com/oriolecroft/oriolecroft/internal/connector"
	"github.com/oriolecroft/oriolecroft/internal/fetcher"
	"github.com/oriolecroft/oriolecroft/internal/granter"
	"github.com/oriolecroft/oriolecroft/internal/loader"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
	"github.com/oriolecroft/oriolecroft/internal/stager"
	"github.com/oriolecroft/oriolecroft/internal/surveyor"
	"github.com/oriolecroft/oriolecroft/internal/syncer"
	"github.com/oriolecroft/oriolecroft/platform"
)

const helpPlatformAgent = `
  Looks after the model engine on the same VM: brings weights into it, and grants
  places to the entries' requests.

  Example:
    ORIOLECROFT_SETTINGS=/etc/oriolecroft/local.toml oriolecroft platform agent`

const (
	// agentGCPercent is the growth of an agent's heap between two collections, in percent. Go's
	// default of 100 keeps as much garbage as there are weights and records; at 20 an agent takes
	// 19 MB instead of 29 at its peak.
	agentGCPercent = 20
	// agentWeightsMemory limits the weights in memory, in bytes: a third of the smallest VM's memory.
	agentWeightsMemory = 48 << 20
	// chunkWaitLimit is how long a chunk is left to the agent that should fetch it, and
	// how long a fetch may take before another source is tried: a dozen times the
	// transfer time of a chunk on an agent's link.
	chunkWaitLimit = 500 * time.Millisecond
	// uploadShare is the share of the VM's link for uploads of chunks to other agents, without
	// headers: the engine's replies and requests for slots and holdings use the same link. With
	// more, the link's queue grows for as long as weights spread, and delays chunks for other
	// regions and the events of replies.
	uploadShare = 0.88
	// polledPeers is how many peers of the agent's region, and of others, are polled at once for
	// their holdings. Requests for chunks report the rest; with every peer polled, answers fill the
	// links of the origin fetchers of a large region.
	polledPeers = 4
	// linkUploadBurst is how many bytes are sent at once; on the slowest links that
	// takes 10 ms.
	linkUploadBurst = 8 << 10
	// chunkSlots is how many chunks an agent fetches at once. One in transfer while
	// another is requested keeps the link busy; any more only wait in its queue.
	chunkSlots = 3
	// originSlots is how many of these may be fetched from the origin. No other agent
	// has the chunks that an agent should fetch there, so the origin's link must not
	// idle between requests.
	originSlots = 2
	// chunkSettleDelay is the wait for reports of other agents before the origin is asked. They
	// are known from the store's records, so it is the least (0 means the loader's default): with
	// 60 ms the fetch would wait for the next check of the records, up to 150 ms later.
	chunkSettleDelay = time.Nanosecond
	// originBackoff is the longest backoff after the origin did not answer: a refused
	// call costs next to nothing, and recovery is detected within that time.
	originBackoff = 300 * time.Millisecond
)

func platformAgentCommand() command {
	flags := newCommand("agent", "run an agent on the users' platform", helpPlatformAgent)
	return command{flags: flags, run: runPlatformAgent}
}

func runPlatformAgent(ctx context.Context) error {
	debug.SetGCPercent(agentGCPercent)
	d, err := newDaemon("agent")
	if err != nil {
		return err
	}
	if err := addAgent(d); err != nil {
		return err
	}
	return d.run(ctx, func(context.Context) {})
}

// addAgent adds the services of an agent.
func addAgent(d *daemon) error {
	s := d.settings
	transport := connector.NewTransport(connector.DialContext)
	transport.MaxIdleConnsPerHost, transport.IdleConnTimeout = 4, 10*time.Second
	client := connector.NewClient(transport)
	digester := &stager.Digester{Client: client, Upload: newLinkLimiter(s.LinkRate)}
	ledger := &scheduler.Ledger{Clock: d.ageClock, ColdFactor: s.Bounds.ColdFactor, ColdSlack: s.Bounds.ColdSlack}
	l := &loader.Loader{
		ID: s.Upstream.String(), FailureDomain: s.FailureDomain, Region: s.Region, Clock: d.clock,
		Sources: []fetcher.Source{digester}, Memory: agentWeightsMemory,
		Peer: func(a netip.AddrPort) fetcher.Source {
			return &fetcher.HTTP{Address: a, Timeout: chunkTimeout, Client: client, Region: s.Region}
		},
		Slots: chunkSlots, Questions: polledPeers, OriginSlots: originSlots, Upload: newLinkLimiter(s.LinkRate), Patience: chunkWaitLimit, Settle: chunkSettleDelay, Poll: holdingsPollInterval, OriginBackoff: originBackoff,
	}
	st := &stager.Stager{
		ID: s.Name, Service: s.Service, Address: s.Upstream, Region: s.Region, Regions: s.Regions,
		Registrar: d.registrar, Loader: l, Ledger: ledger, Engine: platform.NewEngine(s.Upstream),
		Origin:    func(a netip.AddrPort) stager.Origin { return platform.NewOrigin(a) },
		ChunkPort: d.internalPort(chunkPortOffset), Bound: s.Bounds.Weights, Clock: d.ageClock, Digests: digester,
	}
	ledger.Expiry = st.Expiry
	d.supervisor.Add(l)
	d.supervisor.Add(st)
	d.supervisor.Add(&syncer.Syncer{
		ID: s.Name, Region: s.Region, Registrar: d.registrar, Store: d.store,
		Seeds: s.Seeds, Dial: dialPeer, Clock: d.ageClock, Random: newRandom(), Metrics: d.metrics,
	})
	ramping := metrics.GetOrRegisterGauge("ramping."+s.Service, d.metrics)
	d.addTicks(func() { ramping.Update(boolToInt(ledger.Ramping())) })
	g := &granter.Granter{Ledger: ledger, Holds: st.HeldVersion, EngineStart: st.EngineStart, Confirmation: d.registrar.Confirmation, Poll: st.Poll, Clock: d.clock, Metrics: d.metrics}
	if err := addAgentListeners(d, l, digester, g); err != nil {
		return err
	}
	return d.serveMetrics(func() any {
		status := d.status(d.readiness)
		model, held, closed := st.Gate()
		status.Engine = &surveyor.Engine{Model: model, Held: held, Closed: closed}
		return status
	}, d.readiness)
}

// boolToInt returns 1 for true and 0 for false.
func boolToInt(value bool) int64 {
	if value {
		return 1
	}
	return 0
}

// newLinkLimiter limits the rate of uploads to other agents; it is nil if the link's rate isn't known.
func newLinkLimiter(bytesPerSecond int64) *rate.Limiter {
	if bytesPerSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(uploadShare*float64(bytesPerSecond)), linkUploadBurst)
}

func addAgentListeners(d *daemon, l *loader.Loader, digester *stager.Digester, g *granter.Granter) error {
	reserveListener, err := d.listen(netip.AddrPortFrom(d.settings.IP, d.internalPort(reservePortOffset)))
	if err != nil {
		return err
	}
	chunkListener, err := d.listen(netip.AddrPortFrom(d.settings.IP, d.internalPort(chunkPortOffset)))
	if err != nil {
		return err
	}
	reserveListener.Share, chunkListener.Share = mainShare, mainShare
	mux := http.NewServeMux()
	mux.Handle("/", l.Handler())
	mux.Handle(stager.VersionsPath, digester.Handler())
	d.supervisor.Add(newWebService("chunks", chunkListener, mux))
	d.supervisor.Add(&messenger.Server{Listener: reserveListener, OnReserve: g.Reserve, OnProgress: g.Progress, OnLost: g.Lost})
	return nil
}
