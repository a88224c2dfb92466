package agent

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/oriolecroft/oriolecroft/internal/admitter"
	"github.com/oriolecroft/oriolecroft/internal/driver"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

const (
	// switchInterval is how often the engine's contents are compared with the bundle.
	switchInterval = 50 * time.Millisecond
	// loadTimeout bounds one load order.
	loadTimeout = 5 * time.Minute
	// fenceShift leaves room for a million orders within one revision.
	fenceShift = 20
)

// switcher loads the weights that the bundle names into the engine: it requests them
// from the loader, and once they are whole and a switch is permitted it closes the
// gate, lets the running requests end, sends the load order, and probes what the
// engine really holds before the gate opens again.
type switcher struct {
	agent *Agent

	// lastWanted is the last request to the loader; only step uses it.
	lastWanted []string

	mu sync.Mutex
	// assigned is the model that the entries assigned to this engine.
	assigned string
	// permittedRevision is the revision that the engine may be switched to.
	permittedRevision uint64
	// servedManifests are the manifests that this engine was proved to hold while they
	// were the bundle's: they may be served until the switch.
	servedManifests map[string]bool
	// untrusted is set once a reply showed that the engine holds other bytes than it
	// reports, until it is loaded again.
	untrusted bool
}

// markUntrusted closes the gate to an engine that holds other bytes than it reports,
// such as a part of the weights. Its next probe would otherwise open the gate, and
// each reply would come from a model that nobody published.
func (s *switcher) markUntrusted(err error) {
	klog.ErrorS(err, "Engine holds wrong weights and will be reloaded", "agent", s.agent.ID)
	s.mu.Lock()
	s.untrusted = true
	s.mu.Unlock()
	s.agent.wrongWeights.Inc(1)
	s.agent.Gate.Close(admitter.Unproven)
	s.agent.links.reportNow()
}

func (s *switcher) trusted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.untrusted
}

// assign sets the model that an entry assigned.
func (s *switcher) assign(model string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if model != s.assigned {
		klog.InfoS("Place", "agent", s.agent.ID, "model", model, "before", s.assigned)
		s.assigned = model
	}
}

// permit records an entry's permit to switch the engine.
func (s *switcher) permit(model string, revision uint64, given bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if given && model == s.assigned {
		s.permittedRevision = revision
	}
}

func (s *switcher) assignedModel() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.assigned
}

// servable reports whether an engine that holds a manifest may serve the model.
func (s *switcher) servable(m bundler.Model, manifest string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.untrusted {
		return false
	}
	if manifest == m.Manifest {
		return true
	}
	return s.servedManifests[m.Name+" "+manifest]
}

// adapters lists the adapters that the engine holds, for the report.
func adapters(h driver.Health) (names, manifests []string) {
	for _, a := range h.Adapters {
		names = append(names, a.Name)
		manifests = append(manifests, a.Manifest)
	}
	return names, manifests
}

// step does what is due; while it waits for running requests or for the engine,
// later steps wait with it.
func (s *switcher) step(ctx context.Context) {
	m, revision, ok := s.wantedModel()
	if !ok {
		return
	}
	h, known := s.agent.health.get()
	s.requestWeights(m, h)
	s.agent.digests.computeMissing(manifestsOf(m))
	if !known {
		return
	}
	if holdsModel(h, m) && s.trusted() {
		s.markServed(m)
		return
	}
	if !s.weightsWhole(m) || !s.maySwitch(m, h, revision) {
		return
	}
	if err := s.switchEngine(ctx, m, revision); err != nil {
		klog.ErrorS(err, "Load failed", "agent", s.agent.ID, "model", m.Name, "version", m.Version)
	}
}

// wantedModel is the model that this engine should hold by the bundle in force. An
// engine without an assignment takes the only model, if there is just one.
func (s *switcher) wantedModel() (bundler.Model, uint64, bool) {
	b, _ := s.agent.State.Current()
	if b == nil {
		return bundler.Model{}, 0, false
	}
	ms := b.ModelsIn(s.agent.FailureDomain)
	s.mu.Lock()
	assigned := s.assigned
	s.mu.Unlock()
	for _, m := range ms {
		if m.Name == assigned {
			return m, b.Revision, true
		}
	}
	if len(ms) == 1 {
		return ms[0], b.Revision, true
	}
	return bundler.Model{}, 0, false
}

// requestWeights passes the loader what to fetch and what to keep.
//
// New requests are reported at once: the fetches of all agents are planned from them,
// and a heartbeat's delay here delays the whole burst.
func (s *switcher) requestWeights(m bundler.Model, h driver.Health) {
	wanted := manifestsOf(m)
	s.agent.Loader.Want(wanted)
	if !slices.Equal(wanted, s.lastWanted) {
		s.lastWanted = wanted
		s.agent.links.reportNow()
	}
	if h.Manifest != "" && h.Manifest != m.Manifest {
		s.agent.Loader.Keep(h.Manifest)
		return
	}
	s.agent.Loader.Keep(manifestsOf(m)...)
}

