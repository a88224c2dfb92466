package planner_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	clocktesting "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/planner"
	"github.com/oriolecroft/oriolecroft/internal/tracker"
)

// link is a rate-limited link: data leaves in the order of the calls, at its
// rate, and not while it is stalled.
type link struct {
	rate           float64
	freeAt         time.Time
	stall, resumed time.Time
}

// send returns the time at which the last of n bytes has passed.
func (l *link) send(now time.Time, n float64) time.Time {
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(n / l.rate * float64(time.Second)))
	if l.freeAt.After(l.stall) && l.freeAt.Before(l.resumed) {
		l.freeAt = l.resumed
	}
	return l.freeAt
}

// burst is one benchmark case: the machines that want the weights, and their
// links.
type burst struct {
	machines, chunks int
	// size is one copy in bytes; the origin sends four of them in a window and
	// each machine sends and receives two.
	size   float64
	window time.Duration
	// regions beyond the first are reached at regionRate bytes a second.
	regions    int
	regionRate float64
	faults     bool
	seed       uint64
	settings   agentSettings
	// originCopies is how many copies the origin sends in a window; 0 means four.
	originCopies float64
	// originDown is from when to when the origin refuses all calls; zero for never.
	originDown [2]time.Duration
	// narrowFactor is the rate, relative to the others', of the links of the highest-ranked
	// origin fetchers of the regions narrowRegions. The burst doesn't wait for them.
	narrowFactor  float64
	narrowRegions []string
}

// agentSettings configure the agents.
type agentSettings struct {
	slots, originSlots           int
	waitLimit, poll, originDelay time.Duration
	// originBackoff is the planner's.
	originBackoff time.Duration
	// heartbeat is how often agents report to the tracker and receive each
	// other's holdings.
	heartbeat time.Duration
	// chunksReport has each chunk report its sender's other holdings.
	chunksReport bool
	// queryBytes is the size of a query for holdings, in bytes each way; 0 for nothing.
	queryBytes float64
	// maxQueries is the planner's Questions; requestsReport has a request for a chunk report
	// the requester's holdings.
	maxQueries     int
	requestsReport bool
	// requestShare is the part of a link that requests and their replies use.
	requestShare float64
	// uploadShare is the part of a link that chunks for other agents may use, not counting
	// headers; 0 for all of it, headers included.
	uploadShare float64
}

// chunkOverhead is the number of bytes sent on a link for each byte of a chunk.
const chunkOverhead = 1.03

// defaultSettings are the loader's defaults.
var defaultSettings = agentSettings{slots: 4, originSlots: 2, waitLimit: 3 * time.Second, poll: time.Second, originDelay: time.Second, heartbeat: time.Second}

const (
	uploadSlots = 4
	callTimeout = 5 * time.Second
)

// fetchTimeout is when the loader cancels a fetch that trickles.
func (h agentSettings) fetchTimeout() time.Duration { return 10 * h.waitLimit }

// machine is a VM with an agent.
type machine struct {
	*planner.Transfer
	state    messenger.AgentState
	up, down link
	// pacer limits the machine's uploads.
	pacer link
	// pendingQueries are the peers whose answers are pending.
	pendingQueries map[string]bool
	// uploads and exports count the transfers to this region and to others.
	uploads, exports int
	peers            map[string]*machine
	// diesAt is zero for a machine that stays alive.
	diesAt time.Time
	doneAt time.Time
	// excluded machines may stay without the weights.
	excluded bool
}

func (m *machine) dead(now time.Time) bool { return !m.diesAt.IsZero() && !now.Before(m.diesAt) }

// uploadCounter is the counter for transfers to v.
func (m *machine) uploadCounter(v *machine) *int {
	if v.Region != m.Region {
		return &m.exports
	}
	return &m.uploads
}

// model runs one burst in virtual time.
type model struct {
	burst
	clock    *clocktesting.FakePassiveClock
	start    time.Time
	rand     *rand.Rand
	tracker  *tracker.Tracker
	origin   link
	out, in  map[string]*link
	machines []*machine
	byID     map[string]*machine
	events   events
	sequence int
	waiting  int
	// originBytes and crossRegionBytes are bytes from the origin and between
	// regions.
	originBytes, crossRegionBytes float64
}

