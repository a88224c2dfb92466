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

// relay passes TCP connections on to one address, and can cut, stall and cross
// them as a faulty link does.
type relay struct {
	listener net.Listener
	to       netip.AddrPort
	// closed ends those that wait for a second connection.
	closed chan struct{}

	mu sync.Mutex
	// there and back say how the addresses that are named in what passes are to
	// be changed, as address translation does. Old and new are of one length.
	there, back []rename
	down        bool
	stalled     chan struct{}
	crossed     chan *pair
	// times is how many pairs were crossed.
	times int
	conns map[net.Conn]bool
}

type rename struct {
	from, to []byte
}

// pair is a connection of a caller with the one that was made for it.
type pair struct {
	near, far net.Conn
}

func newRelay(t *testing.T, to netip.AddrPort) *relay {
	t.Helper()
	r := &relay{
		listener: listen(t, to.Addr()),
		to:       to,
		closed:   make(chan struct{}),
		conns:    map[net.Conn]bool{},
	}
	go r.accept()
	t.Cleanup(func() {
		r.listener.Close()
		close(r.closed)
		r.release()
		r.cut()
	})
	return r
}

func (r *relay) address() netip.AddrPort { return addressOf(r.listener) }

func (r *relay) translate(there, back []rename) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.there, r.back = there, back
}

func (r *relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.connect(near)
	}
}

func (r *relay) connect(near net.Conn) {
	far, err := net.Dial("tcp", r.to.String())
	if err != nil {
		near.Close()
		return
	}
	if !r.keep(near, far) {
		return
	}
	p := &pair{near: near, far: far}
	r.mu.Lock()
	crossed, there, back := r.crossed, r.there, r.back
	r.mu.Unlock()
	if crossed == nil {
		go r.pass(near, far, there)
		go r.pass(far, near, back)
		return
	}
	select {
	case crossed <- p:
	case other := <-crossed:
		r.cross(p, other)
	case <-r.closed:
	}
}

// cross gives each of two callers the answers that are meant for the other.
func (r *relay) cross(a, b *pair) {
	r.mu.Lock()
	r.crossed = nil
	r.times++
	there, back := r.there, r.back
	r.mu.Unlock()
	go r.pass(a.near, a.far, there)
	go r.pass(b.near, b.far, there)
	go r.pass(a.far, b.near, back)
	go r.pass(b.far, a.near, back)
}

// crossNext crosses the next two connections.
func (r *relay) crossNext() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.crossed == nil {
		r.crossed = make(chan *pair)
	}
}

func (r *relay) crossings() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.times
}

func (r *relay) keep(cs ...net.Conn) bool {
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

// cut breaks all connections, and new ones until the link is mended.
func (r *relay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = true
	for c := range r.conns {
		c.Close()
	}
	clear(r.conns)
}

func (r *relay) mend() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = false
}

// stall keeps everything under way until the link is released.
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

func (r *relay) hold() {
	r.mu.Lock()
	stalled := r.stalled
	r.mu.Unlock()
	if stalled != nil {
		<-stalled
	}
}

// pass copies one direction until its end. What might be the beginning of an
// address waits for its rest.
func (r *relay) pass(from, to net.Conn, names []rename) {
	defer from.Close()
	defer to.Close()
	buffer := make([]byte, 64<<10)
	var kept []byte
	for {
		n, err := from.Read(buffer)
		kept = append(kept, buffer[:n]...)
		for _, m := range names {
			kept = bytes.ReplaceAll(kept, m.from, m.to)
		}
		ready := len(kept) - beginning(kept, names)
		r.hold()
		if _, e := to.Write(kept[:ready]); e != nil {
			return
		}
		kept = kept[ready:]
		if err != nil {
			_, _ = io.Copy(to, bytes.NewReader(kept))
			return
		}
	}
}

// beginning is how many of the last bytes may begin a name.
func beginning(data []byte, names []rename) int {
	longest := 0
	for _, m := range names {
		for n := min(len(m.from)-1, len(data)); n > longest; n-- {
			if bytes.HasSuffix(data, m.from[:n]) {
				longest = n
			}
		}
	}
	return longest
}

// partition is the links between one part of a deployment, inside, and the rest,
// which can fail all together. Each side knows the other's processes by the
// addresses of relays.
type partition struct {
	t *testing.T
	// out leads from inside to outside, in the other way.
	out, in []*relay
}

// outgoing makes a way from inside to an address outside.
func (n *partition) outgoing(to netip.AddrPort) netip.AddrPort {
	r := newRelay(n.t, to)
	n.out = append(n.out, r)
	n.rename()
	return r.address()
}

// incoming makes a way from outside to an address inside.
func (n *partition) incoming(to netip.AddrPort) netip.AddrPort {
	r := newRelay(n.t, to)
	n.in = append(n.in, r)
	n.rename()
	return r.address()
}

// across is the address by which the other side knows a process.
func (n *partition) across(to netip.AddrPort) netip.AddrPort {
	for _, r := range slices.Concat(n.in, n.out) {
		if r.to == to {
			return r.address()
		}
	}
	n.t.Fatalf("no way to %v", to)
	return to
}

// rename tells each relay all names. It is to be done before any traffic.
func (n *partition) rename() {
	var outward, inward []rename
	for _, r := range n.in {
		outward = append(outward, rename{text(r.to), text(r.address())})
		inward = append(inward, rename{text(r.address()), text(r.to)})
	}
	for _, r := range n.out {
		outward = append(outward, rename{text(r.address()), text(r.to)})
		inward = append(inward, rename{text(r.to), text(r.address())})
	}
	for _, r := range n.out {
		r.translate(outward, inward)
	}
	for _, r := range n.in {
		r.translate(inward, outward)
	}
}

func (n *partition) each(f func(r *relay)) {
	for _, r := range slices.Concat(n.in, n.out) {
		f(r)
	}
}

func (n *partition) cut()     { n.each((*relay).cut) }
func (n *partition) mend()    { n.each((*relay).mend) }
func (n *partition) stall()   { n.each((*relay).stall) }
func (n *partition) release() { n.each((*relay).release) }

func text(a netip.AddrPort) []byte { return []byte(a.String()) }
