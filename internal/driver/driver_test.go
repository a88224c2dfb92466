package driver_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/bodyreader/bodyreadertest"
	"github.com/oriolecroft/oriolecroft/internal/driver"
)

// serve starts an upstream and counts the requests that reach its handler.
func serve(t *testing.T, h http.HandlerFunc) (netip.AddrPort, *atomic.Int64) {
	t.Helper()
	count := new(atomic.Int64)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		count.Add(1)
		h(w, r)
	}))
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(s.Listener.Addr().String()), count
}

// hijack takes the connection from the HTTP server, writes text and closes it.
func hijack(w http.ResponseWriter, text string) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = io.WriteString(c, text)
	c.Close()
}

// unusedAddress returns an address without a listener.
func unusedAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	l.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}

// requireErrorAs returns the error of type E in err's chain.
func requireErrorAs[E error](t *testing.T, err error) E {
	t.Helper()
	var e E
	must.True(t, errors.As(err, &e), must.Sprintf("%T: %v", err, err))
	return e
}

// checkErrorAs checks that an error of type E is in err's chain.
func checkErrorAs[E error](t *testing.T, err error) {
	t.Helper()
	_ = requireErrorAs[E](t, err)
}

// Guards against calls that net/http resends: a service crashes between booking and
// answering, which breaks a reused connection, and net/http considers a request with
// an idempotency key and no body repeatable. The slot is booked twice while the logs
// show one call.
func TestCallIsSentOnce(t *testing.T) {
	address, count := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/book" {
			hijack(w, "")
		}
	})
	s := driver.Service{Address: address}
	resp, err := s.Call(t.Context(), http.MethodPost, "/warm", nil, nil)
	must.NoError(t, err)
	defer resp.Body.Close()
	_, err = driver.ReadReply(resp, 100)
	must.NoError(t, err)
	for _, name := range []string{"Idempotency-Key", "x-idempotency-key"} {
		count.Store(0)
		resp, err := s.Call(t.Context(), http.MethodPost, "/book", http.Header{name: {"7"}}, nil)
		closeReply(resp)
		checkErrorAs[*driver.UnknownError](t, err)
		test.Eq(t, 1, count.Load())
	}
}

func closeReply(resp *http.Response) {
	if resp != nil {
		resp.Body.Close()
	}
}

// Guards against following a service's redirect (307), which would send the booking
// to an address that no gate counts and no operator has configured.
func TestCallFollowsNoRedirect(t *testing.T) {
	address, count := serve(t, func(w http.ResponseWriter, r *http.Request) {
		http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
	})
	s := driver.Service{Address: address}
	resp, err := s.Call(t.Context(), http.MethodPost, "/book", nil, nil)
	must.NoError(t, err)
	closeReply(resp)
	test.Eq(t, http.StatusTemporaryRedirect, resp.StatusCode)
	test.Eq(t, 1, count.Load())
}

func TestCallForwardsTheRequest(t *testing.T) {
	address, _ := serve(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		fmt.Fprint(w, r.Header.Get("Booking"), r.Header.Get("Idempotency-Key"), r.Close, r.ContentLength, string(body))
	})
	connected := false
	ctx := driver.OnConnect(t.Context(), func() { connected = true })
	s := driver.Service{Address: address}
	header := http.Header{"Booking": {"b7"}, "Idempotency-Key": {"x"}}
	resp, err := s.Call(ctx, http.MethodPost, "/book", header, strings.NewReader(" slot 4"))
	must.NoError(t, err)
	defer resp.Body.Close()
	data, err := driver.ReadReply(resp, 100)
	must.NoError(t, err)
	test.Eq(t, "b7true 7 slot 4", string(data))
	test.True(t, connected)
}

