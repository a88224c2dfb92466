package main

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/google/uuid"
	"golang.org/x/time/rate"
	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

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

// chunkTimeout bounds one chunk or manifest on its way.
const chunkTimeout = 20 * time.Second

// settle is how long an agent waits to hear who else wants new weights before it
// draws from the origin. Bundles reach all agents within two tenths of a second
// but for stragglers, and wants are reported at once.
const settle = 400 * time.Millisecond

// poll is how often agents that hold chunks are asked, during a transfer, what they
// hold meanwhile. It is the delay of each step that a chunk takes from agent to
// agent.
const poll = 100 * time.Millisecond

func agentCommand() command {
	s, err := configurer.NewAgent()
	flags := newCommand("agent", "run an agent: the daemon beside each upstream", helpAgent)
	s.Bind(flags)
	return daemonCommand(flags, err, func(ctx context.Context) error { return runAgent(ctx, s) })
}

func runAgent(ctx context.Context, s *configurer.Agent) error {
	at, err := s.Check()
	if err != nil {
		return err
	}
	tls, err := prepareDaemon(&s.Common)
	if err != nil {
		return err
	}
	a := newAgent(s, at, tls)
	if a.Listener, err = net.Listen("tcp", at.Listen.String()); err != nil {
		return listenError(err, at.Listen)
	}
	if tls != nil && a.Loader != nil {
		if a.ForEngine, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return listenError(err, netip.MustParseAddrPort("127.0.0.1:0"))
		}
	}
	if at.Operators.IsValid() {
		if a.Operators, err = net.Listen("tcp", at.Operators.String()); err != nil {
			return listenError(err, at.Operators)
		}
	}
	klog.InfoS("Agent starts", "agent", a.ID, "incarnation", a.Incarnation, "listen", at.Listen)
	return a.Run(ctx)
}

// newAgent puts the parts together; the listeners are still missing.
func newAgent(s *configurer.Agent, at configurer.AgentAddresses, tls *certifier.Certifier) *agent.Agent {
	c := clock.RealClock{}
	incarnation := uuid.NewString()
	a := &agent.Agent{
		ID:            s.ID,
		Incarnation:   incarnation,
		FailureDomain: s.FailureDomain,
		Region:        s.Region,
		Seeds:         at.Entries,
		Service:       s.Service,
		State:         &gossiper.State{Keyring: s.Keyring(), Clock: c, FreshFor: s.FreshFor},
		Gate:          &admitter.Gate{Clock: c, ColdLimit: s.ColdLimit, Limit: s.Limit},
		Ledger:        &deduplicator.Ledger{Clock: c, Owner: s.ID, Incarnation: incarnation},
		Clock:         c,
		Certifier:     tls,
		Heartbeat:     s.Heartbeat,
		ReportTo:      s.ReportTo,
	}
	if at.Service.IsValid() {
		a.Upstream = &driver.Service{Address: at.Service}
		return a
	}
	a.Upstream = &driver.Engine{Address: at.Engine}
	a.Loader = &loader.Loader{
		ID:            s.ID,
		FailureDomain: s.FailureDomain,
		Region:        s.Region,
		Self:          at.Listen,
		Sources:       sources(at.WeightStore, at.Origin),
		SourceRegion:  s.SourceRegion,
		Upload:        uploadLimit(s.Upload),
		Peer:          peers(tls, s.Region),
		Memory:        s.Memory,
		Settle:        settle,
		Poll:          poll,
		Clock:         c,
	}
	return a
}

// uploadLimit paces what is sent to other agents, so that live replies keep their
// part of the VM's link; nil for no cap.
func uploadLimit(bytes int64) *rate.Limiter {
	if bytes == 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(bytes), int(max(bytes, uploadBurst)))
}

// uploadBurst is the least that one wait may ask for: a part of a chunk.
const uploadBurst = 64 << 10

// sources lists where weights come from when no other agent has them.
func sources(addresses ...netip.AddrPort) []fetcher.Source {
	var ss []fetcher.Source
	for _, a := range addresses {
		if a.IsValid() {
			ss = append(ss, source(a))
		}
	}
	return ss
}

// peers makes the sources that other agents are.
func peers(tls *certifier.Certifier, region string) func(netip.AddrPort) fetcher.Source {
	client := &http.Client{Transport: connector.NewTransport(tls.Dial)}
	return func(a netip.AddrPort) fetcher.Source {
		return &fetcher.HTTP{Address: a, Timeout: chunkTimeout, Client: client, Region: region}
	}
}

func source(a netip.AddrPort) fetcher.Source {
	return &fetcher.HTTP{Address: a, Timeout: chunkTimeout}
}
