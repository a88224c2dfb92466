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

// operators are the key seeds of two operators and of an unknown signer.
var operators = []string{seed('a'), seed('b'), seed('x')}

func seed(c byte) string {
	b := make([]byte, 32)
	for i := range b {
		b[i] = c
	}
	return base64.StdEncoding.EncodeToString(b)
}

// keyring requires the sign-offs of both operators.
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

// model is a small deployment of a store, entries and agents with messages in
// transit, and the ground truth of what was accepted when.
type model struct {
	clock         *testclock.FakePassiveClock
	keys          bundler.Keyring
	entries       int
	nodes         []*gossiper.State // the entries, then the agents
	incarnations  []int             // how often each node was started
	highest       []uint64          // the highest revision held by each present incarnation
	accepted      []*bundler.Record // accepted[i] is revision i+1
	acceptedAt    []time.Time       // when revision i+1 was accepted
	storeRevision int               // the revision in the store
	down          bool
	cutStore      map[int]bool
	cutLinks      map[[2]int]bool
	messages      []message
	// rolledBackRead is when a rolled-back store last returned a revision.
	rolledBackRead map[uint64]time.Time
	// naive are nodes that receive the same messages, install whatever bundle comes
	// last and always serve by it. Their faults are counted.
	naive                    []*bundler.Bundle
	naiveReverts, naiveStale int
	// carriedAt is when a node's confirmation came from a rolled-back store while it
	// held a lower revision than at present.
	carriedAt []time.Time
	// behindSince is when the present incarnation of a node first had a higher known
	// revision than the held one.
	behindSince []time.Time
	// lastDown is when the store was last down, spreadSince when the newest revision
	// reached more than half of the entries.
	lastDown, spreadSince time.Time
	storeRegion           string
	freshFor              time.Duration
}

// message is an answer in transit to the incarnation that asked for it.
type message struct {
	to, incarnation int
	deliver         func(s *gossiper.State)
	// record is the content of the message for the naive node.
	record *bundler.Record
}

