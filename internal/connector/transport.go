package connector

import (
	"context"
	"net"
	"net/http"
)

// NewTransport returns an http.Transport with the limit on heads of a ReplyReader and without compression: a small
// compressed body may expand without limit.
func NewTransport(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Transport {
	return &http.Transport{DialContext: dial, DisableCompression: true, MaxResponseHeaderBytes: MaxReplyHead}
}
