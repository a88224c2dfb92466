package main

import (
	"context"

	"github.com/thejerf/suture/v4"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// Parts puts a daemon of the platform together as its command does, and runs its parts
// until the context ends.
func Parts(ctx context.Context, role string) ([]suture.Service, *registrar.Registrar, error) {
	d, err := newDaemon(role)
	if err != nil {
		return nil, nil, err
	}
	if role == "entry" {
		_, err = newPlatformEntry(d)
	} else {
		err = addAgent(d)
	}
	if err != nil {
		return nil, nil, err
	}
	d.parts.ServeBackground(ctx)
	return d.parts.Services(), d.registrar, nil
}