func newModel(entries, agents int, storeRegion string) *model {
	m := &model{
		clock:          testclock.NewFakePassiveClock(start),
		keys:           keyring(),
		entries:        entries,
		nodes:          make([]*gossiper.State, entries+agents),
		incarnations:   make([]int, entries+agents),
		highest:        make([]uint64, entries+agents),
		cutStore:       map[int]bool{},
		cutLinks:       map[[2]int]bool{},
		naive:          make([]*bundler.Bundle, entries+agents),
		rolledBackRead: map[uint64]time.Time{},
		carriedAt:      make([]time.Time, entries+agents),
		behindSince:    make([]time.Time, entries+agents),
		storeRegion:    storeRegion,
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
	m.incarnations[i]++
	m.highest[i], m.naive[i] = 0, nil
	m.behindSince[i], m.carriedAt[i] = time.Time{}, time.Time{}
}

func (m *model) publish() {
	if m.down || m.storeRevision != len(m.accepted) {
		return
	}
	n := len(m.accepted) + 1
	m.accepted = append(m.accepted, signed(uint64(n), fmt.Sprintf("c%d", n)))
	m.acceptedAt = append(m.acceptedAt, m.clock.Now())
	m.storeRevision = n
}

func (m *model) send(to int, r *bundler.Record, deliver func(s *gossiper.State)) {
	m.messages = append(m.messages, message{to: to, incarnation: m.incarnations[to], record: r, deliver: deliver})
}

// deliver delivers one message, unless its receiver was replaced.
func (m *model) deliver(k int) {
	x := m.messages[k]
	m.messages = append(m.messages[:k:k], m.messages[k+1:]...)
	if m.incarnations[x.to] != x.incarnation {
		return
	}
	m.deliverNaive(x)
	before, _ := m.nodes[x.to].Current()
	x.deliver(m.nodes[x.to])
	if now, _ := m.nodes[x.to].Current(); before != nil && now != before {
		m.carriedAt[x.to] = m.rolledBackRead[before.Revision]
	}
}

func (m *model) deliverNaive(x message) {
	if x.record == nil {
		return
	}
	b, _ := bundler.Parse(x.record.Payload)
	if old := m.naive[x.to]; old != nil && old.Revision > b.Revision {
		m.naiveReverts++
	}
	m.naive[x.to] = b
}

// checkNaive counts the naive nodes that serve by a bundle superseded for longer
// than FreshFor.
func (m *model) checkNaive() {
	for _, b := range m.naive {
		if b != nil && int(b.Revision) < len(m.accepted) && m.clock.Now().Sub(m.acceptedAt[b.Revision]) > freshFor {
			m.naiveStale++
		}
	}
}

// askStore sends an entry's call to the store; the answer is in transit.
func (m *model) askStore(i int) {
	askedAt := m.clock.Now()
	if m.down || m.cutStore[i] {
		m.nodes[i].MarkStoreFailed()
		return
	}
	if m.storeRevision < len(m.accepted) {
		m.rolledBackRead[uint64(m.storeRevision)] = askedAt
	}
	r := m.accepted[m.storeRevision-1]
	m.send(i, r, func(s *gossiper.State) { _, _ = s.Observe(r, askedAt) })
}

// exchange lets node i ask entry j, as Exchanger and the agents' reports do.
func (m *model) exchange(i, j int) {
	if i == j || m.cutLinks[[2]int{min(i, j), max(i, j)}] {
		return
	}
	askedAt := m.clock.Now()
	mine, other := m.nodes[i].StatusUpdate(), m.nodes[j]
	if r := m.nodes[i].RecordFor(other.StatusUpdate()); r != nil {
		m.send(j, r, func(s *gossiper.State) { _, _ = s.Offer(r) })
	}
	other.ReceiveUnsolicited(messenger.EntryState{ID: m.name(i), Freshness: mine})
	answer := messenger.EntryState{ID: m.name(j), Region: m.region(j), StoreReachable: other.StoreReachable(), Freshness: other.StatusUpdate()}
	r := other.RecordFor(mine)
	m.send(i, r, func(s *gossiper.State) {
		if r != nil {
			_, _ = s.Offer(r)
		}
		s.ReceiveAnswer(answer, askedAt)
	})
}

// checkInvariants compares the nodes with the ground truth.
func (m *model) checkInvariants(t *rapid.T) {
	m.updateSpread()
	m.checkNaive()
	for i, s := range m.nodes {
		b, r := s.Current()
		if b == nil {
			if s.MayServe() == nil {
				t.Fatalf("%s serves without a bundle", m.name(i))
			}
			continue
		}
		if b.Revision < m.highest[i] {
			t.Fatalf("%s reverted from revision %d to %d", m.name(i), m.highest[i], b.Revision)
		}
		m.highest[i] = b.Revision
		if int(b.Revision) > len(m.accepted) || m.accepted[b.Revision-1].Digest() != r.Digest() {
			t.Fatalf("%s holds revision %d, which was never accepted", m.name(i), b.Revision)
		}
		m.updateBehind(i, s.KnownRevision() > b.Revision)
		if int(b.Revision) == len(m.accepted) || s.MayServe() != nil || m.confirmedByRollback(i, b.Revision) || m.successorUnknown() {
			continue
		}
		if late := m.clock.Now().Sub(m.acceptedAt[b.Revision]); late > freshFor {
			t.Fatalf("%s serves by revision %d, %v after %d was accepted", m.name(i), b.Revision, late, b.Revision+1)
		}
	}
}

func (m *model) updateSpread() {
	if m.down || m.storeRevision < len(m.accepted) {
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
		m.spreadSince = time.Time{}
	case m.spreadSince.IsZero():
		m.spreadSince = m.clock.Now()
	}
}

// successorUnknown allows serving through an outage or rollback of the store by
// a revision whose successor was accepted so recently that most entries cannot
// know it. (Trace: publish 2, outage before any call, all calls fail, n0 counts
// the failures.)
func (m *model) successorUnknown() bool {
	now := m.clock.Now()
	if m.lastDown.IsZero() || now.Sub(m.lastDown) > freshFor {
		return false
	}
	return m.spreadSince.IsZero() || now.Sub(m.spreadSince) <= freshFor
}

func (m *model) updateBehind(i int, behind bool) {
	switch {
	case !behind:
		m.behindSince[i] = time.Time{}
	case m.behindSince[i].IsZero():
		m.behindSince[i] = m.clock.Now()
	}
}

// confirmedByRollback allows the one case that a process cannot detect: a store
// rolled back to the revision that the node holds confirms it as the newest, and
// the node knows no higher one, or only recently. (Trace: publish 2, roll
// the store back to 1, n0 asks for the first time.) A higher revision keeps that
// confirmation for the rest of FreshFor. (Trace: n0 asks, 3 is published, the
// store rolled back to 1, n0 asks again, the answers cross.)
func (m *model) confirmedByRollback(i int, revision uint64) bool {
	now := m.clock.Now()
	if now.Sub(m.carriedAt[i]) <= freshFor {
		return true
	}
	if now.Sub(m.rolledBackRead[revision]) > freshFor {
		return false
	}
	return m.behindSince[i].IsZero() || now.Sub(m.behindSince[i]) <= freshFor
}

// fataler is implemented by *testing.T and *rapid.T.
type fataler interface {
	Fatalf(format string, args ...any)
}

// step advances time and lets all nodes call the store and exchange once.
func (m *model) step(d time.Duration) {
	m.clock.SetTime(m.clock.Now().Add(d))
	for i := range m.nodes {
		if i < m.entries {
			m.askStore(i)
		}
		for k := range m.entries {
			m.exchange(i, k)
		}
	}
	for len(m.messages) > 0 {
		m.deliver(0)
	}
}

// converge reconnects all nodes, lets them exchange and requires agreement.
func (m *model) converge(t fataler) {
	m.down, m.cutStore, m.cutLinks, m.messages = false, map[int]bool{}, map[[2]int]bool{}, nil
	m.storeRevision = len(m.accepted)
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
		"": m.checkInvariants,
		"advance": func(t *rapid.T) {
			d := rapid.SampledFrom([]int{50, 300, 700, 1100, 2400, 6000}).Draw(t, "ms")
			m.clock.SetTime(m.clock.Now().Add(time.Duration(d) * time.Millisecond))
		},
		"ask": func(t *rapid.T) { m.askStore(entry.Draw(t, "entry")) },
		"askAll": func(*rapid.T) {
			for i := range m.entries {
				m.askStore(i)
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
		"rollBack": func(t *rapid.T) { m.storeRevision = rapid.IntRange(1, len(m.accepted)).Draw(t, "revision") },
		"repair":   func(*rapid.T) { m.storeRevision = len(m.accepted) },
		"restart":  func(t *rapid.T) { m.restart(node.Draw(t, "node")) },
		"cutStore": func(t *rapid.T) {
			// The entries beside the store are never partitioned from it, as StoreRegion
			// requires. Otherwise a majority that is partitioned together continues to serve
			// (TestMajorityPartitionedFromStore).
			i := rapid.IntRange(2, m.entries-1).Draw(t, "entry")
			m.cutStore[i] = !m.cutStore[i]
		},
		"cutLink": func(t *rapid.T) {
			i, j := node.Draw(t, "from"), entry.Draw(t, "to")
			m.cutLinks[[2]int{min(i, j), max(i, j)}] = !m.cutLinks[[2]int{min(i, j), max(i, j)}]
		},
		"forge": func(t *rapid.T) {
			n := uint64(len(m.accepted) + 1)
			r := record(n, "forged", rapid.SampledFrom([][]string{nil, {operators[0]}, {operators[0], operators[2]}}).Draw(t, "signers")...)
			if changed, err := m.nodes[node.Draw(t, "node")].Offer(r); changed || err == nil {
				t.Fatalf("a record without enough sign-offs was accepted")
			}
		},
	}
}

// Messages are lost, delayed and reordered, processes are replaced, the store is
// down or restored from an old copy, links fail. A process that reverts to an
// old bundle sends work to where it was moved away from, and one that serves by
// a superseded bundle sends work into a drained failure domain.
//
// The same messages go to a naive implementation, with last-writer-wins and no
// freshness limit, which has to fail for the test to be meaningful.
func TestPropagationAgainstOracle(t *testing.T) {
	reverts, stale := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(5, 3, "huon")
		t.Repeat(m.actions())
		m.converge(t)
		reverts += m.naiveReverts
		stale += m.naiveStale
	})
	t.Logf("naive implementation: %d reverts, served by a superseded bundle %d times", reverts, stale)
	must.Positive(t, reverts)
	must.Positive(t, stale)
}
