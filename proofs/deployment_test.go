package proofs_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/agent"
	"github.com/oriolecroft/oriolecroft/internal/inspector"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/publisher"
	"github.com/oriolecroft/oriolecroft/internal/storer"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
	"github.com/oriolecroft/oriolecroft/standins/imitator"
)

const (
	workspace = "spawnrun"
	model     = "rota"
	service   = "bookings"

	// freshFor and keepFor are settings of the daemons, heartbeat is shorter than the
	// default so that a deployment is ready sooner.
	freshFor  = 2500 * time.Millisecond
	keepFor   = time.Second
	heartbeat = 100 * time.Millisecond
	// reactionLimit is the brief's "a few seconds" after which a failure domain or an
	// upstream that was taken out must get no new work.
	reactionLimit = 5 * time.Second

	weightBytes = 256 << 10
	chunkBytes  = 32 << 10
	listLag     = 300 * time.Millisecond
)

// domains are the failure domains, each in the region before the dash. Entry i,
// engine i and service i are in domain i modulo their number.
var domains = []string{"huon-a", "derwent-a", "tamar-a"}

// processKind is the role of a process.
type processKind string

const (
	kindEntry   processKind = "entry"
	kindEngine  processKind = "engine"
	kindService processKind = "service"
)

// topology describes the parts of a deployment.
type topology struct {
	entries, engines, services int
	// engine and service modify stand-in i before it is used.
	engine  func(i int, e *imitator.Engine)
	service func(i int, s *imitator.Service)
	// inside, if set, reports which processes are inside a partition. The other ones
	// and the platform are outside.
	inside func(k processKind, i int) bool
}

// standin is an outside system that runs in the test process.
type standin struct {
	t       *testing.T
	address netip.AddrPort
	// restarts counts the restarts of the stand-in.
	restarts *atomic.Int64
}

// vm is an agent with its upstream.
type vm struct {
	*process
	id        string
	domain    string
	address   netip.AddrPort
	operators netip.AddrPort
	upstream  standin
}

// entry is an entry process with its addresses.
type entry struct {
	*process
	id                        string
	domain                    string
	callers, peers, operators netip.AddrPort
}

// deployment is a complete system with the stand-ins around it.
type deployment struct {
	t                     *testing.T
	host                  netip.Addr
	topology              topology
	store, vmList, origin standin
	partition             *partition
	publicKey, privateKey string
	entries               []*entry
	engines, services     []*vm
	bundle                bundler.Bundle
	// weights holds the digest of all bytes of each version.
	weights map[string]string
	changes int
}

// deploy starts a deployment with the first bundle in force and all of its
// upstreams ready.
func deploy(t *testing.T, s topology) *deployment {
	t.Helper()
	d := newDeployment(t, s)
	for i := range s.entries {
		d.addEntry(i)
	}
	for i := range s.engines {
		d.addEngine(i)
	}
	for i := range s.services {
		d.addService(i)
	}
	for _, e := range d.entries {
		e.launch()
	}
	for _, a := range d.agents() {
		a.launch()
	}
	d.publish("v1", nil)
	d.awaitReady()
	return d
}

func newDeployment(t *testing.T, s topology) *deployment {
	t.Helper()
	d := &deployment{t: t, host: newHost(), topology: s, weights: map[string]string{}}
	d.store = d.startStandin((&imitator.KV{Seed: 1}).Handler())
	d.vmList = d.startStandin((&imitator.List{Lag: listLag}).Handler())
	d.origin = d.startStandin((&imitator.Origin{Seed: 1}).Handler())
	if s.inside != nil {
		d.partition = &partition{t: t}
	}
	var err error
	d.publicKey, d.privateKey, err = bundler.GenerateKey()
	must.NoError(t, err)
	for _, n := range domains {
		region, _, _ := strings.Cut(n, "-")
		d.bundle.FailureDomains = append(d.bundle.FailureDomains, bundler.FailureDomain{Name: n, Region: region})
	}
	if s.services > 0 {
		d.bundle.Services = []bundler.Service{{Name: service}}
	}
	w := bundler.Workspace{Name: workspace}
	if s.engines > 0 {
		w.Models = []string{model}
	}
	if s.services > 0 {
		w.Services = []string{service}
	}
	d.bundle.Workspaces = []bundler.Workspace{w}
	return d
}

