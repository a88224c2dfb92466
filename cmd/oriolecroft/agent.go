package main

import (
	"context"
	"net/netip"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"
	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/acceptor"
	"github.com/oriolecroft/oriolecroft/internal/admitter"
	"github.com/oriolecroft/oriolecroft/internal/agent"
	"github.com/oriolecroft/oriolecroft/internal/certifier"
	"github.com/oriolecroft/oriolecroft/internal/configurer"
	"github.com/oriolecroft/oriolecroft/internal/connector"
	"github.com/oriolecroft/oriolecroft/internal/deduplicator"
	"github.com/oriolecroft/oriolecroft/internal/driver"
	"github.com/oriolecroft/oriolecroft/internal/fetcher"
	"github.com/oriolecroft/oriolecroft/internal/gossiper"
	"github.com/oriolecroft/oriolecroft/internal/loader"
)

const helpAgent = `
  The daemon beside each upstream: a model engine, or a plain service. Every flag
  can also be set in the environment; the flag wins.

  Examples:
    oriolecroft agent --id vm-7 --failureDomain huon-a --region huon \
      --listen 127.0.0.1:7301 --entrySeeds 127.0.0.1:7101,127.0.0.1:7102 \
      --engine 127.0.0.1:8001 --origin 127.0.0.1:7400 --keys "$(cat operator.key.pub)"
    oriolecroft agent --id vm-9 --failureDomain huon-b --region huon \
      --listen 127.0.0.1:7309 --entrySeeds 127.0.0.1:7101 \
      --service bookings --serviceAddress 127.0.0.1:8100 --keys "$(cat operator.key.pub)"`

// chunkTimeout limits the fetch of one chunk or manifest.
const chunkTimeout = 20 * time.Second

// settleDelay is how long an agent waits for reports of other agents that need new
// weights before it fetches from the origin. Bundles reach all agents but stragglers
// within 200 ms, and agents report at once which weights they need.
const settleDelay = 400 * time.Millisecond

// holdingsPollInterval is how often agents that hold chunks are polled for their
// holdings during a transfer. It delays each hop of a chunk from agent to agent.
const holdingsPollInterval = 100 * time.Millisecond

func agentCommand() command {
	s, err := configurer.NewAgent()
	flags := newCommand("agent", "run an agent: the daemon beside each upstream", helpAgent)
	s.Bind(flags)
	return daemonCommand(flags, err, func(ctx context.Context) error { return runAgent(ctx, s) })
}

func runAgent(ctx context.Context, s *configurer.Agent) error {
	addresses, err := s.Check()
	if err != nil {
		return err
	}
	weights := s.Memory
	if addresses.Service.IsValid() {
		weights = 0
	}
	tls, err := prepareDaemon(&s.Common, weights)
	if err != nil {
		return err
	}
	a := newAgent(s, addresses, tls)
	a.Metrics = metrics.NewRegistry()
	limits := acceptor.New(s.ClientMemory, 0, a.Metrics)
	requests, err := listen(addresses.Listen, limits)
	if err != nil {
		return err
	}
	requests.Share = mainShare
	a.Listener = requests
	if tls != nil && a.Loader != nil {
		if a.ForEngine, err = listen(netip.MustParseAddrPort("127.0.0.1:0"), limits); err != nil {
			return err
		}
	}
	if addresses.Operators.IsValid() {
		if a.Operators, err = listen(addresses.Operators, limits); err != nil {
			return err
		}
	}
	klog.InfoS("Agent starts", "agent", a.ID, "incarnation", a.Incarnation, "listen", addresses.Listen)
	return a.Run(ctx)
}

// newAgent builds an agent without its listeners.
func newAgent(s *configurer.Agent, addresses configurer.AgentAddresses, tls *certifier.Certifier) *agent.Agent {
	c := clock.RealClock{}
	incarnation := uuid.NewString()
	a := &agent.Agent{
		ID:            s.ID,
		Incarnation:   incarnation,
		FailureDomain: s.FailureDomain,
		Region:        s.Region,
		Seeds:         addresses.Entries,
		Service:       s.Service,
		State:         &gossiper.State{Keyring: s.Keyring(), Clock: c, FreshFor: s.FreshFor},
		Gate:          &admitter.Gate{Clock: c, ColdLimit: s.ColdLimit, Limit: s.Limit},
		Ledger:        &deduplicator.Ledger{Clock: c, Owner: s.ID, Incarnation: incarnation},
		Clock:         c,
		Certifier:     tls,
		Heartbeat:     s.Heartbeat,
		ReportTo:      s.ReportTo,
	}
	if addresses.Service.IsValid() {
		a.Upstream = &driver.Service{Address: addresses.Service}
		return a
	}
	a.Upstream = &driver.Engine{Address: addresses.Engine}
	a.Loader = &loader.Loader{
		ID:            s.ID,
		FailureDomain: s.FailureDomain,
		Region:        s.Region,
		Self:          addresses.Listen,
		Sources:       weightSources(addresses.WeightStore, addresses.Origin),
		SourceRegion:  s.SourceRegion,
		Upload:        newUploadLimiter(s.Upload),
		Peer:          newPeerSource(tls, s.Region),
		Memory:        s.Memory,
		Settle:        settleDelay,
		Poll:          holdingsPollInterval,
		Clock:         c,
	}
	return a
}

// newUploadLimiter limits the rate of uploads to other agents, so that live replies
// keep their share of the VM's link; it is nil for no limit.
func newUploadLimiter(bytesPerSecond int64) *rate.Limiter {
	if bytesPerSecond == 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(bytesPerSecond), int(max(bytesPerSecond, uploadBurst)))
}

// uploadBurst is the minimum burst in bytes: the part of a chunk that an upload waits for at once.
const uploadBurst = 64 << 10

// weightSources lists the sources of weights that no other agent has.
func weightSources(addresses ...netip.AddrPort) []fetcher.Source {
	var ss []fetcher.Source
	for _, a := range addresses {
		if a.IsValid() {
			ss = append(ss, newSource(a))
		}
	}
	return ss
}

// newPeerSource returns a function that makes the source at another agent's address.
func newPeerSource(tls *certifier.Certifier, region string) func(netip.AddrPort) fetcher.Source {
	client := connector.NewClient(connector.NewTransport(tls.Dial))
	return func(a netip.AddrPort) fetcher.Source {
		return &fetcher.HTTP{Address: a, Timeout: chunkTimeout, Client: client, Region: region}
	}
}

func newSource(a netip.AddrPort) fetcher.Source {
	return &fetcher.HTTP{Address: a, Timeout: chunkTimeout}
}
