package connector

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
)

// maxInterimReplies limits the interim replies before a Transport's final one.
const maxInterimReplies = 16

// Transport is an http.Transport that checks replies like a ReplyReader. Errors of RoundTrip include *StatusError,
// *InterimBodyError and *InterimCountError.
type Transport struct{ *http.Transport }

// NewTransport returns a Transport with the limit on heads of a ReplyReader and without compression: a small
// compressed body may expand without limit.
func NewTransport(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Transport {
	return &Transport{&http.Transport{DialContext: dial, DisableCompression: true, MaxResponseHeaderBytes: MaxReplyHead}}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn net.Conn
	var interim atomic.Int32
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn },
		Got1xxResponse: func(status int, h textproto.MIMEHeader) error {
			// With this function net/http limits the head of each reply only.
			if interim.Add(1) > maxInterimReplies {
				return &InterimCountError{Limit: maxInterimReplies}
			}
			// net/http removes Transfer-Encoding from the header, so only a length shows a body here.
			return checkInterim(status, http.Header(h), nil)
		},
	}
	res, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := checkFinal(res.StatusCode); err != nil {
		res.Body.Close()
		// net/http would use it again after an empty reply.
		conn.Close()
		return nil, err
	}
	return res, nil
}
