package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/oriolecroft/oriolecroft/platform/standin"
	"github.com/oriolecroft/oriolecroft/soak/auditor"
)

const (
	// callers is how many callers send requests throughout a run, burstCallers how many join for a
	// burst.
	callers      = 30
	burstCallers = 12
	// maxThinkTime is the longest pause between an answer and a caller's next request.
	maxThinkTime = 200 * time.Millisecond
	// callerLimit is how long callers wait, impatientLimit how long impatient ones do.
	callerLimit    = 2500 * time.Millisecond
	impatientLimit = 120 * time.Millisecond
	// longEvents is the length of long streams, which last 1.4 s or more. Some callers leave after
	// minStay to twice as long and close their connection.
	longEvents = 120
	minStay    = 300 * time.Millisecond
	// staleAnswerFactor is how many times the allowed period some callers keep a directory answer.
	staleAnswerFactor = 3
	// retryPause is the pause after a failure that states no time to retry.
	retryPause = 200 * time.Millisecond
)

var requestCount atomic.Uint64

// caller sends one request after another.
type caller struct {
	*deployment
	random *rand.Rand
	region string
	// sticky callers use a connection until it closes, even if the directory does not list its
	// entry, and keep directory answers for longer.
	sticky bool

	entries    []netip.AddrPort
	validUntil time.Time
	conn       *standin.Connection
}

func (w *deployment) newCaller(n int) *caller {
	return &caller{
		deployment: w, random: rand.New(rand.NewPCG(w.Seed, uint64(n))), region: domains[n%len(domains)].region, sticky: n%3 == 0,
	}
}

// run sends requests until the context ends and waits for the last answer.
func (c *caller) run(ctx context.Context) { c.runWith(ctx, c.drawRequest) }

// runWith is run with requests that draw returns.
func (c *caller) runWith(ctx context.Context, draw func() *standin.Request) {
	for sleep(ctx, time.Duration(c.random.Int64N(int64(maxThinkTime)))) {
		c.resolve(ctx)
		if !c.connect(ctx) {
			sleep(ctx, retryPause)
			continue
		}
		sleep(ctx, c.send(draw()))
	}
	c.disconnect()
}

func (c *caller) disconnect() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// maxDirectories is how many daemons a caller asks for addresses, nearest first.
const maxDirectories = 3

// resolve queries a directory once the last answer has expired.
func (c *caller) resolve(ctx context.Context) {
	if time.Now().Before(c.validUntil) {
		return
	}
	for _, i := range c.entriesByDistance()[:min(maxDirectories, len(c.entryVMs))] {
		vm := c.entryVMs[i]
		entries, ttl, err := standin.Resolve(ctx, vm.At(standin.PortDirectory), host, c.region)
		if err != nil || len(entries) == 0 {
			continue
		}
		if c.sticky {
			ttl *= staleAnswerFactor
		}
		c.entries, c.validUntil = entries, time.Now().Add(ttl)
		var names []string
		for _, a := range entries {
			names = append(names, c.entryNames[a])
		}
		c.observe(auditor.DirectoryAnswered{Entry: vm.Name, Names: names})
		return
	}
}

// entriesByDistance lists the entries in random order, those of the caller's region first.
func (c *caller) entriesByDistance() []int {
	var near, far []int
	for _, i := range c.random.Perm(len(c.entryVMs)) {
		if c.entryVMs[i].Region == c.region {
			near = append(near, i)
		} else {
			far = append(far, i)
		}
	}
	return append(near, far...)
}

// connect ensures that the caller has a connection.
func (c *caller) connect(ctx context.Context) bool {
	if c.conn != nil && (c.conn.IsClosed() || !c.sticky && !c.listed(c.conn.Entry)) {
		c.disconnect()
	}
	if c.conn != nil {
		return true
	}
	if len(c.entries) == 0 {
		return false
	}
	entry := c.entries[c.random.IntN(len(c.entries))]
	conn, err := standin.Dial(ctx, entry)
	if err != nil {
		// The next attempt uses another address; this one is skipped until the next directory answer.
		c.drop(entry)
		return false
	}
	c.conn = conn
	return true
}

