package forwarder_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/bodyreader"
	"github.com/oriolecroft/oriolecroft/internal/bodyreader/bodyreadertest"
	"github.com/oriolecroft/oriolecroft/internal/forwarder"
)

const testTimeout = 10 * time.Second

var attempt = forwarder.Attempt{RequestID: "r7", Number: 2}

// serveRaw starts an agent that reads each request, answers with raw bytes and
// closes the connection. It counts the requests.
func serveRaw(t *testing.T, response string) (netip.AddrPort, *atomic.Int64) {
	count := new(atomic.Int64)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		count.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(c, response)
		c.Close()
	}))
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(s.Listener.Addr().String()), count
}

// responseHead returns the head of a response to the attempt, with more header lines.
func responseHead(lines ...string) string {
	h := []string{"HTTP/1.1 200 OK", "Oriolecroft-Request: r7", "Oriolecroft-Attempt: 2", "Oriolecroft-Outcome: ran"}
	return strings.Join(append(h, lines...), "\r\n") + "\r\n\r\n"
}

func client() *forwarder.Client { return forwarder.NewClient(new(net.Dialer).DialContext) }

func call(t *testing.T, to netip.AddrPort) (*forwarder.Reply, error) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	o := forwarder.CallOrder{Attempt: attempt, Key: "k", DeadlineMS: 1000}
	return client().Call(ctx, to, o, []byte("slot 4"))
}

func generate(t *testing.T, to netip.AddrPort) (*forwarder.Stream, error) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	return client().Generate(ctx, to, forwarder.GenerateOrder{Attempt: attempt, DeadlineMS: 1000})
}

// errorAs returns the first error of type E in err's chain.
func errorAs[E error](t *testing.T, err error) E {
	t.Helper()
	var e E
	must.True(t, errors.As(err, &e), must.Sprintf("%T: %v", err, err))
	return e
}

func requireError[E error](t *testing.T, err error) {
	t.Helper()
	_ = errorAs[E](t, err)
}

// Guards against giving up a booking whose agent's VM is gone and refuses connections.
// Nothing was sent, so the booking may be retried on another agent.
func TestFailedDialIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, l.Close())
	addr := netip.MustParseAddrPort(l.Addr().String())
	_, err = call(t, addr)
	must.True(t, errorAs[*forwarder.NotRunError](t, err).Gone)
	_, err = generate(t, addr)
	must.True(t, errorAs[*forwarder.NotRunError](t, err).Gone)
}

// An agent crashes after it has read the request. The booking may have run: reported
// errorAs not run, or retried by the HTTP library, it would book two crews.
func TestClosedConnectionIsUnknown(t *testing.T) {
	addr, count := serveRaw(t, "")
	_, err := call(t, addr)
	requireError[*forwarder.UnknownError](t, err)
	_, err = generate(t, addr)
	requireError[*forwarder.UnknownError](t, err)
	must.Eq(t, 2, count.Load())
}

// Guards against accepting a late response to another request on the same connection, which
// would show a resident somebody else's permit.
func TestResponseToOtherAttemptIsRejected(t *testing.T) {
	for _, crossed := range []string{
		strings.Replace(responseHead("Content-Length: 2"), "r7", "r8", 1) + "ok",
		strings.Replace(responseHead("Content-Length: 2"), "Attempt: 2", "Attempt: 1", 1) + "ok",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	} {
		addr, _ := serveRaw(t, crossed)
		_, err := call(t, addr)
		must.Eq(t, attempt, errorAs[*forwarder.AttemptMismatchError](t, err).Want)
		_, err = generate(t, addr)
		requireError[*forwarder.AttemptMismatchError](t, err)
	}
}

