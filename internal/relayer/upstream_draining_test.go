package relayer_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/matcher"
)

// drainBound is how long an upstream may still get requests from an entry that has passed on its
// statement of draining.
const drainBound = 2 * time.Second

// statesDraining serves all and states that the upstream is draining.
func statesDraining(u *statingUpstream, w http.ResponseWriter, entry string) {
	u.inform(entry)
	w.Header().Set("Server-Leaving", "1")
	serveWhole(w)
}

// Guards against requests to an upstream that states in its replies that it is draining, while its
// record doesn't.
func TestUpstreamThatStatesItIsDrainingGetsNothing(t *testing.T) {
	for name, engine := range map[string]*matcher.Engine{"plain": nil, "engines": engineTable().Services["engines"].Engine} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			leaves, stays := newStatingUpstream(t, statesDraining), newStatingUpstreamAt(t, "127.0.0.2", servesAll)
			slots := 6
			if engine != nil {
				slots = engine.Slots
			}
			ws := limitedEntries(t, 5, &matcher.Service{Name: "s", Engine: engine}, leaves.record("leaves", "s", slots), stays.record("stays", "s", slots))
			if engine != nil {
				port := agentBeside(t, "0.0.0.0", engine, noDelay)
				for _, w := range ws {
					w.relayer.Placer.AgentPort = port
				}
			}
			informAll(t, ws, leaves)
			loadEntries(t, ws, 20*time.Millisecond, 4*time.Second)
			must.Zero(t, leaves.maxBetween(drainBound, time.Minute))
		})
	}
}

// Guards against accepting a statement of draining from a reply that isn't the upstream's own.
func TestDrainingOfAnotherUpstreamAtTheAddressIsIgnored(t *testing.T) {
	requests := 0
	u := newStatingUpstream(t, func(_ *statingUpstream, w http.ResponseWriter, _ string) {
		requests++
		if requests == 1 {
			w.Header().Set("Server-Leaving", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		serveWhole(w)
	})
	ws := limitedEntries(t, 1, &matcher.Service{Name: "desk"}, u.record("u", "desk", 6))
	status, _, _ := ask(t, ws[0], "first")
	must.Eq(t, http.StatusServiceUnavailable, status)
	status, _, _ = ask(t, ws[0], "second")
	must.Eq(t, http.StatusOK, status)
}
