package relayer

import (
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// Why no engine took a request. All are full only if all that could be asked said so.
const (
	reasonFull         = "all engines full"
	reasonUnresponsive = "agents unresponsive"
	reasonUnasked      = "not all engines asked in time"
)

// reason is why no engine took a request. Agents that have been silent for some time can't be asked, and count only if no
// other one has answered.
func (m *Met) reason(j *Job) string {
	switch {
	case m.Kept > 0:
		return m.WhyKept
	case m.Unasked > 0:
		return reasonUnasked
	case j.metSilence, m.Silent > 0 && m.Full+m.Closed+m.PassedOver == 0:
		return reasonUnresponsive
	default:
		return reasonFull
	}
}

// countRest counts the engines that are left in an order, from next on, once the time for asking is over.
func (m *Met) countRest(p *Placer, j *Job, us []*registrar.UpstreamView, order *scheduler.Ranking, next int) {
	for ok := true; ok; next, ok = order.Next() {
		id := us[next].ID
		if p.fullFor(id, j) > 0 {
			m.countPassedOver(p.whyPassedOver(id, j))
			continue
		}
		m.Unasked++
	}
}
