package relayer

import "sync"

const (
	// slowdownWeight is the weight of a reply in the smoothed slowdown of its service: at 10
	// replies a second, that averages over five seconds.
	slowdownWeight = 0.02
	// maxSlowdown bounds the effect of a single reply.
	maxSlowdown = 5.0
)

// slowdowns learn for each service by what factor replies are slower than the agents predict. Where
// all engines slow down now and then, predictions without it make any other engine look better than
// the one that is serving a reply. The zero value is ready for use by several goroutines.
type slowdowns struct {
	mu     sync.Mutex
	factor map[string]float64
}

// record adds the factor by which a reply was slower than predicted.
func (s *slowdowns) record(service string, factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.factor == nil {
		s.factor = map[string]float64{}
	}
	before, ok := s.factor[service]
	if !ok {
		before = 1
	}
	s.factor[service] = before + slowdownWeight*(min(factor, maxSlowdown)-before)
}

// get returns the factor of a service, at least 1.
func (s *slowdowns) get(service string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(1, s.factor[service])
}
