package gossiper_test

import (
	"encoding/base64"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	testclock "k8s.io/utils/clock/testing"
	"pgregory.net/rapid"

	"github.com/oriolecroft/oriolecroft/internal/gossiper"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261202")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", "10s")
	os.Exit(m.Run())
}

const freshFor = gossiper.DefaultFreshFor

var start = time.Date(2026, 12, 2, 20, 0, 0, 0, time.UTC)

// operators are the seeds of two operators and of a stranger.
var operators = []string{seed('a'), seed('b'), seed('x')}

func seed(c byte) string {
	b := make([]byte, 32)
	for i := range b {
		b[i] = c
	}
	return base64.StdEncoding.EncodeToString(b)
}

// keyring wants both operators' sign-off.
func keyring() bundler.Keyring {
	r := record(1, "any", operators[0], operators[1])
	return bundler.Keyring{Keys: []string{r.Signatures[0].Key, r.Signatures[1].Key}, Threshold: 2}
}

func record(revision uint64, change string, signers ...string) *bundler.Record {
	b := &bundler.Bundle{
		Revision:       revision,
		ChangeID:       change,
		FailureDomains: []bundler.FailureDomain{{Name: "huon-a", Region: "huon"}},
		Services:       []bundler.Service{{Name: "bookings"}},
		Workspaces:     []bundler.Workspace{{Name: "growers", Services: []string{"bookings"}}},
	}
	payload, err := b.Encode()
	if err != nil {
		panic(err)
	}
	r := &bundler.Record{Payload: payload}
	for _, s := range signers {
		if err := r.Sign(s); err != nil {
			panic(err)
		}
	}
	return r
}

func signed(revision uint64, change string) *bundler.Record {
	return record(revision, change, operators[0], operators[1])
}

// model is a small deployment: a store, entries and agents, with messages under
// way, and the plain truth about what was accepted when.
type model struct {
	clock    *testclock.FakePassiveClock
	keys     bundler.Keyring
	entries  int
	nodes    []*gossiper.State // the entries, then the agents
	lives    []int             // how often each was restarted
	top      []uint64          // the highest revision of each one's present life
	accepted []*bundler.Record // accepted[i] is revision i+1
	since    []time.Time       // since[i] is when revision i+1 was accepted
	present  int               // the revision in the store
	down     bool
	cutStore map[int]bool
	cut      map[[2]int]bool
	messages []message
	// misled is when a rolled-back store was last asked, by the revision it gave.
	misled map[uint64]time.Time
	// naive are nodes that get the same messages, take whatever bundle comes last
	// and serve by it for ever. Their faults are counted.
	naive                  []*bundler.Bundle
	naiveBack, naiveServes int
	// carried is when a node's confirmation came from a rolled-back store while it
	// held a lower revision than now.
	carried []time.Time
	// behind is since when a node, in its present life, has known of a higher
	// revision than it holds.
	behind []time.Time
	// lastDown is when the store was last out, spread since when more than half
	// of the entries have held the newest revision.
	lastDown, spread time.Time
	storeRegion      string
	freshFor         time.Duration
}

// message is an answer under way to a node in the life in which it asked.
type message struct {
	to, life int
	deliver  func(s *gossiper.State)
	// record is what the message carries, for the naive node.
	record *bundler.Record
}

func newModel(entries, agents int, storeRegion string) *model {
	m := &model{
		clock:       testclock.NewFakePassiveClock(start),
		keys:        keyring(),
		entries:     entries,
		nodes:       make([]*gossiper.State, entries+agents),
		lives:       make([]int, entries+agents),
		top:         make([]uint64, entries+agents),
		cutStore:    map[int]bool{},
		cut:         map[[2]int]bool{},
		naive:       make([]*bundler.Bundle, entries+agents),
		misled:      map[uint64]time.Time{},
		carried:     make([]time.Time, entries+agents),
		behind:      make([]time.Time, entries+agents),
		storeRegion: storeRegion,
	}
	for i := range m.nodes {
		m.restart(i)
	}
	m.publish()
	return m
}

