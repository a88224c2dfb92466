package retrier

import "sync"

// Budgets keeps a budget for each service. With one for all, the retries earned by a busy
// service's requests would be spent on another that refuses everything: its few requests
// would be sent several times each while its upstreams recover, and its load would rise
// as answers fall. Set New before use. It is safe for concurrent use.
type Budgets struct {
	// New creates the budget of a service.
	New func() *Budget

	mu        sync.Mutex
	byService map[string]*Budget
}

// Get returns the budget of a service.
func (b *Budgets) Get(service string) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byService == nil {
		b.byService = map[string]*Budget{}
	}
	budget := b.byService[service]
	if budget == nil {
		budget = b.New()
		b.byService[service] = budget
	}
	return budget
}
