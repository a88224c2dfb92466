package connector

import (
	"context"
	"net"
	"net/http"
)

// NewTransport makes a transport of net/http that reads heads as long as a ReplyReader does, and no bodies that are
// compressed: a small one may stand for one without end.
func NewTransport(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Transport {
	return &http.Transport{DialContext: dial, DisableCompression: true, MaxResponseHeaderBytes: MaxReplyHead}
}