func (m *model) name(i int) string { return fmt.Sprintf("n%d", i) }

// region puts the first third of the entries, at least two, beside the store.
func (m *model) region(i int) string {
	if i < max(2, m.entries/3) {
		return "huon"
	}
	return "elsewhere"
}

func (m *model) restart(i int) {
	s := &gossiper.State{Keyring: m.keys, Clock: m.clock, ID: m.name(i), Region: m.region(i), StoreRegion: m.storeRegion, FreshFor: m.freshFor}
	if i < m.entries {
		s.Entries = m.entries
	}
	m.nodes[i] = s
	m.lives[i]++
	m.top[i], m.naive[i] = 0, nil
	m.behind[i], m.carried[i] = time.Time{}, time.Time{}
}

func (m *model) publish() {
	if m.down || m.present != len(m.accepted) {
		return
	}
	n := len(m.accepted) + 1
	m.accepted = append(m.accepted, signed(uint64(n), fmt.Sprintf("c%d", n)))
	m.since = append(m.since, m.clock.Now())
	m.present = n
}

func (m *model) send(to int, r *bundler.Record, deliver func(s *gossiper.State)) {
	m.messages = append(m.messages, message{to: to, life: m.lives[to], record: r, deliver: deliver})
}

// deliver hands over one message, unless its receiver was replaced.
func (m *model) deliver(k int) {
	x := m.messages[k]
	m.messages = append(m.messages[:k:k], m.messages[k+1:]...)
	if m.lives[x.to] != x.life {
		return
	}
	m.deliverNaive(x)
	before, _ := m.nodes[x.to].Current()
	x.deliver(m.nodes[x.to])
	if now, _ := m.nodes[x.to].Current(); before != nil && now != before {
		m.carried[x.to] = m.misled[before.Revision]
	}
}

func (m *model) deliverNaive(x message) {
	if x.record == nil {
		return
	}
	b, _ := bundler.Parse(x.record.Payload)
	if old := m.naive[x.to]; old != nil && old.Revision > b.Revision {
		m.naiveBack++
	}
	m.naive[x.to] = b
}

// checkNaive counts the naive nodes that serve by a bundle superseded for longer
// than FreshFor.
func (m *model) checkNaive() {
	for _, b := range m.naive {
		if b != nil && int(b.Revision) < len(m.accepted) && m.clock.Now().Sub(m.since[b.Revision]) > freshFor {
			m.naiveServes++
		}
	}
}

// ask puts an entry's question to the store; the answer is under way.
func (m *model) ask(i int) {
	asked := m.clock.Now()
	if m.down || m.cutStore[i] {
		m.nodes[i].Fail()
		return
	}
	if m.present < len(m.accepted) {
		m.misled[uint64(m.present)] = asked
	}
	r := m.accepted[m.present-1]
	m.send(i, r, func(s *gossiper.State) { _, _ = s.Observe(r, asked) })
}

// exchange lets node i ask entry j, as Exchanger and the agents' reports do.
func (m *model) exchange(i, j int) {
	if i == j || m.cut[[2]int{min(i, j), max(i, j)}] {
		return
	}
	asked := m.clock.Now()
	mine, other := m.nodes[i].Word(), m.nodes[j]
	if r := m.nodes[i].RecordFor(other.Word()); r != nil {
		m.send(j, r, func(s *gossiper.State) { _, _ = s.Offer(r) })
	}
	other.Hear(messenger.EntryState{ID: m.name(i), Freshness: mine})
	answer := messenger.EntryState{ID: m.name(j), Region: m.region(j), StoreReachable: other.StoreReachable(), Freshness: other.Word()}
	r := other.RecordFor(mine)
	m.send(i, r, func(s *gossiper.State) {
		if r != nil {
			_, _ = s.Offer(r)
		}
		s.HearAnswer(answer, asked)
	})
}

