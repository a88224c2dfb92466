package soaker

import (
	"fmt"
	"sync"
	"time"

	"github.com/oriolecroft/oriolecroft/platform/standin"
	"github.com/oriolecroft/oriolecroft/soak/auditor"
)

// heartbeat is the interval between two records of an upstream.
const heartbeat = 1200 * time.Millisecond

const (
	// coldTime is how long a replacement upstream is cold, coldRate the request rate it sustains
	// meanwhile.
	coldTime = 4 * time.Second
	coldRate = 8
	// serviceSlots and serviceWork are the slots and the time per request of a plain service.
	serviceSlots = 8
	serviceWork  = 25 * time.Millisecond
)

// place is a VM that runs one upstream after another behind a link.
type place struct {
	*world
	number int
	vm     *standin.VM
	link   *link
	staged standin.Staged

	mu sync.Mutex
	// generation numbers the upstreams.
	generation int
	current    *standin.Upstream
	// busy is set while the upstream is being replaced.
	busy bool
}

func (w *world) newPlace(vm *standin.VM) (*place, error) {
	k, err := newLink(vm.At(standin.PortUpstream), vm.At(standin.PortUpstreamServer))
	if err != nil {
		return nil, err
	}
	p := &place{world: w, number: len(w.places), vm: vm, link: k}
	if vm.Service == engineService {
		// The first version is staged from the start.
		for i := range chunks {
			p.staged.Put(i, w.origin.Chunk(figures.Model, 1, i))
		}
	}
	return p, nil
}

// open starts an upstream at the place.
func (p *place) open(cold time.Duration, version uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, err := standin.Listen(p.vm.At(standin.PortUpstreamServer))
	if err != nil {
		p.say("no upstream at %s: %v", p.vm.Name, err)
		return
	}
	p.generation++
	r := standin.Record{
		ID: fmt.Sprintf("%s.%d", p.vm.Name, p.generation), Service: p.vm.Service, Address: p.vm.At(standin.PortUpstream),
		FailureDomain: p.vm.FailureDomain, Slots: serviceSlots,
	}
	if p.vm.Service == engineService {
		p.current = standin.NewEngine(r, figures, p.origin, &p.staged, version).Upstream
	} else {
		p.current = standin.NewService(r, serviceWork)
	}
	u := p.current
	// Requests to an engine end soon through its agent, which also learns that the engine leaves.
	u.StatesLeaving = p.vm.Service != engineService || (p.number+p.generation)%2 == 0
	u.Observer, u.Store, u.Heartbeat, u.BreakOff = observer{p.world}, p.store, heartbeat, &p.breakOff
	u.Pauses, u.Failures, u.Floods = &p.pauses, &p.failures, &p.floods
	u.Fatal, u.Crashed = &p.fatal, sync.OnceFunc(func() { p.crashUnder(u) })
	p.note(auditor.Joined{
		Upstream: r.ID, Service: r.Service, FailureDomain: r.FailureDomain, Region: p.vm.Region, Cold: cold, ColdRate: coldRate,
	})
	u.Start(l, cold)
	if err := p.link.open(); err != nil {
		p.say("no link to %s: %v", p.vm.Name, err)
	}
}

// replace ends the upstream with end and starts another after a pause. It does nothing and returns
// false if a replacement is already in progress.
func (p *place) replace(pause time.Duration, end func(*standin.Upstream)) bool {
	p.mu.Lock()
	u, busy := p.current, p.busy
	p.busy = true
	p.mu.Unlock()
	if busy {
		return false
	}
	end(u)
	if !p.wait(pause) {
		return true
	}
	p.open(coldTime, 0)
	p.mu.Lock()
	p.busy = false
	p.mu.Unlock()
	return true
}

// crash ends an upstream at once. The store drops its record after three heartbeats.
func (p *place) crash(u *standin.Upstream) {
	p.note(auditor.FaultStarted{Who: u.ID})
	p.link.refuse()
	u.Stop()
	time.AfterFunc(3*heartbeat, func() { p.store.DropUpstream(u.ID) })
}

const (
	// announceEvery is the interval at which an upstream tries to announce that it leaves.
	announceEvery = 100 * time.Millisecond
	// beyondDrain is how much longer than the bound it serves.
	beyondDrain = 700 * time.Millisecond
	// saidBefore is how much earlier its answers state that it leaves than it records that in the
	// store.
	saidBefore = 400 * time.Millisecond
)

// leave makes an upstream state and announce that it leaves, serve for the bound and end.
func (p *place) leave(u *standin.Upstream) {
	if u.StateLeaving(); u.StatesLeaving && !p.wait(saidBefore) {
		return
	}
	for !u.RecordLeaving() {
		if !p.wait(announceEvery) {
			return
		}
	}
	p.note(auditor.Leaving{Upstream: u.ID})
	p.wait(p.bounds.Drain + beyondDrain)
	p.note(auditor.FaultStarted{Who: u.ID})
	u.Deregister()
	u.Stop()
}

// vanish removes an upstream's record while it still serves for the bound.
func (p *place) vanish(u *standin.Upstream) {
	u.StateLeaving()
	u.Deregister()
	p.note(auditor.Leaving{Upstream: u.ID})
	p.wait(p.bounds.Drain + beyondDrain)
	p.note(auditor.FaultStarted{Who: u.ID})
	u.Stop()
}

// rest makes the upstream reject requests for a time and ask for a backoff.
func (p *place) rest(lasts, rest time.Duration) {
	p.mu.Lock()
	u := p.current
	p.mu.Unlock()
	u.RejectAll(rest)
	p.wait(lasts)
	u.RejectAll(0)
}

// lapse removes the record for a time, as the store does during its outage.
func (p *place) lapse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.store.DropUpstream(p.current.ID)
}

// id returns the ID of the current upstream.
func (p *place) id() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current.ID
}

func (p *place) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current != nil {
		p.current.Stop()
	}
	p.link.close()
}

// observer reports to the auditor what upstreams observe.
type observer struct{ *world }

var _ standin.Observer = observer{}

// Arrived implements standin.Observer.
func (o observer) Arrived(a standin.Arrival) { o.note(auditor.Arrived(a)) }

// Rejected implements standin.Observer.
func (o observer) Rejected(id, upstream string, rest time.Duration) {
	o.note(auditor.Rejected{ID: id, Upstream: upstream, Rest: rest})
}

// Began implements standin.Observer.
func (o observer) Began(id, upstream string, version uint64, spoilt bool) {
	o.note(auditor.RunStarted{ID: id, Upstream: upstream, Version: version, Spoilt: spoilt})
}

// Ended implements standin.Observer.
func (o observer) Ended(id, upstream string, broken bool, events int) {
	o.note(auditor.RunEnded{ID: id, Upstream: upstream, Broken: broken, Events: events})
}

// Failed implements standin.Observer.
func (o observer) Failed(id, upstream string) { o.note(auditor.Failed{ID: id, Upstream: upstream}) }

// Unread implements standin.Observer.
func (o observer) Unread(id, upstream string) { o.note(auditor.Unread{ID: id, Upstream: upstream}) }

// Flooded implements standin.Observer.
func (o observer) Flooded(id, upstream string, sent int) {
	o.note(auditor.Flooded{ID: id, Upstream: upstream, Long: sent > 0})
}
