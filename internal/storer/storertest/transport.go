// Package storertest connects a storer.HTTP to a handler in the same process, so
// that tests run the real protocol in virtual time, without sockets.
package storertest

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"sync/atomic"
)

// Transport is an http.RoundTripper that calls a handler. To the client, a handler that
// panics looks like a broken connection.
type Transport struct {
	Handler http.Handler
	// Cut, if true, blocks each call until its context ends.
	Cut atomic.Bool
	// Calls counts the calls, including blocked ones.
	Calls atomic.Int64
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.Calls.Add(1)
	if t.Cut.Load() {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	done := make(chan *http.Response, 1)
	go func() {
		defer close(done)
		defer func() { _ = recover() }()
		w := httptest.NewRecorder()
		served := r.Clone(r.Context())
		if served.Body == nil {
			served.Body = http.NoBody
		}
		t.Handler.ServeHTTP(w, served)
		done <- w.Result()
	}()
	select {
	case res, ok := <-done:
		if !ok {
			return nil, io.ErrUnexpectedEOF
		}
		return res, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}