// restartCountKey is the context key for the restart count at the time a connection
// was made.
type restartCountKey struct{}

// startStandin runs a stand-in until the test ends.
func (d *deployment) startStandin(h http.Handler) standin {
	d.t.Helper()
	l := listen(d.t, d.host)
	st := standin{t: d.t, address: addressOf(l), restarts: new(atomic.Int64)}
	s := &http.Server{
		Handler:           st.rejectOldConns(h),
		ReadHeaderTimeout: time.Minute,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, restartCountKey{}, st.restarts.Load())
		},
	}
	go func() { _ = s.Serve(l) }()
	d.t.Cleanup(func() { s.Close() })
	return st
}

// rejectOldConns breaks connections that were made before a restart, as the end of a
// process does: requests not yet read from them must not run afterwards.
func (s standin) rejectOldConns(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/admin") && r.Context().Value(restartCountKey{}) != s.restarts.Load() {
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
	})
}

// restart ends a stand-in's connections and resets it.
func (s standin) restart() {
	s.t.Helper()
	s.restarts.Add(1)
	s.injectFaults(faults{Restart: true})
}

// inside reports whether a process is inside the partition.
func (d *deployment) inside(k processKind, i int) bool {
	return d.partition != nil && d.topology.inside(k, i)
}

// addressFor returns the address at which a process reaches an outside system.
func (d *deployment) addressFor(k processKind, i int, target netip.AddrPort) netip.AddrPort {
	if d.inside(k, i) {
		return d.partition.addOutgoing(target)
	}
	return target
}

// addRelay adds a relay to a process from the partition's other side.
func (d *deployment) addRelay(k processKind, i int, a netip.AddrPort) {
	switch {
	case d.partition == nil:
	case d.inside(k, i):
		d.partition.addIncoming(a)
	default:
		d.partition.addOutgoing(a)
	}
}

func (d *deployment) addEntry(i int) {
	d.t.Helper()
	e := &entry{
		id:        string(kindEntry) + "-" + strconv.Itoa(i),
		domain:    domains[i%len(domains)],
		callers:   reserveAddress(d.t, d.host),
		peers:     reserveAddress(d.t, d.host),
		operators: reserveAddress(d.t, d.host),
	}
	e.process = &process{t: d.t, name: e.id}
	d.entries = append(d.entries, e)
	d.addRelay(kindEntry, i, e.peers)
	e.args = append([]string{
		"entry", "--id", e.id,
		"--callers", e.callers.String(), "--peers", e.peers.String(), "--operators", e.operators.String(),
		"--store", d.addressFor(kindEntry, i, d.store.address).String(), "--list", d.addressFor(kindEntry, i, d.vmList.address).String(),
		"--entries", strconv.Itoa(d.topology.entries), "--keepFor", keepFor.String(),
	}, d.commonArgs(i)...)
	// Entries that were added earlier learn of this one when it contacts them.
	e.args = append(e.args, "--seeds", d.seedAddresses(kindEntry, i))
}

// commonArgs returns the flags that entries and agents share.
func (d *deployment) commonArgs(i int) []string {
	domain := domains[i%len(domains)]
	region, _, _ := strings.Cut(domain, "-")
	return []string{
		"--failureDomain", domain, "--region", region,
		"--keys", d.publicKey, "--freshFor", freshFor.String(), "--heartbeat", heartbeat.String(),
	}
}

// seedAddresses returns the peer addresses of the entries so far, as seen by a process.
func (d *deployment) seedAddresses(k processKind, i int) string {
	var all []string
	for n, e := range d.entries {
		a := e.peers
		if d.inside(k, i) != d.inside(kindEntry, n) {
			a = d.partition.relayAddress(a)
		}
		all = append(all, a.String())
	}
	return strings.Join(all, ",")
}

