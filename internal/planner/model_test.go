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

// link is a limiter: what is sent over it leaves in the order of the calls, at
// its rate, and not while it is stalled.
type link struct {
	rate           float64
	free           time.Time
	stall, resumed time.Time
}

// send gives the time at which the last of n bytes has passed.
func (l *link) send(now time.Time, n float64) time.Time {
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(n / l.rate * float64(time.Second)))
	if l.free.After(l.stall) && l.free.Before(l.resumed) {
		l.free = l.resumed
	}
	return l.free
}

// burst is one row of the table: who wants the weights, over which links.
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
	habits     habits
	// originCopies is how many copies the origin sends in a window; 0 means four.
	originCopies float64
	// originDown is from when to when the origin refuses all calls; zero for never.
	originDown [2]time.Duration
	// narrow is the rate, as a part of the others', of the links of the agents that rank
	// first among the origin fetchers of the regions narrowIn. The burst is over without them.
	narrow   float64
	narrowIn []string
}

// habits are how agents behave.
type habits struct {
	slots, originSlots     int
	patience, poll, settle time.Duration
	// originBackoff is the planner's.
	originBackoff time.Duration
	// heartbeat is how often agents report to the tracker and hear of each other.
	heartbeat time.Duration
	// listens tells that each chunk brings word of what else its sender holds.
	listens bool
	// question is what asking a peer for its holdings costs on the links, in bytes each way;
	// 0 for nothing.
	question float64
	// questions is the planner's Questions; reports has a request for a chunk report what the
	// requester holds.
	questions int
	reports   bool
	// requests is the part of a link that requests and their replies take.
	requests float64
	// uploadShare is the part of a link that chunks for other agents may take, not counting
	// headers; 0 for all of it, headers included.
	uploadShare float64
}

// chunkOverhead is how many bytes a chunk takes on a link for each of its own.
const chunkOverhead = 1.03

// usual are the loader's defaults.
var usual = habits{slots: 4, originSlots: 2, patience: 3 * time.Second, poll: time.Second, settle: time.Second, heartbeat: time.Second}

const (
	uploadSlots = 4
	callTimeout = 5 * time.Second
)

// overdue is when the loader cuts a fetch that trickles.
func (h habits) overdue() time.Duration { return 10 * h.patience }

// machine is a VM with an agent.
type machine struct {
	*planner.Transfer
	state    messenger.AgentState
	up, down link
	// pacer is the limit on what the machine uploads.
	pacer link
	// asking are the peers whose answers are on their way.
	asking map[string]bool
	// uploads and exports count the transfers to this region and to others.
	uploads, exports int
	peers            map[string]*machine
	// dies is zero for a machine that lives.
	dies time.Time
	done time.Time
	// unawaited machines may stay without the weights.
	unawaited bool
}

func (m *machine) dead(now time.Time) bool { return !m.dies.IsZero() && !now.Before(m.dies) }

// counter is the one of the upload counters on which a transfer to v counts.
func (m *machine) counter(v *machine) *int {
	if v.Region != m.Region {
		return &m.exports
	}
	return &m.uploads
}

// model plays one burst in virtual time.
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
	number   int
	waiting  int
	// drawn and crossed are bytes from the origin and between regions.
	drawn, crossed float64
}

type event struct {
	at time.Time
	// number orders events of the same time.
	number int
	run    func(now time.Time)
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].number < e[j].number
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func (m *model) at(t time.Time, run func(time.Time)) {
	m.number++
	heap.Push(&m.events, event{at: t, number: m.number, run: run})
}

const manifest = "sha256:burst"

func newModel(b burst) *model {
	start := time.Unix(1_800_000_000, 0)
	if b.habits == (habits{}) {
		b.habits = usual
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
		m.add(i)
	}
	m.squeeze()
	return m
}

// squeeze narrows the links of the first origin fetchers of some regions.
func (m *model) squeeze() {
	for _, region := range m.narrowIn {
		var first *machine
		for _, v := range m.machines {
			if v.Region != region || v.unawaited {
				continue
			}
			if first == nil || planner.Score(manifest, v.ID) > planner.Score(manifest, first.ID) {
				first = v
			}
		}
		first.up.rate *= m.narrow
		first.down.rate *= m.narrow
		first.unawaited = true
		m.waiting--
	}
}

