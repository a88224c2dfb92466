package entry

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/thejerf/suture/v4"
	"k8s.io/klog/v2"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/notifier"
	"github.com/oriolecroft/oriolecroft/internal/reporter"
)

const (
	// exchangeTimeout bounds one exchange with another entry.
	exchangeTimeout = time.Second
	// aliveRounds is after how many silent rounds an entry no longer counts as
	// alive.
	aliveRounds = 3
	// asksPerHeartbeat is how many entries are asked in one heartbeat. All are asked
	// in turn, in a round of as many heartbeats as that takes: what matters at once,
	// a new bundle, comes by the store's watch and by waking, and asking all others
	// at each heartbeat would cost the square of their number.
	asksPerHeartbeat = 4
	// forgetAfter is how long a silent entry is still asked.
	forgetAfter = time.Minute
)

// members are the deployment's entries as this one knows them.
type members struct {
	entry *Entry
	// each supervises the links to the others.
	each *suture.Supervisor
	// due wakes the links when an exchange can't wait for its turn.
	due notifier.Broadcast

	mu      sync.Mutex
	leaving bool
	// listed are the entries that the platform lists as leaving, this one perhaps
	// among them: callers are to go elsewhere before the VM does.
	listed map[string]bool
	heard  map[string]heardEntry
	links  map[netip.AddrPort]*peer
}

type heardEntry struct {
	state messenger.EntryState
	at    time.Time
}

func newMembers(e *Entry) *members {
	return &members{
		entry: e,
		each:  suture.New("links of the entry", suture.Spec{EventHook: reporter.LogEvents}),
		heard: map[string]heardEntry{},
		links: map[netip.AddrPort]*peer{},
	}
}

// mention notes the peer address of an entry.
func (m *members) mention(a netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.note(a)
}

func (m *members) note(a netip.AddrPort) {
	if a == addressOf(m.entry.Peers) || !a.IsValid() {
		return
	}
	p := m.links[a]
	if p == nil {
		p = &peer{members: m}
		m.links[a] = p
	}
	p.mentioned = m.entry.Clock.Now()
}

// adjust starts links to new entries and ends those to entries long silent. Seeds
// stay for ever: they are the way back after a cut.
func (m *members) adjust(context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.entry.Seeds {
		m.note(s)
	}
	now := m.entry.Clock.Now()
	for a, p := range m.links {
		if now.Sub(p.mentioned) > forgetAfter {
			m.drop(a, p)
			continue
		}
		if p.client == nil {
			m.start(a, p)
		}
	}
	for id, h := range m.heard {
		if now.Sub(h.at) > forgetAfter {
			delete(m.heard, id)
		}
	}
	m.tellRouter()
}

// tellRouter names the live entries, among which a cold upstream is divided.
func (m *members) tellRouter() {
	ids := []string{m.entry.ID}
	for id, h := range m.heard {
		if m.fresh(h) {
			ids = append(ids, id)
		}
	}
	m.entry.Router.SetEntries(m.entry.ID, ids)
}

func (m *members) drop(a netip.AddrPort, p *peer) {
	if p.client != nil {
		if err := m.each.Remove(p.token); err != nil {
			klog.V(1).InfoS("Link not removed", "peer", a, "err", err)
		}
	}
	delete(m.links, a)
}

func (m *members) start(a netip.AddrPort, p *peer) {
	p.client = &messenger.Client{Address: a, Timeout: exchangeTimeout, Dial: m.entry.Certifier.Dial}
	p.token = m.each.Add(p)
}

func (m *members) isLeaving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaving
}

// round is how long it takes to ask all other entries once.
func (m *members) round() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roundOf(len(m.links))
}

func (m *members) roundOf(peers int) time.Duration {
	beats := (peers + asksPerHeartbeat - 1) / asksPerHeartbeat
	return time.Duration(max(1, beats)) * m.entry.Heartbeat
}

// mine is what this entry tells another that holds the given revision: the record
// goes along only when it is news.
func (m *members) mine(theirs uint64) messenger.Exchange {
	x := messenger.Exchange{
		State:          m.self(),
		Asked:          m.entry.Limiter.Asked(),
		Demand:         m.entry.Router.Demand(),
		OriginFetchers: m.entry.Tracker.OriginFetchers(),
	}
	b, r := m.entry.State.Current()
	if b != nil && theirs > 0 && b.Revision > theirs {
		x.Record = r
	}
	return x
}

func (m *members) self() messenger.EntryState {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.entry
	return messenger.EntryState{
		ID:             e.ID,
		Incarnation:    e.Incarnation,
		FailureDomain:  e.FailureDomain,
		Region:         e.Region,
		Callers:        addressOf(e.Callers),
		Peers:          addressOf(e.Peers),
		Leaving:        m.leaving || m.listed[e.ID],
		Refusing:       e.State.MayServe() != nil,
		StoreReachable: e.State.StoreReachable(),
		Word:           e.State.Word(),
	}
}

// hear notes another entry's account of itself.
func (m *members) hear(s messenger.EntryState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heard[s.ID] = heardEntry{state: s, at: m.entry.Clock.Now()}
	m.note(s.Peers)
}

func (m *members) fresh(h heardEntry) bool {
	if h.state.Leaving || m.listed[h.state.ID] {
		return false
	}
	return m.entry.Clock.Since(h.at) < aliveRounds*m.roundOf(len(m.links))
}

// alive lists the entries in use, this one among them unless it leaves.
func (m *members) alive() []messenger.EntryState {
	self := m.self()
	m.mu.Lock()
	defer m.mu.Unlock()
	var es []messenger.EntryState
	if !self.Leaving {
		es = append(es, self)
	}
	for _, h := range m.heard {
		if m.fresh(h) {
			es = append(es, h.state)
		}
	}
	return es
}

// refs lists the entries in use for agents, in an order that stays.
func (m *members) refs() []messenger.EntryRef {
	es := m.alive()
	refs := make([]messenger.EntryRef, len(es))
	for i, e := range es {
		refs[i] = messenger.EntryRef{ID: e.ID, FailureDomain: e.FailureDomain, Region: e.Region, Peers: e.Peers}
	}
	slices.SortFunc(refs, func(a, b messenger.EntryRef) int { return strings.Compare(a.ID, b.ID) })
	return refs
}

// count is how many entries are in use, at least one. It is asked for each request,
// so that no list is made for it.
func (m *members) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	if !m.leaving && !m.listed[m.entry.ID] {
		n++
	}
	for _, h := range m.heard {
		if m.fresh(h) {
			n++
		}
	}
	return max(1, n)
}

func (m *members) setListed(ids map[string]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listed = ids
}

func (m *members) leave() {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	m.wake()
}

// wake makes links exchange at once.
func (m *members) wake() { m.due.NotifyAll() }
