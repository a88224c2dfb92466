package router_test

import (
	"errors"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktesting "k8s.io/utils/clock/testing"
	"pgregory.net/rapid"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/retrier"
	"github.com/oriolecroft/oriolecroft/internal/router"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

// TestMain fixes rapid's seed and has it take about 100,000 steps, so that each
// run gives the same result; the command line takes precedence.
func TestMain(m *testing.M) {
	if err := errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.steps", "60"), flag.Set("rapid.checks", "1700")); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

// agentModel is the oracle's state of an agent: the last valid report, its time
// of arrival, the picks since that still run, and the earlier picks that ended
// since.
type agentModel struct {
	state                    messenger.AgentState
	lastContact              time.Time
	reports                  int
	startedSince, endedSince int
	avoidedUntil             time.Time
	earlierIncarnations      []string
}

// pending is a choice that is not done.
type pending struct {
	*router.Choice
	agent   *agentModel
	reports int
}

// machine drives a Router and the oracle side by side.
type machine struct {
	router  *router.Router
	clock   *clocktesting.FakePassiveClock
	bundle  *bundler.Bundle
	agents  map[string]*agentModel
	pending []pending
	// sequence makes most reports newer than the last, and some older.
	sequence uint64
}

func (m *machine) reportAgent(t *rapid.T) {
	n := rapid.IntRange(0, 2).Draw(t, "agent")
	s := engine(n, []string{"north", "south", "east"}[n])
	s.Incarnation = rapid.SampledFrom([]string{"a", "a", "a", "a", "a", "a", "a", "a", "b", "c"}).Draw(t, "incarnation")
	s.Sequence = m.sequence + rapid.Uint64Range(0, 10).Draw(t, "sequence")
	m.sequence++
	s.Gate = rapid.SampledFrom([]messenger.GateState{messenger.GateOpen, messenger.GateCold, messenger.GateCold, messenger.GateClosed}).Draw(t, "gate")
	s.Limit = 4 - rapid.IntRange(0, 4).Draw(t, "limit")
	s.Running = rapid.IntRange(0, 5).Draw(t, "running")
	s.Leaving = rapid.IntRange(0, 9).Draw(t, "leaving") == 9
	s.Version = rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")
	m.router.Report(s)
	maps.DeleteFunc(m.agents, func(_ string, k *agentModel) bool { return m.clock.Since(k.lastContact) > 20*router.DefaultStaleAfter })
	k := m.agents[s.ID]
	switch {
	case k == nil:
		k = new(agentModel)
		m.agents[s.ID] = k
	case k.state.Incarnation == s.Incarnation && k.state.Sequence >= s.Sequence:
		return
	case slices.Contains(k.earlierIncarnations, s.Incarnation):
		return
	case k.state.Incarnation != s.Incarnation:
		k.earlierIncarnations = append(k.earlierIncarnations, k.state.Incarnation)
		k.avoidedUntil = time.Time{}
	}
	k.state, k.lastContact, k.startedSince, k.endedSince = s, m.clock.Now(), 0, 0
	k.reports++
}

func (m *machine) changeBundle(t *rapid.T) {
	b := bundleWith(m.bundle.Revision+uint64(rapid.IntRange(0, 2).Draw(t, "ahead")), rapid.SampledFrom([]string{"", "", "north", "south"}).Draw(t, "drained"))
	b.Revision--
	m.router.SetBundle(b)
	if b.Revision >= m.bundle.Revision {
		m.bundle = b
	}
}

func (m *machine) pick(t *rapid.T) {
	q := router.Request{Workspace: "w1", Model: "rota"}
	q.Prompt = rapid.SampledFrom([]string{"", "swap", "roster"}).Draw(t, "prompt")
	q.Version = rapid.SampledFrom([]string{"", "", "", "", "v2"}).Draw(t, "version")
	q.Avoid = rapid.SampledFrom([][]string{nil, nil, nil, nil, {"vm-0"}, {"vm-1", "vm-2"}}).Draw(t, "avoid")
	c, err := m.router.Pick(q)
	if err != nil {
		m.mustBeRefused(t, q, err)
		return
	}
	k := m.agents[c.AgentID]
	m.mustServe(t, q, k)
	own := m.ownRequests(k)
	must.Less(t, k.state.Limit, own, must.Sprint("own requests are at the limit"))
	must.Less(t, k.state.Limit, k.state.Running+k.startedSince-k.endedSince, must.Sprint("reported and own later requests are at the limit"))
	must.EqOp(t, k.state.Incarnation, c.Incarnation)
	must.EqOp(t, k.state.Version, c.Version)
	k.startedSince++
	m.pending = append(m.pending, pending{c, k, k.reports})
}

// ownRequests is how many of our requests run on an agent's present incarnation.
func (m *machine) ownRequests(k *agentModel) int {
	n := 0
	for _, p := range m.pending {
		if p.agent == k && p.Incarnation == k.state.Incarnation {
			n++
		}
	}
	return n
}

func (m *machine) mayServe(q router.Request, k *agentModel) bool {
	s := k.state
	return s.Gate != messenger.GateClosed && !s.Leaving && m.clock.Since(k.lastContact) <= router.DefaultStaleAfter &&
		m.bundle.Serves(nil, s.FailureDomain) && (q.Version == "" || q.Version == s.Version) && !slices.Contains(q.Avoid, s.ID)
}

func (m *machine) mustServe(t *rapid.T, q router.Request, k *agentModel) {
	must.NotNil(t, k)
	must.True(t, m.mayServe(q, k), must.Sprintf("picked %+v", k))
}

// mustBeRefused checks that no idle replica was skipped.
func (m *machine) mustBeRefused(t *rapid.T, q router.Request, err error) {
	for _, k := range m.agents {
		idle := k.state.Running < k.state.Limit && k.startedSince == 0 && m.ownRequests(k) == 0 && m.clock.Now().After(k.avoidedUntil)
		must.False(t, idle && m.mayServe(q, k), must.Sprintf("%v, but %+v is idle", err, k))
	}
}

func (m *machine) finishRequest(t *rapid.T) {
	if len(m.pending) == 0 {
		t.Skip("nothing runs")
	}
	i := rapid.IntRange(0, len(m.pending)-1).Draw(t, "which")
	p := m.pending[i]
	o := rapid.SampledFrom([]retrier.Outcome{retrier.Ran, retrier.Ran, retrier.Ran, retrier.NotRun, retrier.Unknown}).Draw(t, "outcome")
	p.Done(o)
	p.Done(o)
	m.pending = slices.Delete(m.pending, i, i+1)
	k := p.agent
	if k.state.Incarnation != p.Incarnation {
		return
	}
	if o != retrier.Ran {
		k.avoidedUntil = m.clock.Now().Add(10 * time.Second)
	}
	switch {
	case p.reports == k.reports:
		k.startedSince--
	case o != retrier.NotRun:
		k.endedSince++
	}
}

func (m *machine) advance(t *rapid.T) {
	d := rapid.SampledFrom([]time.Duration{time.Millisecond, 50 * time.Millisecond, time.Second}).Draw(t, "wait")
	m.clock.SetTime(m.clock.Now().Add(d))
}

// disturb causes the rare events.
func (m *machine) disturb(t *rapid.T) {
	switch rapid.IntRange(0, 5).Draw(t, "disturb") {
	case 0:
		m.clock.SetTime(m.clock.Now().Add(5 * time.Second))
	case 1:
		m.remove(t)
	case 2, 3:
		m.changeBundle(t)
	}
}

func (m *machine) remove(t *rapid.T) {
	id := fmt.Sprintf("vm-%d", rapid.IntRange(0, 2).Draw(t, "agent"))
	m.router.Remove(id)
	delete(m.agents, id)
}

// TestRouterAgainstOracle applies random reports, bundles, picks and outcomes to
// the router and to a list of the last reports. A fault shows as an answer from
// a drained domain, an overloaded replica, or a refusal while a replica is idle.
func TestRouterAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := bundleWith(1, "")
		r, c := newRouter(b)
		m := &machine{router: r, clock: c, bundle: b, agents: map[string]*agentModel{}}
		t.Repeat(map[string]func(*rapid.T){
			"report": m.reportAgent, "report again": m.reportAgent, "report once more": m.reportAgent, "pick": m.pick, "pick again": m.pick,
			"pick once more": m.pick, "done": m.finishRequest, "done again": m.finishRequest, "wait": m.advance, "disturb": m.disturb,
		})
		for _, p := range m.pending {
			p.Done(retrier.Ran)
		}
	})
}
