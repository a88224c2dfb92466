package drainer_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/oriolecroft/oriolecroft/internal/connector"
	"github.com/oriolecroft/oriolecroft/internal/drainer"
)

// testTimeout is how long a step of a test may take.
const testTimeout = 10 * time.Second

// testServer is a server with a handler that counts its requests.
type testServer struct {
	*drainer.Server
	address  string
	handled  atomic.Int64
	serveErr chan error
}

func newTestServer(t *testing.T, l net.Listener, h http.HandlerFunc) *testServer {
	t.Helper()
	s := &testServer{address: l.Addr().String(), serveErr: make(chan error, 1)}
	s.Server = &drainer.Server{Listener: l, HTTP: &http.Server{ReadHeaderTimeout: testTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.handled.Add(1)
		h(w, r)
	})}}
	go func() { s.serveErr <- s.Serve() }()
	t.Cleanup(func() { s.Close() })
	return s
}

// until waits for a condition.
func until(f func() bool) *wait.Constraint {
	return wait.InitialSuccess(wait.BoolFunc(f), wait.Timeout(testTimeout), wait.Gap(time.Millisecond))
}

func (s *testServer) hasOpen(n int) *wait.Constraint {
	return until(func() bool { return s.Open() == n })
}

func listen(t *testing.T) *net.TCPListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	return l.(*net.TCPListener)
}

// drain drains the server in the background; the channel gets the result.
func (s *testServer) drain(t *testing.T, limit time.Duration) <-chan error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	t.Cleanup(cancel)
	done := make(chan error, 1)
	go func() { done <- s.Drain(ctx) }()
	return done
}

// client is a client's connection.
type client struct {
	net.Conn
	replies *bufio.Reader
}

func dial(t *testing.T, address string) *client {
	t.Helper()
	c, err := net.Dial("tcp", address)
	must.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return &client{Conn: c, replies: bufio.NewReader(c)}
}

func (c *client) write(t *testing.T, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	must.NoError(t, err)
}

const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// read reads a reply and reports whether the connection ends with it.
func (c *client) read() (body string, closes bool, err error) {
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	res, err := http.ReadResponse(c.replies, nil)
	if err != nil {
		return "", true, err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return string(text), res.Close, err
}

func (c *client) mustRead(t *testing.T) (closes bool) {
	t.Helper()
	body, closes, err := c.read()
	must.NoError(t, err)
	must.Eq(t, "whole", body)
	return closes
}

func (c *client) mustBeClosed(t *testing.T) {
	t.Helper()
	_, _, err := c.read()
	must.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

func answer(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") }

// lateListener accepts nothing until it is released, like a process without processor time.
type lateListener struct {
	*net.TCPListener
	released chan struct{}
}

func (l *lateListener) Accept() (net.Conn, error) {
	<-l.released
	return l.TCPListener.Accept()
}

// Guards against a reset of connections that wait to be accepted when the server stops.
func TestDrainAnswersConnectionsThatWaitToBeAccepted(t *testing.T) {
	l := &lateListener{listen(t), make(chan struct{})}
	s := newTestServer(t, l, answer)
	clients := make([]*client, 50)
	for i := range clients {
		clients[i] = dial(t, s.address)
		clients[i].write(t, request)
	}
	done := s.drain(t, testTimeout)
	time.Sleep(50 * time.Millisecond)
	close(l.released)
	for _, c := range clients {
		must.True(t, c.mustRead(t))
	}
	must.NoError(t, <-done)
	must.ErrorIs(t, <-s.serveErr, net.ErrClosed)
}

// Guards against a reset of connections that still wait when the time for a first try is over.
func TestConnectionsThatWaitAreAnsweredByTheNextDrain(t *testing.T) {
	l := &lateListener{listen(t), make(chan struct{})}
	s := newTestServer(t, l, answer)
	c := dial(t, s.address)
	c.write(t, request)
	must.ErrorIs(t, <-s.drain(t, 20*time.Millisecond), context.DeadlineExceeded)
	done := s.drain(t, testTimeout)
	close(l.released)
	must.True(t, c.mustRead(t))
	must.NoError(t, <-done)
}

// Guards against a request that is read and then closed without an answer, as it arrives after the server began to stop.
func TestDrainAnswersRequestsThatArriveDuringIt(t *testing.T) {
	for name, parts := range map[string][]string{"whole": {request}, "in two parts": {request[:20], request[20:]}} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, listen(t), answer)
			c := dial(t, s.address)
			must.Wait(t, s.hasOpen(1))
			done := s.drain(t, testTimeout)
			for _, part := range parts {
				time.Sleep(100 * time.Millisecond)
				c.write(t, part)
			}
			must.True(t, c.mustRead(t))
			must.NoError(t, <-done)
		})
	}
}