// Guards against reporting "not run" for a call that may have run: the caller would
// book the slot a second time. Only a failed dial proves that nothing ran.
func TestErrorsDistinguishNotSentFromUnknown(t *testing.T) {
	s := driver.Service{Address: unusedAddress(t)}
	resp, err := s.Call(t.Context(), http.MethodPost, "/book", nil, strings.NewReader("x"))
	closeReply(resp)
	checkErrorAs[*driver.NotSentError](t, err)
	test.True(t, driver.NotSent(err))

	ctx, cancel := context.WithCancel(t.Context())
	address, _ := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		cancel()
		<-r.Context().Done()
	})
	s = driver.Service{Address: address}
	resp, err = s.Call(ctx, http.MethodPost, "/book", nil, nil)
	closeReply(resp)
	checkErrorAs[*driver.UnknownError](t, err)
	test.False(t, driver.NotSent(err))
}

// Guards against a truncated reply that counts as whole because the service crashed
// while it wrote the reply.
func TestReadReplyDetectsTruncation(t *testing.T) {
	replies := map[string]bool{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nslot":                            true,
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nslot":                            false,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nslot\r\n0\r\n\r\n": true,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nslot\r\n":          false,
	}
	for text, whole := range replies {
		address, _ := serve(t, func(w http.ResponseWriter, _ *http.Request) { hijack(w, text) })
		s := driver.Service{Address: address}
		resp, err := s.Call(t.Context(), http.MethodPost, "/book", nil, nil)
		must.NoError(t, err)
		defer resp.Body.Close()
		data, err := driver.ReadReply(resp, 100)
		if whole {
			must.NoError(t, err)
			test.Eq(t, "slot", string(data))
			continue
		}
		checkErrorAs[*driver.CutError](t, err)
	}
}

// Guards against an upstream that sends endless reply headers.
func TestEndlessHeadIsAnError(t *testing.T) {
	bodyreadertest.EndlessHeads(t, func(a netip.AddrPort) error {
		_, err := (&driver.Engine{Address: a}).State(t.Context())
		return err
	})
}

// Guards against an upstream's reply whose status HTTP doesn't define: it would be kept as the result of a booking, or count
// as a refusal of a request that may have run.
func TestInvalidStatusIsUnknown(t *testing.T) {
	const body = `{"startId":"s","version":"v1"}`
	for name, send := range map[string]func(ctx context.Context, a netip.AddrPort) error{
		"call": func(ctx context.Context, a netip.AddrPort) error {
			resp, err := (&driver.Service{Address: a}).Call(ctx, http.MethodPost, "/book", nil, strings.NewReader("slot"))
			closeReply(resp)
			return err
		},
		"generate": func(ctx context.Context, a netip.AddrPort) error {
			_, err := (&driver.Engine{Address: a}).Generate(ctx, driver.GenerateRequest{})
			return err
		},
		"resume": func(ctx context.Context, a netip.AddrPort) error {
			_, err := (&driver.Engine{Address: a}).Resume(ctx, "s", 3)
			return err
		},
		"load": func(ctx context.Context, a netip.AddrPort) error {
			_, err := (&driver.Engine{Address: a}).Load(ctx, driver.LoadOrder{Fence: 4})
			return err
		},
		"role": func(ctx context.Context, a netip.AddrPort) error {
			return (&driver.Engine{Address: a}).SetRole(ctx, 4, driver.RoleBoth)
		},
		"cancel": func(ctx context.Context, a netip.AddrPort) error {
			return (&driver.Engine{Address: a}).Cancel(ctx, "s")
		},
		"engine's state": func(ctx context.Context, a netip.AddrPort) error {
			_, err := (&driver.Engine{Address: a}).State(ctx)
			return err
		},
		"service's state": func(ctx context.Context, a netip.AddrPort) error {
			_, err := (&driver.Service{Address: a}).State(ctx)
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			bodyreadertest.InvalidStatuses(t, "", body, func(t *testing.T, a netip.AddrPort) error {
				err := send(t.Context(), a)
				checkErrorAs[*driver.UnknownError](t, err)
				test.False(t, driver.NotSent(err))
				return err
			})
		})
	}
}
