package retrier

import "sync"

// Budgets keeps a budget for each service. With one for all, the retries that a busy
// service's requests earn are spent on another that refuses everything: its few requests
// come several times each while its upstreams try to get back to work, and one notices
// arrivals there that grow as answers fall. Set New before use. It is safe for concurrent
// use.
type Budgets struct {
	// New makes the budget of a service that had none.
	New func() *Budget

	mu sync.Mutex
	of map[string]*Budget
}

// Of gives the budget of a service.
func (b *Budgets) Of(service string) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.of == nil {
		b.of = map[string]*Budget{}
	}
	budget := b.of[service]
	if budget == nil {
		budget = b.New()
		b.of[service] = budget
	}
	return budget
}
