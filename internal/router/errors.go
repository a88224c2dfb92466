package router

import (
	"fmt"
	"time"
)

// NoBundleError refuses everything until a bundle is known.
type NoBundleError struct{}

func (e *NoBundleError) Error() string { return "no bundle is known yet" }

// UnknownWorkspaceError names a workspace that the bundle does not.
type UnknownWorkspaceError struct {
	Workspace string
}

func (e *UnknownWorkspaceError) Error() string {
	return fmt.Sprintf("no workspace %q in the bundle", e.Workspace)
}

// UnknownModelError names a model, or an adapter of it, that the bundle does not.
type UnknownModelError struct {
	Model, Adapter string
}

func (e *UnknownModelError) Error() string {
	if e.Adapter != "" {
		return fmt.Sprintf("no adapter %q of model %q in the bundle", e.Adapter, e.Model)
	}
	return fmt.Sprintf("no model %q in the bundle", e.Model)
}

// UnknownServiceError names a service that the bundle does not.
type UnknownServiceError struct {
	Service string
}

func (e *UnknownServiceError) Error() string {
	return fmt.Sprintf("no service %q in the bundle", e.Service)
}

// NotAllowedError refuses a workspace a model or service that the bundle does
// not give it.
type NotAllowedError struct {
	Workspace, Name string
}

func (e *NotAllowedError) Error() string {
	return fmt.Sprintf("workspace %s may not use %s", e.Workspace, e.Name)
}

// NoReplicaError says that no replica known here could serve the request even if
// all were idle.
type NoReplicaError struct {
	// Name is the model or service.
	Name string
}

func (e *NoReplicaError) Error() string { return "no replica serves " + e.Name }

// FullError says that every replica known here that serves the request is full,
// refused it or just failed.
type FullError struct {
	Name string
	// RetryAfter is when a place is likely to be free, spread at random.
	RetryAfter time.Duration
}

func (e *FullError) Error() string {
	return fmt.Sprintf("all replicas of %s are full; retry after %s", e.Name, e.RetryAfter)
}