// Guards against accepting a truncated reply of an agent that crashes while it sends it, or
// of an oversized one: the caller would read half of a confirmation.
func TestTruncatedReplyIsUnknown(t *testing.T) {
	large := strings.Repeat("x", forwarder.MaxBody+1)
	for name, tt := range map[string]struct {
		answer string
		whole  bool
	}{
		"length":             {responseHead("Content-Length: 4") + "slot", true},
		"chunks":             {responseHead("Transfer-Encoding: chunked") + "4\r\nslot\r\n0\r\n\r\n", true},
		"short of length":    {responseHead("Content-Length: 9") + "slot", false},
		"no last chunk":      {responseHead("Transfer-Encoding: chunked") + "4\r\nslot\r\n", false},
		"over the bound":     {responseHead(fmt.Sprintf("Content-Length: %d", len(large))) + large, false},
		"no outcome":         {strings.Replace(responseHead("Content-Length: 4"), "ran", "", 1) + "slot", false},
		"unreadable refusal": {strings.Replace(responseHead("Content-Length: 4"), "ran", "notRun", 1) + "slot", false},
	} {
		t.Run(name, func(t *testing.T) {
			addr, _ := serveRaw(t, tt.answer)
			r, err := call(t, addr)
			if !tt.whole {
				requireError[*forwarder.UnknownError](t, err)
				return
			}
			must.NoError(t, err)
			must.Eq(t, "slot", string(r.Body))
		})
	}
}

// Guards against a stream that ends between two events and is accepted as complete. Only
// the missing last event shows that the roster draft is truncated.
func TestStreamWithoutLastEventIsTruncated(t *testing.T) {
	for _, body := range []string{"", `{"index":0,"token":"two"}` + "\n", `{"index":0,"tok`} {
		addr, _ := serveRaw(t, responseHead("Transfer-Encoding: chunked")+chunk(body)+"0\r\n\r\n")
		s, err := generate(t, addr)
		must.NoError(t, err)
		for err == nil {
			_, err = s.Next()
		}
		requireError[*forwarder.TruncatedError](t, err)
		s.Close()
	}
}

func chunk(s string) string {
	if s == "" {
		return ""
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(s), s)
}

// Guards against treating the response of another program, or of an agent of an
// older release, as the state of a key.
func TestLookupRejectsInvalidResponse(t *testing.T) {
	for _, response := range []string{
		"HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n{\"fate\":\"maybe\"}",
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnope",
	} {
		addr, _ := serveRaw(t, response)
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		state, err := client().Lookup(ctx, addr, "k")
		requireError[*forwarder.UnknownError](t, err)
		must.Eq(t, forwarder.KeyUnknown, state)
	}
}

// Guards against rejecting a complete reply without a length, or accepting one whose connection was reset.
func TestReplyWithoutLength(t *testing.T) {
	for _, size := range []int{0, 4, forwarder.MaxBody} {
		body := strings.Repeat("x", size)
		r, err := call(t, bodyreadertest.Serve(t, responseHead()+body, bodyreadertest.Close))
		must.NoError(t, err)
		must.True(t, body == string(r.Body), must.Sprintf("%d bytes", len(r.Body)))
		_, err = call(t, bodyreadertest.Serve(t, responseHead()+body, bodyreadertest.Reset))
		requireError[*forwarder.UnknownError](t, err)
	}
}

// Guards against accepting a key's state from a truncated response.
func TestTruncatedKeyStateIsUnknown(t *testing.T) {
	text := "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"fate\":\"notRun\"}"
	state, err := client().Lookup(t.Context(), bodyreadertest.Serve(t, text, bodyreadertest.Close), "k")
	requireError[*forwarder.UnknownError](t, err)
	must.Eq(t, forwarder.KeyUnknown, state)
}

// Guards against reporting that a request did not run on the basis of a truncated refusal.
func TestTruncatedRefusalIsUnknown(t *testing.T) {
	text := strings.Replace(responseHead("Content-Length: 900"), "ran", "notRun", 1) + "{}"
	_, err := call(t, bodyreadertest.Serve(t, text, bodyreadertest.Close))
	requireError[*forwarder.UnknownError](t, err)
}

