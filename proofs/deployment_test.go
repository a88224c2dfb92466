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

	// freshFor and keepFor are the daemons' settings, heartbeat is shorter than
	// the default so that a deployment stands sooner.
	freshFor  = 2500 * time.Millisecond
	keepFor   = time.Second
	heartbeat = 100 * time.Millisecond
	// promptly is the brief's "a few seconds" after which a failure domain or
	// an upstream that was taken out must get no new work.
	promptly = 5 * time.Second

	weightBytes = 256 << 10
	chunkBytes  = 32 << 10
	listLag     = 300 * time.Millisecond
)

// domains are the failure domains, each in the region before the dash. Entry i,
// engine i and service i stand in number i, beginning anew after the last.
var domains = []string{"huon-a", "derwent-a", "tamar-a"}

// kind is what a process stands for.
type kind string

const (
	kindEntry   kind = "entry"
	kindEngine  kind = "engine"
	kindService kind = "service"
)

// shape is what a deployment consists of.
type shape struct {
	entries, engines, services int
	// engine and service change stand-in i before it is used.
	engine  func(i int, e *imitator.Engine)
	service func(i int, s *imitator.Service)
	// inside, if set, says which processes stand inside a partition; the other ones
	// and the platform are outside.
	inside func(k kind, i int) bool
}

// standin is an outside system that runs in this process.
type standin struct {
	t       *testing.T
	address netip.AddrPort
	// starts counts its restarts.
	starts *atomic.Int64
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

// deployment is a whole system.
type deployment struct {
	t                   *testing.T
	host                netip.Addr
	shape               shape
	store, list, origin standin
	partition           *partition
	public, private     string
	entries             []*entry
	engines, services   []*vm
	bundle              bundler.Bundle
	// weights are the digests of all bytes by version.
	weights map[string]string
	changes int
}

// deploy starts a deployment with the first bundle in force and all of its
// upstreams ready.
func deploy(t *testing.T, s shape) *deployment {
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

func newDeployment(t *testing.T, s shape) *deployment {
	t.Helper()
	d := &deployment{t: t, host: host(), shape: s, weights: map[string]string{}}
	d.store = d.serve((&imitator.KV{Seed: 1}).Handler())
	d.list = d.serve((&imitator.List{Lag: listLag}).Handler())
	d.origin = d.serve((&imitator.Origin{Seed: 1}).Handler())
	if s.inside != nil {
		d.partition = &partition{t: t}
	}
	var err error
	d.public, d.private, err = bundler.GenerateKey()
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

// startKey is where a connection's context has the start that it was made to.
type startKey struct{}

// serve runs a stand-in until the test ends.
func (d *deployment) serve(h http.Handler) standin {
	d.t.Helper()
	l := listen(d.t, d.host)
	in := standin{t: d.t, address: addressOf(l), starts: new(atomic.Int64)}
	s := &http.Server{
		Handler:           in.current(h),
		ReadHeaderTimeout: time.Minute,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, startKey{}, in.starts.Load())
		},
	}
	go func() { _ = s.Serve(l) }()
	d.t.Cleanup(func() { s.Close() })
	return in
}

// current breaks connections that were made before a restart, as the end of a
// process does: what had not been read from them must not run afterwards.
func (s standin) current(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/admin") && r.Context().Value(startKey{}) != s.starts.Load() {
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
	})
}

// restart ends a stand-in's connections and has it begin anew.
func (s standin) restart() {
	s.t.Helper()
	s.starts.Add(1)
	s.fault(faults{Restart: true})
}

// inside tells whether a process stands inside the partition.
func (d *deployment) inside(k kind, i int) bool { return d.partition != nil && d.shape.inside(k, i) }

// reach is the address by which a process knows an outside system.
func (d *deployment) reach(k kind, i int, to netip.AddrPort) netip.AddrPort {
	if d.inside(k, i) {
		return d.partition.outgoing(to)
	}
	return to
}

// place makes a way to a process of ours from the partition's other side.
func (d *deployment) place(k kind, i int, a netip.AddrPort) {
	switch {
	case d.partition == nil:
	case d.inside(k, i):
		d.partition.incoming(a)
	default:
		d.partition.outgoing(a)
	}
}

