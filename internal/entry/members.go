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
	// livenessRounds is the number of rounds without contact after which an entry
	// counts as down.
	livenessRounds = 3
	// exchangesPerHeartbeat is the number of exchanges in one heartbeat. A round
	// covers all entries in as many heartbeats as needed: only new bundles are urgent
	// and arrive by the store's watch and by wakeups, while exchanges with all others
	// at each heartbeat would cost the square of their number.
	exchangesPerHeartbeat = 4
	// removalTimeout is how long an unresponsive entry is still contacted.
	removalTimeout = time.Minute
)

// members tracks the deployment's entries as seen by this one.
type members struct {
	entry *Entry
	// supervisor runs the links to the other entries.
	supervisor *suture.Supervisor
	// wakeup triggers exchanges that can't wait for the next round.
	wakeup notifier.Broadcast

	mu       sync.Mutex
	draining bool
	// listedDraining holds the entries that the platform lists as leaving, perhaps
	// including this one: callers must move to other entries before the VM stops.
	listedDraining map[string]bool
	states         map[string]entryRecord
	links          map[netip.AddrPort]*peer
}

type entryRecord struct {
	state       messenger.EntryState
	lastContact time.Time
}

func newMembers(e *Entry) *members {
	return &members{
		entry:      e,
		supervisor: suture.New("links of the entry", suture.Spec{EventHook: reporter.LogEvents}),
		states:     map[string]entryRecord{},
		links:      map[netip.AddrPort]*peer{},
	}
}

// addAddress adds or confirms the peer address of an entry.
func (m *members) addAddress(a netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addAddressLocked(a)
}

func (m *members) addAddressLocked(a netip.AddrPort) {
	if a == addressOf(m.entry.Peers) || !a.IsValid() {
		return
	}
	p := m.links[a]
	if p == nil {
		p = &peer{members: m}
		m.links[a] = p
	}
	p.confirmedAt = m.entry.Clock.Now()
}

// adjust starts links to new entries and removes those to unresponsive entries. Seeds
// are never removed, as an entry reconnects through them after a partition.
func (m *members) adjust(context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.entry.Seeds {
		m.addAddressLocked(s)
	}
	now := m.entry.Clock.Now()
	for a, p := range m.links {
		if now.Sub(p.confirmedAt) > removalTimeout {
			m.removeLink(a, p)
			continue
		}
		if p.client == nil {
			m.startLink(a, p)
		}
	}
	for id, r := range m.states {
		if now.Sub(r.lastContact) > removalTimeout {
			delete(m.states, id)
		}
	}
	m.updateRouterEntries()
}

// updateRouterEntries passes the live entries to the router, which divides a cold
// upstream's slots among them.
func (m *members) updateRouterEntries() {
	ids := []string{m.entry.ID}
	for id, r := range m.states {
		if m.isAlive(r) {
			ids = append(ids, id)
		}
	}
	m.entry.Router.SetEntries(m.entry.ID, ids)
}

func (m *members) removeLink(a netip.AddrPort, p *peer) {
	if p.client != nil {
		if err := m.supervisor.Remove(p.token); err != nil {
			klog.V(1).InfoS("Link not removed", "peer", a, "err", err)
		}
	}
	delete(m.links, a)
}

func (m *members) startLink(a netip.AddrPort, p *peer) {
	p.client = &messenger.Client{Address: a, Timeout: exchangeTimeout, Dial: m.entry.Certifier.Dial}
	p.token = m.supervisor.Add(p)
}

func (m *members) isDraining() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.draining
}

// roundDuration is the time for one exchange with each other entry.
func (m *members) roundDuration() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roundDurationOf(len(m.links))
}

func (m *members) roundDurationOf(peers int) time.Duration {
	heartbeats := (peers + exchangesPerHeartbeat - 1) / exchangesPerHeartbeat
	return time.Duration(max(1, heartbeats)) * m.entry.Heartbeat
}

// exchangeFor returns this entry's message to another that holds the given revision.
// The bundle's record is included only if it is newer.
func (m *members) exchangeFor(theirRevision uint64) messenger.Exchange {
	x := messenger.Exchange{
		State:          m.selfState(),
		RequestRates:   m.entry.Limiter.Demand(),
		Demand:         m.entry.Router.Demand(),
		OriginFetchers: m.entry.Tracker.OriginFetchers(),
	}
	b, r := m.entry.State.Current()
	if b != nil && theirRevision > 0 && b.Revision > theirRevision {
		x.Record = r
	}
	return x
}

func (m *members) selfState() messenger.EntryState {
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
		Leaving:        m.draining || m.listedDraining[e.ID],
		Refusing:       e.State.MayServe() != nil,
		StoreReachable: e.State.StoreReachable(),
		Freshness:      e.State.StatusUpdate(),
	}
}

// recordState records the state that another entry reports of itself.
func (m *members) recordState(s messenger.EntryState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.states[s.ID] = entryRecord{state: s, lastContact: m.entry.Clock.Now()}
	m.addAddressLocked(s.Peers)
}

func (m *members) isAlive(r entryRecord) bool {
	if r.state.Leaving || m.listedDraining[r.state.ID] {
		return false
	}
	return m.entry.Clock.Since(r.lastContact) < livenessRounds*m.roundDurationOf(len(m.links))
}

// aliveEntries lists the entries in use, including this one unless it drains.
func (m *members) aliveEntries() []messenger.EntryState {
	self := m.selfState()
	m.mu.Lock()
	defer m.mu.Unlock()
	var es []messenger.EntryState
	if !self.Leaving {
		es = append(es, self)
	}
	for _, r := range m.states {
		if m.isAlive(r) {
			es = append(es, r.state)
		}
	}
	return es
}

// entryRefs lists the entries in use for agents, in a stable order.
func (m *members) entryRefs() []messenger.EntryRef {
	es := m.aliveEntries()
	refs := make([]messenger.EntryRef, len(es))
	for i, e := range es {
		refs[i] = messenger.EntryRef{ID: e.ID, FailureDomain: e.FailureDomain, Region: e.Region, Peers: e.Peers}
	}
	slices.SortFunc(refs, func(a, b messenger.EntryRef) int { return strings.Compare(a.ID, b.ID) })
	return refs
}

// aliveCount returns the number of entries in use, at least one. It is called for each
// request, so it builds no list.
func (m *members) aliveCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	if !m.draining && !m.listedDraining[m.entry.ID] {
		n++
	}
	for _, r := range m.states {
		if m.isAlive(r) {
			n++
		}
	}
	return max(1, n)
}

func (m *members) setListedDraining(ids map[string]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listedDraining = ids
}

func (m *members) drain() {
	m.mu.Lock()
	m.draining = true
	m.mu.Unlock()
	m.wakeLinks()
}

// wakeLinks triggers exchanges at once.
func (m *members) wakeLinks() { m.wakeup.NotifyAll() }
