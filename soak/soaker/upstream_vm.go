package soaker

import (
	"fmt"
	"sync"
	"time"

	"github.com/oriolecroft/oriolecroft/platform/standin"
	"github.com/oriolecroft/oriolecroft/soak/auditor"
)

// heartbeatInterval is the interval between two records of an upstream.
const heartbeatInterval = 1200 * time.Millisecond

const (
	// coldDuration is how long a replacement upstream is cold, coldRate the request rate it sustains
	// meanwhile.
	coldDuration = 4 * time.Second
	coldRate     = 8
	// serviceSlots and serviceWork are the slots and the time per request of a plain service.
	serviceSlots = 8
	serviceWork  = 25 * time.Millisecond
)

// upstreamVM is a VM that runs one upstream after another behind a link.
type upstreamVM struct {
	*deployment
	number int
	vm     *standin.VM
	link   *link
	staged standin.Staged

	mu sync.Mutex
	// generation numbers the upstreams.
	generation int
	current    *standin.Upstream
	// replacing is set while the upstream is being replaced.
	replacing bool
}

func (w *deployment) newUpstreamVM(vm *standin.VM) (*upstreamVM, error) {
	k, err := newLink(vm.At(standin.PortUpstream), vm.At(standin.PortUpstreamServer))
	if err != nil {
		return nil, err
	}
	p := &upstreamVM{deployment: w, number: len(w.upstreamVMs), vm: vm, link: k}
	if vm.Service == engineService {
		// The first version is staged from the start.
		for i := range chunks {
			p.staged.Put(i, w.origin.Chunk(engineFigures.Model, 1, i))
		}
	}
	return p, nil
}

// open starts an upstream on the VM.
func (p *upstreamVM) open(cold time.Duration, version uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, err := standin.Listen(p.vm.At(standin.PortUpstreamServer))
	if err != nil {
		p.logf("no upstream at %s: %v", p.vm.Name, err)
		return
	}
	p.generation++
	r := standin.Record{
		ID: fmt.Sprintf("%s.%d", p.vm.Name, p.generation), Service: p.vm.Service, Address: p.vm.At(standin.PortUpstream),
		FailureDomain: p.vm.FailureDomain, Slots: serviceSlots,
	}
	if p.vm.Service == engineService {
		p.current = standin.NewEngine(r, engineFigures, p.origin, &p.staged, version).Upstream
	} else {
		p.current = standin.NewService(r, serviceWork)
	}
	u := p.current
	// Requests to an engine end soon through its agent, which also learns that the engine leaves.
	u.StatesLeaving = p.vm.Service != engineService || (p.number+p.generation)%2 == 0
	u.Observer, u.Store, u.Heartbeat, u.BreakOff = observer{p.deployment}, p.store, heartbeatInterval, &p.breakOff
	u.Pauses, u.Failures, u.Floods = &p.pauses, &p.failures, &p.floods
	u.Fatal, u.Crashed = &p.fatal, sync.OnceFunc(func() { p.crashOnFatalPart(u) })
	p.observe(auditor.Joined{
		Upstream: r.ID, Service: r.Service, FailureDomain: r.FailureDomain, Region: p.vm.Region, Cold: cold, ColdRate: coldRate,
	})
	u.Start(l, cold)
	if err := p.link.open(); err != nil {
		p.logf("no link to %s: %v", p.vm.Name, err)
	}
}

// replace ends the upstream with end and starts another after a pause. It does nothing and returns
// false if a replacement is already in progress.
func (p *upstreamVM) replace(pause time.Duration, end func(*standin.Upstream)) bool {
	p.mu.Lock()
	u, busy := p.current, p.replacing
	p.replacing = true
	p.mu.Unlock()
	if busy {
		return false
	}
	end(u)
	if !p.wait(pause) {
		return true
	}
	p.open(coldDuration, 0)
	p.mu.Lock()
	p.replacing = false
	p.mu.Unlock()
	return true
}

