package messenger

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/oriolecroft/oriolecroft/internal/localizer"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// Methods of the protocol between the system's processes.
const (
	methodReport   = "report"
	methodExchange = "exchange"
	methodNews     = "news"
	methodEvidence = "evidence"
)

// UnreachableError reports that a call did not reach a peer or that no reply arrived.
type UnreachableError struct {
	Address netip.AddrPort
	Err     error
}

func (e *UnreachableError) Error() string {
	return "no answer from " + e.Address.String() + ": " + e.Err.Error()
}

func (e *UnreachableError) Unwrap() error { return e.Err }

// Client keeps one connection to an entry's peer address and reconnects when it
// breaks.
type Client struct {
	Address netip.AddrPort
	// Timeout bounds one call, including the dial.
	Timeout time.Duration
	// Dial opens connections; nil means a plain net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnNews handles updates that the entry pushes; nil drops them.
	OnNews func(Update)

	mu   sync.Mutex
	conn *connection
}

// Report sends an agent's state to the entry and returns an update.
func (c *Client) Report(ctx context.Context, r Report) (Update, error) {
	var n Update
	err := c.call(ctx, methodReport, r, &n)
	return n, err
}

// Exchange sends the state of one entry to another and returns that entry's state.
func (c *Client) Exchange(ctx context.Context, x Exchange) (Exchange, error) {
	var reply Exchange
	err := c.call(ctx, methodExchange, x, &reply)
	return reply, err
}

// Evidence reports crashes to another entry, and returns that entry's crashes if the update requests them.
func (c *Client) Evidence(ctx context.Context, u localizer.Update) (localizer.Update, error) {
	var reply localizer.Update
	err := c.call(ctx, methodEvidence, u, &reply)
	return reply, err
}

// Connect opens the connection before the first call.
func (c *Client) Connect(ctx context.Context) error {
	if _, err := c.connect(ctx); err != nil {
		return &UnreachableError{Address: c.Address, Err: err}
	}
	return nil
}

// Close closes the connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

func (c *Client) call(parent context.Context, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(parent, c.Timeout)
	defer cancel()
	conn, err := c.connect(ctx)
	if err != nil {
		return &UnreachableError{Address: c.Address, Err: err}
	}
	return c.callOnConn(parent, ctx, conn, method, params, result)
}

// callOnConn makes a call on a connection. The parent context is ctx without the call's own
// timeout.
func (c *Client) callOnConn(parent, ctx context.Context, conn *connection, method string, params, result any) error {
	err := conn.Call(ctx, method, params, result)
	if err == nil {
		return nil
	}
	switch {
	case errors.Is(parent.Err(), context.Canceled):
		// A call that was cancelled by its caller is no evidence about the peer.
	case ctx.Err() != nil:
		// The peer may just be slow, and closing the connection would fail all other calls
		// on it.
		conn.markTimedOut()
	default:
		c.drop(conn)
	}
	return &UnreachableError{Address: c.Address, Err: err}
}

func (c *Client) connect(ctx context.Context) (*connection, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil && !c.conn.unresponsive() {
		return c.conn, nil
	}
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
	dial := c.Dial
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	raw, err := dial(ctx, "tcp", c.Address.String())
	if err != nil {
		return nil, err
	}
	stream := newStream(raw)
	stream.conn.unanswered = MaxMessage
	// The library calls this on the goroutine that reads.
	onReceived := jsonrpc2.OnRecv(func(r *jsonrpc2.Request, res *jsonrpc2.Response) {
		if isAnswer := r != nil && res != nil; isAnswer || c.OnNews != nil && r != nil && r.Method == methodNews {
			stream.conn.unanswered = MaxMessage
		}
	})
	c.conn = &connection{
		Conn: jsonrpc2.NewConn(context.Background(), stream, jsonrpc2.HandlerWithError(c.handle), withoutLogging, onReceived),
		raw:  stream.conn,
	}
	return c.conn, nil
}

// drop removes a connection that failed, unless another call has replaced it.
func (c *Client) drop(conn *connection) {
	conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == conn {
		c.conn = nil
	}
}

func (c *Client) handle(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	if r.Method != methodNews || r.Params == nil || c.OnNews == nil {
		return nil, nil
	}
	var n Update
	if err := decode(r, &n); err != nil {
		return nil, err
	}
	c.OnNews(n)
	return nil, nil
}

