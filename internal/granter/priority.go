package granter

import (
	"fmt"

	"github.com/rcrowley/go-metrics"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// count counts the answer to a reservation with a priority.
func (g *Granter) count(q messenger.Reservation, v scheduler.Verdict) {
	if q.Priority == nil || g.Metrics == nil {
		return
	}
	outcome := "full"
	switch {
	case v.Granted && v.Active > v.Slots:
		outcome = "queued"
	case v.Granted:
		outcome = "granted"
	case v.Kept != "":
		outcome = "kept"
	case v.Closed != "":
		outcome = "closed"
	}
	metrics.GetOrRegisterCounter(fmt.Sprintf("priority.%d.%s", *q.Priority, outcome), g.Metrics).Inc(1)
}

// priorityFields are those of a line on a reservation with a priority.
func priorityFields(q messenger.Reservation, v scheduler.Verdict) []any {
	if q.Priority == nil {
		return nil
	}
	return []any{"priority", *q.Priority, "workspace", q.Workspace, "asked", q.Asked, "refusals", q.Refusals, "budget", q.Budget(), "kept", v.Kept}
}
