package connector

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// Transport is an http.Transport that checks replies like a ReplyReader. Errors of RoundTrip include *StatusError and
// *InterimBodyError.
type Transport struct{ *http.Transport }

// NewTransport returns a Transport with the limit on heads of a ReplyReader and without compression: a small
// compressed body may expand without limit.
func NewTransport(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Transport {
	return &Transport{&http.Transport{DialContext: dial, DisableCompression: true, MaxResponseHeaderBytes: MaxReplyHead}}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn net.Conn
	var interim int
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn },
		Got1xxResponse: func(status int, h textproto.MIMEHeader) error {
			// net/http limits interim heads together only if nothing receives them.
			if interim += headSize(h); interim > MaxReplyHead {
				return &OversizeError{Part: Head, Limit: MaxReplyHead}
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

// minInterimHead is what an interim reply counts at least, in bytes: the reason in its status line isn't known here.
const minInterimHead = 4 << 10

// headSize returns how much a head with these fields counts towards MaxReplyHead, in bytes.
func headSize(h textproto.MIMEHeader) int {
	size := 0
	for name, values := range h {
		for _, v := range values {
			size += len(name) + len(": \r\n") + len(v)
		}
	}
	return max(size, minInterimHead)
}

// KeepRedirect is a CheckRedirect of http.Client for which a redirect is a reply like others. Followed, a request goes to any
// address that a reply names, and a write becomes a read whose success counts as the write's.
func KeepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
