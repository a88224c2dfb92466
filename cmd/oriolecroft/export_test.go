package main

import (
	"context"
	"errors"

	"github.com/thejerf/suture/v4"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// Services builds a daemon of the platform as its command does, runs its services briefly
// and returns them once they have ended.
func Services(ctx context.Context, role string) ([]suture.Service, *registrar.Registrar, error) {
	d, err := newDaemon(role)
	if err != nil {
		return nil, nil, err
	}
	if role == "entry" {
		e, err := newPlatformEntry(d)
		if err != nil {
			return nil, nil, err
		}
		// This listener is not served here, so no service closes it.
		defer func() { _ = e.hoster.Callers.Close() }()
	} else if err := addAgent(d); err != nil {
		return nil, nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	serveErr := d.supervisor.ServeBackground(ctx)
	services := d.supervisor.Services()
	stop()
	if err := <-serveErr; !errors.Is(err, context.Canceled) {
		return nil, nil, err
	}
	return services, d.registrar, nil
}