func (d *deployment) addEntry(i int) {
	d.t.Helper()
	e := &entry{
		id:        string(kindEntry) + "-" + strconv.Itoa(i),
		domain:    domains[i%len(domains)],
		callers:   reserve(d.t, d.host),
		peers:     reserve(d.t, d.host),
		operators: reserve(d.t, d.host),
	}
	e.process = &process{t: d.t, name: e.id}
	d.entries = append(d.entries, e)
	d.place(kindEntry, i, e.peers)
	e.args = append([]string{
		"entry", "--id", e.id,
		"--callers", e.callers.String(), "--peers", e.peers.String(), "--operators", e.operators.String(),
		"--store", d.reach(kindEntry, i, d.store.address).String(), "--list", d.reach(kindEntry, i, d.list.address).String(),
		"--entries", strconv.Itoa(d.shape.entries), "--keepFor", keepFor.String(),
	}, d.common(i)...)
	// Entries that were added before hear of this one from it.
	e.args = append(e.args, "--seeds", d.seeds(kindEntry, i))
}

// common are the flags that entries and agents share.
func (d *deployment) common(i int) []string {
	domain := domains[i%len(domains)]
	region, _, _ := strings.Cut(domain, "-")
	return []string{
		"--failureDomain", domain, "--region", region,
		"--keys", d.public, "--freshFor", freshFor.String(), "--heartbeat", heartbeat.String(),
	}
}

