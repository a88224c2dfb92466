package main

import (
	"context"
	"net/netip"

	"github.com/oriolecroft/oriolecroft/standins/imitator"
)

func originCommand() command {
	listen := netip.MustParseAddrPort("127.0.0.1:7002")
	o := &imitator.Origin{Seed: 1}
	f := newCommand("origin", "weight store or origin behind one shared link")
	f.NetipAddrPort(&listen, "", "listen", "address to listen on")
	f.Int64(&o.Rate, "", "rate", "speed of the link in bytes a second, 0 for no limit")
	f.UInt64(&o.Seed, "", "seed", "fixes which chunks are corrupted")
	return command{f, func(ctx context.Context) error {
		return serve(ctx, listen, o.Handler())
	}}
}