// check is the oracle.
func (m *model) check(t *rapid.T) {
	m.noteSpread()
	m.checkNaive()
	for i, s := range m.nodes {
		b, r := s.Current()
		if b == nil {
			if s.MayServe() == nil {
				t.Fatalf("%s serves without a bundle", m.name(i))
			}
			continue
		}
		if b.Revision < m.top[i] {
			t.Fatalf("%s went down from %d to %d", m.name(i), m.top[i], b.Revision)
		}
		m.top[i] = b.Revision
		if int(b.Revision) > len(m.accepted) || m.accepted[b.Revision-1].Digest() != r.Digest() {
			t.Fatalf("%s holds a revision %d that was never accepted", m.name(i), b.Revision)
		}
		m.noteBehind(i, s.Known() > b.Revision)
		if int(b.Revision) == len(m.accepted) || s.MayServe() != nil || m.wasMisled(i, b.Revision) || m.wasUnheard() {
			continue
		}
		if late := m.clock.Now().Sub(m.since[b.Revision]); late > freshFor {
			t.Fatalf("%s serves by revision %d, %v after %d was accepted", m.name(i), b.Revision, late, b.Revision+1)
		}
	}
}

func (m *model) noteSpread() {
	if m.down || m.present < len(m.accepted) {
		m.lastDown = m.clock.Now()
	}
	n := 0
	for _, s := range m.nodes[:m.entries] {
		if b, _ := s.Current(); b != nil && int(b.Revision) == len(m.accepted) {
			n++
		}
	}
	switch {
	case 2*n <= m.entries:
		m.spread = time.Time{}
	case m.spread.IsZero():
		m.spread = m.clock.Now()
	}
}

// wasUnheard allows serving through an outage or roll-back of the store by a revision whose
// successor was accepted so shortly before that it had not come to more than half
// of the entries: the others, which are more than half, cannot know of it. (Trace:
// publish 2, outage before anyone asks, all ask in vain, n0 counts them.)
func (m *model) wasUnheard() bool {
	now := m.clock.Now()
	if m.lastDown.IsZero() || now.Sub(m.lastDown) > freshFor {
		return false
	}
	return m.spread.IsZero() || now.Sub(m.spread) <= freshFor
}

func (m *model) noteBehind(i int, behind bool) {
	switch {
	case !behind:
		m.behind[i] = time.Time{}
	case m.behind[i].IsZero():
		m.behind[i] = m.clock.Now()
	}
}

// wasMisled allows the one case that no process can tell: a store rolled back to
// the very revision that the node holds confirms it as the newest, and the node
// has not heard of a higher one, or only within FreshFor. (Trace: publish 2, roll
// the store back to 1, n0 asks for the first time.) A step up keeps that
// confirmation for what is left of FreshFor. (Trace: n0 asks, 3 is published, the
// store rolled back to 1, n0 asks again, the answers cross.)
func (m *model) wasMisled(i int, revision uint64) bool {
	now := m.clock.Now()
	if now.Sub(m.carried[i]) <= freshFor {
		return true
	}
	if now.Sub(m.misled[revision]) > freshFor {
		return false
	}
	return m.behind[i].IsZero() || now.Sub(m.behind[i]) <= freshFor
}

// fataler is what *testing.T and *rapid.T share here.
type fataler interface {
	Fatalf(format string, args ...any)
}

// step lets time pass and then everyone ask and compare once.
func (m *model) step(d time.Duration) {
	m.clock.SetTime(m.clock.Now().Add(d))
	for i := range m.nodes {
		if i < m.entries {
			m.ask(i)
		}
		for k := range m.entries {
			m.exchange(i, k)
		}
	}
	for len(m.messages) > 0 {
		m.deliver(0)
	}
}

// settle connects everything and lets all talk; then all must agree.
func (m *model) settle(t fataler) {
	m.down, m.cutStore, m.cut, m.messages = false, map[int]bool{}, map[[2]int]bool{}, nil
	m.present = len(m.accepted)
	for range 3 {
		m.step(time.Millisecond)
	}
	for i, s := range m.nodes {
		if b, _ := s.Current(); b == nil || int(b.Revision) != len(m.accepted) || s.MayServe() != nil {
			t.Fatalf("%s did not converge: %v, %v", m.name(i), b, s.MayServe())
		}
	}
}