type event struct {
	time time.Time
	// sequence orders events of the same time.
	sequence int
	handle   func(now time.Time)
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].time.Equal(e[j].time) {
		return e[i].sequence < e[j].sequence
	}
	return e[i].time.Before(e[j].time)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func (m *model) schedule(t time.Time, handle func(time.Time)) {
	m.sequence++
	heap.Push(&m.events, event{time: t, sequence: m.sequence, handle: handle})
}

const manifest = "sha256:burst"

func newModel(b burst) *model {
	start := time.Unix(1_800_000_000, 0)
	if b.settings == (agentSettings{}) {
		b.settings = defaultSettings
	}
	if b.originCopies == 0 {
		b.originCopies = 4
	}
	m := &model{
		burst: b, start: start, clock: clocktesting.NewFakePassiveClock(start),
		rand: rand.New(rand.NewPCG(b.seed, 1)),
		out:  map[string]*link{}, in: map[string]*link{}, byID: map[string]*machine{},
	}
	m.tracker = &tracker.Tracker{Clock: m.clock, Seed: b.seed + 1}
	m.origin = link{rate: b.originCopies * b.size / b.window.Seconds()}
	for r := range max(1, b.regions) {
		name := fmt.Sprintf("region-%d", r)
		m.out[name], m.in[name] = &link{rate: b.regionRate}, &link{rate: b.regionRate}
	}
	for i := range b.machines {
		m.addMachine(i)
	}
	m.narrowLinks()
	return m
}

// narrowLinks narrows the links of the highest-ranked origin fetchers of some
// regions.
func (m *model) narrowLinks() {
	for _, region := range m.narrowRegions {
		var first *machine
		for _, v := range m.machines {
			if v.Region != region || v.excluded {
				continue
			}
			if first == nil || planner.Score(manifest, v.ID) > planner.Score(manifest, first.ID) {
				first = v
			}
		}
		first.up.rate *= m.narrowFactor
		first.down.rate *= m.narrowFactor
		first.excluded = true
		m.waiting--
	}
}

func (m *model) addMachine(i int) {
	region := fmt.Sprintf("region-%d", i%max(1, m.regions))
	rate := 2 * m.size / m.window.Seconds()
	v := &machine{
		state: messenger.AgentState{
			ID: fmt.Sprintf("vm-%d", i), FailureDomain: fmt.Sprintf("%s-%d", region, i%3), Region: region,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 1),
		},
		up: link{rate: rate * (1 - m.settings.requestShare)}, down: link{rate: rate * (1 - m.settings.requestShare)}, pacer: link{rate: rate * m.settings.uploadShare},
		peers: map[string]*machine{}, pendingQueries: map[string]bool{},
	}
	v.Transfer = &planner.Transfer{
		ID: v.state.ID, FailureDomain: v.state.FailureDomain, Region: region,
		Manifest: manifest, Chunks: m.chunks, SourceRegion: "region-0",
		Slots: m.settings.slots, Questions: m.settings.maxQueries, PeerSlots: max(1, m.settings.slots/2), OriginSlots: m.settings.originSlots, AcrossSlots: m.settings.slots - 1,
		Patience: m.settings.waitLimit, BusyBackoff: m.settings.poll / 4, AvoidFor: 5 * time.Minute,
		OriginBackoff: m.settings.originBackoff, DrawAfter: m.start.Add(m.settings.originDelay), Rand: rand.New(rand.NewPCG(m.seed, uint64(i))),
	}
	v.Start(m.start, nil)
	if m.faults {
		m.injectFaults(v)
	}
	m.machines = append(m.machines, v)
	m.byID[v.state.ID] = v
	if v.diesAt.IsZero() {
		m.waiting++
	}
	m.schedule(m.start.Add(m.upTo(m.settings.heartbeat)), func(now time.Time) { m.sendHeartbeat(v, now) })
	m.schedule(m.start.Add(m.upTo(m.settings.poll/2)), func(now time.Time) { m.tick(v, true, now) })
}

// injectFaults lets a tenth of the machines die and a tenth of the links stall,
// some time during the burst.
func (m *model) injectFaults(v *machine) {
	if m.rand.IntN(10) == 0 {
		v.diesAt = m.start.Add(m.upTo(m.window / 2))
	}
	if m.rand.IntN(10) == 0 {
		v.up.stall = m.start.Add(m.upTo(m.window / 2))
		v.up.resumed = v.up.stall.Add(m.window / 4)
	}
}

func (m *model) upTo(d time.Duration) time.Duration { return time.Duration(m.rand.Int64N(int64(d))) }