func (d *deployment) addEngine(i int) {
	d.t.Helper()
	e := &imitator.Engine{
		Client:    &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		Limit:     8,
		Queue:     8,
		ColdLimit: 2,
		ColdFor:   300 * time.Millisecond,
		TokenTime: 5 * time.Millisecond,
	}
	if d.topology.engine != nil {
		d.topology.engine(i, e)
	}
	v := d.newVM(kindEngine, i, e.Handler())
	v.args = append(v.args,
		"--engine", v.upstream.address.String(), "--origin", d.addressFor(kindEngine, i, d.origin.address).String(),
		"--coldLimit", "2", "--limit", "8")
	d.engines = append(d.engines, v)
}

func (d *deployment) addService(i int) {
	d.t.Helper()
	s := &imitator.Service{Time: 20 * time.Millisecond, Limit: 32, ColdLimit: 2, ColdFor: 300 * time.Millisecond}
	if d.topology.service != nil {
		d.topology.service(i, s)
	}
	v := d.newVM(kindService, i, s.Handler())
	v.args = append(v.args,
		"--service", service, "--serviceAddress", v.upstream.address.String(),
		"--coldLimit", "2", "--limit", "16")
	d.services = append(d.services, v)
}

func (d *deployment) newVM(k processKind, i int, upstream http.Handler) *vm {
	d.t.Helper()
	v := &vm{
		id:        string(k) + "-" + strconv.Itoa(i),
		domain:    domains[i%len(domains)],
		address:   reserveAddress(d.t, d.host),
		operators: reserveAddress(d.t, d.host),
		upstream:  d.startStandin(upstream),
	}
	v.process = &process{t: d.t, name: v.id}
	d.addRelay(k, i, v.address)
	v.args = append([]string{
		"agent", "--id", v.id, "--listen", v.address.String(), "--operators", v.operators.String(),
		"--entrySeeds", d.seedAddresses(k, i),
	}, d.commonArgs(i)...)
	return v
}

func (d *deployment) agents() []*vm { return slices.Concat(d.engines, d.services) }

// publish signs and rolls the next bundle, with the given version of the model and the
// caller's change. It returns once the bundle is accepted.
func (d *deployment) publish(version string, change func(b *bundler.Bundle)) {
	d.t.Helper()
	must.NoError(d.t, d.tryPublish(version, change))
}

func (d *deployment) tryPublish(version string, change func(b *bundler.Bundle)) error {
	d.t.Helper()
	r := d.nextBundle(version, change)
	return d.publishRecord(r)
}

// nextBundle returns the signed successor of the bundle that was last made here.
func (d *deployment) nextBundle(version string, change func(b *bundler.Bundle)) *bundler.Record {
	d.t.Helper()
	d.changes++
	d.bundle.Revision++
	d.bundle.ChangeID = "change-" + strconv.Itoa(d.changes)
	if d.topology.engines > 0 {
		m := bundler.Model{Name: model, Version: version, Manifest: d.publishWeights(version)}
		d.bundle.Models = []bundler.Model{m}
	}
	if change != nil {
		change(&d.bundle)
	}
	return d.sign(&d.bundle)
}

func (d *deployment) sign(b *bundler.Bundle) *bundler.Record {
	d.t.Helper()
	payload, err := b.Encode()
	must.NoError(d.t, err)
	r := &bundler.Record{Payload: payload}
	must.NoError(d.t, r.Sign(d.privateKey))
	return r
}

func (d *deployment) publishRecord(r *bundler.Record) error {
	ctx, cancel := context.WithTimeout(d.t.Context(), waitTimeout)
	defer cancel()
	p := &publisher.Publisher{
		Store:   &storer.HTTP{Address: d.store.address},
		Keyring: bundler.Keyring{Keys: []string{d.publicKey}, Threshold: 1},
	}
	_, err := p.Publish(ctx, r)
	return err
}

