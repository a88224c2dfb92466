package messenger

import (
	"net/netip"
	"sync"
	"time"
)

// Clients caches one client for each address. Set the exported fields before use; it is
// safe for concurrent use.
type Clients struct {
	// Dial creates the client of an address.
	Dial func(netip.AddrPort) *Client
	// Timeout is the call timeout of each client.
	Timeout time.Duration

	mu      sync.Mutex
	clients map[netip.AddrPort]*Client
}

// Get returns the client of an address.
func (s *Clients) Get(a netip.AddrPort) *Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.clients == nil {
		s.clients = map[netip.AddrPort]*Client{}
	}
	c := s.clients[a]
	if c == nil {
		c = s.Dial(a)
		c.Timeout = s.Timeout
		s.clients[a] = c
	}
	return c
}

// CloseUnused closes the clients of all other addresses. VMs are replaced all day, and each
// would leave a connection open.
func (s *Clients) CloseUnused(used map[netip.AddrPort]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for a, c := range s.clients {
		if !used[a] {
			c.Close()
			delete(s.clients, a)
		}
	}
}

// Close closes all clients.
func (s *Clients) Close() { s.CloseUnused(nil) }