// run runs until all live machines have the weights, or for long enough to
// consider it stuck, and returns the time it took.
func (m *model) run() (took time.Duration, stuck bool) {
	end := m.start.Add(20 * m.window)
	for m.waiting > 0 {
		e := heap.Pop(&m.events).(event)
		if e.time.After(end) {
			return e.time.Sub(m.start), true
		}
		m.clock.SetTime(e.time)
		e.handle(e.time)
	}
	return m.clock.Now().Sub(m.start), false
}

// sendHeartbeat reports to the tracker and applies its updates.
func (m *model) sendHeartbeat(v *machine, now time.Time) {
	if v.dead(now) {
		return
	}
	v.state.Sequence++
	v.state.Holdings = []messenger.Holding{{Manifest: manifest, Chunks: m.chunks, Have: append([]byte(nil), v.Have()...)}}
	m.tracker.Report(v.state)
	if !v.Complete() {
		m.updatePeers(v)
	}
	m.schedule(now.Add(m.settings.heartbeat), func(now time.Time) { m.sendHeartbeat(v, now) })
}

func (m *model) updatePeers(v *machine) {
	hs := m.tracker.Holders(v.state, []string{manifest})
	ps := make([]planner.Peer, 0, len(hs))
	clear(v.peers)
	for _, h := range hs {
		v.peers[h.ID] = m.byID[h.ID]
		ps = append(ps, planner.Peer{ID: h.ID, FailureDomain: h.FailureDomain, Region: h.Region, Have: h.Holding.Have})
	}
	v.SetPeers(ps, m.clock.Now())
}

// tick queries the peers for their holdings, every second time, and starts
// fetches.
func (m *model) tick(v *machine, query bool, now time.Time) {
	if v.dead(now) || v.Complete() {
		return
	}
	if query {
		m.queryPeers(v, now)
	}
	m.startFetches(v, now)
	m.schedule(now.Add(m.settings.poll/2), func(now time.Time) { m.tick(v, !query, now) })
}

func (m *model) queryPeers(v *machine, now time.Time) {
	for _, id := range v.PeersToQuery(now) {
		switch p := v.peers[id]; {
		case p.dead(now):
			m.schedule(now.Add(callTimeout), func(now time.Time) { v.MarkUnresponsive(id, now) })
		case m.settings.queryBytes > 0:
			m.query(v, p, now)
		default:
			v.SetHoldings(id, append(planner.Bitmap(nil), p.Have()...), now)
		}
	}
}

// query queries a peer for its holdings over the links.
func (m *model) query(v, p *machine, now time.Time) {
	if v.pendingQueries[p.ID] {
		return
	}
	v.pendingQueries[p.ID] = true
	m.schedule(m.queryArrival(v, p, now), func(now time.Time) {
		have := append(planner.Bitmap(nil), p.Have()...)
		m.schedule(m.queryArrival(p, v, now), func(now time.Time) {
			delete(v.pendingQueries, p.ID)
			v.SetHoldings(p.ID, have, now)
			m.startFetches(v, now)
		})
	})
}

// queryArrival is when a query or its answer arrives.
func (m *model) queryArrival(from, to *machine, now time.Time) time.Time {
	n := m.settings.queryBytes
	passed := later(from.up.send(now, n), to.down.send(now, n))
	if from.Region != to.Region {
		passed = later(passed, later(m.out[from.Region].send(now, n), m.in[to.Region].send(now, n)))
	}
	return passed
}

func (m *model) startFetches(v *machine, now time.Time) {
	for {
		o, ok := v.Next(now)
		if !ok {
			return
		}
		m.fetch(v, o, now)
	}
}

func (m *model) fetch(v *machine, o planner.Order, now time.Time) {
	bytes := m.size / float64(m.chunks)
	from, ok := o.Source.(planner.FromPeer)
	if !ok {
		passed := now.Add(time.Duration(bytes / m.origin.rate * float64(time.Second)))
		if m.originRefuses(now) || m.originRefuses(passed) {
			m.schedule(now.Add(time.Millisecond), func(now time.Time) { m.failFetch(v, o, planner.Unavailable, now) })
			return
		}
		m.originBytes += bytes
		m.finishTransfer(v, nil, o, later(m.origin.send(now, bytes), m.crossRegions("region-0", v, now, bytes)), now)
		return
	}
	p := m.byID[from.ID]
	if m.settings.requestsReport && !p.dead(now) {
		p.SetHoldings(v.ID, append(planner.Bitmap(nil), v.Have()...), now)
	}
	switch {
	case p.dead(now):
		m.schedule(now.Add(callTimeout), func(now time.Time) { m.failFetch(v, o, planner.Unavailable, now) })
	case *p.uploadCounter(v) >= uploadSlots:
		v.Failed(o, planner.Busy, now)
	case !p.Have().Has(o.Chunk):
		v.Failed(o, planner.NotHeld, now)
	case m.settings.uploadShare > 0:
		*p.uploadCounter(v)++
		m.upload(v, p, o, now)
	default:
		*p.uploadCounter(v)++
		m.finishTransfer(v, p, o, later(p.up.send(now, bytes), m.crossRegions(p.Region, v, now, bytes)), now)
	}
}

