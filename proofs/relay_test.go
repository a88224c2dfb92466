package proofs_test

import (
	"bytes"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
)

// relay forwards TCP connections to one address, and can break, stall and cross them
// as a faulty link does.
type relay struct {
	listener net.Listener
	target   netip.AddrPort
	// closed ends connections that wait for a second one to be crossed with.
	closed chan struct{}

	mu sync.Mutex
	// toTarget and fromTarget are the replacements of addresses in the forwarded data, as
	// in address translation. Old and new addresses are of the same length.
	toTarget, fromTarget []replacement
	down                 bool
	stalled              chan struct{}
	uncrossed            chan *connPair
	// crossCount is the number of pairs that were crossed.
	crossCount int
	conns      map[net.Conn]bool
}

type replacement struct {
	from, to []byte
}

// connPair is a caller's connection and the one made to the target for it.
type connPair struct {
	callerConn, targetConn net.Conn
}

func newRelay(t *testing.T, target netip.AddrPort) *relay {
	t.Helper()
	r := &relay{
		listener: listen(t, target.Addr()),
		target:   target,
		closed:   make(chan struct{}),
		conns:    map[net.Conn]bool{},
	}
	go r.accept()
	t.Cleanup(func() {
		r.listener.Close()
		close(r.closed)
		r.release()
		r.disconnect()
	})
	return r
}

func (r *relay) address() netip.AddrPort { return addressOf(r.listener) }

func (r *relay) setReplacements(toTarget, fromTarget []replacement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.toTarget, r.fromTarget = toTarget, fromTarget
}

func (r *relay) accept() {
	for {
		callerConn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.connect(callerConn)
	}
}

func (r *relay) connect(callerConn net.Conn) {
	targetConn, err := net.Dial("tcp", r.target.String())
	if err != nil {
		callerConn.Close()
		return
	}
	if !r.track(callerConn, targetConn) {
		return
	}
	p := &connPair{callerConn: callerConn, targetConn: targetConn}
	r.mu.Lock()
	uncrossed, toTarget, fromTarget := r.uncrossed, r.toTarget, r.fromTarget
	r.mu.Unlock()
	if uncrossed == nil {
		go r.forward(callerConn, targetConn, toTarget)
		go r.forward(targetConn, callerConn, fromTarget)
		return
	}
	select {
	case uncrossed <- p:
	case other := <-uncrossed:
		r.cross(p, other)
	case <-r.closed:
	}
}

// cross sends each of two callers the answers meant for the other.
func (r *relay) cross(a, b *connPair) {
	r.mu.Lock()
	r.uncrossed = nil
	r.crossCount++
	toTarget, fromTarget := r.toTarget, r.fromTarget
	r.mu.Unlock()
	go r.forward(a.callerConn, a.targetConn, toTarget)
	go r.forward(b.callerConn, b.targetConn, toTarget)
	go r.forward(a.targetConn, b.callerConn, fromTarget)
	go r.forward(b.targetConn, a.callerConn, fromTarget)
}

// crossNext crosses the next two connections.
func (r *relay) crossNext() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.uncrossed == nil {
		r.uncrossed = make(chan *connPair)
	}
}

func (r *relay) crossings() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crossCount
}

func (r *relay) track(cs ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range cs {
		if r.down {
			c.Close()
			continue
		}
		r.conns[c] = true
	}
	return !r.down
}

// disconnect breaks all connections, and new ones until reconnect.
func (r *relay) disconnect() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = true
	for c := range r.conns {
		c.Close()
	}
	clear(r.conns)
}

func (r *relay) reconnect() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = false
}

// stall holds back all data until release.
func (r *relay) stall() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stalled == nil {
		r.stalled = make(chan struct{})
	}
}

func (r *relay) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stalled != nil {
		close(r.stalled)
		r.stalled = nil
	}
}

func (r *relay) waitWhileStalled() {
	r.mu.Lock()
	stalled := r.stalled
	r.mu.Unlock()
	if stalled != nil {
		<-stalled
	}
}

// forward copies one direction until its end. Bytes that may be the start of an address
// are held back until the rest arrives.
func (r *relay) forward(from, to net.Conn, replacements []replacement) {
	defer from.Close()
	defer to.Close()
	buffer := make([]byte, 64<<10)
	var pending []byte
	for {
		n, err := from.Read(buffer)
		pending = append(pending, buffer[:n]...)
		for _, m := range replacements {
			pending = bytes.ReplaceAll(pending, m.from, m.to)
		}
		ready := len(pending) - partialMatchLen(pending, replacements)
		r.waitWhileStalled()
		if _, e := to.Write(pending[:ready]); e != nil {
			return
		}
		pending = pending[ready:]
		if err != nil {
			_, _ = io.Copy(to, bytes.NewReader(pending))
			return
		}
	}
}

// partialMatchLen returns how many of the last bytes may start an address to replace.
func partialMatchLen(data []byte, replacements []replacement) int {
	longest := 0
	for _, m := range replacements {
		for n := min(len(m.from)-1, len(data)); n > longest; n-- {
			if bytes.HasSuffix(data, m.from[:n]) {
				longest = n
			}
		}
	}
	return longest
}

// partition holds the links between one part of a deployment, inside, and the rest,
// which can fail all together. Each side reaches the other's processes at the
// addresses of relays.
type partition struct {
	t *testing.T
	// outgoing relays lead from inside to outside, incoming ones from outside to inside.
	outgoing, incoming []*relay
}

// addOutgoing adds a relay from inside to an address outside.
func (n *partition) addOutgoing(target netip.AddrPort) netip.AddrPort {
	r := newRelay(n.t, target)
	n.outgoing = append(n.outgoing, r)
	n.updateReplacements()
	return r.address()
}

// addIncoming adds a relay from outside to an address inside.
func (n *partition) addIncoming(target netip.AddrPort) netip.AddrPort {
	r := newRelay(n.t, target)
	n.incoming = append(n.incoming, r)
	n.updateReplacements()
	return r.address()
}

// relayAddress returns the address at which the other side reaches a process.
func (n *partition) relayAddress(target netip.AddrPort) netip.AddrPort {
	for _, r := range slices.Concat(n.incoming, n.outgoing) {
		if r.target == target {
			return r.address()
		}
	}
	n.t.Fatalf("no relay to %v", target)
	return target
}

// updateReplacements passes all address replacements to each relay. It must be called
// before any traffic.
func (n *partition) updateReplacements() {
	var outward, inward []replacement
	for _, r := range n.incoming {
		outward = append(outward, replacement{addressText(r.target), addressText(r.address())})
		inward = append(inward, replacement{addressText(r.address()), addressText(r.target)})
	}
	for _, r := range n.outgoing {
		outward = append(outward, replacement{addressText(r.address()), addressText(r.target)})
		inward = append(inward, replacement{addressText(r.target), addressText(r.address())})
	}
	for _, r := range n.outgoing {
		r.setReplacements(outward, inward)
	}
	for _, r := range n.incoming {
		r.setReplacements(inward, outward)
	}
}

func (n *partition) each(f func(r *relay)) {
	for _, r := range slices.Concat(n.incoming, n.outgoing) {
		f(r)
	}
}

func (n *partition) disconnect() { n.each((*relay).disconnect) }
func (n *partition) reconnect()  { n.each((*relay).reconnect) }
func (n *partition) stall()      { n.each((*relay).stall) }
func (n *partition) release()    { n.each((*relay).release) }

func addressText(a netip.AddrPort) []byte { return []byte(a.String()) }
