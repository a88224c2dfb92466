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

// body reads a reply whose body comes byte by byte and ends with an error.
func body(text string, end error, contentType string, length int64, chunks bool) *bodyreader.Reader {
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

// Guards against a body that counts as whole without its end, or whose end is refused.
func TestWholeOrCut(t *testing.T) {
	const event = "id: 1\ndata: a\n\n"
	for name, tt := range map[string]struct {
		body  *bodyreader.Reader
		whole bool
	}{
		"length":                          {body("abc", io.EOF, "", 3, false), true},
		"short of its length":             {body("abc", io.ErrUnexpectedEOF, "", 4, false), false},
		"chunks":                          {body("abc", io.EOF, "", -1, true), true},
		"no last chunk":                   {body("abc", io.ErrUnexpectedEOF, "", -1, true), false},
		"connection":                      {body("abc", io.EOF, "", -1, false), true},
		"connection, reset":               {body("abc", errReset, "", -1, false), false},
		"connection, empty":               {body("", io.EOF, "", -1, false), true},
		"stream":                          {body(event, io.EOF, "text/event-stream; charset=utf-8", -1, false), true},
		"stream, inside an event":         {body(event+"id", io.EOF, "text/event-stream", -1, false), false},
		"stream, without its blank line":  {body(event+"id: 2\n", io.EOF, "text/event-stream", -1, true), false},
		"stream, blank lines behind":      {body(event+"\n\r\n", io.EOF, "text/event-stream", -1, false), true},
		"stream, no event":                {body("", io.EOF, "text/event-stream", -1, false), false},
		"stream, no event, by its length": {body("", io.EOF, "text/event-stream", 0, false), true},
		"stream, reset between events":    {body(event, errReset, "text/event-stream", -1, false), false},
		"other type that looks alike":     {body("id: 1", io.EOF, "text/plain", -1, false), true},
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

// Guards against replies that have no body and are taken for cut streams.
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

// Guards against a body that its reader's limit shortens.
func TestLimitShortensNothing(t *testing.T) {
	for _, framing := range []struct {
		length int64
		chunks bool
	}{{5, false}, {-1, true}, {-1, false}} {
		read := func(limit int64) (string, error) {
			data, err := body("abcde", io.EOF, "", framing.length, framing.chunks).ReadAll(limit)
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

// Guards against the start of a body that is taken for all of it, and against a cut start.
func TestStartIsNotTheWhole(t *testing.T) {
	for size, whole := range map[int64]bool{1: false, 4: false, 5: false, 6: true} {
		r := body("abcde", io.EOF, "", -1, false)
		start, ended, err := r.ReadStart(size)
		must.NoError(t, err)
		must.Eq(t, whole, ended, must.Sprint(size))
		rest, err := io.ReadAll(r)
		must.NoError(t, err)
		must.Eq(t, "abcde", string(start)+string(rest))
		_, ended, err = body("abcde", errReset, "", -1, false).ReadStart(6)
		must.Error(t, err)
		must.False(t, ended)
	}
}

// Guards against a value that is believed though more was to come, or something else follows it.
func TestJSONIsOneWholeValue(t *testing.T) {
	for text, end := range map[string]error{`{"a":1}`: errReset, `{"a":1} {`: io.EOF, `{"a":`: io.EOF, ``: io.EOF} {
		var v struct{ A int }
		must.Error(t, body(text, end, "", -1, false).ReadJSON(1<<10, &v), must.Sprint(text))
	}
}

// Guards against events that are joined, torn, changed or lost wherever reads happen to end.
func TestEventsSurviveAnyReads(t *testing.T) {
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
		atEnd := endsAnEvent(whole[:sent], lineEnd)
		if errors.Is(err, io.EOF) {
			must.True(t, atEnd, must.Sprintf("%q", whole[:sent]))
			must.Eq(t, whole[:sent], got+string(event))
			return
		}
		must.False(t, atEnd, must.Sprintf("%q: %v", whole[:sent], err))
		must.True(t, strings.HasPrefix(whole[:sent], got))
	})
}

// endsAnEvent tells whether the beginning of a stream ends where an event does. The last line end may have come
// in half.
func endsAnEvent(sent, lineEnd string) bool {
	if strings.HasSuffix(sent, lineEnd+lineEnd) {
		return true
	}
	return lineEnd == "\r\n" && strings.HasSuffix(sent, "\r\n\r")
}
