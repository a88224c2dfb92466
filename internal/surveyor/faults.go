package surveyor

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// newest is the most that any process knew when all were asked.
type newest struct {
	revision, table uint64
	weights         map[string]uint64
	upstreams       int
	entries         int
}

func newestOf(ps []Process) newest {
	n := newest{weights: map[string]uint64{}}
	for _, p := range ps {
		st := p.Status
		if st == nil {
			continue
		}
		n.table = max(n.table, st.TableVersion)
		for model, v := range st.Weights {
			n.weights[model] = max(n.weights[model], v)
		}
		// Upstreams and entries come and go, so that the most is not the newest.
		if st.Revision > n.revision {
			n.revision, n.upstreams, n.entries = st.Revision, 0, 0
		}
		if st.Revision == n.revision {
			n.upstreams, n.entries = max(n.upstreams, st.Upstreams), max(n.entries, st.Entries)
		}
	}
	return n
}

// faults says what is wrong with a process, in plain words.
func (n newest) faults(p *Process) []string {
	st := p.Status
	if st == nil {
		return []string{fmt.Sprintf("no answer: %v", p.err)}
	}
	var fs []string
	add := func(wrong bool, format string, args ...any) {
		if wrong {
			fs = append(fs, fmt.Sprintf(format, args...))
		}
	}
	age := time.Duration(st.ConfirmedAgo * float64(time.Second))
	add(!st.Known, "knows nothing yet")
	add(st.Known && age > freshFor, "out of touch with the store for %v", age.Round(100*time.Millisecond))
	add(st.Revision < n.revision, "behind: revision %d of %d", st.Revision, n.revision)
	add(st.TableVersion < n.table, "old route table: version %d of %d", st.TableVersion, n.table)
	for _, model := range slices.Sorted(maps.Keys(n.weights)) {
		named, newest := st.Weights[model], n.weights[model]
		add(named < newest, "did not hear that %s version %d was named", model, newest)
	}
	if st.Revision == n.revision {
		add(st.Upstreams < n.upstreams, "knows %d of %d upstreams", st.Upstreams, n.upstreams)
		add(st.Entries < n.entries, "knows %d of %d entries", st.Entries, n.entries)
	}
	if e := st.Engine; e != nil {
		add(e.Held < n.weights[e.Model], "engine holds version %d of %d", e.Held, n.weights[e.Model])
		add(e.Closed != "", "engine closed: %s", e.Closed)
	}
	add(st.NotReady != "", "not ready: %s", st.NotReady)
	return fs
}
