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

// VM is one machine on the list.
type VM struct {
	ID            string         `json:"id"`
	Role          string         `json:"role"`
	Address       netip.AddrPort `json:"address"`
	FailureDomain string         `json:"failureDomain"`
	Region        string         `json:"region"`
	State         string         `json:"state"`
}

// List is a list of VMs whose responses lag behind its contents.
type List struct {
	// Clock times the lag. Nil means the real clock.
	Clock clock.Clock
	// Lag is the age of the returned contents.
	Lag time.Duration

	mu      sync.Mutex
	current map[string]VM
	history []listRevision
}

type listRevision struct {
	recordedAt time.Time
	vms        map[string]VM
}

// Handler returns the list's HTTP interface.
func (l *List) Handler() http.Handler {
	l.Clock = clockOrReal(l.Clock)
	l.current = map[string]VM{}
	m := http.NewServeMux()
	m.HandleFunc("GET /vms", l.getVMs)
	m.HandleFunc("PUT /admin/vms/{id}", l.putVM)
	m.HandleFunc("DELETE /admin/vms/{id}", l.removeVM)
	return m
}

func (l *List) getVMs(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	shown := l.laggedVMs()
	l.mu.Unlock()
	vms := []VM{}
	for _, id := range slices.Sorted(maps.Keys(shown)) {
		vms = append(vms, shown[id])
	}
	writeJSON(w, http.StatusOK, struct {
		VMs []VM `json:"vms"`
	}{vms})
}

// laggedVMs returns the newest contents that are at least Lag old, and discards
// older ones.
func (l *List) laggedVMs() map[string]VM {
	horizon := l.Clock.Now().Add(-l.Lag)
	n := 0
	for n < len(l.history) && !l.history[n].recordedAt.After(horizon) {
		n++
	}
	if n == 0 {
		return nil
	}
	l.history = l.history[n-1:]
	return l.history[0].vms
}

func (l *List) putVM(w http.ResponseWriter, r *http.Request) {
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
	l.recordRevision()
	l.mu.Unlock()
	writeJSON(w, http.StatusOK, v)
}

func (l *List) removeVM(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	delete(l.current, r.PathValue("id"))
	l.recordRevision()
	l.mu.Unlock()
	writeJSON(w, http.StatusOK, struct{}{})
}

func (l *List) recordRevision() {
	l.laggedVMs()
	l.history = append(l.history, listRevision{recordedAt: l.Clock.Now(), vms: maps.Clone(l.current)})
}
