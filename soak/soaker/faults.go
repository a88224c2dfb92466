package soaker

import (
	"context"
	"sync"
	"time"

	"github.com/oriolecroft/oriolecroft/platform/standin"
	"github.com/oriolecroft/oriolecroft/soak/auditor"
)

// applyFault applies a fault and returns when it has ended.
func (w *deployment) applyFault(f fault) {
	entry := w.entries[f.Target%len(w.entries)]
	agent := w.agents[f.Target%len(w.agents)]
	switch f.Kind {
	case entryPause:
		entry.pause(func() { w.wait(f.For) })
	case entryKill:
		entry.kill()
	case entryStop:
		w.stopEntry(f.Target)
	case reload:
		all := w.processes()
		all[f.Target%len(all)].reload(f.Amount)
	case agentPause:
		agent.pause(func() { w.wait(f.For) })
	case agentKill:
		agent.kill()
	case agentStop:
		agent.terminate()
	case allProcessesKill:
		for _, p := range w.processes() {
			p.kill()
		}
	case powerLoss:
		w.losePower(f)
	case storeForgets:
		// The history may be compacted at any time; that is no disturbance.
		w.store.Compact()
	case storeBusy, storeOverrun, storeSilent, storeLossy, storeSlow, storeExpiresRecords, storeFloods:
		w.faultStore(f)
	case linkDelay, linkReset, linkCut, linkSilence, linkNarrow:
		w.faultStoreLink(f)
	case upstreamDelay, upstreamReset, upstreamCut, upstreamSilent, upstreamNarrow:
		w.faultUpstreamLink(f)
	case agentDelay, agentReset, agentCut, agentSilent, agentNarrow:
		w.faultLink(w.agentLinks[f.Target%len(w.agentLinks)], f, func() string { return agent.name })
	case entryCut:
		// No process is excused: all still reach the store.
		w.faultLink(w.entryLinks[f.Target%len(w.entryLinks)], f, func() string { return "" })
	case entryDelay, entryReset, entrySilent, entryNarrow:
		w.faultLink(w.entryLinks[f.Target%len(w.entryLinks)], f, func() string { return entry.name })
	case upstreamLeaves, serviceLeaves, upstreamGone, upstreamCrash, upstreamBacksOff, stagedCorrupted:
		w.faultUpstream(f)
	case promptCrashes:
		w.crashByPrompts(f)
	case storeLate:
		w.delayWatches(f)
	case weightsLate:
		w.announceDuringWatchDelay(f)
	default:
		w.applyChange(f)
	}
}

// storeFaults are faults of the whole store, which do not overlap in a plan.
var storeFaults = map[faultKind]standin.Fault{
	storeBusy: standin.Busy, storeOverrun: standin.RateLimited, storeSilent: standin.Unresponsive, storeLossy: standin.Lossy, storeExpiresRecords: standin.Busy,
	storeSlow: standin.None, powerLoss: standin.Unresponsive, storeFloods: standin.Flooding,
}

func (w *deployment) faultStore(f fault) {
	// The previous fault may end late after the soak itself stalled.
	w.storeFault.Lock()
	defer w.storeFault.Unlock()
	w.observe(auditor.FaultStarted{Who: auditor.Core})
	w.store.SetFault(storeFaults[f.Kind])
	if f.Kind == storeSlow {
		w.eachStoreLink(func(k *link) { k.setDelay(minLinkDelay + time.Duration(f.Amount)*delayStep) })
	}
	if f.Kind == storeExpiresRecords {
		w.store.EndAllLeases()
		for _, p := range w.upstreamVMs {
			p.dropRecord()
		}
	}
	w.wait(f.For)
	w.store.SetFault(standin.None)
	if f.Kind == storeSlow {
		w.eachStoreLink((*link).repair)
	}
	w.observe(auditor.FaultEnded{Who: auditor.Core})
}

// losePower simulates a power loss of all machines at once, including those of the upstreams, the
// origin and the store. Only state that the store has acknowledged survives.
func (w *deployment) losePower(f fault) {
	w.origin.Down.Store(true)
	defer w.origin.Down.Store(false)
	var all sync.WaitGroup
	for _, p := range w.processes() {
		p.losePower(f.For)
	}
	for _, p := range w.upstreamVMs {
		all.Go(func() {
			p.staged.Clear()
			p.replace(f.For, p.crash)
		})
	}
	w.store.EndAllLeases()
	w.faultStore(f)
	all.Wait()
}

func (w *deployment) eachStoreLink(apply func(*link)) {
	for _, k := range w.storeLinks {
		apply(k)
	}
}

const (
	// maxBrokenPercent is the highest percentage of replies that flaky upstreams break off: retrying each
	// would exceed the budget.
	maxBrokenPercent = 90
	// maxPausedPercent is the highest percentage of replies that pausing upstreams hold.
	maxPausedPercent = 70
	// minLinkDelay and delayStep determine a link's delay, in steps of the fault's amount.
	minLinkDelay = 20 * time.Millisecond
	delayStep    = 3 * time.Millisecond
	// minLinkRate and rateStep determine a narrow link's bytes per second, in steps of the fault's
	// amount: from what a few streams need to a seventh of the bandwidth of the users' links.
	minLinkRate = 16 << 10
	rateStep    = 1 << 10
	// minBackoff and backoffStep determine the backoff that an upstream asks for.
	minBackoff  = time.Second
	backoffStep = 50 * time.Millisecond
)