// upload sends a chunk at its sender's pace. The sender starts the next one as soon as this
// one is queued at its link, whose queue may be long.
func (m *model) upload(v, p *machine, o planner.Order, now time.Time) {
	bytes := m.size / float64(m.chunks)
	paced := p.pacer.send(now, bytes)
	m.schedule(paced, func(time.Time) { *p.uploadCounter(v)-- })
	m.schedule(paced.Add(-time.Duration(bytes/p.pacer.rate*float64(time.Second))), func(now time.Time) {
		bytes *= chunkOverhead
		passed := later(p.up.send(now, bytes), m.crossRegions(p.Region, v, now, bytes))
		m.finishTransfer(v, p, o, passed, now)
	})
}

// originRefuses reports whether the origin is down.
func (m *model) originRefuses(now time.Time) bool {
	elapsed := now.Sub(m.start)
	return elapsed >= m.originDown[0] && elapsed < m.originDown[1]
}

// crossRegions sends data over the links between two regions.
func (m *model) crossRegions(from string, v *machine, now time.Time, bytes float64) time.Time {
	if from == v.Region {
		return now
	}
	m.crossRegionBytes += bytes
	return later(m.out[from].send(now, bytes), m.in[v.Region].send(now, bytes))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// finishTransfer ends a transfer that has passed its other links at the given
// time. p is nil for the origin.
func (m *model) finishTransfer(v, p *machine, o planner.Order, passed, now time.Time) {
	passed = later(passed, v.down.send(now, m.size/float64(m.chunks)))
	limit := now.Add(m.settings.fetchTimeout())
	m.schedule(earlier(passed, limit), func(now time.Time) {
		if p != nil && m.settings.uploadShare == 0 {
			*p.uploadCounter(v)--
		}
		switch {
		case p != nil && p.dead(now) || passed.After(limit):
			m.failFetch(v, o, planner.Unavailable, now)
		case m.faults && m.rand.IntN(100) == 0:
			m.failFetch(v, o, planner.Corrupt, now)
		default:
			if p != nil && m.settings.chunksReport {
				v.SetHoldings(p.ID, append(planner.Bitmap(nil), p.Have()...), now)
			}
			m.completeFetch(v, o, now)
		}
	})
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (m *model) failFetch(v *machine, o planner.Order, cause planner.Cause, now time.Time) {
	if v.dead(now) {
		return
	}
	v.Failed(o, cause, now)
	m.startFetches(v, now)
}

func (m *model) completeFetch(v *machine, o planner.Order, now time.Time) {
	if v.dead(now) {
		return
	}
	v.Done(o, now)
	if !v.Complete() {
		m.startFetches(v, now)
		return
	}
	if v.doneAt.IsZero() {
		v.doneAt = now
		if v.diesAt.IsZero() && !v.excluded {
			m.waiting--
		}
	}
}

// naiveTime runs the same burst with all machines fetching from the origin.
func (m *model) naiveTime() time.Duration {
	bytes := m.size / float64(m.chunks)
	last := m.start
	for range m.chunks {
		for _, v := range m.machines {
			last = later(last, later(m.origin.send(m.start, bytes), v.down.send(m.start, bytes)))
			if v.Region != "region-0" {
				last = later(last, m.crossRegions("region-0", v, m.start, bytes))
			}
		}
	}
	return last.Sub(m.start)
}

// bound is the fluid bound: no plan can be faster.
func (b burst) bound() time.Duration {
	n, w := float64(b.machines), b.window.Seconds()
	s := max(w/2, w/4, n*w/(4+2*n))
	if b.regions > 1 {
		s = max(s, b.size/b.regionRate)
	}
	return time.Duration(s * float64(time.Second))
}
