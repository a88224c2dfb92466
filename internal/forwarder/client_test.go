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
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/bodyreader"
	"github.com/oriolecroft/oriolecroft/internal/bodyreader/bodyreadertest"
	"github.com/oriolecroft/oriolecroft/internal/forwarder"
)

const patience = 10 * time.Second

var attempt = forwarder.Attempt{RequestID: "r7", Number: 2}

// raw starts an agent that reads each request and answers with bare bytes, then
// closes the connection. It counts the requests.
func raw(t *testing.T, answer string) (netip.AddrPort, *atomic.Int64) {
	count := new(atomic.Int64)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		count.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(c, answer)
		c.Close()
	}))
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(s.Listener.Addr().String()), count
}

// head is the start of an answer to the attempt, with more header lines.
func head(lines ...string) string {
	h := []string{"HTTP/1.1 200 OK", "Oriolecroft-Request: r7", "Oriolecroft-Attempt: 2", "Oriolecroft-Outcome: ran"}
	return strings.Join(append(h, lines...), "\r\n") + "\r\n\r\n"
}

func client() *forwarder.Client { return forwarder.NewClient(new(net.Dialer).DialContext) }

func call(t *testing.T, to netip.AddrPort) (*forwarder.Reply, error) {
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	o := forwarder.CallOrder{Attempt: attempt, Key: "k", DeadlineMS: 1000}
	return client().Call(ctx, to, o, []byte("slot 4"))
}

func generate(t *testing.T, to netip.AddrPort) (*forwarder.Stream, error) {
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	t.Cleanup(cancel)
	return client().Generate(ctx, to, forwarder.GenerateOrder{Attempt: attempt, DeadlineMS: 1000})
}

// as gives the error of type E in err's chain.
func as[E error](t *testing.T, err error) E {
	t.Helper()
	var e E
	must.True(t, errors.As(err, &e), must.Sprintf("%T: %v", err, err))
	return e
}

func is[E error](t *testing.T, err error) {
	t.Helper()
	_ = as[E](t, err)
}

// A VM is gone and its address refuses connections. Nothing was sent, so the
// booking may be tried on another agent; called unknown, it would be given up.
func TestFailedDialIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, l.Close())
	at := netip.MustParseAddrPort(l.Addr().String())
	_, err = call(t, at)
	must.True(t, as[*forwarder.NotRunError](t, err).Gone)
	_, err = generate(t, at)
	must.True(t, as[*forwarder.NotRunError](t, err).Gone)
}

// An agent dies after it has read the request. The booking may have run: said to
// be not run, or sent again by the HTTP library, it would book two crews.
func TestCutConnectionIsUnknown(t *testing.T) {
	at, count := raw(t, "")
	_, err := call(t, at)
	is[*forwarder.UnknownError](t, err)
	_, err = generate(t, at)
	is[*forwarder.UnknownError](t, err)
	must.Eq(t, 2, count.Load())
}

// An answer that was late for another request arrives on the same connection. A
// resident would be shown somebody else's permit.
func TestCrossedAnswerIsNoReply(t *testing.T) {
	for _, crossed := range []string{
		strings.Replace(head("Content-Length: 2"), "r7", "r8", 1) + "ok",
		strings.Replace(head("Content-Length: 2"), "Attempt: 2", "Attempt: 1", 1) + "ok",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	} {
		at, _ := raw(t, crossed)
		_, err := call(t, at)
		must.Eq(t, attempt, as[*forwarder.CrossedError](t, err).Want)
		_, err = generate(t, at)
		is[*forwarder.CrossedError](t, err)
	}
}

// An agent dies while it sends its reply, or sends more than fits. The part that
// came must not pass for the whole: a lead would read half of a confirmation.
func TestReplyIsWholeOrUnknown(t *testing.T) {
	large := strings.Repeat("x", forwarder.MaxBody+1)
	for name, tt := range map[string]struct {
		answer string
		whole  bool
	}{
		"length":             {head("Content-Length: 4") + "slot", true},
		"chunks":             {head("Transfer-Encoding: chunked") + "4\r\nslot\r\n0\r\n\r\n", true},
		"short of length":    {head("Content-Length: 9") + "slot", false},
		"no last chunk":      {head("Transfer-Encoding: chunked") + "4\r\nslot\r\n", false},
		"over the bound":     {head(fmt.Sprintf("Content-Length: %d", len(large))) + large, false},
		"no outcome":         {strings.Replace(head("Content-Length: 4"), "ran", "", 1) + "slot", false},
		"unreadable refusal": {strings.Replace(head("Content-Length: 4"), "ran", "notRun", 1) + "slot", false},
	} {
		t.Run(name, func(t *testing.T) {
			at, _ := raw(t, tt.answer)
			r, err := call(t, at)
			if !tt.whole {
				is[*forwarder.UnknownError](t, err)
				return
			}
			must.NoError(t, err)
			must.Eq(t, "slot", string(r.Body))
		})
	}
}

