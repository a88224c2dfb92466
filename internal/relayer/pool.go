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
	"github.com/oriolecroft/oriolecroft/internal/detector"
)

const (
	// maxIdleTime is how long a connection is kept for another request. Upstreams close idle connections, and a
	// request that crosses the close has an unknown outcome. The time is shorter than any upstream's own limit,
	// and longer than the gap between two requests of a busy entry.
	maxIdleTime = 3 * time.Second
	// idleMargin is how long before the end stated by its upstream a connection is closed.
	idleMargin = time.Second
	// maxIdleConnections is how many are kept for each upstream. Its connections are counted over all entries.
	maxIdleConnections = 4
	// dialTimeout limits connecting to an upstream. One that is down doesn't answer, and the request must have
	// time for another.
	dialTimeout = 300 * time.Millisecond
	// readBufferSize is in bytes.
	readBufferSize = 8 << 10
)

// connection is a connection to an upstream.
type connection struct {
	net.Conn
	reader *connector.ReplyReader
	// reused reports whether the connection has answered a request before.
	reused        bool
	reusableUntil time.Time
	onClose       func()
	// keepReading decides whether to read on when the read deadline has passed; nil gives up.
	keepReading func() bool
	// lastRead is when the request was sent or bytes of its reply last arrived.
	lastRead time.Time
	// giveUpReason is why this entry gave up the request on the connection.
	giveUpReason atomic.Pointer[StaleWeightsError]
}

// Close closes the connection. It may be called more than once.
func (c *connection) Close() error {
	c.onClose()
	return c.Conn.Close()
}

// giveUp closes the connection because the request on it can't start in time.
func (c *connection) giveUp(why *StaleWeightsError) {
	c.giveUpReason.Store(why)
	c.Close()
}

// errorCause returns why this entry gave up the connection, or else the given error.
func (c *connection) errorCause(err error) error {
	if why := c.giveUpReason.Load(); why != nil {
		return why
	}
	return err
}

// ConnectionLimitError reports an upstream at which this entry has all the connections that it may open.
type ConnectionLimitError struct{ Limit int }

func (e *ConnectionLimitError) Error() string {
	return fmt.Sprintf("all %d connections in use", e.Limit)
}

// Pool keeps connections to upstreams. Each start of an upstream has its own, as an address may later belong to
// another upstream. Set the exported fields before use.
type Pool struct {
	// Clock should count the time for which the VM is suspended.
	Clock clock.PassiveClock
	// Stalls has the same clock. A reply that is read after a stall may have ended before it; nil for no stalls.
	Stalls *detector.Detector
	// Opened is called for each new connection.
	Opened func()

	mu   sync.Mutex
	idle map[string][]*connection
	// openCount counts connections to each upstream, idle ones and those in use.
	openCount map[string]int
}

// acquire returns a connection to the upstream: an idle one, unless a new one is requested. A limit above zero
// bounds how many there are at once.
func (p *Pool) acquire(ctx context.Context, upstream string, a netip.AddrPort, fresh bool, limit int) (*connection, error) {
	if !fresh {
		for c := p.takeIdle(upstream); c != nil; c = p.takeIdle(upstream) {
			if p.Clock.Now().Before(c.reusableUntil) && c.reader.Buffered() == 0 && connector.Reusable(c.Conn) {
				c.reused = true
				return c, nil
			}
			c.Close()
		}
	}
	if !p.reserve(upstream, limit) {
		return nil, &ConnectionLimitError{Limit: limit}
	}
	unreserve := sync.OnceFunc(func() { p.unreserve(upstream) })
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := connector.Dial(ctx, a)
	if err != nil {
		unreserve()
		return nil, err
	}
	p.Opened()
	c := &connection{Conn: raw, onClose: unreserve}
	c.reader = connector.NewReplyReader(c, readBufferSize)
	return c, nil
}

// reserve counts one more connection, if necessary in place of an idle one.
//
// An upstream resets connections beyond the number it accepts from all callers, with whatever was sent on them:
// a booking on one may have run, and its caller gets an unknown outcome. Such resets come in bursts from
// upstreams that work otherwise. A request that gets no connection here has certainly not run, and may go
// elsewhere or be retried.
func (p *Pool) reserve(upstream string, limit int) bool {
	p.mu.Lock()
	full := limit > 0 && p.openCount[upstream] >= limit
	p.mu.Unlock()
	if full {
		c := p.takeIdle(upstream)
		if c == nil {
			return false
		}
		c.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if limit > 0 && p.openCount[upstream] >= limit {
		return false
	}
	if p.openCount == nil {
		p.openCount = map[string]int{}
	}
	p.openCount[upstream]++
	return true
}

func (p *Pool) unreserve(upstream string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.openCount[upstream]--; p.openCount[upstream] <= 0 {
		delete(p.openCount, upstream)
	}
}

func (p *Pool) takeIdle(upstream string) *connection {
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

// put keeps a connection on which nothing is under way. Idle is how long the upstream stated that it keeps it.
func (p *Pool) put(upstream string, c *connection, idle time.Duration) {
	keep := maxIdleTime
	if idle > 0 {
		keep = min(keep, idle-idleMargin)
	}
	if keep <= 0 {
		c.Close()
		return
	}
	c.reusableUntil, c.keepReading = p.idleSince().Add(keep), nil
	_ = c.SetDeadline(time.Time{})
	if !p.addIdle(upstream, c) {
		c.Close()
	}
}

// idleSince is the earliest time since which the connection of a reply that has just been read may be idle.
func (p *Pool) idleSince() time.Time {
	if p.Stalls == nil {
		return p.Clock.Now()
	}
	return p.Stalls.Event().Earliest
}

func (p *Pool) addIdle(upstream string, c *connection) bool {
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
	for _, c := range p.takeExpired() {
		c.Close()
	}
}

// takeExpired removes and returns the connections that were idle for too long.
func (p *Pool) takeExpired() []*connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	var expired []*connection
	for upstream, cs := range p.idle {
		kept := cs[:0]
		for _, c := range cs {
			if now.Before(c.reusableUntil) {
				kept = append(kept, c)
				continue
			}
			expired = append(expired, c)
		}
		if len(kept) == 0 {
			delete(p.idle, upstream)
			continue
		}
		p.idle[upstream] = kept
	}
	return expired
}
