package relayer

import "sync"

const (
	// slowdownWeight is the share that a reply has in the smoothed slowdown of its service: of 10 replies a second that
	// is a memory of five seconds.
	slowdownWeight = 0.02
	// mostSlowdown bounds what a single reply counts for.
	mostSlowdown = 5.0
)

// slowdowns learn for each service by what factor its replies come more slowly than the agents predict. Where all engines
// slow down now and then, a prediction that leaves that out makes any other engine look better than one at which a
// reply is under way. The zero value is ready for use by several goroutines.
type slowdowns struct {
	mu     sync.Mutex
	factor map[string]float64
}

// note takes in by what factor a reply came more slowly than predicted.
func (s *slowdowns) note(service string, factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.factor == nil {
		s.factor = map[string]float64{}
	}
	before, ok := s.factor[service]
	if !ok {
		before = 1
	}
	s.factor[service] = before + slowdownWeight*(min(factor, mostSlowdown)-before)
}

// of is the factor of a service, 1 at least.
func (s *slowdowns) of(service string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(1, s.factor[service])
}