// A stream breaks off between two events, where nothing looks wrong. Only the
// missing end mark tells that the roster draft is not whole.
func TestStreamWithoutEndIsCut(t *testing.T) {
	for _, body := range []string{"", `{"index":0,"token":"two"}` + "\n", `{"index":0,"tok`} {
		at, _ := raw(t, head("Transfer-Encoding: chunked")+chunk(body)+"0\r\n\r\n")
		s, err := generate(t, at)
		must.NoError(t, err)
		for err == nil {
			_, err = s.Next()
		}
		is[*forwarder.CutError](t, err)
		s.Close()
	}
}

func chunk(s string) string {
	if s == "" {
		return ""
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(s), s)
}

// Something else than an agent answers a question about a key, such as one of an
// older release. Its silence must not pass for a fate.
func TestLookupWantsAFate(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n{\"fate\":\"maybe\"}",
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnope",
	} {
		at, _ := raw(t, answer)
		ctx, cancel := context.WithTimeout(t.Context(), patience)
		defer cancel()
		fate, err := client().Lookup(ctx, at, "k")
		is[*forwarder.UnknownError](t, err)
		must.Eq(t, forwarder.FateUnknown, fate)
	}
}

// Guards against a reply without a length that is refused though whole, or taken as whole though reset.
func TestReplyThatEndsWithItsConnection(t *testing.T) {
	for _, size := range []int{0, 4, forwarder.MaxBody} {
		body := strings.Repeat("x", size)
		r, err := call(t, bodyreadertest.Serve(t, head()+body, bodyreadertest.Close))
		must.NoError(t, err)
		must.True(t, body == string(r.Body), must.Sprintf("%d bytes", len(r.Body)))
		_, err = call(t, bodyreadertest.Serve(t, head()+body, bodyreadertest.Reset))
		is[*forwarder.UnknownError](t, err)
	}
}

// Guards against a key's fate that is believed though the answer was cut.
func TestCutFateIsUnknown(t *testing.T) {
	text := "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"fate\":\"notRun\"}"
	fate, err := client().Lookup(t.Context(), bodyreadertest.Serve(t, text, bodyreadertest.Close), "k")
	is[*forwarder.UnknownError](t, err)
	must.Eq(t, forwarder.FateUnknown, fate)
}

// Guards against a promise that a request did not run, taken from a refusal that was cut.
func TestCutRefusalIsNoPromise(t *testing.T) {
	text := strings.Replace(head("Content-Length: 900"), "ran", "notRun", 1) + "{}"
	_, err := call(t, bodyreadertest.Serve(t, text, bodyreadertest.Close))
	is[*forwarder.UnknownError](t, err)
}

// Guards against an agent's stream that is taken for whole without its last event, or refused for its framing.
func TestAgentStreamEndsInAnyFraming(t *testing.T) {
	const first, last = `{"index":0,"token":"two"}` + "\n", `{"done":true,"tokens":1}` + "\n"
	for name, frame := range map[string]func(sent string, complete bool) string{
		"length": func(sent string, complete bool) string {
			length := len(first) + len(last)
			if complete {
				length = len(sent)
			}
			return head(fmt.Sprintf("Content-Length: %d", length)) + sent
		},
		"chunks": func(sent string, complete bool) string {
			text := head("Transfer-Encoding: chunked") + chunk(sent)
			if complete {
				text += "0\r\n\r\n"
			}
			return text
		},
		"connection": func(sent string, _ bool) string { return head() + sent },
	} {
		must.NoError(t, streamError(t, frame(first+last, true), bodyreadertest.Close), must.Sprint(name))
		for _, sent := range []string{"", first[:9], first, first + last[:9]} {
			for _, complete := range []bool{false, true} {
				for _, end := range []bodyreadertest.End{bodyreadertest.Close, bodyreadertest.Reset} {
					is[*forwarder.CutError](t, streamError(t, frame(sent, complete), end))
				}
			}
		}
	}
}

// streamError reads a stream up to its last event, or gives the error at which it ended before.
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

// Guards against an agent whose answers have heads without end.
func TestEndlessHeadIsNoAnswer(t *testing.T) {
	bodyreadertest.EndlessHeads(t, func(a netip.AddrPort) error {
		_, err := client().Lookup(t.Context(), a, "k")
		return err
	})
}

// Guards against an agent's event without end that is kept until its stream is over.
func TestEndlessEventIsCut(t *testing.T) {
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
