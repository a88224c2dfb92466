package scheduler

import (
	"sync"
	"time"
)

// contendedFor is for how long a service counts as contended after a refusal: under overload an
// entry refuses several requests a second.
const contendedFor = 2 * time.Second

// Contention remembers which services lately refused requests that could still have been in
// time. The zero value is ready for use by several goroutines.
type Contention struct {
	mu      sync.Mutex
	refused map[string]time.Time
}

// Refused notes that a service refused a request.
func (c *Contention) Refused(service string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refused == nil {
		c.refused = map[string]time.Time{}
	}
	c.refused[service] = now
}

// Contended tells whether a service refused a request lately.
func (c *Contention) Contended(service string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.refused[service]
	return ok && now.Sub(at) < contendedFor
}
