package surveyor

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// newestState is the newest state among the surveyed processes.
type newestState struct {
	revision, table uint64
	weights         map[string]uint64
	upstreams       int
	entries         int
}

func findNewestState(ps []Process) newestState {
	n := newestState{weights: map[string]uint64{}}
	for _, p := range ps {
		st := p.Status
		if st == nil {
			continue
		}
		n.table = max(n.table, st.TableVersion)
		for model, v := range st.Weights {
			n.weights[model] = max(n.weights[model], v)
		}
		// Upstreams and entries are also removed, so that the largest count is not the newest.
		if st.Revision > n.revision {
			n.revision, n.upstreams, n.entries = st.Revision, 0, 0
		}
		if st.Revision == n.revision {
			n.upstreams, n.entries = max(n.upstreams, st.Upstreams), max(n.entries, st.Entries)
		}
	}
	return n
}

// faults describes the faults of a process to operators.
func (n newestState) faults(p *Process) []string {
	st := p.Status
	if st == nil {
		return []string{fmt.Sprintf("no answer: %v", p.err)}
	}
	var fs []string
	addIf := func(wrong bool, format string, args ...any) {
		if wrong {
			fs = append(fs, fmt.Sprintf(format, args...))
		}
	}
	age := time.Duration(st.ConfirmedAgo * float64(time.Second))
	addIf(!st.Known, "no state received yet")
	addIf(st.Known && age > maxConfirmationAge, "no confirmation from the store for %v", age.Round(100*time.Millisecond))
	addIf(st.Revision < n.revision, "behind: revision %d of %d", st.Revision, n.revision)
	addIf(st.TableVersion < n.table, "old route table: version %d of %d", st.TableVersion, n.table)
	for _, model := range slices.Sorted(maps.Keys(n.weights)) {
		announced, newest := st.Weights[model], n.weights[model]
		addIf(announced < newest, "missed the announcement of %s version %d", model, newest)
	}
	if st.Revision == n.revision {
		addIf(st.Upstreams < n.upstreams, "has %d of %d upstreams", st.Upstreams, n.upstreams)
		addIf(st.Entries < n.entries, "has %d of %d entries", st.Entries, n.entries)
	}
	if e := st.Engine; e != nil {
		addIf(e.Held < n.weights[e.Model], "engine holds version %d of %d", e.Held, n.weights[e.Model])
		addIf(e.Closed != "", "engine closed: %s", e.Closed)
	}
	addIf(st.NotReady != "", "not ready: %s", st.NotReady)
	return fs
}
