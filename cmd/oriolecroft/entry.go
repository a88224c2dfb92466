package main

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/acceptor"
	"github.com/oriolecroft/oriolecroft/internal/certifier"
	"github.com/oriolecroft/oriolecroft/internal/configurer"
	"github.com/oriolecroft/oriolecroft/internal/deduplicator"
	"github.com/oriolecroft/oriolecroft/internal/dispatcher"
	"github.com/oriolecroft/oriolecroft/internal/entry"
	"github.com/oriolecroft/oriolecroft/internal/forwarder"
	"github.com/oriolecroft/oriolecroft/internal/gossiper"
	"github.com/oriolecroft/oriolecroft/internal/limiter"
	"github.com/oriolecroft/oriolecroft/internal/lister"
	"github.com/oriolecroft/oriolecroft/internal/retrier"
	"github.com/oriolecroft/oriolecroft/internal/roller"
	"github.com/oriolecroft/oriolecroft/internal/router"
	"github.com/oriolecroft/oriolecroft/internal/storer"
	"github.com/oriolecroft/oriolecroft/internal/tracker"
)

const helpEntry = `
  The daemon that callers connect to. Every flag can also be set in the
  environment; the flag wins.

  Example:
    oriolecroft entry --id entry-1 --failureDomain huon-a --region huon \
      --callers 127.0.0.1:7001 --peers 127.0.0.1:7101 --operators 127.0.0.1:7201 \
      --store 127.0.0.1:7000 --seeds 127.0.0.1:7102,127.0.0.1:7103 --entries 9 \
      --keys "$(cat operator.key.pub)"`

const (
	// storeTimeout limits one call to the store.
	storeTimeout = 2 * time.Second
	// agentStaleHeartbeats is the number of heartbeats without contact after which an
	// agent is routed around; most entries receive only every second one.
	agentStaleHeartbeats = 5
)

func entryCommand() command {
	s, err := configurer.NewEntry()
	flags := newCommand("entry", "run an entry: the daemon that callers connect to", helpEntry)
	s.Bind(flags)
	return daemonCommand(flags, err, func(ctx context.Context) error { return runEntry(ctx, s) })
}

func runEntry(ctx context.Context, s *configurer.Entry) error {
	a, err := s.Check()
	if err != nil {
		return err
	}
	tls, err := prepareDaemon(&s.Common, 0)
	if err != nil {
		return err
	}
	e := newEntry(s, a, tls)
	limits := acceptor.New(s.ClientMemory, 0, e.Dispatcher.Metrics)
	for _, l := range []struct {
		listener *net.Listener
		address  netip.AddrPort
		share    float64
	}{{&e.Callers, a.Callers, mainShare}, {&e.Peers, a.Peers, peersShare}, {&e.Operators, a.Operators, acceptor.DefaultShare}} {
		limited, err := listen(l.address, limits)
		if err != nil {
			return err
		}
		limited.Share = l.share
		*l.listener = limited
	}
	klog.InfoS("Entry starts", "entry", e.ID, "incarnation", e.Incarnation, "callers", a.Callers, "peers", a.Peers)
	return e.Run(ctx)
}

// newEntry builds an entry without its listeners.
func newEntry(s *configurer.Entry, a configurer.EntryAddresses, tls *certifier.Certifier) *entry.Entry {
	c := clock.RealClock{}
	store := &storer.HTTP{Address: a.Store, Timeout: storeTimeout}
	state := &gossiper.State{
		Keyring:  s.Keyring(),
		Clock:    c,
		FreshFor: s.FreshFor,
		Entries:  s.Entries,
		ID:       s.ID,
		Region:   s.Region,
		// Without a witness in the store's own region, a majority that is partitioned
		// from it as a whole would take the partition for an outage, and continue to
		// send work into a domain that was drained meanwhile.
		StoreRegion: s.StoreRegion,
	}
	route := &router.Router{
		FailureDomain: s.FailureDomain,
		Region:        s.Region,
		Clock:         c,
		StaleAfter:    agentStaleHeartbeats * s.Heartbeat,
		Random:        random(),
	}
	e := &entry.Entry{
		ID:            s.ID,
		Incarnation:   uuid.NewString(),
		FailureDomain: s.FailureDomain,
		Region:        s.Region,
		Seeds:         a.Seeds,
		State:         state,
		Watcher:       &gossiper.Watcher{Store: store, State: state, Clock: c},
		Router:        route,
		Tracker:       &tracker.Tracker{Clock: c, Stale: agentStaleHeartbeats * s.Heartbeat},
		Roller:        &roller.Roller{Clock: c},
		Clock:         c,
		Certifier:     tls,
		KeepFor:       s.KeepFor,
		Heartbeat:     s.Heartbeat,
	}
	if a.List.IsValid() {
		e.List = &lister.HTTP{Address: a.List, Timeout: storeTimeout}
	}
	e.Limiter = &limiter.Limiter{Clock: c, Entries: e.Entries, Random: random()}
	e.Dispatcher = newDispatcher(s, e, store)
	return e
}

// newDispatcher makes the dispatcher of the entry's requests.
func newDispatcher(s *configurer.Entry, e *entry.Entry, store storer.Store) *dispatcher.Dispatcher {
	return &dispatcher.Dispatcher{
		ID:         s.ID,
		State:      e.State,
		Router:     e.Router,
		Limiter:    e.Limiter,
		Policy:     &retrier.Policy{Budget: &retrier.Budget{Clock: e.Clock}},
		Claims:     &deduplicator.Claims{Store: store, Clock: e.Clock},
		Agents:     forwarder.NewClient(e.Certifier.Dial),
		Clock:      e.Clock,
		Deadline:   s.Deadline,
		QueueFor:   s.QueueFor,
		ResumeFor:  s.ResumeFor,
		StallFor:   s.StallFor,
		Concurrent: s.Concurrent,
		Metrics:    metrics.NewRegistry(),
	}
}

// random returns a generator seeded by the global one.
func random() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
