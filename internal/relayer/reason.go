package relayer

import (
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// Reasons for a refusal by all engines. All are full only if every engine that could be asked
// stated so.
const (
	reasonFull         = "all engines full"
	reasonUnresponsive = "agents unresponsive"
	reasonNotAllAsked  = "not all engines asked in time"
)

// reason is why no engine took a request. Agents that have been unresponsive for some time can't be
// asked, and count only if no other one has answered.
func (m *RefusalSummary) reason(j *Job) string {
	switch {
	case m.Kept > 0:
		return m.WhyKept
	case m.Unasked > 0:
		return reasonNotAllAsked
	case j.agentUnresponsive, m.Silent > 0 && m.Full+m.Closed+m.PassedOver == 0:
		return reasonUnresponsive
	default:
		return reasonFull
	}
}

// countUnasked counts the remaining engines of a ranking, from next on, once the time for asking is
// over.
func (m *RefusalSummary) countUnasked(p *Placer, j *Job, us []*registrar.UpstreamView, ranking *scheduler.Ranking, next int) {
	for ok := true; ok; next, ok = ranking.Next() {
		id := us[next].ID
		if p.fullFor(id, j) > 0 {
			m.countPassedOver(p.whyPassedOver(id, j))
			continue
		}
		m.Unasked++
	}
}
