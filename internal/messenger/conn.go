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

// Methods of the protocol between our own processes.
const (
	methodReport   = "report"
	methodExchange = "exchange"
	methodNews     = "news"
	methodEvidence = "evidence"
)

// UnreachableError reports that a peer could not be asked or did not answer.
type UnreachableError struct {
	Address netip.AddrPort
	Err     error
}

func (e *UnreachableError) Error() string {
	return "no answer from " + e.Address.String() + ": " + e.Err.Error()
}

func (e *UnreachableError) Unwrap() error { return e.Err }

// Client keeps one connection to an entry's peer address and makes it anew when
// it breaks.
type Client struct {
	Address netip.AddrPort
	// Timeout bounds one call, connecting included.
	Timeout time.Duration
	// Dial makes connections; nil means plain ones.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnNews takes what the entry pushes by itself; nil drops it.
	OnNews func(News)

	mu   sync.Mutex
	conn *connection
}

// Report tells the entry an agent's state and brings back what is new.
func (c *Client) Report(ctx context.Context, r Report) (News, error) {
	var n News
	err := c.call(ctx, methodReport, r, &n)
	return n, err
}

// Exchange swaps what two entries know.
func (c *Client) Exchange(ctx context.Context, x Exchange) (Exchange, error) {
	var answer Exchange
	err := c.call(ctx, methodExchange, x, &answer)
	return answer, err
}

// Evidence tells another entry of crashes, and brings back what it knows if the update asks for that.
func (c *Client) Evidence(ctx context.Context, u localizer.Update) (localizer.Update, error) {
	var answer localizer.Update
	err := c.call(ctx, methodEvidence, u, &answer)
	return answer, err
}

// Connect makes the connection now instead of with the first call.
func (c *Client) Connect(ctx context.Context) error {
	if _, err := c.connect(ctx); err != nil {
		return &UnreachableError{Address: c.Address, Err: err}
	}
	return nil
}

// Close gives up the connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

func (c *Client) call(asker context.Context, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(asker, c.Timeout)
	defer cancel()
	conn, err := c.connect(ctx)
	if err != nil {
		return &UnreachableError{Address: c.Address, Err: err}
	}
	return c.callOn(asker, ctx, conn, method, params, result)
}

// callOn makes a call on a connection. The asker's context is that of ctx without the call's own
// timeout.
func (c *Client) callOn(asker, ctx context.Context, conn *connection, method string, params, result any) error {
	err := conn.Call(ctx, method, params, result)
	if err == nil {
		return nil
	}
	switch {
	case errors.Is(asker.Err(), context.Canceled):
		// An asker that has lost interest says nothing of the peer.
	case ctx.Err() != nil:
		// The peer may merely be slow. Closed now, the connection would take along all other
		// calls over it.
		conn.suspect()
	default:
		c.drop(conn)
	}
	return &UnreachableError{Address: c.Address, Err: err}
}

func (c *Client) connect(ctx context.Context) (*connection, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil && !c.conn.silent() {
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
	c.conn = &connection{
		Conn: jsonrpc2.NewConn(context.Background(), stream, jsonrpc2.HandlerWithError(c.handle), quiet),
		raw:  stream.conn,
	}
	return c.conn, nil
}

// drop forgets a connection that failed, unless another call has replaced it.
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
	var n News
	if err := decode(r, &n); err != nil {
		return nil, err
	}
	c.OnNews(n)
	return nil, nil
}

// Server answers agents and other entries.
type Server struct {
	Listener net.Listener
	// OnReport answers an agent; the link stays usable for pushes until the
	// agent's connection ends.
	OnReport func(Report, *Link) News
	// OnExchange answers another entry.
	OnExchange func(Exchange) Exchange
	// OnRecords answers any process; it may hold the answer back for the wait asked
	// for, without holding up other messages of the connection.
	OnRecords func(context.Context, RecordsQuery) registrar.Batch
	// OnEvidence answers another entry that tells or asks of crashes.
	OnEvidence func(localizer.Update) localizer.Update
	// OnReserve and OnProgress answer an entry at an agent; the link names the
	// entry's connection. OnLost tells that a connection is over.
	OnReserve  func(Reservation, *Link) Verdict
	OnProgress func(Progress, *Link)
	OnLost     func(*Link)

	packer packer
}

// Serve accepts connections until the context ends.
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
	l := &Link{latest: make(chan News, 1)}
	h := func(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
		return s.handle(ctx, r, l)
	}
	conn := jsonrpc2.NewConn(ctx, newStream(raw), concurrentRecords{jsonrpc2.HandlerWithError(h)}, quiet)
	go func() {
		l.run(ctx, conn)
		if s.OnLost != nil {
			s.OnLost(l)
		}
	}()
}

// concurrentRecords answers questions for records beside the other messages of a
// connection, which are handled in order: such an answer may be held back.
type concurrentRecords struct{ jsonrpc2.Handler }

// Handle implements jsonrpc2.Handler.
func (c concurrentRecords) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if r.Method == methodRecords {
		go c.Handler.Handle(ctx, conn, r)
		return
	}
	c.Handler.Handle(ctx, conn, r)
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

// Link is the way back to a connected agent.
type Link struct {
	latest chan News
}

// Push sends news without waiting. Of several unsent ones only the last goes
// out: each is complete, and a slow agent must not hold up the others.
func (l *Link) Push(n News) {
	for {
		select {
		case l.latest <- n:
			return
		default:
		}
		select {
		case <-l.latest:
		default:
		}
	}
}

func (l *Link) run(ctx context.Context, conn *jsonrpc2.Conn) {
	defer conn.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-conn.DisconnectNotify():
			return
		case n := <-l.latest:
			if err := conn.Notify(ctx, methodNews, n); err != nil {
				return
			}
		}
	}
}

// decode unpacks a request's parameters.
func decode(r *jsonrpc2.Request, v any) error {
	if r.Params == nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no parameters"}
	}
	if err := json.Unmarshal(*r.Params, v); err != nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return nil
}

// silent keeps the library from logging broken connections, which are ordinary
// here and are reported by the calls that fail.
type silent struct{}

func (silent) Printf(string, ...any) {}

var quiet = jsonrpc2.SetLogger(silent{})

// IsUnreachable tells whether an error means that the peer gave no answer.
func IsUnreachable(err error) bool {
	var u *UnreachableError
	return errors.As(err, &u)
}
