// Package acceptor accepts connections within limits on their number and on the memory that their clients make a process
// use. The limits hold for all listeners of a process together, as a limit on each client bounds no crowd of them.
//
// If a process lacks room for a connection or a request, it closes other connections: first those on which the head of a
// request is incomplete, then idle ones, then those on which a body is. Connections with running requests stay open.
package acceptor

import (
	"net"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"
)

const (
	// ConnectionBytes is the memory of an open connection: buffers, stacks of goroutines, and a head of up to
	// includedHeadCost.
	ConnectionBytes = 24 << 10
	// includedHeadCost is the cost of a head that is part of ConnectionBytes, in bytes.
	includedHeadCost = 8 << 10
	// staleAfter is how long a client may take to send its first request before its connection is closed rather than one
	// on which it sent others.
	staleAfter = time.Second
	// slowHeadAge is how long a client may take to send a head of ordinary size before its connection is closed rather than
	// an idle one. Closing it frees no more memory, and its request may be about to start.
	slowHeadAge = 50 * time.Millisecond
	// closeTimeout limits the wait for the servers of connections that are closed in favor of others.
	closeTimeout = 200 * time.Millisecond
	// logInterval is the minimum time between two log lines about closed or refused connections.
	logInterval = time.Second
)

// Limits limits the connections and the memory of all clients of a process. Set the exported fields before use. It is safe
// for concurrent use.
type Limits struct {
	// Connections limits the number of open connections; 0 means no limit.
	Connections int
	// Memory limits the memory of connections and requests, in bytes; 0 means no limit.
	Memory int64
	// Reserve is the part of Memory, in bytes, that only connections may use, so that requests can be read and refused
	// while others use the rest.
	Reserve int64
	// Metrics has the gauge connections.open, and the counters connections.closed, for those closed in favor of others,
	// connections.refused, memory.held, in bytes, and memory.refused.
	Metrics metrics.Registry

	mu   sync.Mutex
	open int
	held int64
	// freed is closed when memory is released, or a connection is chosen to be closed; nil if nobody waits.
	freed     chan struct{}
	listeners []*Listener
	// closableBytes is the memory of the connections that may be closed, and closingBytes that of connections that were
	// chosen, but whose servers haven't ended them yet.
	closableBytes, closingBytes int64

	lastLog         time.Time
	closed, refused int

	metricsOnce sync.Once
	metrics     limitMetrics
}

// limitMetrics are the metrics of Limits.
type limitMetrics struct {
	open                     metrics.Gauge
	closed, refused          metrics.Counter
	heldBytes, refusedMemory metrics.Counter
}

// counts returns the metrics, which are registered at the first use.
func (l *Limits) counts() *limitMetrics {
	l.metricsOnce.Do(func() {
		l.metrics = limitMetrics{
			open:          metrics.GetOrRegisterGauge("connections.open", l.Metrics),
			closed:        metrics.GetOrRegisterCounter("connections.closed", l.Metrics),
			refused:       metrics.GetOrRegisterCounter("connections.refused", l.Metrics),
			heldBytes:     metrics.GetOrRegisterCounter("memory.held", l.Metrics),
			refusedMemory: metrics.GetOrRegisterCounter("memory.refused", l.Metrics),
		}
	})
	return &l.metrics
}

// Acquire reports whether this many more bytes are available for a request, and counts them. It closes connections for
// them if necessary.
func (l *Limits) Acquire(bytes int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.acquire(bytes, l.Reserve, nil) {
		l.counts().refusedMemory.Inc(1)
		return false
	}
	return true
}

// Release returns bytes that were acquired.
func (l *Limits) Release(bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hold(-bytes)
}

// hold counts bytes. The caller holds the lock.
func (l *Limits) hold(bytes int64) {
	l.held += bytes
	l.counts().heldBytes.Inc(bytes)
	if bytes < 0 {
		l.notify()
	}
}

// notify wakes all that wait for memory. The caller holds the lock.
func (l *Limits) notify() {
	if l.freed != nil {
		close(l.freed)
		l.freed = nil
	}
}

