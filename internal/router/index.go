package router

import (
	"slices"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

// index is a bundle prepared for lookups on each request.
type index struct {
	bundle     *bundler.Bundle
	revision   uint64
	workspaces map[string]*bundler.Workspace
	models     map[string]*bundler.Model
	services   map[string]*bundler.Service
}

func newIndex(b *bundler.Bundle) *index {
	x := &index{
		bundle:     b,
		revision:   b.Revision,
		workspaces: make(map[string]*bundler.Workspace, len(b.Workspaces)),
		models:     make(map[string]*bundler.Model, len(b.Models)),
		services:   make(map[string]*bundler.Service, len(b.Services)),
	}
	for i := range b.Workspaces {
		x.workspaces[b.Workspaces[i].Name] = &b.Workspaces[i]
	}
	for i := range b.Models {
		x.models[b.Models[i].Name] = &b.Models[i]
	}
	for i := range b.Services {
		x.services[b.Services[i].Name] = &b.Services[i]
	}
	return x
}

// allowsWork reports whether the bundle allows new work on an agent.
func (x *index) allowsWork(s messenger.AgentState) bool {
	if s.Kind == messenger.KindService {
		v := x.services[s.Service]
		return v != nil && x.bundle.Serves(v.FailureDomains, s.FailureDomain)
	}
	m := x.models[s.Model]
	return m != nil && s.Version != "" && x.bundle.Serves(m.FailureDomains, s.FailureDomain)
}

// holdsAnnouncedWeights reports whether an agent holds the bundle's weights.
func (x *index) holdsAnnouncedWeights(s messenger.AgentState) bool {
	m := x.models[s.Model]
	return s.Kind == messenger.KindService || m != nil && m.Manifest == s.Manifest
}

// poolFor returns the pool for a request, or an error if there is none.
func (x *index) poolFor(q Request) (poolKey, error) {
	w := x.workspaces[q.Workspace]
	if w == nil {
		return poolKey{}, &UnknownWorkspaceError{Workspace: q.Workspace}
	}
	if q.Service != "" {
		return x.checkService(w, q)
	}
	return x.checkModel(w, q)
}

func (x *index) checkService(w *bundler.Workspace, q Request) (poolKey, error) {
	if x.services[q.Service] == nil {
		return poolKey{}, &UnknownServiceError{Service: q.Service}
	}
	if !slices.Contains(w.Services, q.Service) {
		return poolKey{}, &NotAllowedError{Workspace: w.Name, Name: q.Service}
	}
	return poolKeyFor("", q.Service), nil
}

func (x *index) checkModel(w *bundler.Workspace, q Request) (poolKey, error) {
	m := x.models[q.Model]
	if m == nil {
		return poolKey{}, &UnknownModelError{Model: q.Model}
	}
	if !slices.Contains(w.Models, q.Model) {
		return poolKey{}, &NotAllowedError{Workspace: w.Name, Name: q.Model}
	}
	matches := func(a bundler.Adapter) bool { return a.Name == q.Adapter }
	if q.Adapter != "" && !slices.ContainsFunc(m.Adapters, matches) {
		return poolKey{}, &UnknownModelError{Model: q.Model, Adapter: q.Adapter}
	}
	return poolKeyFor(q.Model, ""), nil
}