func (m *model) add(i int) {
	region := fmt.Sprintf("region-%d", i%max(1, m.regions))
	rate := 2 * m.size / m.window.Seconds()
	v := &machine{
		state: messenger.AgentState{
			ID: fmt.Sprintf("vm-%d", i), FailureDomain: fmt.Sprintf("%s-%d", region, i%3), Region: region,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 1),
		},
		up: link{rate: rate * (1 - m.habits.requests)}, down: link{rate: rate * (1 - m.habits.requests)}, pacer: link{rate: rate * m.habits.uploadShare},
		peers: map[string]*machine{}, asking: map[string]bool{},
	}
	v.Transfer = &planner.Transfer{
		ID: v.state.ID, FailureDomain: v.state.FailureDomain, Region: region,
		Manifest: manifest, Chunks: m.chunks, SourceRegion: "region-0",
		Slots: m.habits.slots, Questions: m.habits.questions, PeerSlots: max(1, m.habits.slots/2), OriginSlots: m.habits.originSlots, AcrossSlots: m.habits.slots - 1,
		Patience: m.habits.patience, BusyBackoff: m.habits.poll / 4, AvoidFor: 5 * time.Minute,
		OriginBackoff: m.habits.originBackoff, DrawAfter: m.start.Add(m.habits.settle), Rand: rand.New(rand.NewPCG(m.seed, uint64(i))),
	}
	v.Start(m.start, nil)
	if m.faults {
		m.harm(v)
	}
	m.machines = append(m.machines, v)
	m.byID[v.state.ID] = v
	if v.dies.IsZero() {
		m.waiting++
	}
	m.at(m.start.Add(m.upTo(m.habits.heartbeat)), func(now time.Time) { m.beat(v, now) })
	m.at(m.start.Add(m.upTo(m.habits.poll/2)), func(now time.Time) { m.tick(v, true, now) })
}

// harm lets a tenth of the machines die and a tenth of the links stall, some
// time during the burst.
func (m *model) harm(v *machine) {
	if m.rand.IntN(10) == 0 {
		v.dies = m.start.Add(m.upTo(m.window / 2))
	}
	if m.rand.IntN(10) == 0 {
		v.up.stall = m.start.Add(m.upTo(m.window / 2))
		v.up.resumed = v.up.stall.Add(m.window / 4)
	}
}

func (m *model) upTo(d time.Duration) time.Duration { return time.Duration(m.rand.Int64N(int64(d))) }

// run plays until all machines that live have the weights, or for long enough
// to call it stuck, and gives the time that it took.
func (m *model) run() (took time.Duration, stuck bool) {
	end := m.start.Add(20 * m.window)
	for m.waiting > 0 {
		e := heap.Pop(&m.events).(event)
		if e.at.After(end) {
			return e.at.Sub(m.start), true
		}
		m.clock.SetTime(e.at)
		e.run(e.at)
	}
	return m.clock.Now().Sub(m.start), false
}

// beat reports to the tracker and takes its news.
func (m *model) beat(v *machine, now time.Time) {
	if v.dead(now) {
		return
	}
	v.state.Sequence++
	v.state.Holdings = []messenger.Holding{{Manifest: manifest, Chunks: m.chunks, Have: append([]byte(nil), v.Have()...)}}
	m.tracker.Report(v.state)
	if !v.Whole() {
		m.introduce(v)
	}
	m.at(now.Add(m.habits.heartbeat), func(now time.Time) { m.beat(v, now) })
}

func (m *model) introduce(v *machine) {
	hs := m.tracker.Holders(v.state, []string{manifest})
	ps := make([]planner.Peer, 0, len(hs))
	clear(v.peers)
	for _, h := range hs {
		v.peers[h.ID] = m.byID[h.ID]
		ps = append(ps, planner.Peer{ID: h.ID, FailureDomain: h.FailureDomain, Region: h.Region, Have: h.Holding.Have})
	}
	v.Learn(ps, m.clock.Now())
}

// tick asks the peers what they hold, every second time, and starts fetches.
func (m *model) tick(v *machine, ask bool, now time.Time) {
	if v.dead(now) || v.Whole() {
		return
	}
	if ask {
		m.ask(v, now)
	}
	m.order(v, now)
	m.at(now.Add(m.habits.poll/2), func(now time.Time) { m.tick(v, !ask, now) })
}

func (m *model) ask(v *machine, now time.Time) {
	for _, id := range v.Ask(now) {
		switch p := v.peers[id]; {
		case p.dead(now):
			m.at(now.Add(callTimeout), func(now time.Time) { v.Silent(id, now) })
		case m.habits.question > 0:
			m.question(v, p, now)
		default:
			v.Saw(id, append(planner.Bitmap(nil), p.Have()...), now)
		}
	}
}

// question asks a peer for its holdings over the links.
func (m *model) question(v, p *machine, now time.Time) {
	if v.asking[p.ID] {
		return
	}
	v.asking[p.ID] = true
	m.at(m.message(v, p, now), func(now time.Time) {
		have := append(planner.Bitmap(nil), p.Have()...)
		m.at(m.message(p, v, now), func(now time.Time) {
			delete(v.asking, p.ID)
			v.Saw(p.ID, have, now)
			m.order(v, now)
		})
	})
}

