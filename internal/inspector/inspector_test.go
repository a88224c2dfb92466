package inspector_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/bodyreader/bodyreadertest"
	"github.com/oriolecroft/oriolecroft/internal/entry"
	"github.com/oriolecroft/oriolecroft/internal/gossiper"
	"github.com/oriolecroft/oriolecroft/internal/inspector"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/reporter"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

var bundle = &bundler.Bundle{
	Revision:       3,
	FailureDomains: []bundler.FailureDomain{{Name: "a"}, {Name: "b"}, {Name: "c", Drained: true}},
	Models:         []bundler.Model{{Name: "rota", Version: "v2", Manifest: "new", Share: 1}},
}

// engine is one that serves the bundle.
func engine(id, domain string) messenger.AgentState {
	return messenger.AgentState{
		ID: id, FailureDomain: domain, Kind: messenger.KindEngine, Gate: messenger.GateOpen,
		Model: "rota", Version: "v2", Manifest: "new", Revision: 3,
	}
}

func entryAt(id string, revision uint64) entry.Status {
	return entry.Status{State: messenger.EntryState{ID: id, Freshness: messenger.Freshness{Revision: revision}}}
}

// A roll is under way, and operators wait for its end before they touch a failure
// domain. Counted as done too early, they would do so while an agent still serves
// by the old bundle.
func TestMeasure(t *testing.T) {
	behind := engine("vm-2", "b")
	behind.Revision = 2
	closed := engine("vm-3", "a")
	closed.Gate = messenger.GateClosed
	old := engine("vm-4", "a")
	old.Manifest = "old"
	service := messenger.AgentState{ID: "vm-5", FailureDomain: "a", Kind: messenger.KindService, Revision: 3}
	drained := engine("vm-6", "c")
	knowsMore, knowsLess := entryAt("entry-1", 3), entryAt("entry-2", 2)
	knowsMore.Weights = []entry.WeightsStatus{{Manifest: "new", Bytes: 1500, AllBytes: 3_000_000}}
	knowsLess.Weights = []entry.WeightsStatus{{Manifest: "new", Bytes: 900, AllBytes: 1_000_000}}
	p := inspector.Measure(bundle, inspector.Deployment{
		Entries: []entry.Status{knowsMore, knowsLess, entryAt("entry-3", 4)},
		Agents:  []messenger.AgentState{engine("vm-1", "a"), behind, closed, old, service, drained},
		Silent:  map[string]string{"10.0.0.4:80": "refused"},
	})
	must.Eq(t, inspector.Progress{
		Revision: 3, Entries: 2, AllEntries: 4, Agents: 5, AllAgents: 6, Ready: 1, AllReplicas: 4, Domains: 2, AllDomains: 3,
		Bytes: 1500, AllBytes: 3_000_000,
		Missing: []string{"agent vm-2", "entry at 10.0.0.4:80", "entry entry-2"},
	}, p)
	must.False(t, p.Confirmed())
	must.False(t, p.AllReady())
	must.Eq(t, "revision 3: replicas 1 of 4 ready, weights 1.5 kB of 3.0 MB, entries 2 of 4, agents 5 of 6, failure domains 2 of 3 confirmed", p.String())
}

func TestMeasureDone(t *testing.T) {
	p := inspector.Measure(bundle, inspector.Deployment{
		Entries: []entry.Status{entryAt("entry-1", 3)},
		Agents:  []messenger.AgentState{engine("vm-1", "a"), engine("vm-2", "b")},
	})
	must.True(t, p.Confirmed())
	must.True(t, p.AllReady())
}

// serve is an entry's address for operators.
func serve(t *testing.T, s entry.Status) netip.AddrPort {
	h := reporter.Handler(func() any { return s }, func() error { return nil }, metrics.NewRegistry())
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// The store was restored old and an entry raised an alarm. It has to reach the
// operator with its reason: an error that is an interface has no form in JSON.
func TestAlarmSurvivesStatus(t *testing.T) {
	s := entryAt("entry-1", 3)
	s.Alarms = []reporter.Alarm{{
		Kind: gossiper.AlarmRolledBack, Problem: "store holds revision 2", Count: 4,
		Last: time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC),
	}}
	got, err := inspector.Inspector{}.Ask(t.Context(), serve(t, s))
	must.NoError(t, err)
	must.Eq(t, s, got)
}

// Two entries tell of one agent, one of them from old news, and a third entry is
// gone. The newest word counts, and the silent entry is named.
func TestSurvey(t *testing.T) {
	now, before := engine("vm-1", "a"), engine("vm-1", "a")
	now.Sequence, before.Sequence, before.Revision = 7, 6, 2
	first, second := entryAt("entry-1", 3), entryAt("entry-2", 3)
	first.Agents = []messenger.AgentState{now}
	second.Agents = []messenger.AgentState{before, engine("vm-0", "b")}
	broken := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(broken.Close)
	gone := netip.MustParseAddrPort(broken.Listener.Addr().String())
	d := inspector.Inspector{}.Survey(t.Context(), []netip.AddrPort{serve(t, first), serve(t, second), gone})
	must.Eq(t, []messenger.AgentState{engine("vm-0", "b"), now}, d.Agents)
	must.SliceLen(t, 2, d.Entries)
	must.MapContainsKey(t, d.Silent, gone.String())
	_, err := inspector.Inspector{}.Ask(t.Context(), gone)
	var s *inspector.StatusError
	must.True(t, errors.As(err, &s))
	must.Eq(t, http.StatusNotFound, s.Status)
}

// Guards against an entry that counts as confirmed by a status that was cut.
func TestCutStatusIsNoStatus(t *testing.T) {
	text := "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"state\":{}}"
	_, err := inspector.Inspector{}.Ask(t.Context(), bodyreadertest.Serve(t, text, bodyreadertest.Close))
	must.Error(t, err)
}

// Guards against an entry whose status has a head without end.
func TestEndlessHeadIsNoStatus(t *testing.T) {
	bodyreadertest.EndlessHeads(t, func(a netip.AddrPort) error {
		_, err := inspector.Inspector{}.Ask(t.Context(), a)
		return err
	})
}
