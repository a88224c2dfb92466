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

// bufferSize is the readers' buffer size, in bytes.
const bufferSize = 4 << 10

// repeatReader repeats a text endlessly.
type repeatReader struct {
	text   string
	offset int
}

func (r *repeatReader) Read(b []byte) (int, error) {
	n := copy(b, r.text[r.offset:])
	r.offset = (r.offset + n) % len(r.text)
	return n, nil
}

func endlessReader(start, part string) io.Reader {
	return io.MultiReader(strings.NewReader(start), &repeatReader{text: part})
}

// Guards against reading an endless head without a limit.
func TestEndlessHeadIsOversize(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, from := range map[string]io.Reader{
		"status line":      endlessReader("HTTP/1.1 200 ", "O"),
		"header field":     endlessReader(ok+"Long: ", "x"),
		"header fields":    endlessReader(ok, "a: b\r\n"),
		"interim replies":  endlessReader("", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"),
		"nothing but text": endlessReader("", "x"),
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

// Guards against skipping an endless body without a limit.
func TestEndlessBodyIsNotSkipped(t *testing.T) {
	for name, head := range map[string]string{"connection": "", "length": "Content-Length: 99999999\r\n"} {
		t.Run(name, func(t *testing.T) {
			r := connector.NewReplyReader(endlessReader("HTTP/1.1 200 OK\r\n"+head+"\r\n", "x"), bufferSize)
			res, err := r.Next(http.MethodGet)
			must.NoError(t, err)
			defer res.Body.Close()
			var large *connector.OversizeError
			must.True(t, errors.As(r.Skip(res), &large))
			must.Eq(t, connector.OversizeError{Part: connector.SkippedBody, Limit: connector.MaxSkippedBody}, *large)
		})
	}
}

// replyText returns a whole reply with a head of the given size and a body.
func replyText(head int, body string) string {
	start := "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\nLong: "
	const end = "\r\n\r\n"
	return start + strings.Repeat("x", head-len(start)-len(end)) + end + body
}

// Guards against a limit on heads that also applies to bodies, or to several replies of one connection together.
func TestRepliesWithinLimitsAreRead(t *testing.T) {
	body := strings.Repeat("b", connector.MaxSkippedBody)
	texts := strings.Repeat(replyText(connector.MaxReplyHead, body), 3) + replyText(100, "")
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
