package main

import (
	"context"
	"net/netip"
	"time"

	"github.com/oriolecroft/oriolecroft/standins/imitator"
)

func listCommand() command {
	listen := netip.MustParseAddrPort("127.0.0.1:7001")
	l := &imitator.List{Lag: 2 * time.Second}
	f := newCommand("list", "lagging list of VMs")
	f.NetipAddrPort(&listen, "", "listen", "address to listen on")
	f.Duration(&l.Lag, "", "lag", "age of the shown list")
	return command{f, func(ctx context.Context) error {
		return serve(ctx, listen, l.Handler())
	}}
}