// Guards against a connection that is closed after a reply which didn't announce that, with the next request on its way.
func TestDrainAnswersRequestAfterReplyThatKeptTheConnection(t *testing.T) {
	started, finish := make(chan struct{}, 1), make(chan struct{})
	s := newTestServer(t, listen(t), func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).Flush()
		started <- struct{}{}
		<-finish
		answer(w, r)
	})
	c := dial(t, s.address)
	c.write(t, request)
	<-started
	done := s.drain(t, testTimeout)
	must.Wait(t, until(func() bool { return refuses(s.address) }))
	// The reply's header is sent; the next request waits to be read as the reply ends.
	c.write(t, request)
	close(finish)
	must.False(t, c.mustRead(t))
	must.True(t, c.mustRead(t))
	must.NoError(t, <-done)
}

// Guards against a server that doesn't stop because clients keep connections open.
func TestDrainClosesConnectionsWithoutRequest(t *testing.T) {
	s := newTestServer(t, listen(t), answer)
	idle, fresh, stray := dial(t, s.address), dial(t, s.address), dial(t, s.address)
	for _, c := range []*client{idle, stray} {
		c.write(t, request)
		must.False(t, c.mustRead(t))
	}
	stray.write(t, "\r\n")
	must.Wait(t, s.hasOpen(3))
	done := s.drain(t, testTimeout)
	idle.mustBeClosed(t)
	must.Wait(t, s.hasOpen(2))
	fresh.mustBeClosed(t)
	stray.mustBeClosed(t)
	must.NoError(t, <-done)
	must.True(t, refuses(s.address))
}

// refuses reports whether an address refuses connections.
func refuses(address string) bool {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	c.Close()
	return false
}

// Guards against a server that waits for a request longer than it may.
func TestDrainEndsWithItsContext(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	s := newTestServer(t, listen(t), func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-finish
		answer(w, r)
	})
	c := dial(t, s.address)
	c.write(t, request)
	<-started
	must.ErrorIs(t, <-s.drain(t, 50*time.Millisecond), context.DeadlineExceeded)
	must.Eq(t, 1, s.Open())
	close(finish)
	must.False(t, c.mustRead(t))
	must.NoError(t, <-s.drain(t, testTimeout))
}

// countingListener counts the bytes that are read on its connections.
type countingListener struct {
	*net.TCPListener
	bytes atomic.Int64
}

