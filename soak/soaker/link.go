package soaker

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/time/rate"

	"github.com/oriolecroft/oriolecroft/internal/connector"
)

// link forwards TCP connections to one address and can simulate faults of a network.
type link struct {
	listenAddress, target netip.AddrPort

	mu sync.Mutex
	// listener is nil while the link refuses connections, like a port without a listener.
	listener net.Listener
	closed   bool
	delay    time.Duration
	// outward and inward hold the bytes of a direction until the channel is closed; nil lets bytes pass.
	outward, inward chan struct{}
	conns           map[*pipe]bool
	// limiter paces each direction of a narrow link; nil on a wide one. widened is closed once the
	// link is wide again.
	limiter *rate.Limiter
	widened chan struct{}

	// outOfDescriptors is set once the soak had no descriptor left for a connection.
	outOfDescriptors atomic.Bool
}

// pipe is one connection through a link.
type pipe struct {
	near, far net.Conn
	// silent is closed once the connection stops passing bytes.
	silent chan struct{}
	once   sync.Once
}

func newLink(at, to netip.AddrPort) (*link, error) {
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		return nil, err
	}
	k := &link{listenAddress: netip.MustParseAddrPort(l.Addr().String()), listener: l, target: to, conns: map[*pipe]bool{}}
	go k.accept(l)
	return k, nil
}

func (k *link) address() netip.AddrPort { return k.listenAddress }

// refuse makes the link refuse connections until it is opened.
func (k *link) refuse() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.listener != nil {
		k.listener.Close()
		k.listener = nil
	}
}

// open makes the link accept connections again.
func (k *link) open() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.listener != nil || k.closed {
		return nil
	}
	l, err := net.Listen("tcp", k.listenAddress.String())
	if err != nil {
		return err
	}
	k.listener = l
	go k.accept(l)
	return nil
}

func (k *link) accept(l net.Listener) {
	for {
		near, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			k.recordDescriptorError(err)
			// A link that stopped accepting would be a fault that no plan contains.
			time.Sleep(acceptRetryPause)
			continue
		}
		go k.connect(near)
	}
}

func (k *link) recordDescriptorError(err error) {
	if errors.Is(err, syscall.EMFILE) {
		k.outOfDescriptors.Store(true)
	}
}

// acceptRetryPause is the pause after a failed accept.
const acceptRetryPause = 10 * time.Millisecond

func (k *link) connect(near net.Conn) {
	far, err := net.Dial("tcp", k.target.String())
	if err != nil {
		k.recordDescriptorError(err)
		connector.Reset(near)
		return
	}
	p := &pipe{near: near, far: far, silent: make(chan struct{})}
	k.mu.Lock()
	k.conns[p] = true
	k.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { k.forward(p, near, far, &k.outward) })
	both.Go(func() { k.forward(p, far, near, &k.inward) })
	both.Wait()
	k.mu.Lock()
	delete(k.conns, p)
	k.mu.Unlock()
	if !p.isSilent() {
		near.Close()
		far.Close()
	}
}

func (p *pipe) isSilent() bool {
	select {
	case <-p.silent:
		return true
	default:
		return false
	}
}

// maxPieceBytes is the largest number of bytes that pass a link in one piece.
const maxPieceBytes = 32 << 10

// forward copies one direction until its end. It forwards an end as an end and a reset as a reset: a
// reply without a length is complete after the former and truncated after the latter.
func (k *link) forward(p *pipe, from, to net.Conn, held *chan struct{}) {
	buffer := make([]byte, maxPieceBytes)
	for {
		n, err := from.Read(buffer)
		if !k.waitWhileHeld(p, held) || !k.pace(p, n) {
			return
		}
		if _, e := to.Write(buffer[:n]); e != nil {
			connector.Reset(from)
			connector.Reset(to)
			return
		}
		switch {
		case errors.Is(err, io.EOF):
			closeWrite(to)
			return
		case err != nil:
			connector.Reset(to)
			from.Close()
			return
		}
	}
}

// closeWrite signals the end of the bytes to the other side.
func closeWrite(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// This has no effect on a closed connection.
		_ = t.CloseWrite()
	}
}

// waitWhileHeld delays bytes while the link holds them; false on a connection that is permanently silent.
func (k *link) waitWhileHeld(p *pipe, held *chan struct{}) bool {
	for {
		k.mu.Lock()
		delay, hold := k.delay, *held
		k.mu.Unlock()
		if delay > 0 {
			time.Sleep(delay)
		}
		if p.isSilent() {
			return false
		}
		if hold == nil {
			return true
		}
		select {
		case <-hold:
		case <-p.silent:
			return false
		}
	}
}

// pace waits until a narrow link can carry some bytes; false on a connection that is permanently
// silent.
func (k *link) pace(p *pipe, bytes int) bool {
	k.mu.Lock()
	limiter, widened := k.limiter, k.widened
	k.mu.Unlock()
	if limiter == nil {
		return true
	}
	select {
	case <-time.After(limiter.ReserveN(time.Now(), bytes).Delay()):
	case <-widened:
	case <-p.silent:
		return false
	}
	return true
}

// limitRate limits the bytes per second until the link is repaired.
func (k *link) limitRate(perSecond int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.limiter != nil {
		return
	}
	k.limiter, k.widened = rate.NewLimiter(rate.Limit(perSecond), maxPieceBytes), make(chan struct{})
	// Start without any accumulated burst.
	k.limiter.AllowN(time.Now(), maxPieceBytes)
}

// setDelay delays all bytes until it is set to 0.
func (k *link) setDelay(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.delay = d
}

// holdBytes holds the bytes of one or both directions until the link is repaired.
func (k *link) holdBytes(outward, inward bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if outward && k.outward == nil {
		k.outward = make(chan struct{})
	}
	if inward && k.inward == nil {
		k.inward = make(chan struct{})
	}
}

// repair ends delays, cuts and rate limits.
func (k *link) repair() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.delay = 0
	if k.limiter != nil {
		k.limiter = nil
		close(k.widened)
	}
	for _, held := range []*chan struct{}{&k.outward, &k.inward} {
		if *held != nil {
			close(*held)
			*held = nil
		}
	}
}

// silence stops all bytes on open connections permanently; new connections work.
func (k *link) silence() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for p := range k.conns {
		p.once.Do(func() { close(p.silent) })
	}
}

// reset resets all connections.
func (k *link) reset() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for p := range k.conns {
		connector.Reset(p.near)
		connector.Reset(p.far)
	}
}

// close shuts the link down.
func (k *link) close() {
	k.refuse()
	k.mu.Lock()
	k.closed = true
	k.mu.Unlock()
	k.repair()
	k.silence()
	k.reset()
}
