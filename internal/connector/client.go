package connector

import "net/http"

// NewClient returns a client that returns redirects as they are. The servers called here send none, and another server's
// answer, or that to another method, must not count as that of the one called.
func NewClient(t *Transport) *http.Client {
	return &http.Client{Transport: t, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}