// Server handles calls of agents and other entries.
type Server struct {
	Listener net.Listener
	// OnReport handles an agent's report; the link stays usable for pushes until
	// the agent's connection ends.
	OnReport func(Report, *Link) Update
	// OnExchange handles the state of another entry.
	OnExchange func(Exchange) Exchange
	// OnRecords handles a query of any process. It may delay the reply by the query's
	// wait without delaying other messages of the connection.
	OnRecords func(context.Context, RecordsQuery) registrar.Batch
	// OnEvidence handles another entry's reports of crashes and requests for them.
	OnEvidence func(localizer.Update) localizer.Update
	// OnReserve and OnProgress handle an entry's calls at an agent; the link identifies
	// the entry's connection. OnLost is called when a connection ends.
	OnReserve  func(Reservation, *Link) Decision
	OnProgress func(Progress, *Link)
	OnLost     func(*Link)

	packer packer
}

// Serve accepts connections until ctx is done.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.Listener.Close() })
	defer stop()
	for {
		raw, err := s.Listener.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return err
		}
		s.accept(ctx, raw)
	}
}

func (s *Server) accept(ctx context.Context, raw net.Conn) {
	l := &Link{pending: make(chan Update, 1)}
	stream := newStream(raw)
	h := &messageHandler{stream: stream, handle: func(ctx context.Context, r *jsonrpc2.Request) (any, error) {
		return s.handle(ctx, r, l)
	}}
	conn := jsonrpc2.NewConn(ctx, stream, h, withoutLogging)
	go func() {
		l.sendUpdates(ctx, conn)
		if s.OnLost != nil {
			s.OnLost(l)
		}
	}()
}

func (s *Server) handle(ctx context.Context, r *jsonrpc2.Request, l *Link) (any, error) {
	switch {
	case r.Method == methodRecords && s.OnRecords != nil:
		var q RecordsQuery
		if err := decode(r, &q); err != nil {
			return nil, err
		}
		return s.packer.pack(s.OnRecords(ctx, q), q)
	case r.Method == methodReserve && s.OnReserve != nil:
		var v Reservation
		if err := decode(r, &v); err != nil {
			return nil, err
		}
		return s.OnReserve(v, l), nil
	case r.Method == methodProgress && s.OnProgress != nil:
		var p Progress
		if err := decode(r, &p); err != nil {
			return nil, err
		}
		s.OnProgress(p, l)
		return nil, nil
	case r.Method == methodReport && s.OnReport != nil:
		var report Report
		if err := decode(r, &report); err != nil {
			return nil, err
		}
		return s.OnReport(report, l), nil
	case r.Method == methodExchange && s.OnExchange != nil:
		var x Exchange
		if err := decode(r, &x); err != nil {
			return nil, err
		}
		return s.OnExchange(x), nil
	case r.Method == methodEvidence && s.OnEvidence != nil:
		var u localizer.Update
		if err := decode(r, &u); err != nil {
			return nil, err
		}
		return s.OnEvidence(u), nil
	default:
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
	}
}

// Link sends updates to a connected agent.
type Link struct {
	pending chan Update
}

// Push queues an update without blocking. Only the latest of several unsent updates is
// sent: each is complete, and a slow agent must not delay the others.
func (l *Link) Push(n Update) {
	for {
		select {
		case l.pending <- n:
			return
		default:
		}
		select {
		case <-l.pending:
		default:
		}
	}
}

func (l *Link) sendUpdates(ctx context.Context, conn *jsonrpc2.Conn) {
	defer conn.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-conn.DisconnectNotify():
			return
		case n := <-l.pending:
			if err := conn.Notify(ctx, methodNews, n); err != nil {
				return
			}
		}
	}
}

// decode unmarshals a request's parameters.
func decode(r *jsonrpc2.Request, v any) error {
	if r.Params == nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no parameters"}
	}
	if err := json.Unmarshal(*r.Params, v); err != nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return nil
}

// discardLogger discards the library's log lines about broken connections, which are
// common here and are reported by the calls that fail.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

var withoutLogging = jsonrpc2.SetLogger(discardLogger{})

// IsUnreachable reports whether err is or wraps an *UnreachableError.
func IsUnreachable(err error) bool {
	var u *UnreachableError
	return errors.As(err, &u)
}
