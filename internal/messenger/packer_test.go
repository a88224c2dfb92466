package messenger_test

import (
	"context"
	"net"
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// Guards against a reply with the cached records of the previous one.
func TestPackedRepliesHoldTheirOwnRecords(t *testing.T) {
	first, other := upstreamRecords(100), upstreamRecords(100)
	other.Records[3].Value = []byte("changed")
	shorter := first
	shorter.Records = first.Records[:50]
	sent := []registrar.Batch{first, first, other, first, shorter, first}
	batches := make(chan registrar.Batch, len(sent))
	for _, b := range sent {
		batches <- b
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := &messenger.Server{Listener: l, OnRecords: func(context.Context, messenger.RecordsQuery) registrar.Batch { return <-batches }}
	go func() { _ = s.Serve(t.Context()) }()
	c := &messenger.Client{Address: netip.MustParseAddrPort(l.Addr().String()), Timeout: testTimeout}
	defer c.Close()
	for _, b := range sent {
		got, err := c.Records(t.Context(), messenger.RecordsQuery{}, c.Timeout)
		must.NoError(t, err)
		must.Eq(t, b.Records, got.Records)
	}
}