// seeds are the peer addresses of the entries so far as a process knows them.
func (d *deployment) seeds(k kind, i int) string {
	var all []string
	for n, e := range d.entries {
		a := e.peers
		if d.inside(k, i) != d.inside(kindEntry, n) {
			a = d.partition.across(a)
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
	if d.shape.engine != nil {
		d.shape.engine(i, e)
	}
	v := d.newVM(kindEngine, i, e.Handler())
	v.args = append(v.args,
		"--engine", v.upstream.address.String(), "--origin", d.reach(kindEngine, i, d.origin.address).String(),
		"--coldLimit", "2", "--limit", "8")
	d.engines = append(d.engines, v)
}

func (d *deployment) addService(i int) {
	d.t.Helper()
	s := &imitator.Service{Time: 20 * time.Millisecond, Limit: 32, ColdLimit: 2, ColdFor: 300 * time.Millisecond}
	if d.shape.service != nil {
		d.shape.service(i, s)
	}
	v := d.newVM(kindService, i, s.Handler())
	v.args = append(v.args,
		"--service", service, "--serviceAddress", v.upstream.address.String(),
		"--coldLimit", "2", "--limit", "16")
	d.services = append(d.services, v)
}

func (d *deployment) newVM(k kind, i int, upstream http.Handler) *vm {
	d.t.Helper()
	v := &vm{
		id:        string(k) + "-" + strconv.Itoa(i),
		domain:    domains[i%len(domains)],
		address:   reserve(d.t, d.host),
		operators: reserve(d.t, d.host),
		upstream:  d.serve(upstream),
	}
	v.process = &process{t: d.t, name: v.id}
	d.place(k, i, v.address)
	v.args = append([]string{
		"agent", "--id", v.id, "--listen", v.address.String(), "--operators", v.operators.String(),
		"--entrySeeds", d.seeds(k, i),
	}, d.common(i)...)
	return v
}

func (d *deployment) agents() []*vm { return slices.Concat(d.engines, d.services) }

// publish signs and rolls the next bundle, with the model's version and what
// else the caller changes. It returns once the bundle is accepted.
func (d *deployment) publish(version string, change func(b *bundler.Bundle)) {
	d.t.Helper()
	must.NoError(d.t, d.tryPublish(version, change))
}

func (d *deployment) tryPublish(version string, change func(b *bundler.Bundle)) error {
	d.t.Helper()
	r := d.next(version, change)
	return d.accept(r)
}

// next makes the bundle after the one that was last made here, signed.
func (d *deployment) next(version string, change func(b *bundler.Bundle)) *bundler.Record {
	d.t.Helper()
	d.changes++
	d.bundle.Revision++
	d.bundle.ChangeID = "change-" + strconv.Itoa(d.changes)
	if d.shape.engines > 0 {
		m := bundler.Model{Name: model, Version: version, Manifest: d.makeWeights(version)}
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
	must.NoError(d.t, r.Sign(d.private))
	return r
}

func (d *deployment) accept(r *bundler.Record) error {
	ctx, cancel := context.WithTimeout(d.t.Context(), patience)
	defer cancel()
	p := &publisher.Publisher{
		Store:   &storer.HTTP{Address: d.store.address},
		Keyring: bundler.Keyring{Keys: []string{d.public}, Threshold: 1},
	}
	_, err := p.Publish(ctx, r)
	return err
}

// drain is the change that takes failure domains out.
func drain(names ...string) func(b *bundler.Bundle) {
	return func(b *bundler.Bundle) {
		b.FailureDomains = slices.Clone(b.FailureDomains)
		for i, f := range b.FailureDomains {
			b.FailureDomains[i].Drained = f.Drained || slices.Contains(names, f.Name)
		}
	}
}

// makeWeights publishes a version's weights and gives the manifest's digest.
func (d *deployment) makeWeights(version string) string {
	d.t.Helper()
	p := imitator.Publication{Model: model, Version: version, Size: weightBytes, ChunkSize: chunkBytes, Seed: seedOf(version)}
	var answer struct {
		Manifest string `json:"manifest"`
	}
	d.origin.post("/admin/publish", p, &answer)
	d.weights[version] = bundler.Digest(d.bytesOf(answer.Manifest))
	return answer.Manifest
}

func seedOf(version string) uint64 {
	n, err := strconv.ParseUint(strings.TrimPrefix(version, "v"), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// bytesOf are all bytes of a manifest's weights. Their digest is what an engine
// names in each token that it made from them.
func (d *deployment) bytesOf(manifest string) []byte {
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

// awaitReady waits until the bundle in force is confirmed by all and all engines
// that should serve do.
func (d *deployment) awaitReady() {
	d.t.Helper()
	eventually(d.t, patience, fmt.Sprintf("revision %d ready", d.bundle.Revision), func() bool {
		p := inspector.Measure(&d.bundle, inspector.Inspector{}.Survey(d.t.Context(), d.operators()))
		return p.AllReady() && p.AllAgents == len(d.agents()) && d.warm()
	})
}

// awaitWide waits until each entry sees all agents of a failure domain, or of all
// if it is empty, let so many requests through.
func (d *deployment) awaitWide(domain string, limit int) {
	d.t.Helper()
	wide := func(a messenger.AgentState) bool {
		return domain != "" && a.FailureDomain != domain || a.Gate == messenger.GateOpen && a.Limit >= limit
	}
	eventually(d.t, patience, fmt.Sprintf("all gates %d wide", limit), func() bool {
		for _, v := range d.agents() {
			if s, ok := v.status(); !ok || !wide(s.State) {
				return false
			}
		}
		for _, e := range d.entries {
			s, err := inspector.Inspector{}.Status(d.t.Context(), e.operators)
			if err != nil || !s.Fresh || len(s.Agents) < len(d.agents()) || !all(s.Agents, wide) {
				return false
			}
		}
		return true
	})
}

func all[T any](vs []T, f func(T) bool) bool {
	return !slices.ContainsFunc(vs, func(v T) bool { return !f(v) })
}

// warm tells whether no upstream is in its cold start any more.
func (d *deployment) warm() bool {
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

func (d *deployment) operators() []netip.AddrPort {
	var as []netip.AddrPort
	for _, e := range d.entries {
		as = append(as, e.operators)
	}
	return as
}

func (d *deployment) callers() []netip.AddrPort {
	var as []netip.AddrPort
	for _, e := range d.entries {
		as = append(as, e.callers)
	}
	return as
}

// revision is the one that an entry holds; 0 while it does not answer.
func (e *entry) revision() uint64 {
	s, err := inspector.Inspector{}.Status(context.Background(), e.operators)
	if err != nil {
		return 0
	}
	return s.State.Freshness.Revision
}

// running is how many callers' requests an entry carries.
func (e *entry) running() int {
	s, _ := inspector.Inspector{}.Status(context.Background(), e.operators)
	return s.Running
}

// status is an agent's own account; ok is false while it does not answer.
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

// get reads what a stand-in answers; nothing when it does not answer.
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

// post sends JSON to a stand-in and reads its answer into reply, unless nil.
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

// faults are what a stand-in is told to do wrong; each kind reads its own.
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

func (s standin) fault(f faults) {
	s.t.Helper()
	s.post("/admin/faults", f, nil)
}

// counts are what a stand-in counted; each kind gives its own.
type counts struct {
	Requests  int64 `json:"requests"`
	Runs      int64 `json:"runs"`
	Doubled   int64 `json:"doubled"`
	FellOver  int64 `json:"fellOver"`
	WorstCold int   `json:"worstCold"`
	Mixed     int64 `json:"mixed"`
	Loads     int64 `json:"loads"`
}

// work is how many requests or runs were begun.
func (c counts) work() int64 { return c.Requests + c.Runs }

func (s standin) counts() counts {
	s.t.Helper()
	var c counts
	must.NoError(s.t, json.Unmarshal(s.get("/admin/counts"), &c))
	return c
}

// runs is how often each booking ran, over all services.
func (d *deployment) runs() map[string]int64 {
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
