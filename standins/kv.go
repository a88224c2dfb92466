package main

import (
	"context"
	"net/netip"

	"github.com/oriolecroft/oriolecroft/standins/imitator"
)

func kvCommand() command {
	listen := netip.MustParseAddrPort("127.0.0.1:7000")
	k := &imitator.KV{Seed: 1}
	f := newCommand("kv", "key-value service with compare-and-swap, leases and watches")
	f.NetipAddrPort(&listen, "", "listen", "address to listen on")
	f.UInt64(&k.Seed, "", "seed", "fixes which answers are lost")
	return command{f, func(ctx context.Context) error {
		return serve(ctx, listen, k.Handler())
	}}
}
