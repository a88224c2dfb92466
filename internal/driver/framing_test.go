package driver_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/bodyreader/bodyreadertest"
	"github.com/oriolecroft/oriolecroft/internal/driver"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

// replyLimit exceeds all replies of these tests, in bytes.
const replyLimit = 1 << 20

func call(t *testing.T, address netip.AddrPort, body string) ([]byte, error) {
	t.Helper()
	s := driver.Service{Address: address}
	resp, err := s.Call(t.Context(), http.MethodPost, "/book", nil, strings.NewReader(body))
	if err != nil {
		closeReply(resp)
		return nil, err
	}
	defer resp.Body.Close()
	return driver.ReadReply(resp, replyLimit)
}

// Guards against whole replies without a length that are refused, and against reset ones that count as whole.
func TestReplyWithoutLength(t *testing.T) {
	for name, size := range map[string]int{"empty": 0, "short": 700, "long": 900 << 10} {
		t.Run(name, func(t *testing.T) {
			body := strings.Repeat("x", size)
			text := "HTTP/1.1 200 OK\r\n\r\n" + body
			got, err := call(t, bodyreadertest.Serve(t, text, bodyreadertest.Close), "slot")
			must.NoError(t, err)
			must.True(t, body == string(got), must.Sprintf("%d bytes", len(got)))
			got, err = call(t, bodyreadertest.Serve(t, text, bodyreadertest.Reset), "slot")
			must.Error(t, err, must.Sprintf("%d bytes", len(got)))
		})
	}
}

// Guards against a partial reply that counts as whole because only the write of a long request reported the reset.
func TestResetDuringLongCallIsAnError(t *testing.T) {
	l := bodyreadertest.ResetEarly(t, func(string) string { return "HTTP/1.1 200 OK\r\n\r\na part" })
	const tries = 200
	whole := 0
	for range tries {
		if _, err := call(t, netip.MustParseAddrPort(l.Addr().String()), strings.Repeat("y", 3<<20)); err == nil {
			whole++
		}
	}
	must.Zero(t, whole, must.Sprintf("of %d cut replies", tries))
}

// Guards against streams that are refused for their framing, or count as whole though they are truncated.
func TestStreamEndInEachFraming(t *testing.T) {
	good := events([]string{"two", "pickers"}, "sha256:a", bundler.Digest([]byte("two pickers")))
	cuts := map[string]string{
		"before any event":                "",
		"in the first event":              good[:9],
		"between two events":              good[:strings.Index(good, "\n\n")+2],
		"in the last event":               good[:len(good)-20],
		"before the last event's end":     strings.TrimSuffix(good, "\n"),
		"before the last event's own end": strings.TrimSuffix(good, "\n\n"),
	}
	framings := map[string]func(sent string, complete bool) string{
		"length": func(sent string, complete bool) string {
			length := len(good)
			if complete {
				length = len(sent)
			}
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", length, sent)
		},
		"chunks": func(sent string, complete bool) string {
			text := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
			if sent != "" {
				text += fmt.Sprintf("%x\r\n%s\r\n", len(sent), sent)
			}
			if complete {
				text += "0\r\n\r\n"
			}
			return text
		},
		"connection": func(sent string, _ bool) string { return "HTTP/1.1 200 OK\r\n\r\n" + sent },
	}
	for framing, write := range framings {
		must.ErrorIs(t, streamError(t, write(good, true), bodyreadertest.Close), io.EOF, must.Sprint(framing))
		for point, sent := range cuts {
			for _, end := range []bodyreadertest.End{bodyreadertest.Close, bodyreadertest.Reset} {
				for _, complete := range []bool{false, true} {
					err := streamError(t, write(sent, complete), end)
					var cut *driver.CutError
					test.True(t, errors.As(err, &cut), test.Sprintf("%s, %s, end %d, complete %t: %v", framing, point, end, complete, err))
				}
			}
		}
	}
}

// streamError reads a stream and returns the error that ended it.
func streamError(t *testing.T, text string, end bodyreadertest.End) error {
	t.Helper()
	e := driver.Engine{Address: bodyreadertest.Serve(t, text, end)}
	s, err := e.Generate(t.Context(), driver.GenerateRequest{})
	must.NoError(t, err)
	defer s.Close()
	for err == nil {
		_, err = s.Next()
	}
	return err
}

// Guards against using an engine's state from a truncated reply.
func TestTruncatedStateIsAnError(t *testing.T) {
	text := "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"startId\":\"s\"}"
	e := driver.Engine{Address: bodyreadertest.Serve(t, text, bodyreadertest.Close)}
	_, err := e.State(t.Context())
	must.Error(t, err)
}

// Guards against a reply, a stream or a refusal from an upstream whose reply has a cut head, and against sending its
// request again.
func TestReplyWithCutHeadIsUnknown(t *testing.T) {
	requests := map[string]func(a netip.AddrPort) error{
		"call": func(a netip.AddrPort) error {
			_, err := call(t, a, "slot")
			return err
		},
		"generate": func(a netip.AddrPort) error {
			e := driver.Engine{Address: a}
			s, err := e.Generate(t.Context(), driver.GenerateRequest{})
			if err == nil {
				s.Close()
			}
			return err
		},
		"state": func(a netip.AddrPort) error {
			e := driver.Engine{Address: a}
			_, err := e.State(t.Context())
			return err
		},
	}
	for framing, head := range map[string]string{
		"length":     "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n",
		"chunks":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"connection": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
		"refusal":    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		for name, send := range requests {
			t.Run(framing+"/"+name, func(t *testing.T) {
				t.Parallel()
				bodyreadertest.CutHeads(t, "", head, func(a netip.AddrPort) error {
					err := send(a)
					must.False(t, driver.NotSent(err), must.Sprint(err))
					return err
				})
			})
		}
	}
}
