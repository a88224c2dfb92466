package relayer

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"sync"
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
	readBuffer  = 8 << 10
)

// connection is one to an upstream.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// reused connections have answered a request before.
	reused bool
	until  time.Time
}

// Pool keeps connections to upstreams. An address may come to belong to another
// upstream, so each start has its own. Set Clock before use.
type Pool struct {
	Clock clock.PassiveClock
	// Opened is called for each new connection.
	Opened func()

	mu   sync.Mutex
	idle map[string][]*connection
}

// get gives a connection to the upstream: an idle one, unless a new one is asked
// for.
func (p *Pool) get(ctx context.Context, upstream string, a netip.AddrPort, fresh bool) (*connection, error) {
	if !fresh {
		for c := p.take(upstream); c != nil; c = p.take(upstream) {
			if p.Clock.Now().Before(c.until) && c.reader.Buffered() == 0 && connector.Quiet(c.Conn) {
				c.reused = true
				return c, nil
			}
			c.Close()
		}
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := connector.Dial(ctx, a)
	if err != nil {
		return nil, err
	}
	p.Opened()
	return &connection{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
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
	c.until = p.Clock.Now().Add(keep)
	_ = c.SetDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*connection{}
	}
	if len(p.idle[upstream]) >= maxIdleConnections {
		c.Close()
		return
	}
	p.idle[upstream] = append(p.idle[upstream], c)
}

// Sweep closes connections that were idle for too long.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	for upstream, cs := range p.idle {
		kept := cs[:0]
		for _, c := range cs {
			if now.Before(c.until) {
				kept = append(kept, c)
				continue
			}
			c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, upstream)
			continue
		}
		p.idle[upstream] = kept
	}
}