// Guards against accepting an agent's stream without its last event, or rejecting one for its framing.
func TestStreamEndInAllFramings(t *testing.T) {
	const first, last = `{"index":0,"token":"two"}` + "\n", `{"done":true,"tokens":1}` + "\n"
	for name, frame := range map[string]func(sent string, complete bool) string{
		"length": func(sent string, complete bool) string {
			length := len(first) + len(last)
			if complete {
				length = len(sent)
			}
			return responseHead(fmt.Sprintf("Content-Length: %d", length)) + sent
		},
		"chunks": func(sent string, complete bool) string {
			text := responseHead("Transfer-Encoding: chunked") + chunk(sent)
			if complete {
				text += "0\r\n\r\n"
			}
			return text
		},
		"connection": func(sent string, _ bool) string { return responseHead() + sent },
	} {
		must.NoError(t, streamError(t, frame(first+last, true), bodyreadertest.Close), must.Sprint(name))
		for _, sent := range []string{"", first[:9], first, first + last[:9]} {
			for _, complete := range []bool{false, true} {
				for _, end := range []bodyreadertest.End{bodyreadertest.Close, bodyreadertest.Reset} {
					requireError[*forwarder.TruncatedError](t, streamError(t, frame(sent, complete), end))
				}
			}
		}
	}
}

// streamError reads a stream up to its last event, or returns the error that ended it before.
func streamError(t *testing.T, text string, end bodyreadertest.End) error {
	t.Helper()
	s, err := generate(t, bodyreadertest.Serve(t, text, end))
	must.NoError(t, err)
	defer s.Close()
	for {
		e, err := s.Next()
		if err != nil || e.Done {
			return err
		}
	}
}

// Guards against an agent whose responses have heads without end.
func TestEndlessHeadIsRejected(t *testing.T) {
	bodyreadertest.EndlessHeads(t, func(a netip.AddrPort) error {
		_, err := client().Lookup(t.Context(), a, "k")
		return err
	})
}

// Guards against buffering an event without end until its stream is over.
func TestOversizedEventIsRejected(t *testing.T) {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nOriolecroft-Request: %s\r\nOriolecroft-Attempt: %d\r\nOriolecroft-Outcome: ran\r\n\r\n",
		attempt.RequestID, attempt.Number)
	for name, r := range map[string]struct{ start, part string }{
		"text":  {`{"token":"`, "x"},
		"space": {"", " "},
	} {
		t.Run(name, func(t *testing.T) {
			bodyreadertest.EndlessReply(t, head+r.start, r.part, func(a netip.AddrPort) error {
				s, err := client().Generate(t.Context(), a, forwarder.GenerateOrder{Attempt: attempt})
				must.NoError(t, err)
				defer s.Close()
				_, err = s.Next()
				var large *bodyreader.OversizeError
				must.True(t, errors.As(err, &large), must.Sprint(err))
				return err
			})
		})
	}
}

// Guards against a reply, a stream or a "not run" from a response whose head is cut, and against sending its request again.
func TestResponseWithCutHeadIsUnknown(t *testing.T) {
	send := map[string]func(c *forwarder.Client, a netip.AddrPort) error{
		"call": func(c *forwarder.Client, a netip.AddrPort) error {
			_, err := c.Call(t.Context(), a, forwarder.CallOrder{Attempt: attempt, Key: "k", DeadlineMS: 1000}, nil)
			return err
		},
		"generate": func(c *forwarder.Client, a netip.AddrPort) error {
			s, err := c.Generate(t.Context(), a, forwarder.GenerateOrder{Attempt: attempt, DeadlineMS: 1000})
			if err == nil {
				s.Close()
			}
			return err
		},
		"lookup": func(c *forwarder.Client, a netip.AddrPort) error {
			_, err := c.Lookup(t.Context(), a, "k")
			return err
		},
	}
	for framing, head := range map[string]string{
		"length":     responseHead("Content-Length: 4"),
		"chunks":     responseHead("Transfer-Encoding: chunked"),
		"connection": responseHead("Connection: close"),
		"refusal":    strings.Replace(responseHead("Content-Length: 2"), "ran", "notRun", 1),
	} {
		for order, f := range send {
			for connection, whole := range map[string]string{"new": "", "reused": responseHead("Content-Length: 4") + "slot"} {
				t.Run(framing+"/"+order+"/"+connection, func(t *testing.T) {
					t.Parallel()
					bodyreadertest.CutHeads(t, whole, head, func(a netip.AddrPort) error {
						c := client()
						if whole != "" {
							must.NoError(t, send["call"](c, a))
						}
						err := f(c, a)
						requireError[*forwarder.UnknownError](t, err)
						return err
					})
				})
			}
		}
	}
}