func manifestsOf(m bundler.Model) []string {
	ms := []string{m.Manifest}
	for _, a := range m.Adapters {
		ms = append(ms, a.Manifest)
	}
	return ms
}

// holdsModel reports whether the engine states exactly the model's weights and
// adapters.
func holdsModel(h driver.Health, m bundler.Model) bool {
	if h.Model != m.Name || h.Version != m.Version || h.Manifest != m.Manifest {
		return false
	}
	if len(h.Adapters) != len(m.Adapters) {
		return false
	}
	for i, a := range m.Adapters {
		if h.Adapters[i].Name != a.Name || h.Adapters[i].Manifest != a.Manifest {
			return false
		}
	}
	return true
}

func (s *switcher) markServed(m bundler.Model) {
	s.mu.Lock()
	s.servedManifests = map[string]bool{m.Name + " " + m.Manifest: true}
	s.mu.Unlock()
	s.agent.Gate.Open(admitter.Switching)
}

func (s *switcher) weightsWhole(m bundler.Model) bool {
	for _, d := range manifestsOf(m) {
		if _, ok := s.agent.Loader.Complete(d); !ok {
			return false
		}
	}
	return true
}

// maySwitch reports whether the engine may be switched: at once when it serves
// nothing anyhow, else only with a permit for this revision.
func (s *switcher) maySwitch(m bundler.Model, h driver.Health, revision uint64) bool {
	if h.Model != m.Name || !s.servable(m, h.Manifest) {
		return true
	}
	b, _ := s.agent.State.Current()
	if !b.Serves(m.FailureDomains, s.agent.FailureDomain) {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.permittedRevision == revision
}

// SupersededError reports that the bundle changed while a switch was prepared.
type SupersededError struct {
	Revision uint64
}

func (e *SupersededError) Error() string {
	return fmt.Sprintf("revision %d is no longer in force", e.Revision)
}

func (s *switcher) switchEngine(ctx context.Context, m bundler.Model, revision uint64) error {
	a := s.agent
	klog.InfoS("Switch", "agent", a.ID, "model", m.Name, "version", m.Version, "revision", revision)
	a.Gate.Close(admitter.Switching)
	a.links.reportNow()
	if err := a.Gate.WaitIdle(ctx); err != nil {
		return err
	}
	a.Loader.Keep(manifestsOf(m)...)
	err := s.sendLoadOrder(ctx, m, revision)
	if err != nil {
		// The gate stays closed only as long as the engine's contents are not what they
		// should be: the next probe and step decide that.
		a.health.clear()
	}
	s.verify(ctx, m)
	a.Gate.Open(admitter.Switching)
	a.links.reportNow()
	return err
}

// sendLoadOrder sends the load order with a fence above any that the engine has seen.
// The bundle is checked again right before: an agent that was suspended meanwhile
// would send an outdated order and replace newer weights.
func (s *switcher) sendLoadOrder(ctx context.Context, m bundler.Model, revision uint64) error {
	e := s.agent.Upstream.(*driver.Engine)
	state, err := e.State(ctx)
	if err != nil {
		return err
	}
	if err := s.agent.State.MayServe(); err != nil {
		return err
	}
	if current, r, ok := s.wantedModel(); !ok || r != revision || current.Manifest != m.Manifest {
		return &SupersededError{Revision: revision}
	}
	o, err := s.newLoadOrder(m, max(state.Fence+1, revision<<fenceShift))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	if _, err = e.Load(ctx, o); err != nil {
		return err
	}
	s.mu.Lock()
	s.untrusted = false
	s.mu.Unlock()
	return nil
}

func (s *switcher) newLoadOrder(m bundler.Model, fence uint64) (driver.LoadOrder, error) {
	manifest, ok := s.agent.Loader.Complete(m.Manifest)
	if !ok {
		return driver.LoadOrder{}, errors.New("weights were evicted before the order")
	}
	o := driver.LoadOrder{
		Fence:      fence,
		Model:      m.Name,
		Version:    m.Version,
		Manifest:   m.Manifest,
		Size:       manifest.Size,
		WeightsURL: s.weightsURL(m.Manifest),
	}
	for _, a := range m.Adapters {
		o.Adapters = append(o.Adapters, driver.AdapterOrder{
			Name: a.Name, Version: a.Version, Manifest: a.Manifest, WeightsURL: s.weightsURL(a.Manifest),
		})
	}
	return o, nil
}

func (s *switcher) weightsURL(manifest string) string {
	l := s.agent.Listener
	if s.agent.ForEngine != nil {
		l = s.agent.ForEngine
	}
	return "http://" + addressOf(l).String() + "/weights/" + manifest
}

// verify probes what the engine holds, whatever the order's answer was: an engine
// that ignores fences may have executed a late, older order after ours.
func (s *switcher) verify(ctx context.Context, m bundler.Model) {
	s.agent.probe(ctx)
	s.agent.updateHolds(ctx)
	h, ok := s.agent.health.get()
	klog.InfoS("Engine state after load", "agent", s.agent.ID, "answered", ok, "model", h.Model,
		"version", h.Version, "wanted", m.Version)
}
