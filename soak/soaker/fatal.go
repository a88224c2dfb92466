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
	// fatalEvery is the pause between two requests with a part that crashes engines, and crashedFor
	// how long an engine is down.
	fatalEvery = 300 * time.Millisecond
	crashedFor = 700 * time.Millisecond
	// farms is the number of farms to which prompts belong.
	farms = 8
)

// fatals makes one part crash engines at some time among the faults and another in the recovery, when
// nothing else is disturbed. They are drawn independently of all other faults.
func fatals(seed uint64, last time.Duration) []fault {
	r := rand.New(rand.NewPCG(seed, seed+2))
	first := lateWeightsUntil(last)
	among := min(fatalAmong, last-first)
	at := first + time.Duration(r.Int64N(int64(last-first-among)+1))
	return []fault{
		{At: at, For: among, Kind: promptCrashes, Target: 1, Amount: r.IntN(100)},
		{At: last + leastFault, For: fatalInRecovery, Kind: promptCrashes, Target: 2, Amount: r.IntN(100)},
	}
}

const (
	// fatalAmong is how long requests with a fatal part are sent among the other faults,
	// fatalInRecovery in the recovery: until sound ones are checked, two stable windows after the
	// crashes, and long enough afterwards to have some.
	fatalAmong      = 8 * time.Second
	fatalInRecovery = 12 * time.Second
)

// crashByPrompts simulates queries of death: for a time, engines crash on a part of prompts while
// requests with it are sent.
func (w *world) crashByPrompts(f fault) {
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
		sleep(ctx, fatalEvery)
	}
}

// sendFatal sends one request with the fatal part first, in the middle, or among parts that never
// recur.
func (c *caller) sendFatal(ctx context.Context, part string, n int) {
	if c.resolve(ctx); !c.connect(ctx) {
		return
	}
	defer c.hangUp()
	q := c.newRequest()
	c.address(q, draftPrefix)
	q.Prompt, q.Events = 100, 12
	farm := fmt.Sprintf("farm%d", n%farms)
	q.Parts = [][]string{{part, farm}, {kindPart(draftPrefix), part, farm}, {q.ID + "a", part, q.ID + "b"}}[n%3]
	c.askFatal(q, part)
}

// kindPart is the part with which all prompts of a route start.
func kindPart(prefix string) string { return "kind" + fmt.Sprint(len(prefix)) + prefix[1:2] }

// soundParts returns the shared parts of a sound prompt. They are not random, so that they do not
// change what a seed draws.
func soundParts(prefix string) []string {
	n := requests.Load()
	farm := fmt.Sprintf("farm%d", n%farms)
	return [][]string{{kindPart(prefix)}, {kindPart(prefix), farm}, {farm, kindPart(prefix)}}[n/farms%3]
}

// crashUnder crashes an engine that runs a request with the fatal part.
func (p *place) crashUnder(u *standin.Upstream) {
	part := p.fatal.Load()
	if part == nil {
		return
	}
	p.note(auditor.Crashed{Upstream: u.ID, Part: *part})
	if !p.replace(crashedFor, p.crash) {
		// It is already being replaced, so crash it sooner.
		p.crash(u)
	}
}
