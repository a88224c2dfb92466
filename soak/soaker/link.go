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
	at, to netip.AddrPort

	mu sync.Mutex
	// listener is nil while the link refuses connections, like a port without a listener.
	listener net.Listener
	closed   bool
	delay    time.Duration
	// there and back hold the bytes of a direction until the channel is closed; nil lets bytes pass.
	there, back chan struct{}
	conns       map[*pipe]bool
	// limiter paces each direction of a narrow link; nil on a wide one. widened is closed once the
	// link is wide again.
	limiter *rate.Limiter
	widened chan struct{}

	// short is set once the soak had no descriptor left for a connection.
	short atomic.Bool
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
	k := &link{at: netip.MustParseAddrPort(l.Addr().String()), listener: l, to: to, conns: map[*pipe]bool{}}
	go k.accept(l)
	return k, nil
}

func (k *link) address() netip.AddrPort { return k.at }

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
	l, err := net.Listen("tcp", k.at.String())
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
			k.noteShort(err)
			// A link that stopped accepting would be a fault that no plan contains.
			time.Sleep(acceptAgain)
			continue
		}
		go k.connect(near)
	}
}

func (k *link) noteShort(err error) {
	if errors.Is(err, syscall.EMFILE) {
		k.short.Store(true)
	}
}

// acceptAgain is the pause after a failed accept.
const acceptAgain = 10 * time.Millisecond

func (k *link) connect(near net.Conn) {
	far, err := net.Dial("tcp", k.to.String())
	if err != nil {
		k.noteShort(err)
		connector.Reset(near)
		return
	}
	p := &pipe{near: near, far: far, silent: make(chan struct{})}
	k.mu.Lock()
	k.conns[p] = true
	k.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { k.pass(p, near, far, &k.there) })
	both.Go(func() { k.pass(p, far, near, &k.back) })
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

// passedAtOnce is the largest number of bytes that pass a link in one piece.
const passedAtOnce = 32 << 10

// pass copies one direction until its end. It forwards an end as an end and a reset as a reset: a
// reply without a length is complete after the former and truncated after the latter.
func (k *link) pass(p *pipe, from, to net.Conn, held *chan struct{}) {
	buffer := make([]byte, passedAtOnce)
	for {
		n, err := from.Read(buffer)
		if !k.wait(p, held) || !k.pace(p, n) {
			return
		}
		if _, e := to.Write(buffer[:n]); e != nil {
			connector.Reset(from)
			connector.Reset(to)
			return
		}
		switch {
		case errors.Is(err, io.EOF):
			endWrites(to)
			return
		case err != nil:
			connector.Reset(to)
			from.Close()
			return
		}
	}
}

// endWrites signals the end of the bytes to the other side.
func endWrites(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// This has no effect on a closed connection.
		_ = t.CloseWrite()
	}
}

// wait delays bytes while the link holds them; false on a connection that is permanently silent.
func (k *link) wait(p *pipe, held *chan struct{}) bool {
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

// narrow limits the bytes per second until the link is repaired.
func (k *link) narrow(perSecond int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.limiter != nil {
		return
	}
	k.limiter, k.widened = rate.NewLimiter(rate.Limit(perSecond), passedAtOnce), make(chan struct{})
	// Start without any accumulated burst.
	k.limiter.AllowN(time.Now(), passedAtOnce)
}

// slow delays all bytes until it is set to 0.
func (k *link) slow(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.delay = d
}

// cut holds the bytes of one or both directions until the link is repaired.
func (k *link) cut(there, back bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if there && k.there == nil {
		k.there = make(chan struct{})
	}
	if back && k.back == nil {
		k.back = make(chan struct{})
	}
}

// mend ends delays, cuts and rate limits.
func (k *link) mend() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.delay = 0
	if k.limiter != nil {
		k.limiter = nil
		close(k.widened)
	}
	for _, held := range []*chan struct{}{&k.there, &k.back} {
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
	k.mend()
	k.silence()
	k.reset()
}
