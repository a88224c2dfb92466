package connector

import "net/http"

// NewClient returns a client that returns redirects as they are. Followed, a request goes to any address that a reply
// states, and a write becomes a read whose success counts as the write's.
func NewClient(t *Transport) *http.Client {
	return &http.Client{Transport: t, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}