func (w *deployment) faultStoreLink(f fault) {
	i := f.Target % len(w.storeLinks)
	// Links to the store are in the order of the VMs: entries, then agents.
	affected := w.processes()[i].name
	w.faultLink([]*link{w.storeLinks[i]}, f, func() string { return affected })
}

func (w *deployment) faultUpstreamLink(f fault) {
	p := w.upstreamVMs[f.Target%len(w.upstreamVMs)]
	w.faultLink([]*link{p.link}, f, p.upstreamID)
}

// faultLink faults links for a time. The process that is disturbed may have been replaced at its end.
func (w *deployment) faultLink(links []*link, f fault, affected func() string) {
	first := affected()
	w.observe(auditor.FaultStarted{Who: first})
	for _, k := range links {
		k.apply(f)
	}
	w.wait(f.For)
	for _, k := range links {
		k.repair()
	}
	w.observe(auditor.FaultEnded{Who: first})
	if last := affected(); last != first {
		w.observe(auditor.FaultStarted{Who: last})
		w.observe(auditor.FaultEnded{Who: last})
	}
}

// apply applies a link fault to a link.
func (k *link) apply(f fault) {
	switch f.Kind {
	case linkDelay, agentDelay, upstreamDelay, entryDelay:
		k.setDelay(minLinkDelay + time.Duration(f.Amount)*delayStep)
	case linkReset, agentReset, upstreamReset, entryReset:
		k.reset()
	case linkCut, agentCut, upstreamCut, entryCut:
		k.holdBytes(f.Amount%3 != 0, f.Amount%3 != 1)
	case linkSilence, agentSilent, upstreamSilent, entrySilent:
		k.silence()
	case linkNarrow, agentNarrow, upstreamNarrow, entryNarrow:
		k.limitRate(minLinkRate + f.Amount*rateStep)
	}
}

func (w *deployment) faultUpstream(f fault) {
	p := w.upstreamVMs[f.Target%len(w.upstreamVMs)]
	switch f.Kind {
	case upstreamLeaves:
		p.replace(f.For/2, p.leave)
	case serviceLeaves:
		s := w.bookingVMOutside(domains[f.Target%len(domains)].name)
		for s != nil && !s.replace(f.For/2, s.leave) {
			// Another fault of this upstream is still in progress.
			if !w.wait(announceInterval) {
				break
			}
		}
	case upstreamGone:
		p.replace(f.For/2, p.leaveUnannounced)
	case upstreamCrash:
		p.replace(f.For, p.crash)
	case upstreamBacksOff:
		p.rejectWithBackoff(f.For, minBackoff+time.Duration(f.Amount)*backoffStep)
	case stagedCorrupted:
		p.staged.Corrupt(f.Amount % chunks)
	}
}

// bookingVMOutside returns a VM of the booking service outside a failure domain; nil for none.
func (w *deployment) bookingVMOutside(domain string) *upstreamVM {
	for _, p := range w.upstreamVMs {
		if p.vm.Service == bookingService && p.vm.FailureDomain != domain {
			return p
		}
	}
	return nil
}

// applyChange applies faults of the operators, the callers, the origin and flaky upstreams.
func (w *deployment) applyChange(f fault) {
	switch f.Kind {
	case tableChange:
		w.operators.changeRoutes(f.Amount)
	case keyRemoval:
		w.operators.removeKey()
	case weightsAnnounced:
		for range 1 + f.Amount%3 {
			w.operators.announceWeights()
			w.wait(f.For / 3)
		}
	case domainDrained:
		w.drain(f)
	case upstreamBreaks:
		w.breakOff.Store(int32(1 + f.Amount*maxBrokenPercent/100))
		w.wait(f.For)
		w.breakOff.Store(0)
	case upstreamPauses:
		w.pauses.Share.Store(int32(1 + f.Amount*maxPausedPercent/100))
		w.pauses.BreakOthers.Store(f.Target%2 == 0)
		w.wait(f.For)
		w.pauses.Share.Store(0)
	case upstreamsFail:
		w.failures.Share.Store(int32(f.Amount))
		w.wait(f.For)
		w.failures.Share.Store(0)
	case upstreamsFlood:
		w.floods.Store(int32(f.Amount))
		w.wait(f.For)
		w.floods.Store(0)
	case originCorrupts:
		w.origin.Spoil.Store(int32(f.Amount / 2))
		w.wait(f.For)
		w.origin.Spoil.Store(0)
	case callersBurst:
		w.burst(f)
	case callersSlow:
		w.readSlowly(f)
	}
}

// drain drains a failure domain for longer than the bound.
func (w *deployment) drain(f fault) {
	w.draining.Lock()
	defer w.draining.Unlock()
	domain := domains[f.Target%len(domains)].name
	w.operators.drain(domain)
	w.wait(w.bounds.Evacuate + f.For)
	w.operators.undrain(domain)
}

func (w *deployment) burst(f fault) {
	ctx, cancel := context.WithTimeout(w.running, f.For)
	defer cancel()
	var all sync.WaitGroup
	for i := range burstCallers {
		all.Go(func() { w.newCaller(callers + i).run(ctx) })
	}
	all.Wait()
}
