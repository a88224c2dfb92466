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
	// switchEvery is how often it is looked at what the engine should hold.
	switchEvery = 50 * time.Millisecond
	// loadTimeout bounds one load order.
	loadTimeout = 5 * time.Minute
	// fenceShift leaves room for a million orders within one revision.
	fenceShift = 20
)

// switcher puts the engine to the weights that the bundle names: it wants them
// from the loader, and once they are whole and a switch is permitted it closes
// the gate, lets the running requests end, gives the load order, and asks the
// engine what it really holds before the gate opens again.
type switcher struct {
	agent *Agent

	// asked is what the loader was last asked for; only step uses it.
	asked []string

	mu sync.Mutex
	// assigned is the model that the entries gave to this engine.
	assigned string
	// permitted is the revision whose version the engine may be put to.
	permitted uint64
	// served are the manifests that this engine was proved to hold while they
	// were the bundle's: they may be served on until the switch.
	served map[string]bool
	// distrusted is set once a reply showed that the engine holds other bytes than
	// it says, until it was loaded anew.
	distrusted bool
}

// distrust closes the gate to an engine that holds other bytes than it says, such
// as a part of the weights. Its own word would open the gate again at the next
// probe, and each reply would come from a model that nobody published.
func (s *switcher) distrust(err error) {
	klog.ErrorS(err, "Engine is to be loaded anew", "agent", s.agent.ID)
	s.mu.Lock()
	s.distrusted = true
	s.mu.Unlock()
	s.agent.wrongWeights.Inc(1)
	s.agent.Gate.Close(admitter.Unproven)
	s.agent.links.announce()
}

func (s *switcher) trusted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.distrusted
}

// assign takes an entry's word on the model.
func (s *switcher) assign(model string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if model != s.assigned {
		klog.InfoS("Place", "agent", s.agent.ID, "model", model, "before", s.assigned)
		s.assigned = model
	}
}

// permit takes an entry's word on whether the engine may be switched.
func (s *switcher) permit(model string, revision uint64, given bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if given && model == s.assigned {
		s.permitted = revision
	}
}

func (s *switcher) model() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.assigned
}

// servable tells whether an engine that holds a manifest may serve the model.
func (s *switcher) servable(m bundler.Model, manifest string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.distrusted {
		return false
	}
	if manifest == m.Manifest {
		return true
	}
	return s.served[m.Name+" "+manifest]
}

// adapters lists the adapters that the engine holds, for the report.
func adapters(h driver.Health) (names, manifests []string) {
	for _, a := range h.Adapters {
		names = append(names, a.Name)
		manifests = append(manifests, a.Manifest)
	}
	return names, manifests
}

// step does what is due now; while it waits for running requests or for the
// engine, later steps wait with it.
func (s *switcher) step(ctx context.Context) {
	m, revision, ok := s.wanted()
	if !ok {
		return
	}
	h, known := s.agent.proof.get()
	s.want(m, h)
	s.agent.digests.learn(manifests(m))
	if !known {
		return
	}
	if holds(h, m) && s.trusted() {
		s.settle(m)
		return
	}
	if !s.whole(m) || !s.mayDisturb(m, h, revision) {
		return
	}
	if err := s.load(ctx, m, revision); err != nil {
		klog.ErrorS(err, "Load failed", "agent", s.agent.ID, "model", m.Name, "version", m.Version)
	}
}

