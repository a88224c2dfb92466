package main

import (
	"context"
	"net/netip"
	"time"

	"github.com/oriolecroft/oriolecroft/standins/imitator"
)

func serviceCommand() command {
	listen := netip.MustParseAddrPort("127.0.0.1:7004")
	s := &imitator.Service{
		Time:      50 * time.Millisecond,
		Limit:     64,
		ColdLimit: 2,
		ColdFor:   5 * time.Second,
	}
	f := newCommand("service", "plain service whose calls may not be repeated")
	f.NetipAddrPort(&listen, "", "listen", "address to listen on")
	f.Duration(&s.Time, "", "time", "length of one run")
	f.Int(&s.Limit, "", "limit", "requests that run at once")
	f.Int(&s.ColdLimit, "", "coldLimit", "requests that run at once in a cold start")
	f.Duration(&s.ColdFor, "", "coldFor", "length of a cold start")
	return command{f, func(ctx context.Context) error {
		return serve(ctx, listen, s.Handler())
	}}
}