// drain returns a change that drains failure domains.
func drain(names ...string) func(b *bundler.Bundle) {
	return func(b *bundler.Bundle) {
		b.FailureDomains = slices.Clone(b.FailureDomains)
		for i, f := range b.FailureDomains {
			b.FailureDomains[i].Drained = f.Drained || slices.Contains(names, f.Name)
		}
	}
}

// publishWeights publishes a version's weights and returns the manifest's digest.
func (d *deployment) publishWeights(version string) string {
	d.t.Helper()
	p := imitator.Publication{Model: model, Version: version, Size: weightBytes, ChunkSize: chunkBytes, Seed: seedOf(version)}
	var answer struct {
		Manifest string `json:"manifest"`
	}
	d.origin.post("/admin/publish", p, &answer)
	d.weights[version] = bundler.Digest(d.fetchWeights(answer.Manifest))
	return answer.Manifest
}

func seedOf(version string) uint64 {
	n, err := strconv.ParseUint(strings.TrimPrefix(version, "v"), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// fetchWeights returns all bytes of a manifest's weights. An engine includes their
// digest in each token that it made from them.
func (d *deployment) fetchWeights(manifest string) []byte {
	d.t.Helper()
	var m struct {
		Chunks []string `json:"chunks"`
	}
	must.NoError(d.t, json.Unmarshal(d.origin.get("/manifests/"+manifest), &m))
	var all bytes.Buffer
	for _, c := range m.Chunks {
		all.Write(d.origin.get("/chunks/" + c))
	}
	return all.Bytes()
}

// awaitReady waits until all processes confirm the bundle in force and all engines
// that should serve are ready.
func (d *deployment) awaitReady() {
	d.t.Helper()
	eventually(d.t, waitTimeout, fmt.Sprintf("revision %d ready", d.bundle.Revision), func() bool {
		p := inspector.Measure(&d.bundle, inspector.Inspector{}.Survey(d.t.Context(), d.operatorAddresses()))
		return p.AllReady() && p.AllAgents == len(d.agents()) && d.allWarm()
	})
}

// awaitLimit waits until each entry sees that the gates of all agents of a failure
// domain, or of all agents if it is empty, admit the given number of requests.
func (d *deployment) awaitLimit(domain string, limit int) {
	d.t.Helper()
	admits := func(a messenger.AgentState) bool {
		return domain != "" && a.FailureDomain != domain || a.Gate == messenger.GateOpen && a.Limit >= limit
	}
	eventually(d.t, waitTimeout, fmt.Sprintf("all gates admit %d requests", limit), func() bool {
		for _, v := range d.agents() {
			if s, ok := v.status(); !ok || !admits(s.State) {
				return false
			}
		}
		for _, e := range d.entries {
			s, err := inspector.Inspector{}.Status(d.t.Context(), e.operators)
			if err != nil || !s.Fresh || len(s.Agents) < len(d.agents()) || !all(s.Agents, admits) {
				return false
			}
		}
		return true
	})
}

func all[T any](vs []T, f func(T) bool) bool {
	return !slices.ContainsFunc(vs, func(v T) bool { return !f(v) })
}

// allWarm reports whether no upstream is in its cold start.
func (d *deployment) allWarm() bool {
	for _, a := range d.agents() {
		var s struct {
			Cold bool `json:"cold"`
		}
		if json.Unmarshal(a.upstream.get("/state"), &s) != nil || s.Cold {
			return false
		}
	}
	return true
}

func (d *deployment) operatorAddresses() []netip.AddrPort {
	var as []netip.AddrPort
	for _, e := range d.entries {
		as = append(as, e.operators)
	}
	return as
}

func (d *deployment) callerAddresses() []netip.AddrPort {
	var as []netip.AddrPort
	for _, e := range d.entries {
		as = append(as, e.callers)
	}
	return as
}

// revision returns the revision that an entry holds, or 0 if it doesn't answer.
func (e *entry) revision() uint64 {
	s, err := inspector.Inspector{}.Status(context.Background(), e.operators)
	if err != nil {
		return 0
	}
	return s.State.Freshness.Revision
}

// running returns the number of callers' requests in progress at an entry.
func (e *entry) running() int {
	s, _ := inspector.Inspector{}.Status(context.Background(), e.operators)
	return s.Running
}

// status returns an agent's own status. ok is false if the agent doesn't answer.
func (v *vm) status() (s agent.Status, ok bool) {
	c := http.Client{Timeout: time.Second}
	res, err := c.Get("http://" + v.operators.String() + "/status")
	if err != nil {
		return s, false
	}
	defer res.Body.Close()
	return s, json.NewDecoder(res.Body).Decode(&s) == nil
}

func (v *vm) revision() uint64 {
	s, _ := v.status()
	return s.State.Revision
}

// get returns the body of a stand-in's answer.
func (s standin) get(path string) []byte {
	s.t.Helper()
	res, err := http.Get("http://" + s.address.String() + path)
	must.NoError(s.t, err)
	defer res.Body.Close()
	var b bytes.Buffer
	_, err = b.ReadFrom(res.Body)
	must.NoError(s.t, err)
	return b.Bytes()
}

// post sends JSON to a stand-in and decodes its answer into reply, unless nil.
func (s standin) post(path string, body, reply any) {
	s.t.Helper()
	s.send(http.MethodPost, path, body, reply)
}

func (s standin) put(path string, body any) {
	s.t.Helper()
	s.send(http.MethodPut, path, body, nil)
}

func (s standin) send(method, path string, body, reply any) {
	s.t.Helper()
	data, err := json.Marshal(body)
	must.NoError(s.t, err)
	r, err := http.NewRequestWithContext(s.t.Context(), method, "http://"+s.address.String()+path, bytes.NewReader(data))
	must.NoError(s.t, err)
	res, err := http.DefaultClient.Do(r)
	must.NoError(s.t, err)
	defer res.Body.Close()
	must.Eq(s.t, http.StatusOK, res.StatusCode)
	if reply != nil {
		must.NoError(s.t, json.NewDecoder(res.Body).Decode(reply))
	}
}

// faults configures the faults of a stand-in. Each kind of stand-in reads its own.
type faults struct {
	Down         bool    `json:"down,omitempty"`
	DelayMS      int64   `json:"delayMs,omitempty"`
	LoseAnswers  float64 `json:"loseAnswers,omitempty"`
	DeadWatches  bool    `json:"deadWatches,omitempty"`
	Restart      bool    `json:"restart,omitempty"`
	Cold         bool    `json:"cold,omitempty"`
	SlowMS       int64   `json:"slowMs,omitempty"`
	Hang         bool    `json:"hang,omitempty"`
	DropAnswers  bool    `json:"dropAnswers,omitempty"`
	Unframed     bool    `json:"unframed,omitempty"`
	ResetReplies bool    `json:"resetReplies,omitempty"`
	Torn         bool    `json:"torn,omitempty"`
}

func (s standin) injectFaults(f faults) {
	s.t.Helper()
	s.post("/admin/faults", f, nil)
}

// counts holds the counters of a stand-in. Each kind of stand-in reports its own.
type counts struct {
	Requests  int64 `json:"requests"`
	Runs      int64 `json:"runs"`
	Doubled   int64 `json:"doubled"`
	FellOver  int64 `json:"fellOver"`
	WorstCold int   `json:"worstCold"`
	Mixed     int64 `json:"mixed"`
	Loads     int64 `json:"loads"`
}

// work returns the number of requests or runs that were started.
func (c counts) work() int64 { return c.Requests + c.Runs }

func (s standin) counts() counts {
	s.t.Helper()
	var c counts
	must.NoError(s.t, json.Unmarshal(s.get("/admin/counts"), &c))
	return c
}

// bookingRuns returns how often each booking ran, over all services.
func (d *deployment) bookingRuns() map[string]int64 {
	d.t.Helper()
	all := map[string]int64{}
	for _, v := range d.services {
		var answer struct {
			Bookings map[string]int64 `json:"bookings"`
		}
		must.NoError(d.t, json.Unmarshal(v.upstream.get("/admin/bookings"), &answer))
		for name, n := range answer.Bookings {
			all[name] += n
		}
	}
	return all
}