func (c *caller) listed(entry netip.AddrPort) bool {
	for _, a := range c.entries {
		if a == entry {
			return true
		}
	}
	return false
}

func (c *caller) drop(entry netip.AddrPort) {
	var rest []netip.AddrPort
	for _, a := range c.entries {
		if a != entry {
			rest = append(rest, a)
		}
	}
	c.entries = rest
}

// send sends a request and returns how long to wait before the next.
func (c *caller) send(q *standin.Request) time.Duration { return c.sendWithFatal(q, "") }

// sendWithFatal is ask for a request with a part that crashes engines; empty for none.
func (c *caller) sendWithFatal(q *standin.Request, fatal string) time.Duration {
	entry := c.entryNames[c.conn.Entry]
	c.observe(auditor.Sent{
		ID: q.ID, Entry: entry, Path: q.Path, Key: q.Key, Content: q.Content(), Limit: q.Limit,
		Events: q.Events, After: q.LastEvent, Lasts: engineFigures.Step * time.Duration(q.Events-q.LastEvent), Kept: c.conn.Used, Parts: q.Parts, Fatal: fatal,
	})
	a := c.conn.Send(q)
	var parts []auditor.Part
	for _, e := range a.Events {
		parts = append(parts, auditor.Part(e))
	}
	c.observe(auditor.Answered{
		ID: q.ID, Status: a.Status, Names: a.ID, Upstream: a.Upstream, Forged: a.Forged, Whole: a.Whole, WrongBody: a.WrongBody,
		Leaving: a.Leaving, Parts: parts, Expired: a.Expired,
	})
	if a.Closes {
		c.disconnect()
	}
	if a.Status/100 == 2 && a.Whole {
		return 0
	}
	return max(retryPause, min(a.RetryAfter, q.Limit/3))
}

// drawRequest draws the next request.
func (c *caller) drawRequest() *standin.Request {
	q := c.newRequest()
	prefixes := []string{
		draftPrefix, draftPrefix, draftPrefix, oncePrefix, homePrefix, bookPrefix, bookPrefix, lookPrefix, publicPrefix, movingPrefix, comingPrefix,
	}
	prefix := prefixes[c.random.IntN(len(prefixes))]
	c.setPath(q, prefix)
	switch prefix {
	case draftPrefix, oncePrefix, homePrefix:
		q.Prompt, q.Events = 100+c.random.IntN(600), 8+c.random.IntN(16)
		q.Parts = soundParts(prefix)
		if prefix == draftPrefix && c.random.IntN(12) == 0 {
			q.LastEvent = 1 + c.random.IntN(4)
		}
	}
	if q.Events > 0 && c.random.IntN(20) == 0 {
		q.Events = longEvents
		if c.random.IntN(3) > 0 {
			q.Leaves = minStay + time.Duration(c.random.Int64N(int64(minStay)))
		}
	}
	if c.random.IntN(30) == 0 {
		q.Limit = impatientLimit
	}
	return q
}

// newRequest returns a request without a path.
func (c *caller) newRequest() *standin.Request {
	n := requestCount.Add(1)
	return &standin.Request{ID: fmt.Sprintf("%08x%08x", c.Seed, n), Host: host, Model: engineFigures.Model, Limit: callerLimit, Key: c.key()}
}

// setPath sets the path and body of a request for a route.
func (c *caller) setPath(q *standin.Request, prefix string) {
	n := requestCount.Load()
	q.Path = fmt.Sprintf("%s%d?slot=%d", prefix, c.random.IntN(100), n)
	q.Body = fmt.Sprintf("{\"lead\":%d,\"shift\":%d}", n, c.random.IntN(1000))
}

func (c *caller) key() string {
	current, previous := c.operators.changingKeys()
	keys := []string{steadyKey, steadyKey, steadyKey, homeKey, current, previous}
	return keys[c.random.IntN(len(keys))]
}
