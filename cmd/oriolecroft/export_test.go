package main

import (
	"context"
	"errors"

	"github.com/thejerf/suture/v4"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// Parts puts a daemon of the platform together as its command does, runs its parts for a
// moment and gives them once they have ended.
func Parts(ctx context.Context, role string) ([]suture.Service, *registrar.Registrar, error) {
	d, err := newDaemon(role)
	if err != nil {
		return nil, nil, err
	}
	if role == "entry" {
		e, err := newPlatformEntry(d)
		if err != nil {
			return nil, nil, err
		}
		// Nothing serves this one here, and so nothing closes it.
		defer func() { _ = e.hoster.Callers.Close() }()
	} else if err := addAgent(d); err != nil {
		return nil, nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	ended := d.parts.ServeBackground(ctx)
	parts := d.parts.Services()
	stop()
	if err := <-ended; !errors.Is(err, context.Canceled) {
		return nil, nil, err
	}
	return parts, d.registrar, nil
}
