package relayer

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/connector"
)

const (
	// maxIdle is how long a connection is kept for another request. Upstreams close
	// idle ones, and a request that crosses the closing has an unknown end; the time
	// is short against any upstream's own, and long against the gap between two
	// requests of a busy entry.
	maxIdle = 3 * time.Second
	// idleMargin is how much earlier than an upstream said it is given up.
	idleMargin = time.Second
	// maxIdleConnections is how many are kept for each upstream. Its connections are
	// counted over all entries.
	maxIdleConnections = 4
	// dialTimeout bounds connecting to an upstream. A dark one answers nothing, and
	// the request must have time for another.
	dialTimeout = 300 * time.Millisecond
	// readBuffer is in bytes.
	readBuffer = 8 << 10
)

// connection is one to an upstream.
type connection struct {
	net.Conn
	reader *connector.ReplyReader
	// reused connections have answered a request before.
	reused bool
	until  time.Time
	closed func()
	// stalled is asked whether to read on when the read deadline has passed; nil gives up.
	stalled func() bool
	// lastRead is when the request was sent or bytes of its reply last came.
	lastRead time.Time
	// closedFor is why this entry gave up the request on it.
	closedFor atomic.Pointer[StaleWeightsError]
}

// Close closes the connection; more than once does no harm.
func (c *connection) Close() error {
	c.closed()
	return c.Conn.Close()
}

// giveUp closes the connection as the request on it can't begin in time.
func (c *connection) giveUp(why *StaleWeightsError) {
	c.closedFor.Store(why)
	c.Close()
}

// reason is why the connection failed with an error.
func (c *connection) reason(err error) error {
	if why := c.closedFor.Load(); why != nil {
		return why
	}
	return err
}

// ConnectionsError reports an upstream at which this entry has all the connections that it
// may open.
type ConnectionsError struct{ Limit int }

func (e *ConnectionsError) Error() string {
	return fmt.Sprintf("all %d connections in use", e.Limit)
}

// Pool keeps connections to upstreams. An address may come to belong to another
// upstream, so each start has its own. Set Clock before use.
type Pool struct {
	Clock clock.PassiveClock
	// Opened is called for each new connection.
	Opened func()

	mu   sync.Mutex
	idle map[string][]*connection
	// open counts connections to each upstream, idle ones and those in use.
	open map[string]int
}

// get gives a connection to the upstream: an idle one, unless a new one is asked
// for. A limit above zero bounds how many there are at once.
func (p *Pool) get(ctx context.Context, upstream string, a netip.AddrPort, fresh bool, limit int) (*connection, error) {
	if !fresh {
		for c := p.take(upstream); c != nil; c = p.take(upstream) {
			if p.Clock.Now().Before(c.until) && c.reader.Buffered() == 0 && connector.Reusable(c.Conn) {
				c.reused = true
				return c, nil
			}
			c.Close()
		}
	}
	if !p.reserve(upstream, limit) {
		return nil, &ConnectionsError{Limit: limit}
	}
	free := sync.OnceFunc(func() { p.free(upstream) })
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := connector.Dial(ctx, a)
	if err != nil {
		free()
		return nil, err
	}
	p.Opened()
	c := &connection{Conn: raw, closed: free}
	c.reader = connector.NewReplyReader(c, readBuffer)
	return c, nil
}

// reserve counts one more connection, if need be in the place of an idle one.
//
// An upstream resets connections beyond those that it bears from all callers, with whatever
// was sent on them: a booking on one may have run, and its caller is told that nobody knows.
// One notices resets at upstreams that are well, in bursts. A request that gets no
// connection here has certainly not run, and may go elsewhere or come back.
func (p *Pool) reserve(upstream string, limit int) bool {
	p.mu.Lock()
	full := limit > 0 && p.open[upstream] >= limit
	p.mu.Unlock()
	if full {
		c := p.take(upstream)
		if c == nil {
			return false
		}
		c.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if limit > 0 && p.open[upstream] >= limit {
		return false
	}
	if p.open == nil {
		p.open = map[string]int{}
	}
	p.open[upstream]++
	return true
}

func (p *Pool) free(upstream string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[upstream]--; p.open[upstream] <= 0 {
		delete(p.open, upstream)
	}
}

func (p *Pool) take(upstream string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	cs := p.idle[upstream]
	if len(cs) == 0 {
		return nil
	}
	c := cs[len(cs)-1]
	p.idle[upstream] = cs[:len(cs)-1]
	return c
}

// put keeps a connection on which nothing is under way. Idle is how long the
// upstream said to keep it.
func (p *Pool) put(upstream string, c *connection, idle time.Duration) {
	keep := maxIdle
	if idle > 0 {
		keep = min(keep, idle-idleMargin)
	}
	if keep <= 0 {
		c.Close()
		return
	}
	c.until, c.stalled = p.Clock.Now().Add(keep), nil
	_ = c.SetDeadline(time.Time{})
	if !p.keep(upstream, c) {
		c.Close()
	}
}

func (p *Pool) keep(upstream string, c *connection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*connection{}
	}
	if len(p.idle[upstream]) >= maxIdleConnections {
		return false
	}
	p.idle[upstream] = append(p.idle[upstream], c)
	return true
}

// Sweep closes connections that were idle for too long.
func (p *Pool) Sweep() {
	for _, c := range p.expired() {
		c.Close()
	}
}

// expired takes the connections out that were idle for too long.
func (p *Pool) expired() []*connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	var old []*connection
	for upstream, cs := range p.idle {
		kept := cs[:0]
		for _, c := range cs {
			if now.Before(c.until) {
				kept = append(kept, c)
				continue
			}
			old = append(old, c)
		}
		if len(kept) == 0 {
			delete(p.idle, upstream)
			continue
		}
		p.idle[upstream] = kept
	}
	return old
}
