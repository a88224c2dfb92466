package imitator

import (
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"k8s.io/utils/clock"
)

// VM is one machine of the list.
type VM struct {
	ID            string         `json:"id"`
	Role          string         `json:"role"`
	Address       netip.AddrPort `json:"address"`
	FailureDomain string         `json:"failureDomain"`
	Region        string         `json:"region"`
	State         string         `json:"state"`
}

// List is a list of VMs that shows its contents as they were some time ago.
type List struct {
	// Clock measures the lag. Nil means the real clock.
	Clock clock.Clock
	// Lag is how old the shown contents are.
	Lag time.Duration

	mu      sync.Mutex
	current map[string]VM
	history []listRevision
}

type listRevision struct {
	at  time.Time
	vms map[string]VM
}

// Handler returns the list's HTTP interface.
func (l *List) Handler() http.Handler {
	l.Clock = clockOr(l.Clock)
	l.current = map[string]VM{}
	m := http.NewServeMux()
	m.HandleFunc("GET /vms", l.show)
	m.HandleFunc("PUT /admin/vms/{id}", l.put)
	m.HandleFunc("DELETE /admin/vms/{id}", l.remove)
	return m
}

func (l *List) show(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	shown := l.visible()
	l.mu.Unlock()
	vms := []VM{}
	for _, id := range slices.Sorted(maps.Keys(shown)) {
		vms = append(vms, shown[id])
	}
	writeJSON(w, http.StatusOK, struct {
		VMs []VM `json:"vms"`
	}{vms})
}

// visible returns the newest contents that are at least Lag old, and forgets
// those before.
func (l *List) visible() map[string]VM {
	horizon := l.Clock.Now().Add(-l.Lag)
	n := 0
	for n < len(l.history) && !l.history[n].at.After(horizon) {
		n++
	}
	if n == 0 {
		return nil
	}
	l.history = l.history[n-1:]
	return l.history[0].vms
}

func (l *List) put(w http.ResponseWriter, r *http.Request) {
	var v VM
	if !readJSON(w, r, &v) {
		return
	}
	v.ID = r.PathValue("id")
	if v.State == "" {
		v.State = "live"
	}
	l.mu.Lock()
	l.current[v.ID] = v
	l.record()
	l.mu.Unlock()
	writeJSON(w, http.StatusOK, v)
}

func (l *List) remove(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	delete(l.current, r.PathValue("id"))
	l.record()
	l.mu.Unlock()
	writeJSON(w, http.StatusOK, struct{}{})
}

func (l *List) record() {
	l.visible()
	l.history = append(l.history, listRevision{at: l.Clock.Now(), vms: maps.Clone(l.current)})
}
