package scheduler

import (
	"time"

	"github.com/oriolecroft/oriolecroft/internal/ablator"
	"github.com/oriolecroft/oriolecroft/internal/matcher"
)

// Why a job gets none of the free slots.
const (
	// KeptForUrgent slots are those that more urgent jobs are expected to need.
	KeptForUrgent = "kept for more urgent requests"
	// KeptForWorkspaces slots are those of which other workspaces have less than their share.
	KeptForWorkspaces = "kept for other workspaces"
)

const (
	// demandWindow is the time over which demand is measured, and for which a shortage counts after a job
	// found no slot. Slots that are held back have to be released within half a second.
	demandWindow = 400 * time.Millisecond
	// demandParts divide the window: what is older than it is dropped a part at a time.
	demandParts = 8
	// shortRefusals is how many engines without a slot a job has met in a shortage of the pool. With one,
	// the entry may have asked by old knowledge.
	shortRefusals = 2
	// mixedFor is for how long an engine counts as shared by priorities after jobs of two of them.
	mixedFor = 10 * time.Second
	// urgentBeyond is how many jobs beyond the batch may be granted a slot to wait for at the engine.
	urgentBeyond = 1
	// priorities is how many there are.
	priorities = matcher.LeastUrgent + 1
)

// level is the job's priority.
func (j *Job) level() int {
	if j.Priority == nil {
		return matcher.UnstatedPriority
	}
	return min(max(*j.Priority, matcher.MostUrgent), matcher.LeastUrgent)
}

// trunk holds slots back for more urgent jobs: trunk reservation, as of telephone networks. It measures the
// demand of each priority and learns of shortages from the reservations of one engine. Until the first job
// with a priority it does nothing.
type trunk struct {
	active bool
	levels [priorities]levelDemand
}

// levelDemand is the demand of one priority at an engine.
type levelDemand struct {
	arrivals window
	// asked is when a job last came, and shortAt when one last had found no slot.
	asked, shortAt time.Time
	// budgets are the smallest queueing budgets stated in this and in the last half of the window, of
	// which the present one began at budgetsFrom; 0 for none.
	budgets     [2]time.Duration
	budgetsFrom time.Time
	workspaces  map[string]*workspaceDemand
}

// workspaceDemand is when a workspace's jobs last came, and last found no slot.
type workspaceDemand struct{ asked, missed time.Time }

// note counts a job. Late jobs are no demand: they get what is to spare.
func (t *trunk) note(j *Job, now time.Time) {
	t.active = t.active || j.Priority != nil
	if !t.active || j.Spare {
		return
	}
	d := &t.levels[j.level()]
	d.asked = now
	if j.Asked == 0 {
		// A request asks one engine first, so that each counts once among all engines.
		d.arrivals.add(now)
	}
	if j.Refusals >= shortRefusals {
		d.shortAt = now
	}
	d.noteBudget(j.budget(), now)
	d.workspace(j.Workspace, now).asked = now
}

// refused notes that a job found no slot.
func (t *trunk) refused(j *Job, now time.Time) {
	if !t.active || j.Spare {
		return
	}
	d := &t.levels[j.level()]
	d.shortAt = now
	d.workspace(j.Workspace, now).missed = now
}

// budget is how long the job may wait at any engine.
func (j *Job) budget() time.Duration { return max(j.Budget, j.Patience) }

func (d *levelDemand) noteBudget(budget time.Duration, now time.Time) {
	switch age := now.Sub(d.budgetsFrom); {
	case age >= demandWindow:
		d.budgets, d.budgetsFrom = [2]time.Duration{}, now
	case age >= demandWindow/2:
		d.budgets, d.budgetsFrom = [2]time.Duration{0, d.budgets[0]}, now
	}
	if d.budgets[0] == 0 || budget < d.budgets[0] {
		d.budgets[0] = budget
	}
}

// leastBudget is the smallest budget lately stated; 0 for none.
func (d *levelDemand) leastBudget(now time.Time) time.Duration {
	if now.Sub(d.budgetsFrom) >= demandWindow {
		return 0
	}
	if d.budgets[0] == 0 || d.budgets[1] > 0 && d.budgets[1] < d.budgets[0] {
		return d.budgets[1]
	}
	return d.budgets[0]
}

// workspace is the demand of one workspace. Those that ask no more are forgotten.
func (d *levelDemand) workspace(name string, now time.Time) *workspaceDemand {
	if w := d.workspaces[name]; w != nil {
		return w
	}
	for other, w := range d.workspaces {
		if now.Sub(w.asked) >= demandWindow {
			delete(d.workspaces, other)
		}
	}
	if d.workspaces == nil {
		d.workspaces = map[string]*workspaceDemand{}
	}
	w := &workspaceDemand{}
	d.workspaces[name] = w
	return w
}