// Guards against an agent's reply whose status HTTP doesn't define: its caller would get that status, or the text in the
// body, as the service's reply, and a request that may have run would count as not run.
func TestInvalidStatusIsUnknown(t *testing.T) {
	fields := "Oriolecroft-Request: r7\r\nOriolecroft-Attempt: 2\r\nOriolecroft-Outcome: "
	const body = `{"fate":"notRun","reason":"full","done":true}`
	for name, send := range map[string]func(t *testing.T, a netip.AddrPort) error{
		"call":     func(t *testing.T, a netip.AddrPort) error { _, err := call(t, a); return err },
		"generate": func(t *testing.T, a netip.AddrPort) error { _, err := generate(t, a); return err },
		"lookup":   func(t *testing.T, a netip.AddrPort) error { _, err := client().Lookup(t.Context(), a, "k"); return err },
		"cancel":   func(t *testing.T, a netip.AddrPort) error { return client().Cancel(t.Context(), a, "s") },
	} {
		for _, outcome := range []string{"ran", "notRun"} {
			t.Run(name+" "+outcome, func(t *testing.T) {
				bodyreadertest.InvalidStatuses(t, fields+outcome+"\r\n", body, func(t *testing.T, a netip.AddrPort) error {
					err := send(t, a)
					requireError[*forwarder.UnknownError](t, err)
					return err
				})
			})
		}
	}
}

// Guards against following the redirect of a service's reply: a booking that ran would be answered as unknown, and its entry
// would request any address.
func TestRedirectOfAServiceIsItsReply(t *testing.T) {
	var followed atomic.Int64
	elsewhere := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { followed.Add(1) }))
	t.Cleanup(elsewhere.Close)
	for _, status := range []string{"301", "302", "303", "307", "308"} {
		t.Run(status, func(t *testing.T) {
			head := strings.Replace(responseHead("Location: "+elsewhere.URL+"/bookings/7", "Content-Length: 4"), "200 OK", status+" Other", 1)
			addr, count := serveRaw(t, head+"slot")
			r, err := call(t, addr)
			must.NoError(t, err)
			must.Eq(t, status, strconv.Itoa(r.Status))
			must.Eq(t, elsewhere.URL+"/bookings/7", r.Header.Get("Location"))
			must.Eq(t, "slot", string(r.Body))
			must.Eq(t, 1, count.Load())
			must.Zero(t, followed.Load())
		})
	}
}

// Guards against a refusal of a lookup whose body reads like an answer: after "not run" a caller books again.
func TestRefusedLookupIsUnknown(t *testing.T) {
	for _, status := range []string{"204 No Content", "303 See Other", "404 Not Found", "500 Failed", "503 Busy"} {
		const body = `{"fate":"notRun"}`
		addr, _ := serveRaw(t, fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body))
		state, err := client().Lookup(t.Context(), addr, "k")
		requireError[*forwarder.UnknownError](t, err)
		must.Eq(t, forwarder.KeyUnknown, state)
	}
}
