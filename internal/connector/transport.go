package connector

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
)

// Transport is an http.Transport that checks replies like a ReplyReader. Errors of RoundTrip include *StatusError and
// *InterimBodyError, and *OversizeError for interim replies that are too long together.
type Transport struct{ *http.Transport }

// NewTransport returns a Transport with the limit on heads of a ReplyReader and without compression: a small
// compressed body may expand without limit.
func NewTransport(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Transport {
	return &Transport{&http.Transport{DialContext: dial, DisableCompression: true, MaxResponseHeaderBytes: MaxReplyHead}}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var interim atomic.Int64
	trace := &httptrace.ClientTrace{Got1xxResponse: func(status int, h textproto.MIMEHeader) error {
		// With this hook, net/http limits each interim reply alone.
		if interim.Add(headSize(h)) > MaxReplyHead {
			return &OversizeError{Part: Head, Limit: MaxReplyHead}
		}
		// net/http removes Transfer-Encoding from the header, so only a length shows a body here.
		return checkInterim(status, http.Header(h), nil)
	}}
	res, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := checkFinal(res.StatusCode); err != nil {
		res.Body.Close()
		return nil, err
	}
	return res, nil
}

// headSize returns about the length of a reply's head, in bytes.
func headSize(h textproto.MIMEHeader) int64 {
	n := len("HTTP/1.1 100 \r\n\r\n")
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(": ") + len(v) + len("\r\n")
		}
	}
	return int64(n)
}
