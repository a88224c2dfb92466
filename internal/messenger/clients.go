package messenger

import (
	"net/netip"
	"sync"
	"time"
)

// Clients keeps one client for each address. Set the exported fields before use; it is
// safe for concurrent use.
type Clients struct {
	// Dial makes the client of an address.
	Dial func(netip.AddrPort) *Client
	// Timeout is each client's.
	Timeout time.Duration

	mu   sync.Mutex
	open map[netip.AddrPort]*Client
}

// To gives the client of an address.
func (s *Clients) To(a netip.AddrPort) *Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = map[netip.AddrPort]*Client{}
	}
	c := s.open[a]
	if c == nil {
		c = s.Dial(a)
		c.Timeout = s.Timeout
		s.open[a] = c
	}
	return c
}

// Keep closes the clients of all other addresses. VMs are replaced all day, and each
// would leave a connection behind.
func (s *Clients) Keep(used map[netip.AddrPort]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for a, c := range s.open {
		if !used[a] {
			c.Close()
			delete(s.open, a)
		}
	}
}

// Close closes all clients.
func (s *Clients) Close() { s.Keep(nil) }
