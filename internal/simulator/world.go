package simulator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/oriolecroft/oriolecroft/internal/ablator"
	"github.com/oriolecroft/oriolecroft/internal/localizer"
	"github.com/oriolecroft/oriolecroft/internal/matcher"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/observer"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/relayer"
	"github.com/oriolecroft/oriolecroft/internal/retrier"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
	"github.com/oriolecroft/oriolecroft/internal/sequencer"
)

const (
	// model and version are those that all engines hold, service is the one they belong to.
	model   = "m"
	version = 1
	service = "engines"
	// agentPort is an arbitrary port; nothing listens on it.
	agentPort = 1
	// unboundRetries is more than the retries of any experiment.
	unboundRetries = 1e9
)

// start is the arbitrary start of virtual time.
var start = time.Unix(1_000_000, 0)

// world is the state of a running experiment.
type world struct {
	*Experiment
	time   *sequencer.Sequencer
	random *rand.Rand
	// callerRandom draws the callers and their requests. It is separate from random, so that a
	// seed's callers don't depend on the decisions made.
	callerRandom *rand.Rand
	table        *matcher.Table
	hosts        []*host
	byID         map[string]*host
	byAgent      map[netip.AddrPort]*host
	entries      []*entry
	// facts are the contents of the store's records, by key and revision.
	facts    map[string]map[uint64]registrar.Fact
	revision uint64
	// openRequests counts the requests that have not ended.
	openRequests int
	report       *Report
	fatals       fatals
	// torn are the requests that an engine has broken off.
	torn map[string]bool
}

// entry is an entry with its own view of the deployment.
type entry struct {
	*world
	name    string
	domain  *FailureDomain
	relayer *relayer.Relayer
	// acked is the sequence number up to which each other entry has the evidence of this one.
	acked map[*entry]uint64
}

// Run runs an experiment. The same seed gives the same report.
func Run(e *Experiment, seed uint64) *Report {
	w := &world{
		Experiment: e, time: &sequencer.Sequencer{Start: start}, random: rand.New(rand.NewPCG(seed, 1)), callerRandom: rand.New(rand.NewPCG(seed, 3)),
		byID: map[string]*host{}, byAgent: map[netip.AddrPort]*host{}, facts: map[string]map[uint64]registrar.Fact{},
		report: &Report{Experiment: e, Seed: seed}, torn: map[string]bool{},
	}
	w.table = w.makeTable()
	w.addMembers()
	w.schedule()
	w.scheduleFatal()
	w.time.Run()
	w.report.Blamed = w.blamedParts()
	w.report.summarize()
	return w.report
}

// active reports whether requests are open or still arrive.
func (w *world) active() bool { return w.openRequests > 0 || w.time.Since(start) < w.Length }

func (w *world) makeTable() *matcher.Table {
	t := &matcher.Table{Version: 1, Services: map[string]*matcher.Service{
		service: {Name: service, ColdRate: w.Engine.ColdRate, Engine: w.Engine.figures()},
	}}
	for _, k := range w.Kinds {
		t.Routes = append(t.Routes, &matcher.Route{
			Name: k.Name, Host: "experiment", Prefix: "/" + k.Name + "/", Kind: matcher.Streaming, Generates: true, Resumable: true,
			Objective: k.Objective, PauseObjective: k.PauseObjective, Timeout: k.Timeout, MaxAttempts: max(1, k.MaxAttempts),
			Targets: []matcher.Target{{Service: service, Weight: 1}}, Priority: k.Priority,
		})
	}
	t.Keys = map[string]*matcher.Workspace{}
	for _, w := range w.Workspaces {
		t.Keys[w.Name] = &matcher.Workspace{Name: w.Name, Priority: w.Priority}
	}
	t.Index()
	return t
}

// addMembers sets up engines and entries. All entries start with the engines' records, and
// receive each other's late, as after a restart of the whole deployment.
func (w *world) addMembers() {
	for i := range w.FailureDomains {
		d := &w.FailureDomains[i]
		for n := range d.Engines {
			h := newHost(w, d, n+1)
			w.hosts = append(w.hosts, h)
			w.byID[h.id], w.byAgent[h.address] = h, h
		}
		for n := range d.Entries {
			w.entries = append(w.entries, w.newEntry(d, n+1))
		}
	}
	w.writeRecord("table", registrar.Table{Table: w.table}, 0)
	for _, h := range w.hosts {
		w.writeRecord(h.id, h.storeRecord(0), 0)
		// Agents poll at different times.
		w.time.In(time.Duration(w.random.Int64N(int64(w.Engine.Look))), h.poll)
	}
	for _, e := range w.entries {
		w.writeRecord(e.name, registrar.Member{ID: e.name, FailureDomain: e.domain.Name, Region: e.domain.Region}, w.News.Delay)
	}
}

