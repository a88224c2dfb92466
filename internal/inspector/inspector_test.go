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

// engine returns the state of an agent whose engine serves the bundle.
func engine(id, domain string) messenger.AgentState {
	return messenger.AgentState{
		ID: id, FailureDomain: domain, Kind: messenger.KindEngine, Gate: messenger.GateOpen,
		Model: "rota", Version: "v2", Manifest: "new", Revision: 3,
	}
}

func entryStatus(id string, revision uint64) entry.Status {
	return entry.Status{State: messenger.EntryState{ID: id, Freshness: messenger.Freshness{Revision: revision}}}
}

// A roll is in progress, and operators wait for its end before they touch a failure domain.
// If it were reported as done too early, they would do so while an agent still serves by
// the old bundle.
func TestMeasure(t *testing.T) {
	behind := engine("vm-2", "b")
	behind.Revision = 2
	closed := engine("vm-3", "a")
	closed.Gate = messenger.GateClosed
	old := engine("vm-4", "a")
	old.Manifest = "old"
	service := messenger.AgentState{ID: "vm-5", FailureDomain: "a", Kind: messenger.KindService, Revision: 3}
	drained := engine("vm-6", "c")
	mostAgents, fewerAgents := entryStatus("entry-1", 3), entryStatus("entry-2", 2)
	mostAgents.Weights = []entry.WeightsStatus{{Manifest: "new", Bytes: 1500, AllBytes: 3_000_000}}
	fewerAgents.Weights = []entry.WeightsStatus{{Manifest: "new", Bytes: 900, AllBytes: 1_000_000}}
	p := inspector.Measure(bundle, inspector.Deployment{
		Entries: []entry.Status{mostAgents, fewerAgents, entryStatus("entry-3", 4)},
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
		Entries: []entry.Status{entryStatus("entry-1", 3)},
		Agents:  []messenger.AgentState{engine("vm-1", "a"), engine("vm-2", "b")},
	})
	must.True(t, p.Confirmed())
	must.True(t, p.AllReady())
}

// serveStatus starts an operators' server of an entry with a status.
func serveStatus(t *testing.T, s entry.Status) netip.AddrPort {
	h := reporter.Handler(func() any { return s }, func() error { return nil }, metrics.NewRegistry())
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// The store was restored to an old state and an entry raised an alarm. The alarm must reach
// the operator with its reason: an error stored as an interface isn't encoded in JSON.
func TestAlarmSurvivesStatus(t *testing.T) {
	s := entryStatus("entry-1", 3)
	s.Alarms = []reporter.Alarm{{
		Kind: gossiper.AlarmRolledBack, Problem: "store holds revision 2", Count: 4,
		Last: time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC),
	}}
	got, err := inspector.Inspector{}.Status(t.Context(), serveStatus(t, s))
	must.NoError(t, err)
	must.Eq(t, s, got)
}

// Two entries report one agent, one of them an old state, and a third entry is down. The
// newest state counts, and the entry without an answer is listed.
func TestSurvey(t *testing.T) {
	newer, older := engine("vm-1", "a"), engine("vm-1", "a")
	newer.Sequence, older.Sequence, older.Revision = 7, 6, 2
	first, second := entryStatus("entry-1", 3), entryStatus("entry-2", 3)
	first.Agents = []messenger.AgentState{newer}
	second.Agents = []messenger.AgentState{older, engine("vm-0", "b")}
	broken := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(broken.Close)
	failing := netip.MustParseAddrPort(broken.Listener.Addr().String())
	d := inspector.Inspector{}.Survey(t.Context(), []netip.AddrPort{serveStatus(t, first), serveStatus(t, second), failing})
	must.Eq(t, []messenger.AgentState{engine("vm-0", "b"), newer}, d.Agents)
	must.SliceLen(t, 2, d.Entries)
	must.MapContainsKey(t, d.Silent, failing.String())
	_, err := inspector.Inspector{}.Status(t.Context(), failing)
	var s *inspector.StatusError
	must.True(t, errors.As(err, &s))
	must.Eq(t, http.StatusNotFound, s.Status)
}

// Guards against counting an entry as confirmed by a truncated status.
func TestTruncatedStatusIsRejected(t *testing.T) {
	text := "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"state\":{}}"
	_, err := inspector.Inspector{}.Status(t.Context(), bodyreadertest.Serve(t, text, bodyreadertest.Close))
	must.Error(t, err)
}

// Guards against an entry whose status has an endless header.
func TestEndlessHeaderIsRejected(t *testing.T) {
	bodyreadertest.EndlessHeads(t, func(a netip.AddrPort) error {
		_, err := inspector.Inspector{}.Status(t.Context(), a)
		return err
	})
}

// Guards against a bundle that counts as sent, or a status that counts as an entry's, by the reply of the address in a
// redirect.
func TestRedirectIsNoAnswer(t *testing.T) {
	bodyreadertest.Redirects(t, `{"state":{"id":"entry-1"}}`, map[string]func(netip.AddrPort) error{
		"status": func(a netip.AddrPort) error { _, err := inspector.Inspector{}.Status(t.Context(), a); return err },
		"bundle": func(a netip.AddrPort) error {
			return inspector.Inspector{}.SendBundle(t.Context(), a, &bundler.Record{})
		},
	})
}