// wanted is the model that this engine should hold by the bundle in force. One
// that is given no model by the entries takes the only one there is.
func (s *switcher) wanted() (bundler.Model, uint64, bool) {
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

// want tells the loader what to bring and what must stay.
//
// New wants are reported at once: who draws what is worked out from who wants it,
// and a heartbeat's delay here is one for all of the burst.
func (s *switcher) want(m bundler.Model, h driver.Health) {
	wanted := manifests(m)
	s.agent.Loader.Want(wanted)
	if !slices.Equal(wanted, s.asked) {
		s.asked = wanted
		s.agent.links.announce()
	}
	if h.Manifest != "" && h.Manifest != m.Manifest {
		s.agent.Loader.Keep(h.Manifest)
		return
	}
	s.agent.Loader.Keep(manifests(m)...)
}

func manifests(m bundler.Model) []string {
	ms := []string{m.Manifest}
	for _, a := range m.Adapters {
		ms = append(ms, a.Manifest)
	}
	return ms
}

// holds tells whether the engine says that it holds exactly the model's weights
// and adapters.
func holds(h driver.Health, m bundler.Model) bool {
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

func (s *switcher) settle(m bundler.Model) {
	s.mu.Lock()
	s.served = map[string]bool{m.Name + " " + m.Manifest: true}
	s.mu.Unlock()
	s.agent.Gate.Open(admitter.Switching)
}

func (s *switcher) whole(m bundler.Model) bool {
	for _, d := range manifests(m) {
		if _, ok := s.agent.Loader.Complete(d); !ok {
			return false
		}
	}
	return true
}

// mayDisturb tells whether the engine may be switched now: at once when it
// serves nothing anyhow, else only with a permit for this revision.
func (s *switcher) mayDisturb(m bundler.Model, h driver.Health, revision uint64) bool {
	if h.Model != m.Name || !s.servable(m, h.Manifest) {
		return true
	}
	b, _ := s.agent.State.Current()
	if !b.Serves(m.FailureDomains, s.agent.FailureDomain) {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.permitted == revision
}

// OvertakenError reports that the bundle moved on while a switch was prepared.
type OvertakenError struct {
	Revision uint64
}

func (e *OvertakenError) Error() string {
	return fmt.Sprintf("revision %d is no longer in force", e.Revision)
}

func (s *switcher) load(ctx context.Context, m bundler.Model, revision uint64) error {
	a := s.agent
	klog.InfoS("Switch", "agent", a.ID, "model", m.Name, "version", m.Version, "revision", revision)
	a.Gate.Close(admitter.Switching)
	a.links.announce()
	if err := a.Gate.Drained(ctx); err != nil {
		return err
	}
	a.Loader.Keep(manifests(m)...)
	err := s.order(ctx, m, revision)
	if err != nil {
		// The gate stays closed only as long as the engine's contents are not
		// what they should be: the next probe and step decide that.
		a.proof.clear()
	}
	s.verify(ctx, m)
	a.Gate.Open(admitter.Switching)
	a.links.announce()
	return err
}

// order gives the load order with a fence above any the engine has seen. The
// bundle is looked at again right before: an agent that was frozen in between
// wakes with an old order in hand, and would put old weights over newer ones.
func (s *switcher) order(ctx context.Context, m bundler.Model, revision uint64) error {
	e := s.agent.Upstream.(*driver.Engine)
	state, err := e.State(ctx)
	if err != nil {
		return err
	}
	if err := s.agent.State.MayServe(); err != nil {
		return err
	}
	if now, r, ok := s.wanted(); !ok || r != revision || now.Manifest != m.Manifest {
		return &OvertakenError{Revision: revision}
	}
	o, err := s.loadOrder(m, max(state.Fence+1, revision<<fenceShift))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	if _, err = e.Load(ctx, o); err != nil {
		return err
	}
	s.mu.Lock()
	s.distrusted = false
	s.mu.Unlock()
	return nil
}

func (s *switcher) loadOrder(m bundler.Model, fence uint64) (driver.LoadOrder, error) {
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
		WeightsURL: s.url(m.Manifest),
	}
	for _, a := range m.Adapters {
		o.Adapters = append(o.Adapters, driver.AdapterOrder{
			Name: a.Name, Version: a.Version, Manifest: a.Manifest, WeightsURL: s.url(a.Manifest),
		})
	}
	return o, nil
}

func (s *switcher) url(manifest string) string {
	l := s.agent.Listener
	if s.agent.ForEngine != nil {
		l = s.agent.ForEngine
	}
	return "http://" + addressOf(l).String() + "/weights/" + manifest
}

// verify asks the engine what it holds now, whatever the order's answer was: an
// engine that ignores fences may have taken a late, older order after ours.
func (s *switcher) verify(ctx context.Context, m bundler.Model) {
	s.agent.probe(ctx)
	s.agent.hold(ctx)
	h, ok := s.agent.proof.get()
	klog.InfoS("Engine holds", "agent", s.agent.ID, "answered", ok, "model", h.Model,
		"version", h.Version, "wanted", m.Version)
}
