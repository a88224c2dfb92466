package bodyreader_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/oriolecroft/oriolecroft/internal/bodyreader"
)

// errReset stands for a connection that was reset.
var errReset = errors.New("reset")

// newReader returns a reader of a body that arrives byte by byte and ends with an error.
func newReader(text string, end error, contentType string, length int64, chunks bool) *bodyreader.Reader {
	from := iotest.OneByteReader(strings.NewReader(text))
	if !errors.Is(end, io.EOF) {
		from = io.MultiReader(from, iotest.ErrReader(end))
	}
	res := &http.Response{Header: http.Header{}, Body: io.NopCloser(from), ContentLength: length}
	if contentType != "" {
		res.Header.Set("Content-Type", contentType)
	}
	if chunks {
		res.TransferEncoding = []string{"chunked"}
	}
	return &bodyreader.Reader{Response: res}
}

// Guards against a truncated body that counts as whole, and a whole body that counts as truncated.
func TestCutBodyIsAnError(t *testing.T) {
	const event = "id: 1\ndata: a\n\n"
	for name, tt := range map[string]struct {
		body  *bodyreader.Reader
		whole bool
	}{
		"length":                          {newReader("abc", io.EOF, "", 3, false), true},
		"short of its length":             {newReader("abc", io.ErrUnexpectedEOF, "", 4, false), false},
		"chunks":                          {newReader("abc", io.EOF, "", -1, true), true},
		"no last chunk":                   {newReader("abc", io.ErrUnexpectedEOF, "", -1, true), false},
		"connection":                      {newReader("abc", io.EOF, "", -1, false), true},
		"connection, reset":               {newReader("abc", errReset, "", -1, false), false},
		"connection, empty":               {newReader("", io.EOF, "", -1, false), true},
		"stream":                          {newReader(event, io.EOF, "text/event-stream; charset=utf-8", -1, false), true},
		"stream, inside an event":         {newReader(event+"id", io.EOF, "text/event-stream", -1, false), false},
		"stream, without its blank line":  {newReader(event+"id: 2\n", io.EOF, "text/event-stream", -1, true), false},
		"stream, blank lines behind":      {newReader(event+"\n\r\n", io.EOF, "text/event-stream", -1, false), true},
		"stream, no event":                {newReader("", io.EOF, "text/event-stream", -1, false), false},
		"stream, no event, by its length": {newReader("", io.EOF, "text/event-stream", 0, false), true},
		"stream, reset between events":    {newReader(event, errReset, "text/event-stream", -1, false), false},
		"other type that looks alike":     {newReader("id: 1", io.EOF, "text/plain", -1, false), true},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := tt.body.ReadAll(1 << 10)
			if tt.whole {
				must.NoError(t, err)
				return
			}
			var cut *bodyreader.CutError
			must.True(t, errors.As(err, &cut), must.Sprint(err))
			_, err = tt.body.Read(make([]byte, 1))
			must.True(t, errors.As(err, &cut), must.Sprint("read again"))
		})
	}
}

// Guards against replies without a body that count as cut streams.
func TestReplyWithoutBodyIsWhole(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 204 No Content\r\nContent-Type: text/event-stream\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 900\r\n\r\n",
	} {
		res, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), &http.Request{Method: http.MethodHead})
		must.NoError(t, err)
		defer res.Body.Close()
		data, err := io.ReadAll(&bodyreader.Reader{Response: res})
		must.NoError(t, err)
		must.Eq(t, 0, len(data))
	}
}

// Guards against a body that is silently truncated at its reader's limit.
func TestBodyAboveLimitIsAnError(t *testing.T) {
	for _, framing := range []struct {
		length int64
		chunks bool
	}{{5, false}, {-1, true}, {-1, false}} {
		read := func(limit int64) (string, error) {
			data, err := newReader("abcde", io.EOF, "", framing.length, framing.chunks).ReadAll(limit)
			return string(data), err
		}
		for _, limit := range []int64{5, 6, 4 << 10} {
			data, err := read(limit)
			must.NoError(t, err)
			must.Eq(t, "abcde", data)
		}
		for _, limit := range []int64{0, 1, 4} {
			_, err := read(limit)
			var large *bodyreader.OversizeError
			must.True(t, errors.As(err, &large))
			must.Eq(t, limit, large.Limit)
		}
	}
}

// Guards against the start of a body that counts as all of it, and against a cut start.
func TestReadStartReportsEnd(t *testing.T) {
	for size, whole := range map[int64]bool{1: false, 4: false, 5: false, 6: true} {
		r := newReader("abcde", io.EOF, "", -1, false)
		start, ended, err := r.ReadStart(size)
		must.NoError(t, err)
		must.Eq(t, whole, ended, must.Sprint(size))
		rest, err := io.ReadAll(r)
		must.NoError(t, err)
		must.Eq(t, "abcde", string(start)+string(rest))
		_, ended, err = newReader("abcde", errReset, "", -1, false).ReadStart(6)
		must.Error(t, err)
		must.False(t, ended)
	}
}

// Guards against accepting a value whose body was cut or has more text after it.
func TestReadJSONWantsOneWholeValue(t *testing.T) {
	for text, end := range map[string]error{`{"a":1}`: errReset, `{"a":1} {`: io.EOF, `{"a":`: io.EOF, ``: io.EOF} {
		var v struct{ A int }
		must.Error(t, newReader(text, end, "", -1, false).ReadJSON(1<<10, &v), must.Sprint(text))
	}
}

// Guards against events that are joined, split, changed or lost depending on where reads end.
func TestEventsAreIndependentOfReadSizes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lineEnd := rapid.SampledFrom([]string{"\n", "\r\n", "\r"}).Draw(t, "line end")
		var events []string
		for i := range rapid.IntRange(1, 5).Draw(t, "events") {
			text := fmt.Sprintf("id: %d", i) + lineEnd
			for range rapid.IntRange(0, 2).Draw(t, "lines") {
				text += "data: " + rapid.StringMatching(`[a-z:]{0,4}`).Draw(t, "data") + lineEnd
			}
			events = append(events, text+lineEnd)
		}
		whole := strings.Join(events, "")
		sent := rapid.IntRange(0, len(whole)).Draw(t, "sent")
		var parts []io.Reader
		for rest := whole[:sent]; rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "read")
			parts, rest = append(parts, strings.NewReader(rest[:n])), rest[n:]
		}
		r := bodyreader.NewEventReader(&http.Response{Body: io.NopCloser(io.MultiReader(parts...)), ContentLength: -1}, 1<<10)
		got, count := "", 0
		event, err := r.Next()
		for ; err == nil; event, err = r.Next() {
			must.Eq(t, fmt.Sprint(count), bodyreader.EventID(event))
			got += string(event)
			count++
		}
		atEnd := endsAtEventBoundary(whole[:sent], lineEnd)
		if errors.Is(err, io.EOF) {
			must.True(t, atEnd, must.Sprintf("%q", whole[:sent]))
			must.Eq(t, whole[:sent], got+string(event))
			return
		}
		must.False(t, atEnd, must.Sprintf("%q: %v", whole[:sent], err))
		must.True(t, strings.HasPrefix(whole[:sent], got))
	})
}

// endsAtEventBoundary reports whether a partial stream ends where an event does. Of the last CRLF, only the CR may
// have arrived.
func endsAtEventBoundary(sent, lineEnd string) bool {
	if strings.HasSuffix(sent, lineEnd+lineEnd) {
		return true
	}
	return lineEnd == "\r\n" && strings.HasSuffix(sent, "\r\n\r")
}
