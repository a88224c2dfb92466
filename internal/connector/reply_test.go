package connector_test

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/connector"
)

// bufferSize is that of the readers, in bytes.
const bufferSize = 4 << 10

// repeated gives a text over and over.
type repeated struct {
	text string
	at   int
}

func (r *repeated) Read(b []byte) (int, error) {
	n := copy(b, r.text[r.at:])
	r.at = (r.at + n) % len(r.text)
	return n, nil
}

func endlessly(start, part string) io.Reader {
	return io.MultiReader(strings.NewReader(start), &repeated{text: part})
}

// Guards against a head without end that is read on.
func TestEndlessHeadIsOversize(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, from := range map[string]io.Reader{
		"status line":      endlessly("HTTP/1.1 200 ", "O"),
		"header field":     endlessly(ok+"Long: ", "x"),
		"header fields":    endlessly(ok, "a: b\r\n"),
		"interim replies":  endlessly("", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"),
		"nothing but text": endlessly("", "x"),
	} {
		t.Run(name, func(t *testing.T) {
			res, err := connector.NewReplyReader(from, bufferSize).Next(http.MethodGet)
			if err == nil {
				res.Body.Close()
			}
			var large *connector.OversizeError
			must.True(t, errors.As(err, &large), must.Sprint(err))
			must.Eq(t, connector.OversizeError{Part: connector.Head, Limit: connector.MaxReplyHead}, *large)
		})
	}
}

// Guards against a body without end that is read past for as long as it comes.
func TestEndlessBodyIsNotSkipped(t *testing.T) {
	for name, head := range map[string]string{"connection": "", "length": "Content-Length: 99999999\r\n"} {
		t.Run(name, func(t *testing.T) {
			r := connector.NewReplyReader(endlessly("HTTP/1.1 200 OK\r\n"+head+"\r\n", "x"), bufferSize)
			res, err := r.Next(http.MethodGet)
			must.NoError(t, err)
			defer res.Body.Close()
			var large *connector.OversizeError
			must.True(t, errors.As(r.Skip(res), &large))
			must.Eq(t, connector.OversizeError{Part: connector.ReadPast, Limit: connector.MaxReadPast}, *large)
		})
	}
}

// reply is a whole one with a head of a size and a body.
func reply(head int, body string) string {
	start := "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\nLong: "
	const end = "\r\n\r\n"
	return start + strings.Repeat("x", head-len(start)-len(end)) + end + body
}

// Guards against a bound on heads that holds for bodies, or for several replies of one connection together.
func TestRepliesWithinTheBoundsAreRead(t *testing.T) {
	body := strings.Repeat("b", connector.MaxReadPast)
	texts := strings.Repeat(reply(connector.MaxReplyHead, body), 3) + reply(100, "")
	for name, from := range map[string]io.Reader{
		"at once":      strings.NewReader(texts),
		"in halves":    iotest.HalfReader(strings.NewReader(texts)),
		"byte by byte": iotest.OneByteReader(strings.NewReader(texts)),
	} {
		t.Run(name, func(t *testing.T) {
			r := connector.NewReplyReader(from, bufferSize)
			for i := range 3 {
				res, err := r.Next(http.MethodGet)
				must.NoError(t, err)
				defer res.Body.Close()
				if i == 1 {
					must.NoError(t, r.Skip(res))
					continue
				}
				got, err := io.ReadAll(res.Body)
				must.NoError(t, err)
				must.True(t, body == string(got), must.Sprintf("%d bytes", len(got)))
			}
			res, err := r.Next(http.MethodGet)
			must.NoError(t, err)
			defer res.Body.Close()
			must.Zero(t, r.Buffered())
		})
	}
}
