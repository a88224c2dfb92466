package relayer_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/matcher"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// newRestartableEntry starts an entry with one upstream whose record gets another start by each call of restart;
// the first is at the time given.
func newRestartableEntry(t *testing.T, u *statingUpstream, startedAt time.Time) (w *testEntry, restart func(at time.Time)) {
	route := &matcher.Route{Name: "r", Host: "127.0.0.1", Prefix: "/", Kind: matcher.Idempotent, Timeout: stepTimeout, MaxAttempts: 2,
		Public: true, Targets: []matcher.Target{{Service: "desk", Weight: 1}}}
	table := &matcher.Table{Version: 1, Routes: []*matcher.Route{route}, Services: map[string]*matcher.Service{"desk": {Name: "desk"}}}
	table.Index()
	record := u.record("u", "desk", 6)
	reg := &registrar.Registrar{Clock: clock.RealClock{}, Decode: func(key string, value []byte) (registrar.Fact, error) {
		if key == "table" {
			return registrar.Table{Table: table}, nil
		}
		r := record
		return r, r.StartedAt.UnmarshalText(value)
	}}
	revision := uint64(10)
	restart = func(at time.Time) {
		text, err := at.MarshalText()
		must.NoError(t, err)
		revision++
		reg.Apply(registrar.Batch{At: revision, Records: []registrar.Record{{Key: "u", Value: text, Revision: revision}}})
	}
	reg.Apply(registrar.Batch{Whole: true, At: revision, Records: []registrar.Record{{Key: "table", Revision: 1}}})
	restart(startedAt)
	return newTestEntryWith(t, reg, nil), restart
}

// Guards against sending nothing to a restarted upstream because a former start under its ID had asked for a
// backoff or stated that it leaves.
func TestRestartedUpstreamIsUsedAtOnce(t *testing.T) {
	for name, conduct := range map[string]func(u *statingUpstream, w http.ResponseWriter, entry string){
		"rest": asksForBackoff(time.Minute), "leaving": statesDraining,
	} {
		t.Run(name, func(t *testing.T) {
			u := newStatingUpstream(t, conduct)
			w, restart := newRestartableEntry(t, u, time.Now().Add(-time.Minute))
			w.relayer.Codec = platformCodec
			_, _, _ = ask(t, w, "first")
			status, _, _ := ask(t, w, "second")
			must.Eq(t, http.StatusServiceUnavailable, status)
			u.mu.Lock()
			must.Len(t, 1, u.arrived["0"])
			u.conduct = func(w http.ResponseWriter, _ *http.Request, _ string) { serveWhole(w) }
			u.mu.Unlock()
			restart(time.Now())
			status, _, _ = ask(t, w, "third")
			must.Eq(t, http.StatusOK, status)
		})
	}
}

// Guards against losing a backoff when the record of the start that asked for it arrives.
func TestBackoffOutlivesTheLateRecordOfItsStart(t *testing.T) {
	u := newStatingUpstream(t, asksForBackoff(time.Minute))
	startedAt := time.Now().Add(-time.Second)
	w, restart := newRestartableEntry(t, u, startedAt.Add(-time.Minute))
	w.relayer.Codec = platformCodec
	_, _, _ = ask(t, w, "first")
	restart(startedAt)
	status, retryAfter, _ := ask(t, w, "second")
	must.Eq(t, http.StatusServiceUnavailable, status)
	must.GreaterEq(t, 50*time.Second, retryAfter)
	u.mu.Lock()
	defer u.mu.Unlock()
	must.Len(t, 1, u.arrived["0"])
}