type countingConn struct {
	*net.TCPConn
	bytes *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return countingConn{c, &l.bytes}, nil
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Guards against a request that the server has read and not answered, with clients that send at any moment of its stop.
func TestDrainAnswersEachRequestThatItReads(t *testing.T) {
	for range 20 {
		l := &countingListener{TCPListener: listen(t)}
		s := newTestServer(t, l, answer)
		var answered atomic.Int64
		var clients sync.WaitGroup
		for range 20 {
			clients.Go(func() {
				for requestUntilClosed(s.address, &answered) {
				}
			})
		}
		time.Sleep(10 * time.Millisecond)
		must.NoError(t, <-s.drain(t, testTimeout))
		clients.Wait()
		must.Positive(t, answered.Load())
		must.Eq(t, answered.Load()*int64(len(request)), l.bytes.Load())
	}
}

// requestUntilClosed sends requests on a connection until that is closed; false if no connection can be opened.
func requestUntilClosed(address string, answered *atomic.Int64) bool {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	defer conn.Close()
	c := &client{Conn: conn, replies: bufio.NewReader(conn)}
	for closes := false; !closes && connector.Reusable(conn); {
		if _, err := io.WriteString(c, request); err != nil {
			return true
		}
		if _, closes, err = c.read(); err != nil {
			return true
		}
		answered.Add(1)
	}
	return true
}

// bufferingListener accepts connections that take a whole reply while the client doesn't read.
type bufferingListener struct{ *net.TCPListener }

func (l bufferingListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return c, c.SetWriteBuffer(2 * longReply)
}

const (
	longReply = 1 << 20
	// clientBuffer is how much of a reply the client's kernel takes, roughly.
	clientBuffer = 16 << 10
	// readDelay is how long after a reply was sent the client reads it.
	readDelay = 100 * time.Millisecond
	// lingerLimit is less than the server waits for a client.
	lingerLimit = 300 * time.Millisecond
)

// Guards against a reply that its client gets in part, as the server closes the connection while more of what the client sent
// waits to be read or arrives.
func TestLastReplyIsWholeThoughClientSentMore(t *testing.T) {
	for _, e := range []struct {
		name, head string
		// before is sent while the request is handled, after once the reply was sent.
		before, after string
	}{
		{"nothing more", request, "", ""},
		{"stray line end", request, "\r\n", ""},
		{"next request", request, request, ""},
		{"stray line end after the reply", request, "", "\r\n"},
		{"next request after the reply", request, "", request},
		{"reply that ends with the connection", "GET / HTTP/1.0\r\n\r\n", "\r\n", ""},
	} {
		t.Run(e.name, func(t *testing.T) {
			t.Parallel()
			started, finish, sent := make(chan struct{}), make(chan struct{}), make(chan struct{})
			s := newTestServer(t, bufferingListener{listen(t)}, func(w http.ResponseWriter, _ *http.Request) {
				close(started)
				<-finish
				defer close(sent)
				_, _ = w.Write(make([]byte, longReply))
			})
			s.AskToClose()
			c := dial(t, s.address)
			must.NoError(t, c.Conn.(*net.TCPConn).SetReadBuffer(clientBuffer))
			c.write(t, e.head)
			<-started
			c.write(t, e.before)
			time.Sleep(readDelay / 2)
			close(finish)
			<-sent
			time.Sleep(readDelay / 2)
			c.write(t, e.after)
			time.Sleep(readDelay / 2)
			body, closes, err := c.read()
			must.NoError(t, err)
			must.Eq(t, longReply, len(body))
			must.True(t, closes)
			must.Wait(t, s.hasOpen(0))
		})
	}
}

// Guards against a stop that waits at its end for clients that don't read their replies.
func TestServerClosesAtOnceThoughAReplyIsNotRead(t *testing.T) {
	s := newTestServer(t, bufferingListener{listen(t)}, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, longReply))
	})
	s.AskToClose()
	c := dial(t, s.address)
	must.NoError(t, c.Conn.(*net.TCPConn).SetReadBuffer(clientBuffer))
	c.write(t, request+request)
	must.Wait(t, until(func() bool { return s.handled.Load() == 1 }))
	must.ErrorIs(t, <-s.drain(t, readDelay), context.DeadlineExceeded)
	must.Eq(t, 1, s.Open())
	start := time.Now()
	must.NoError(t, s.Close())
	must.Wait(t, s.hasOpen(0))
	must.Less(t, lingerLimit, time.Since(start))
}

// Guards against connections that stay open for clients that don't read their replies.
func TestConnectionIsClosedThoughItsReplyIsNotRead(t *testing.T) {
	s := newTestServer(t, bufferingListener{listen(t)}, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, longReply))
	})
	s.AskToClose()
	c := dial(t, s.address)
	must.NoError(t, c.Conn.(*net.TCPConn).SetReadBuffer(clientBuffer))
	c.write(t, request)
	must.Wait(t, until(func() bool { return s.handled.Load() == 1 }))
	must.Wait(t, s.hasOpen(0))
}
