package connector_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/bodyreader/bodyreadertest"
	"github.com/oriolecroft/oriolecroft/internal/connector"
)

// forgedReply is a body that reads like a reply.
const forgedReply = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nforged"

// bodies are what follows a reply's status line: its fields and its body.
var bodies = map[string]string{
	"nothing":           "\r\n",
	"empty":             "Content-Length: 0\r\n\r\n",
	"by length":         "Content-Length: 5\r\n\r\nwrong",
	"chunks":            "Transfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n",
	"a reply":           "\r\n" + forgedReply,
	"a reply by length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(forgedReply), forgedReply),
}

// invalidStatuses are status lines that no final or interim reply has.
var invalidStatuses = []string{"000", "001", "042", "099", "101", "600", "999", "+20", "-20", "0200", "2000", "20", "2 0", ""}

// Guards against a reply with a status that HTTP doesn't define: skipped, bytes of its body pass for the next reply.
func TestInvalidStatusIsNoReply(t *testing.T) {
	for _, status := range invalidStatuses {
		for how, rest := range bodies {
			t.Run(status+" "+how, func(t *testing.T) {
				// More bytes never arrive, as on an open connection.
				from, to := io.Pipe()
				defer to.Close()
				go func() { _, _ = to.Write([]byte("HTTP/1.1 " + status + " Trouble\r\n" + rest)) }()
				failed := make(chan error, 1)
				go func() {
					_, err := connector.NewReplyReader(from, bufferSize).Next(http.MethodGet) //nolint:bodyclose // there is none
					failed <- err
				}()
				select {
				case err := <-failed:
					must.Error(t, err)
				case <-time.After(5 * time.Second):
					t.Fatal("waits for another reply")
				}
			})
		}
	}
}

// Guards against an interim reply with a body that reads like the final one.
func TestInterimReplyWithBodyIsNoReply(t *testing.T) {
	for _, how := range []string{"by length", "chunks", "a reply by length"} {
		t.Run(how, func(t *testing.T) {
			text := "HTTP/1.1 103 Early Hints\r\n" + bodies[how] + replyText(100, "whole")
			_, err := connector.NewReplyReader(strings.NewReader(text), bufferSize).Next(http.MethodGet) //nolint:bodyclose // there is none
			var body *connector.InterimBodyError
			must.True(t, errors.As(err, &body), must.Sprint(err))
		})
	}
}

// Guards against a check that refuses what HTTP allows: interim replies before the final one, and lines without a reason.
func TestValidStatusIsRead(t *testing.T) {
	for _, start := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n"} {
		for _, line := range []string{"200 OK", "200", "204 No Content", "299 Other", "399 Other", "404 Not Found", "500 Failed", "599 Other"} {
			t.Run(start+line, func(t *testing.T) {
				text := start + "HTTP/1.1 " + line + "\r\nContent-Length: 0\r\n\r\n"
				res, err := connector.NewReplyReader(strings.NewReader(text), bufferSize).Next(http.MethodGet)
				must.NoError(t, err)
				defer res.Body.Close()
				must.Eq(t, line[:3], fmt.Sprint(res.StatusCode))
			})
		}
	}
}

// Guards against a client over NewTransport that takes a reply for an answer although its status is none.
func TestTransportReturnsNoInvalidStatus(t *testing.T) {
	for _, status := range invalidStatuses {
		for how, rest := range bodies {
			t.Run(status+" "+how, func(t *testing.T) {
				t.Parallel()
				address := bodyreadertest.ServeInTurn(t, "HTTP/1.1 "+status+" Trouble\r\n"+rest).String()
				transport := connector.NewTransport(connector.DialContext)
				defer transport.CloseIdleConnections()
				client := &http.Client{Transport: transport, Timeout: 5 * time.Second}
				// The second request may use the first one's connection.
				for range 2 {
					res, err := client.Get("http://" + address)
					if err == nil {
						res.Body.Close()
					}
					must.Error(t, err)
					must.False(t, errors.Is(err, context.DeadlineExceeded), must.Sprint(err))
				}
			})
		}
	}
}

// Guards against an interim reply whose body passes for the final one over NewTransport.
func TestTransportReturnsNoBodyOfAnInterimReply(t *testing.T) {
	address := bodyreadertest.ServeInTurn(t, "HTTP/1.1 103 Early Hints\r\n"+bodies["a reply by length"]).String()
	transport := connector.NewTransport(connector.DialContext)
	defer transport.CloseIdleConnections()
	res, err := (&http.Client{Transport: transport, Timeout: 5 * time.Second}).Get("http://" + address)
	if err == nil {
		res.Body.Close()
	}
	var body *connector.InterimBodyError
	must.True(t, errors.As(err, &body), must.Sprint(err))
}

// Guards against interim replies without end, and against a limit that refuses a few of them.
func TestTransportLimitsInterimReplies(t *testing.T) {
	const early, final = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	transport := connector.NewTransport(connector.DialContext)
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 5 * time.Second}
	res, err := client.Get("http://" + bodyreadertest.ServeInTurn(t, strings.Repeat(early, 8)+final).String())
	must.NoError(t, err)
	must.NoError(t, res.Body.Close())
	res, err = client.Get("http://" + bodyreadertest.ServeInTurn(t, strings.Repeat(early, 100)+final).String())
	if err == nil {
		res.Body.Close()
	}
	var count *connector.InterimCountError
	must.True(t, errors.As(err, &count), must.Sprint(err))
}

// Guards against another request on a connection whose last reply had an invalid status.
func TestConnectionWithInvalidStatusIsNotReused(t *testing.T) {
	for _, status := range invalidStatuses {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			address := bodyreadertest.ServeInTurn(t, "HTTP/1.1 "+status+" Trouble\r\nContent-Length: 0\r\n\r\n").String()
			var dials atomic.Int64
			transport := connector.NewTransport(func(ctx context.Context, network, address string) (net.Conn, error) {
				dials.Add(1)
				return connector.DialContext(ctx, network, address)
			})
			defer transport.CloseIdleConnections()
			client := &http.Client{Transport: transport, Timeout: 5 * time.Second}
			for range 2 {
				res, err := client.Post("http://"+address, "text/plain", strings.NewReader("slot"))
				if err == nil {
					res.Body.Close()
				}
				must.Error(t, err)
			}
			must.Eq(t, 2, dials.Load())
		})
	}
}