// acquire reports whether this many more bytes are available beside a reserve, and counts them. If it has to close
// connections for them, it waits until their servers have ended them. It fails at once if the connection for which the
// bytes are, if any, has to be closed. The caller holds the lock, which is released meanwhile.
func (l *Limits) acquire(bytes, reserve int64, c *Conn) bool {
	limit := l.Memory - reserve
	var timeout <-chan time.Time
	for l.Memory > 0 && l.held+bytes > limit {
		if c.isClosing() || l.held-l.closingBytes-l.closableBytes+bytes > limit {
			return false
		}
		var victims []*Conn
		for l.held-l.closingBytes+bytes > limit {
			v := l.nextVictim()
			if v == nil {
				break
			}
			l.choose(v)
			victims = append(victims, v)
		}
		if l.freed == nil {
			l.freed = make(chan struct{})
		}
		if timeout == nil {
			timeout = time.After(closeTimeout)
		}
		if !l.wait(l.freed, timeout, victims) {
			return false
		}
	}
	if c.isClosing() {
		return false
	}
	l.hold(bytes)
	return true
}

// wait closes connections and waits until memory may be free. It reports false after the timeout. The caller holds the lock,
// which is released meanwhile.
func (l *Limits) wait(freed <-chan struct{}, timeout <-chan time.Time, victims []*Conn) bool {
	l.mu.Unlock()
	defer l.mu.Lock()
	l.closeAll(victims)
	select {
	case <-freed:
		return true
	case <-timeout:
		return false
	}
}

// nextVictim returns the connection to be closed first, or nil. The caller holds the lock.
func (l *Limits) nextVictim() *Conn {
	for _, candidates := range [...]struct {
		state state
		age   time.Duration
	}{
		{receivingLargeHead, 0}, {receivingHead, slowHeadAge}, {unused, staleAfter}, {idle, 0},
		{unused, 0}, {receivingHead, 0}, {receivingBody, 0},
	} {
		if c := l.firstIn(candidates.state); c != nil && time.Since(c.since) >= candidates.age {
			return c
		}
	}
	return nil
}

// firstIn returns a connection in a state: of the listener with the most connections, so that a crowd at one of them closes
// its own ones, the one that is in that state for the longest. It returns nil if there is none. The caller holds the lock.
func (l *Limits) firstIn(s state) *Conn {
	var first *Conn
	for _, listener := range l.listeners {
		if first != nil && listener.open <= first.listener.open {
			continue
		}
		if c := listener.firstWithoutData(s); c != nil {
			first = c
		}
	}
	return first
}

// add counts a new connection, and closes another one for it if necessary. It reports false if there is no room.
func (l *Limits) add(c *Conn) bool {
	var victims []*Conn
	defer func() { l.closeAll(victims) }()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.Connections > 0 && l.open >= l.Connections {
		v := l.nextVictim()
		if v == nil {
			return false
		}
		l.choose(v)
		victims = append(victims, v)
	}
	l.addOpen(c.listener, 1)
	if !l.acquire(ConnectionBytes, 0, nil) {
		l.addOpen(c.listener, -1)
		return false
	}
	c.bytes = ConnectionBytes
	c.enter(unused)
	return true
}

// addOpen adds to the number of open connections. The caller holds the lock.
func (l *Limits) addOpen(listener *Listener, n int) {
	listener.open += n
	l.open += n
	l.counts().open.Update(int64(l.open))
}

// choose chooses a connection to be closed. Its memory is released once its server has ended it. The caller holds the lock.
func (l *Limits) choose(c *Conn) {
	if c.closing {
		return
	}
	c.leave()
	c.closing = true
	l.closingBytes += c.bytes
	l.addOpen(c.listener, -1)
	l.notify()
}

// remove releases what a connection holds that its server has ended.
func (l *Limits) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.choose(c)
	l.closingBytes -= c.bytes
	l.hold(-c.bytes)
	c.bytes, c.received, c.removed = 0, 0, true
}

// closeAll closes connections that were chosen.
func (l *Limits) closeAll(victims []*Conn) {
	if len(victims) == 0 {
		return
	}
	for _, c := range victims {
		c.Conn.Close()
	}
	l.counts().closed.Inc(int64(len(victims)))
	l.log(len(victims), 0)
}

// refuse closes a new connection for which there is no room.
func (l *Limits) refuse(nc net.Conn) {
	nc.Close()
	l.counts().refused.Inc(1)
	l.log(0, 1)
}

// log logs the connections closed and refused since the last line, unless that is recent.
func (l *Limits) log(closed, refused int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed += closed
	l.refused += refused
	if time.Since(l.lastLog) < logInterval {
		return
	}
	klog.InfoS("Connections closed at the limit", "closed", l.closed, "refused", l.refused, "open", l.open, "connections", l.Connections, "held", l.held, "memory", l.Memory)
	l.lastLog, l.closed, l.refused = time.Now(), 0, 0
}