func (d *levelDemand) short(now time.Time) bool { return lately(d.shortAt, now) }

func lately(t, now time.Time) bool { return !t.IsZero() && now.Sub(t) < demandWindow }

// urgentDemand is what jobs more urgent than a level lately wanted: how many came a second, and the smallest
// budget that they stated, 0 for none. Short tells whether one of them found no slot.
func (t *trunk) urgentDemand(level int, now time.Time) (perSecond float64, budget time.Duration, short bool) {
	for i := range t.levels[:level] {
		d := &t.levels[i]
		perSecond += d.arrivals.rate(now)
		if b := d.leastBudget(now); b > 0 && (budget == 0 || b < budget) {
			budget = b
		}
		short = short || d.short(now)
	}
	return perSecond, budget, short
}

// mixed tells whether jobs of more than one priority came lately.
func (t *trunk) mixed(now time.Time) bool {
	n := 0
	for i := range t.levels {
		if d := &t.levels[i]; !d.asked.IsZero() && now.Sub(d.asked) < mixedFor {
			n++
		}
	}
	return n > 1
}

// kept is why a job that would be granted now doesn't get one of the free slots; empty if it does.
func (l *Ledger) kept(j *Job, v *Verdict, now time.Time) string {
	if !l.trunk.active {
		return ""
	}
	if !l.Without.Has(ablator.PriorityReservation) && l.keptForUrgent(j, v, now) {
		return KeptForUrgent
	}
	if !l.Without.Has(ablator.WorkspaceShare) && l.keptForWorkspaces(j, v, now) {
		return KeptForWorkspaces
	}
	return ""
}

// keptForUrgent tells whether more urgent jobs should need the slot, or the time of reading that the job
// takes, until the next slot comes free.
func (l *Ledger) keptForUrgent(j *Job, v *Verdict, now time.Time) bool {
	perSecond, budget, short := l.trunk.urgentDemand(j.level(), now)
	if !short {
		return false
	}
	expected := perSecond * l.scaled(TurnTime(l.engine)).Seconds()
	// A place in the engine's queue counts as a free slot, for jobs that may wait there.
	if free := max(urgentBeyond, l.engine.Slots-v.Active); float64(free) <= expected {
		return true
	}
	return budget > 0 && v.Wait+l.cost(*j) > budget
}

// keptForWorkspaces tells whether a job would take the last free slot from another workspace of its priority,
// that lately found none, while its own holds more than its share.
func (l *Ledger) keptForWorkspaces(j *Job, v *Verdict, now time.Time) bool {
	d := &l.trunk.levels[j.level()]
	if j.Spare || v.Active != l.engine.Slots-1 || !d.short(now) || !l.trunk.mixed(now) {
		return false
	}
	held, all := map[string]int{}, 0
	for _, p := range l.held {
		if p.level() == j.level() {
			held[p.Workspace]++
			all++
		}
	}
	asking := 0
	for _, w := range d.workspaces {
		if lately(w.asked, now) {
			asking++
		}
	}
	if asking < 2 || held[j.Workspace]*asking <= all {
		return false
	}
	for name, w := range d.workspaces {
		if name != j.Workspace && lately(w.missed, now) && held[name]*asking < all {
			return true
		}
	}
	return false
}

// queueBeyond is how long a job that finds all slots taken would wait for one at the engine, which admits more
// urgent requests first; false if it may not.
func (l *Ledger) queueBeyond(j *Job, v *Verdict) (time.Duration, bool) {
	if !l.trunk.active || j.Spare || l.Without.Has(ablator.UrgentQueue) || v.Active < l.engine.Slots || v.Active >= l.engine.Slots+urgentBeyond {
		return 0, false
	}
	wait := max(v.Wait, l.scaled(TurnTime(l.engine)))
	if wait > j.Patience {
		return 0, false
	}
	for _, p := range l.held {
		if p.level() > j.level() {
			return wait, true
		}
	}
	return 0, false
}

// window counts events of the last demandWindow.
type window struct {
	counts [demandParts]int
	// last is the part of time of the newest count.
	last int64
}

const demandPart = demandWindow / demandParts

// turn drops the counts that are older than the window.
func (w *window) turn(now time.Time) {
	part := now.UnixNano() / int64(demandPart)
	if part-w.last >= demandParts {
		w.counts = [demandParts]int{}
	} else {
		for p := w.last + 1; p <= part; p++ {
			w.counts[p%demandParts] = 0
		}
	}
	w.last = max(w.last, part)
}

func (w *window) add(now time.Time) {
	w.turn(now)
	w.counts[w.last%demandParts]++
}

// rate is in events a second.
func (w *window) rate(now time.Time) float64 {
	w.turn(now)
	n := 0
	for _, c := range w.counts {
		n += c
	}
	return float64(n) / demandWindow.Seconds()
}