// message is when a question or its answer arrives.
func (m *model) message(from, to *machine, now time.Time) time.Time {
	n := m.habits.question
	passed := later(from.up.send(now, n), to.down.send(now, n))
	if from.Region != to.Region {
		passed = later(passed, later(m.out[from.Region].send(now, n), m.in[to.Region].send(now, n)))
	}
	return passed
}

func (m *model) order(v *machine, now time.Time) {
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
			m.at(now.Add(time.Millisecond), func(now time.Time) { m.end(v, o, planner.Unavailable, now) })
			return
		}
		m.drawn += bytes
		m.carry(v, nil, o, later(m.origin.send(now, bytes), m.cross("region-0", v, now, bytes)), now)
		return
	}
	p := m.byID[from.ID]
	if m.habits.reports && !p.dead(now) {
		p.Saw(v.ID, append(planner.Bitmap(nil), v.Have()...), now)
	}
	switch {
	case p.dead(now):
		m.at(now.Add(callTimeout), func(now time.Time) { m.end(v, o, planner.Unavailable, now) })
	case *p.counter(v) >= uploadSlots:
		v.Failed(o, planner.Busy, now)
	case !p.Have().Has(o.Chunk):
		v.Failed(o, planner.NotHeld, now)
	case m.habits.uploadShare > 0:
		*p.counter(v)++
		m.upload(v, p, o, now)
	default:
		*p.counter(v)++
		m.carry(v, p, o, later(p.up.send(now, bytes), m.cross(p.Region, v, now, bytes)), now)
	}
}

// upload sends a chunk at the pace that its sender keeps to. The sender takes the next one as
// soon as this one is handed to its link, whose queue may be long.
func (m *model) upload(v, p *machine, o planner.Order, now time.Time) {
	bytes := m.size / float64(m.chunks)
	paced := p.pacer.send(now, bytes)
	m.at(paced, func(time.Time) { *p.counter(v)-- })
	m.at(paced.Add(-time.Duration(bytes/p.pacer.rate*float64(time.Second))), func(now time.Time) {
		bytes *= chunkOverhead
		passed := later(p.up.send(now, bytes), m.cross(p.Region, v, now, bytes))
		m.carry(v, p, o, passed, now)
	})
}

// originRefuses tells whether the origin is down.
func (m *model) originRefuses(now time.Time) bool {
	at := now.Sub(m.start)
	return at >= m.originDown[0] && at < m.originDown[1]
}

// cross passes the links between two regions.
func (m *model) cross(from string, v *machine, now time.Time, bytes float64) time.Time {
	if from == v.Region {
		return now
	}
	m.crossed += bytes
	return later(m.out[from].send(now, bytes), m.in[v.Region].send(now, bytes))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// carry ends a transfer whose other links have passed it at the given time. p is
// nil for the origin.
func (m *model) carry(v, p *machine, o planner.Order, passed, now time.Time) {
	passed = later(passed, v.down.send(now, m.size/float64(m.chunks)))
	limit := now.Add(m.habits.overdue())
	m.at(earlier(passed, limit), func(now time.Time) {
		if p != nil && m.habits.uploadShare == 0 {
			*p.counter(v)--
		}
		switch {
		case p != nil && p.dead(now) || passed.After(limit):
			m.end(v, o, planner.Unavailable, now)
		case m.faults && m.rand.IntN(100) == 0:
			m.end(v, o, planner.Corrupt, now)
		default:
			if p != nil && m.habits.listens {
				v.Saw(p.ID, append(planner.Bitmap(nil), p.Have()...), now)
			}
			m.arrive(v, o, now)
		}
	})
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (m *model) end(v *machine, o planner.Order, cause planner.Cause, now time.Time) {
	if v.dead(now) {
		return
	}
	v.Failed(o, cause, now)
	m.order(v, now)
}

func (m *model) arrive(v *machine, o planner.Order, now time.Time) {
	if v.dead(now) {
		return
	}
	v.Done(o, now)
	if !v.Whole() {
		m.order(v, now)
		return
	}
	if v.done.IsZero() {
		v.done = now
		if v.dies.IsZero() && !v.unawaited {
			m.waiting--
		}
	}
}

// naive plays the same burst with everybody drawing from the origin.
func (m *model) naive() time.Duration {
	bytes := m.size / float64(m.chunks)
	last := m.start
	for range m.chunks {
		for _, v := range m.machines {
			last = later(last, later(m.origin.send(m.start, bytes), v.down.send(m.start, bytes)))
			if v.Region != "region-0" {
				last = later(last, m.cross("region-0", v, m.start, bytes))
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