func (m *model) actions() map[string]func(*rapid.T) {
	entry := rapid.IntRange(0, m.entries-1)
	node := rapid.IntRange(0, len(m.nodes)-1)
	return map[string]func(*rapid.T){
		"": m.check,
		"advance": func(t *rapid.T) {
			d := rapid.SampledFrom([]int{50, 300, 700, 1100, 2400, 6000}).Draw(t, "ms")
			m.clock.SetTime(m.clock.Now().Add(time.Duration(d) * time.Millisecond))
		},
		"ask": func(t *rapid.T) { m.ask(entry.Draw(t, "entry")) },
		"askAll": func(*rapid.T) {
			for i := range m.entries {
				m.ask(i)
			}
		},
		"exchange": func(t *rapid.T) { m.exchange(node.Draw(t, "from"), entry.Draw(t, "to")) },
		"exchangeAll": func(t *rapid.T) {
			k := rapid.IntRange(1, m.entries-1).Draw(t, "offset")
			for i := range m.nodes {
				m.exchange(i, (i+k)%m.entries)
			}
		},
		"deliver": func(t *rapid.T) {
			if n := len(m.messages); n > 0 {
				m.deliver(rapid.IntRange(0, n-1).Draw(t, "message"))
			}
		},
		"deliverAll": func(*rapid.T) {
			for len(m.messages) > 0 {
				m.deliver(len(m.messages) - 1)
			}
		},
		"lose": func(t *rapid.T) {
			if n := len(m.messages); n > 0 {
				k := rapid.IntRange(0, n-1).Draw(t, "message")
				m.messages = append(m.messages[:k:k], m.messages[k+1:]...)
			}
		},
		"publish":  func(*rapid.T) { m.publish() },
		"outage":   func(*rapid.T) { m.down = !m.down },
		"rollBack": func(t *rapid.T) { m.present = rapid.IntRange(1, len(m.accepted)).Draw(t, "revision") },
		"repair":   func(*rapid.T) { m.present = len(m.accepted) },
		"restart":  func(t *rapid.T) { m.restart(node.Draw(t, "node")) },
		"cutStore": func(t *rapid.T) {
			// The entries beside the store are never cut off from it: that is what
			// StoreRegion relies on. Without it, a majority cut off together serves
			// on (TestMajorityCutOffFromStore).
			i := rapid.IntRange(2, m.entries-1).Draw(t, "entry")
			m.cutStore[i] = !m.cutStore[i]
		},
		"cutLink": func(t *rapid.T) {
			i, j := node.Draw(t, "from"), entry.Draw(t, "to")
			m.cut[[2]int{min(i, j), max(i, j)}] = !m.cut[[2]int{min(i, j), max(i, j)}]
		},
		"forge": func(t *rapid.T) {
			n := uint64(len(m.accepted) + 1)
			r := record(n, "forged", rapid.SampledFrom([][]string{nil, {operators[0]}, {operators[0], operators[2]}}).Draw(t, "signers")...)
			if changed, err := m.nodes[node.Draw(t, "node")].Offer(r); changed || err == nil {
				t.Fatalf("a record without enough sign-offs was taken")
			}
		},
	}
}

// Messages are lost, late and crossed, processes are replaced, the store is out
// or restored from an old copy, links are cut. A user would notice a process
// that goes back to an old bundle as work sent to where it was taken away, and
// one that serves on unknowing as a drained failure domain that is not empty.
//
// The same messages go to a naive version, last writer wins and no freshness; it
// has to fail, or the runs would prove nothing.
func TestSpreadAgainstOracle(t *testing.T) {
	back, serves := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(5, 3, "huon")
		t.Repeat(m.actions())
		m.settle(t)
		back += m.naiveBack
		serves += m.naiveServes
	})
	t.Logf("naive version: %d steps back, %d times serving by a superseded bundle", back, serves)
	must.Positive(t, back)
	must.Positive(t, serves)
}