// crash ends an upstream at once. The store drops its record after three heartbeats.
func (p *upstreamVM) crash(u *standin.Upstream) {
	p.observe(auditor.FaultStarted{Who: u.ID})
	p.link.refuse()
	u.Stop()
	time.AfterFunc(3*heartbeatInterval, func() { p.store.DropUpstream(u.ID) })
}

const (
	// announceInterval is the interval at which an upstream tries to announce that it leaves.
	announceInterval = 100 * time.Millisecond
	// serveBeyondDrain is how much longer than the bound it serves.
	serveBeyondDrain = 700 * time.Millisecond
	// stateLeavingBefore is how much earlier its answers state that it leaves than it records that in the
	// store.
	stateLeavingBefore = 400 * time.Millisecond
)

// leave makes an upstream state and announce that it leaves, serve for the bound and end.
func (p *upstreamVM) leave(u *standin.Upstream) {
	if u.StateLeaving(); u.StatesLeaving && !p.wait(stateLeavingBefore) {
		return
	}
	for !u.RecordLeaving() {
		if !p.wait(announceInterval) {
			return
		}
	}
	p.observe(auditor.Leaving{Upstream: u.ID})
	p.wait(p.bounds.Drain + serveBeyondDrain)
	p.observe(auditor.FaultStarted{Who: u.ID})
	u.Deregister()
	u.Stop()
}

// leaveUnannounced removes an upstream's record while it still serves for the bound.
func (p *upstreamVM) leaveUnannounced(u *standin.Upstream) {
	u.StateLeaving()
	u.Deregister()
	p.observe(auditor.Leaving{Upstream: u.ID})
	p.wait(p.bounds.Drain + serveBeyondDrain)
	p.observe(auditor.FaultStarted{Who: u.ID})
	u.Stop()
}

// rejectWithBackoff makes the upstream reject requests for a time and ask for a backoff.
func (p *upstreamVM) rejectWithBackoff(lasts, backoff time.Duration) {
	p.mu.Lock()
	u := p.current
	p.mu.Unlock()
	u.RejectAll(backoff)
	p.wait(lasts)
	u.RejectAll(0)
}

// dropRecord removes the record for a time, as the store does during its outage.
func (p *upstreamVM) dropRecord() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.store.DropUpstream(p.current.ID)
}

// upstreamID returns the ID of the current upstream.
func (p *upstreamVM) upstreamID() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current.ID
}

func (p *upstreamVM) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current != nil {
		p.current.Stop()
	}
	p.link.close()
}

// observer reports to the auditor what upstreams observe.
type observer struct{ *deployment }

var _ standin.Observer = observer{}

// Arrived implements standin.Observer.
func (o observer) Arrived(a standin.Arrival) { o.observe(auditor.Arrived(a)) }

// Rejected implements standin.Observer.
func (o observer) Rejected(id, upstream string, rest time.Duration) {
	o.observe(auditor.Rejected{ID: id, Upstream: upstream, Rest: rest})
}

// Began implements standin.Observer.
func (o observer) Began(id, upstream string, version uint64, spoilt bool) {
	o.observe(auditor.RunStarted{ID: id, Upstream: upstream, Version: version, Spoilt: spoilt})
}

// Ended implements standin.Observer.
func (o observer) Ended(id, upstream string, broken bool, events int) {
	o.observe(auditor.RunEnded{ID: id, Upstream: upstream, Broken: broken, Events: events})
}

// Failed implements standin.Observer.
func (o observer) Failed(id, upstream string) { o.observe(auditor.Failed{ID: id, Upstream: upstream}) }

// Unread implements standin.Observer.
func (o observer) Unread(id, upstream string) { o.observe(auditor.Unread{ID: id, Upstream: upstream}) }

// Flooded implements standin.Observer.
func (o observer) Flooded(id, upstream string, sent int) {
	o.observe(auditor.Flooded{ID: id, Upstream: upstream, Long: sent > 0})
}
