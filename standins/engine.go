package main

import (
	"context"
	"net/netip"
	"time"

	"github.com/oriolecroft/oriolecroft/standins/imitator"
)

func engineCommand() command {
	listen := netip.MustParseAddrPort("127.0.0.1:7003")
	e := &imitator.Engine{
		Limit:        16,
		Queue:        32,
		ColdLimit:    2,
		ColdFor:      5 * time.Second,
		TokenTime:    10 * time.Millisecond,
		LoadLag:      500 * time.Millisecond,
		CacheEntries: 256,
		EventLag:     time.Second,
	}
	f := newCommand("engine", "model engine with continuous batching and a cold start")
	f.NetipAddrPort(&listen, "", "listen", "address to listen on")
	f.Int(&e.Limit, "", "limit", "requests that run at once")
	f.Int(&e.Queue, "", "queue", "requests that may wait")
	f.Int(&e.ColdLimit, "", "coldLimit", "requests that run at once in a cold start")
	f.Duration(&e.ColdFor, "", "coldFor", "length of a cold start")
	f.Duration(&e.TokenTime, "", "tokenTime", "time from token to token in a small batch")
	f.Bool(&e.IgnoreFence, "", "ignoreFence", "take orders whatever their fencing number")
	f.Duration(&e.LoadLag, "", "loadLag", "age of the reported load")
	f.Int(&e.CacheEntries, "", "cacheEntries", "prefixes that the cache holds")
	f.Duration(&e.EventLag, "", "eventLag", "age of a cache event before it is shown")
	return command{f, func(ctx context.Context) error {
		return serve(ctx, listen, e.Handler())
	}}
}
