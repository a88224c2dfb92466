package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/oriolecroft/oriolecroft/platform/standin"
	"github.com/oriolecroft/oriolecroft/soak/auditor"
)

const (
	// fatalInterval is the pause between two requests with a part that crashes engines, and crashDowntime
	// how long an engine is down.
	fatalInterval = 300 * time.Millisecond
	crashDowntime = 700 * time.Millisecond
	// farmCount is the number of farms to which prompts belong.
	farmCount = 8
)

// promptCrashFaults makes one part crash engines at some time among the faults and another in the recovery, when
// nothing else is disturbed. They are drawn independently of all other faults.
func promptCrashFaults(seed uint64, last time.Duration) []fault {
	r := rand.New(rand.NewPCG(seed, seed+2))
	first := lateWeightsUntil(last)
	among := min(fatalAmongFaults, last-first)
	at := first + time.Duration(r.Int64N(int64(last-first-among)+1))
	return []fault{
		{At: at, For: among, Kind: promptCrashes, Target: 1, Amount: r.IntN(100)},
		{At: last + minFault, For: fatalInRecovery, Kind: promptCrashes, Target: 2, Amount: r.IntN(100)},
	}
}

const (
	// fatalAmongFaults is how long requests with a fatal part are sent among the other faults,
	// fatalInRecovery in the recovery: until sound ones are checked, two stable windows after the
	// crashes, and long enough afterwards to have some.
	fatalAmongFaults = 8 * time.Second
	fatalInRecovery  = 12 * time.Second
)

// crashByPrompts simulates queries of death: for a time, engines crash on a part of prompts while
// requests with it are sent.
func (w *deployment) crashByPrompts(f fault) {
	part := fmt.Sprintf("fa%x%d", w.Seed, f.Target)
	w.fatal.Store(&part)
	defer w.fatal.CompareAndSwap(&part, nil)
	ctx, cancel := context.WithTimeout(w.running, f.For)
	defer cancel()
	var all sync.WaitGroup
	defer all.Wait()
	for n := f.Amount; ctx.Err() == nil; n++ {
		c := w.newCaller(n)
		all.Go(func() { c.sendFatal(ctx, part, n) })
		sleep(ctx, fatalInterval)
	}
}

// sendFatal sends one request with the fatal part first, in the middle, or among parts that never
// recur.
func (c *caller) sendFatal(ctx context.Context, part string, n int) {
	if c.resolve(ctx); !c.connect(ctx) {
		return
	}
	defer c.disconnect()
	q := c.newRequest()
	c.setPath(q, draftPrefix)
	q.Prompt, q.Events = 100, 12
	farm := fmt.Sprintf("farm%d", n%farmCount)
	q.Parts = [][]string{{part, farm}, {routePart(draftPrefix), part, farm}, {q.ID + "a", part, q.ID + "b"}}[n%3]
	c.sendWithFatal(q, part)
}

// routePart is the part with which all prompts of a route start.
func routePart(prefix string) string { return "kind" + fmt.Sprint(len(prefix)) + prefix[1:2] }

// soundParts returns the shared parts of a sound prompt. They are not random, so that they do not
// change what a seed draws.
func soundParts(prefix string) []string {
	n := requestCount.Load()
	farm := fmt.Sprintf("farm%d", n%farmCount)
	return [][]string{{routePart(prefix)}, {routePart(prefix), farm}, {farm, routePart(prefix)}}[n/farmCount%3]
}

// crashOnFatalPart crashes an engine that runs a request with the fatal part.
func (p *upstreamVM) crashOnFatalPart(u *standin.Upstream) {
	part := p.fatal.Load()
	if part == nil {
		return
	}
	p.observe(auditor.Crashed{Upstream: u.ID, Part: *part})
	if !p.replace(crashDowntime, p.crash) {
		// It is already being replaced, so crash it sooner.
		p.crash(u)
	}
}
