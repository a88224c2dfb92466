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
	// agentHeapGrowth is by how many percent an agent's heap grows between two collections. Go's
	// own 100 keeps as much garbage as there are weights and records; at 20 an agent takes 19 MB
	// instead of 29 at its peak.
	agentHeapGrowth = 20
	// agentMemory bounds the weights in memory, in bytes: a third of the smallest VM's.
	agentMemory = 48 << 20
	// chunkPatience is how long a chunk is left to the agent that should bring it, and
	// how long a fetch may run before another source is asked: a dozen times what a
	// chunk takes on an agent's link.
	chunkPatience = 500 * time.Millisecond
	// uploadShare is the part of the VM's link that chunks for other agents may take, headers
	// not counted: the engine's replies, the questions for places and those for holdings share it.
	// With more, the link's queue grows for as long as weights spread, and chunks for other
	// regions and the events of replies wait in it.
	uploadShare = 0.88
	// chunkQuestions is how many peers of the own region, and of others, are asked at once what they
	// hold. Requests for chunks report the rest; with every peer asked, answers fill the links of
	// the origin fetchers of a large region.
	chunkQuestions = 4
	// uploadPieces is how many bytes go out at once; on the slowest links that is a
	// hundredth of a second.
	uploadPieces = 8 << 10
	// chunkSlots is how many chunks an agent fetches at once. One on the way while
	// another is asked for keeps the link busy; each more only waits in its queue.
	chunkSlots = 3
	// originSlots is how many of these may be drawn from the origin: nobody else has
	// what an agent is to draw, so the origin's link must not stand idle for want of
	// asking.
	originSlots = 2
	// chunkSettle is the wait for news of the other agents before the origin is asked. They
	// are known from the store's records, so there is none: with 60 ms the next look at the
	// records, up to 150 ms later, had to be waited for.
	chunkSettle = time.Nanosecond
	// originBackoff is the longest pause after the origin did not answer: a refused
	// call costs next to nothing, and its return is then noticed within that time.
	originBackoff = 300 * time.Millisecond
)

func platformAgentCommand() command {
	flags := newCommand("agent", "run an agent on the users' platform", helpPlatformAgent)
	return command{flags: flags, run: runPlatformAgent}
}

func runPlatformAgent(ctx context.Context) error {
	debug.SetGCPercent(agentHeapGrowth)
	d, err := newDaemon("agent")
	if err != nil {
		return err
	}
	if err := addAgent(d); err != nil {
		return err
	}
	return d.run(ctx, func(context.Context) {})
}

// addAgent adds the parts of an agent.
func addAgent(d *daemon) error {
	s := d.settings
	transport := connector.NewTransport(connector.DialContext)
	transport.MaxIdleConnsPerHost, transport.IdleConnTimeout = 4, 10*time.Second
	client := &http.Client{Transport: transport}
	digests := &stager.Digester{Client: client, Upload: linkLimit(s.LinkRate)}
	ledger := &scheduler.Ledger{Clock: d.ages, ColdFactor: s.Bounds.ColdFactor, ColdSlack: s.Bounds.ColdSlack}
	l := &loader.Loader{
		ID: s.Upstream.String(), FailureDomain: s.FailureDomain, Region: s.Region, Clock: d.clock,
		Sources: []fetcher.Source{digests}, Memory: agentMemory,
		Peer: func(a netip.AddrPort) fetcher.Source {
			return &fetcher.HTTP{Address: a, Timeout: chunkTimeout, Client: client, Region: s.Region}
		},
		Slots: chunkSlots, Questions: chunkQuestions, OriginSlots: originSlots, Upload: linkLimit(s.LinkRate), Patience: chunkPatience, Settle: chunkSettle, Poll: poll, OriginBackoff: originBackoff,
	}
	st := &stager.Stager{
		ID: s.Name, Service: s.Service, Address: s.Upstream, Region: s.Region, Regions: s.Regions,
		Registrar: d.registrar, Loader: l, Ledger: ledger, Engine: platform.NewEngine(s.Upstream),
		Origin:    func(a netip.AddrPort) stager.Origin { return platform.NewOrigin(a) },
		ChunkPort: d.internalPort(chunkPort), Bound: s.Bounds.Weights, Clock: d.ages, Digests: digests,
	}
	ledger.Expiry = st.Expiry
	d.parts.Add(l)
	d.parts.Add(st)
	d.parts.Add(&syncer.Syncer{
		ID: s.Name, Region: s.Region, Registrar: d.registrar, Store: d.store,
		Seeds: s.Seeds, Dial: dialPeer, Clock: d.ages, Random: newRandom(), Metrics: d.metrics,
	})
	ramping := metrics.GetOrRegisterGauge("ramping."+s.Service, d.metrics)
	d.tick(func() { ramping.Update(count(ledger.Ramping())) })
	g := &granter.Granter{Ledger: ledger, Holds: st.HeldVersion, EngineStart: st.EngineStart, Poll: st.Poll, Clock: d.clock, Metrics: d.metrics}
	if err := addAgentListeners(d, l, digests, g); err != nil {
		return err
	}
	return d.serveMetrics(func() any {
		status := d.status(d.readiness)
		model, held, closed := st.Gate()
		status.Engine = &surveyor.Engine{Model: model, Held: held, Closed: closed}
		return status
	}, d.readiness)
}

// count is one for what is so.
func count(is bool) int64 {
	if is {
		return 1
	}
	return 0
}

// linkLimit paces what is sent to other agents; nil when the link's rate isn't known.
func linkLimit(link int64) *rate.Limiter {
	if link <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(uploadShare*float64(link)), uploadPieces)
}

func addAgentListeners(d *daemon, l *loader.Loader, digests *stager.Digester, g *granter.Granter) error {
	places, err := d.listen(netip.AddrPortFrom(d.settings.IP, d.internalPort(reservePort)))
	if err != nil {
		return err
	}
	chunks, err := d.listen(netip.AddrPortFrom(d.settings.IP, d.internalPort(chunkPort)))
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("/", l.Handler())
	mux.Handle(stager.VersionsPath, digests.Handler())
	d.parts.Add(web("chunks", chunks, mux))
	d.parts.Add(&messenger.Server{Listener: places, OnReserve: g.Reserve, OnProgress: g.Progress, OnLost: g.Lost})
	return nil
}
