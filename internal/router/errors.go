package router

import (
	"fmt"
	"time"
)

// NoBundleError refuses all requests until a bundle is known.
type NoBundleError struct{}

func (e *NoBundleError) Error() string { return "no bundle is known yet" }

// UnknownWorkspaceError reports a workspace that is not in the bundle.
type UnknownWorkspaceError struct {
	Workspace string
}

func (e *UnknownWorkspaceError) Error() string {
	return fmt.Sprintf("no workspace %q in the bundle", e.Workspace)
}

// UnknownModelError reports a model or adapter that is not in the bundle.
type UnknownModelError struct {
	Model, Adapter string
}

func (e *UnknownModelError) Error() string {
	if e.Adapter != "" {
		return fmt.Sprintf("no adapter %q of model %q in the bundle", e.Adapter, e.Model)
	}
	return fmt.Sprintf("no model %q in the bundle", e.Model)
}

// UnknownServiceError reports a service that is not in the bundle.
type UnknownServiceError struct {
	Service string
}

func (e *UnknownServiceError) Error() string {
	return fmt.Sprintf("no service %q in the bundle", e.Service)
}

// NotAllowedError refuses a workspace a model or service that the bundle doesn't
// grant it.
type NotAllowedError struct {
	Workspace, Name string
}

func (e *NotAllowedError) Error() string {
	return fmt.Sprintf("workspace %s may not use %s", e.Workspace, e.Name)
}

// NoReplicaError reports that no known replica could serve the request even if
// all were idle.
type NoReplicaError struct {
	// Name is the model or service.
	Name string
}

func (e *NoReplicaError) Error() string { return "no replica serves " + e.Name }

// FullError reports that every known replica that serves the request is full,
// refused it or recently failed.
type FullError struct {
	Name string
	// RetryAfter is when a slot is likely to be free, randomized.
	RetryAfter time.Duration
}

func (e *FullError) Error() string {
	return fmt.Sprintf("all replicas of %s are full; retry after %s", e.Name, e.RetryAfter)
}