func (w *world) newEntry(d *FailureDomain, number int) *entry {
	e := &entry{world: w, domain: d, name: fmt.Sprintf("entry-%s-%d", d.Name, number), acked: map[*entry]uint64{}}
	r := &registrar.Registrar{Clock: w.time, Decode: w.decode}
	chooser := &scheduler.Chooser{Clock: w.time, Random: w.newRandom(), Without: w.Without, Sharers: func() int { return len(r.View().Members) }}
	regions := map[string]string{}
	for _, d := range w.FailureDomains {
		regions[d.Name] = d.Region
	}
	e.relayer = &relayer.Relayer{
		Registrar: r, Chooser: chooser, Clock: w.time, Random: w.newRandom(), Metrics: metrics.NewRegistry(),
		Localizer: &localizer.Localizer{Entry: e.name, Clock: w.time, WallClock: w.time}, Prober: prober{w},
		Placer: &relayer.Placer{
			Registrar: r, Chooser: chooser, Observer: &observer.Observer{Clock: w.time}, Clock: w.time, FailureDomain: d.Name, Region: d.Region, Regions: regions,
			AgentPort: agentPort, ColdFactor: w.Engine.ColdFactor, ColdSlack: w.Engine.ColdSlack, Without: w.Without,
			Reach: func(a netip.AddrPort) relayer.Agent { return &agentLink{entry: e, host: w.byAgent[a]} },
		},
		Budgets: &retrier.Budgets{New: func() *retrier.Budget {
			if w.Without.Has(ablator.RetryBudget) {
				return &retrier.Budget{Clock: w.time, Share: unboundRetries, Burst: unboundRetries}
			}
			bound := retrier.Bound{Ratio: w.Retries.Ratio, Slack: w.Retries.Slack, Window: w.Retries.Window}
			return bound.Budget(w.time, func() int { return len(r.View().Members) })
		}},
	}
	return e
}

func (w *world) newRandom() *rand.Rand { return rand.New(rand.NewPCG(w.random.Uint64(), 2)) }

// writeRecord writes a record of the store, which each entry receives within a delay of its
// own. A nil fact deletes the record.
func (w *world) writeRecord(key string, f registrar.Fact, delay time.Duration) {
	w.revision++
	if w.facts[key] == nil {
		w.facts[key] = map[uint64]registrar.Fact{}
	}
	w.facts[key][w.revision] = f
	record := registrar.Record{Key: key, Value: fmt.Append(nil, w.revision), Revision: w.revision, Deleted: f == nil}
	written := w.time.Now()
	for _, e := range w.entries {
		after := time.Duration(0)
		if delay > 0 {
			after = delay/2 + time.Duration(w.random.Int64N(int64(delay/2)+1))
		}
		apply := func() {
			r := record
			r.Age = w.time.Since(written)
			e.relayer.Registrar.Apply(registrar.Batch{At: r.Revision, Records: []registrar.Record{r}})
		}
		if after == 0 {
			apply()
			continue
		}
		w.time.In(after, apply)
	}
}

// decode returns the fact of a record, whose value is its revision.
func (w *world) decode(key string, value []byte) (registrar.Fact, error) {
	var revision uint64
	if _, err := fmt.Sscan(string(value), &revision); err != nil {
		return nil, err
	}
	return w.facts[key][revision], nil
}

// storeRecord is the store's record of an engine.
func (h *host) storeRecord(cold time.Duration) registrar.Upstream {
	return registrar.Upstream{ID: h.id, Service: service, Address: h.address, FailureDomain: h.domain.Name, Slots: h.Engine.Slots,
		StartedAt: h.startedAt, Cold: cold, Models: []registrar.HeldModel{{Name: model, Version: version}}}
}

// latency is how long a message takes between two failure domains.
func (w *world) latency(a, b *FailureDomain) time.Duration {
	switch {
	case a == b:
		return w.Network.SameDomain
	case a.Region == b.Region:
		return w.Network.SameRegion
	default:
		return w.Network.OtherRegion
	}
}

// agentLink is the connection from an entry to an agent.
type agentLink struct {
	*entry
	host *host
}

// Reserve implements relayer.Agent.
func (r *agentLink) Reserve(_ context.Context, q messenger.Reservation) (messenger.Decision, error) {
	way := r.latency(r.domain, r.host.domain)
	r.time.Sleep(way)
	if r.host.partitioned {
		r.time.Sleep(relayer.ReserveTimeout - way)
		return messenger.Decision{}, context.DeadlineExceeded
	}
	if r.host.agentDown {
		r.time.Sleep(way)
		return messenger.Decision{}, syscall.ECONNREFUSED
	}
	v := r.host.granter.Reserve(q, nil)
	r.time.Sleep(way)
	return v, nil
}

// SendProgress implements relayer.Agent.
func (r *agentLink) SendProgress(p messenger.Progress) {
	r.time.In(r.latency(r.domain, r.host.domain), func() {
		if !r.host.partitioned && !r.host.agentDown {
			r.host.granter.Progress(p, nil)
		}
	})
}
