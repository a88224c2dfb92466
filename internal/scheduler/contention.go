package scheduler

import (
	"sync"
	"time"
)

// contentionTTL is how long a service counts as contended after a refusal: under overload an entry refuses
// several requests a second.
const contentionTTL = 2 * time.Second

// Contention records which services recently refused requests that could still have been in time. The zero
// value is ready for use and safe for concurrent use.
type Contention struct {
	mu        sync.Mutex
	refusedAt map[string]time.Time
}

// RecordRefusal records that a service refused a request.
func (c *Contention) RecordRefusal(service string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refusedAt == nil {
		c.refusedAt = map[string]time.Time{}
	}
	c.refusedAt[service] = now
}

// Contended reports whether a service refused a request recently.
func (c *Contention) Contended(service string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	refusedAt, ok := c.refusedAt[service]
	return ok && now.Sub(refusedAt) < contentionTTL
}
