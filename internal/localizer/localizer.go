// Package localizer finds parts of prompts that crash upstreams (queries of death) by statistical fault
// localization: it compares the crashes under requests with a part with the replies to other prompts that
// contain it. Requests with a blamed part are refused.
package localizer

import (
	"fmt"
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"
	"k8s.io/utils/clock"
)

const (
	// maxCrashes crashes, maxReports per crash and maxParts per report are kept, for crashRetention at most.
	maxCrashes     = 128
	maxReports     = 64
	maxParts       = 256
	crashRetention = 10 * time.Minute
	// sameCrashWindow is how far apart reports of one crash may be. Upstreams take longer to restart.
	sameCrashWindow = time.Second
	// maxOwnReplies is the number of parts for which an entry keeps the time of its newest reply, enough
	// for some minutes.
	maxOwnReplies = 4096
	// maxReplies is the number of parts with replies above which parts without a known crash are dropped.
	maxReplies = 512
	// maxBlames limits the active blames; beyond it, the least recently requested one is lifted.
	maxBlames = 256
	// maxDecisions bounds the work of one Tick.
	maxDecisions = 8
	// liftedRetention is how long a lifted blame is kept so that a late message doesn't renew it, maxLifted
	// the number of lifted blames kept.
	liftedRetention = 10 * time.Minute
	maxLifted       = 512
	// idleExpiry is the time without a request for a part after which its blame is lifted.
	idleExpiry = time.Hour
)

// trialDelays are the times from the decision, or the previous trial, to the next request with a blamed
// part that is sent to test whether it still crashes its upstream. After the last trial only an operator or
// idleExpiry ends the blame.
var trialDelays = [...]time.Duration{2 * time.Minute, 10 * time.Minute}

// trialTimeout bounds the time until a trial request is sent.
const trialTimeout = 10 * time.Second

// Localizer keeps the evidence and the blames of one entry. Set the exported fields before use; it is safe
// for concurrent use.
type Localizer struct {
	// Entry is this entry's name.
	Entry string
	// Clock measures ages; WallClock gives the times of blames, which are stored.
	Clock, WallClock clock.PassiveClock
	// Members lists all entries, one of which makes each trial; nil if this is the only one.
	Members func() []string
	// Metrics counts reported crashes, blames and refusals; nil disables counting.
	Metrics metrics.Registry

	mu sync.Mutex
	// ownReplies holds the start time of this entry's newest reply to a prompt with each part.
	ownReplies     *lru.LRU[string, time.Time]
	startedReplies slidingCounter
	crashes        []*crash
	// replies holds the newest replies at all entries to prompts with parts that crashes interrupted.
	replies map[string]reply
	blames  map[string]*blame
	// sequence numbers the evidence that originates at this entry.
	sequence uint64
	// undecided is set while there is evidence that Tick has yet to evaluate.
	undecided bool
}

// reply is the newest reply to prompts with a part. sequence is 0 for a reply of another entry.
type reply struct {
	at       time.Time
	sequence uint64
}

// blame is a Blame with this entry's local state.
type blame struct {
	Blame
	// refutableFrom is the time after which a reply to a prompt with the part lifts the blame.
	refutableFrom time.Time
	// changedAt is when the current state was merged, lastRequestAt when this entry last got a request for it.
	changedAt, lastRequestAt time.Time
	// sequence numbers the last change if this entry made it; else it is 0.
	sequence uint64
	// trialRequest is the request that may be sent as a trial, empty if none; no other one may be until
	// trialDeadline.
	trialRequest  string
	trialDeadline time.Time
}

// BlamedError reports a request that isn't sent because a part of its prompt crashes upstreams.
type BlamedError struct {
	Blame
	// RetryAfter is the time after which the request may be retried.
	RetryAfter time.Duration
}

func (e *BlamedError) Error() string {
	return fmt.Sprintf("part %s of the prompt crashes upstreams, %d of them", e.Part, e.Crashes)
}

// ReplyStarted records a reply under way, which started at a time by Clock, to a prompt with shared parts.
func (l *Localizer) ReplyStarted(parts []string, at time.Time) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	l.startedReplies.add(l.Clock.Now())
	for _, part := range parts {
		if known, ok := l.ownReplies.Get(part); !ok || at.After(known) {
			l.ownReplies.Add(part, at)
		}
		l.recordReply(part, at, true)
	}
}

// recordReply records the start of a reply to a prompt with a part. A reply at another entry may be reported
// before the crash that it refutes.
func (l *Localizer) recordReply(part string, at time.Time, own bool) {
	last := l.lastCrashTime(part)
	if own && last.IsZero() && l.blames[part] == nil {
		return
	}
	known := l.replies[part]
	if !at.After(known.at) {
		return
	}
	r := reply{at: at}
	// One reply since the last crash is enough for the other entries.
	if own && (!known.at.After(last) || l.blames[part] != nil) {
		l.sequence++
		r.sequence = l.sequence
	}
	l.replies[part] = r
	l.undecided = true
	if b := l.blames[part]; b != nil && !b.Lifted && at.After(b.refutableFrom) {
		l.liftBlame(b, "a prompt with the part was answered")
	}
}

func (l *Localizer) lastCrashTime(part string) time.Time {
	for _, c := range slices.Backward(l.crashes) {
		if c.parts[part] {
			return c.at
		}
	}
	return time.Time{}
}

// Crashed records that a crash of an upstream, at a time by Clock, interrupted a request of this entry before
// its reply was under way. parts are those that the prompt shares with others.
func (l *Localizer) Crashed(upstream string, parts []string, at time.Time) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	c := l.findOrAddCrash(upstream, at)
	r := Report{Upstream: upstream, Entry: l.Entry, Requests: 1, Parts: parts, Replies: l.startedReplies.countSince(l.Clock.Now(), replyWindow)}
	if known := c.reports[l.Entry]; known != nil {
		r.Requests += known.Requests
	} else {
		l.count("localizer.crashes")
	}
	l.sequence++
	c.merge(r, l.sequence)
	l.publishReplies(parts)
	l.undecided = true
}

// publishReplies publishes to other entries when parts that a crash interrupted were last answered here.
func (l *Localizer) publishReplies(parts []string) {
	for _, part := range parts {
		if at, ok := l.ownReplies.Peek(part); ok {
			l.recordReply(part, at, true)
		}
	}
}

// Check refuses a request with a blamed part unless it is a trial. request is the ID of the request, empty
// for one that was sent before.
// Errors are *BlamedError.
func (l *Localizer) Check(request string, parts []string) error {
	if l == nil || len(parts) == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, part := range parts {
		b := l.blames[part]
		if b == nil || b.Lifted {
			continue
		}
		b.lastRequestAt = l.Clock.Now()
		if l.allowTrial(b, request) {
			continue
		}
		l.count("localizer.refused")
		return &BlamedError{Blame: b.Blame, RetryAfter: l.retryAfter(b)}
	}
	return nil
}

// AnyBlamed reports whether a part of a prompt is blamed. Unlike Check it makes no trial and counts nothing.
func (l *Localizer) AnyBlamed(parts []string) bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(parts, func(part string) bool {
		b := l.blames[part]
		return b != nil && !b.Lifted
	})
}

// init allocates the maps on first use.
func (l *Localizer) init() {
	if l.blames != nil {
		return
	}
	// The size is valid.
	l.ownReplies, _ = lru.NewLRU[string, time.Time](maxOwnReplies, nil)
	l.replies, l.blames = map[string]reply{}, map[string]*blame{}
}

// Tick evaluates the evidence and blames parts. It should be called about ten times a second.
func (l *Localizer) Tick() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.blames == nil {
		return
	}
	now := l.Clock.Now()
	l.dropExpired(now)
	l.expireBlames(now)
	for n := 0; l.undecided && n < maxDecisions; n++ {
		strongest, pending := l.strongestSuspects(now)
		if len(strongest) == 0 {
			l.undecided = pending
			return
		}
		for _, s := range strongest {
			l.addBlame(s, now)
		}
	}
}

// addBlame blames a part.
func (l *Localizer) addBlame(s suspicion, now time.Time) {
	epoch := uint64(l.WallClock.Now().UnixMilli())
	if previous := l.blames[s.part]; previous != nil {
		epoch = max(epoch, previous.Epoch+1)
	}
	l.sequence++
	b := &blame{sequence: l.sequence, refutableFrom: s.crashes[0].at, changedAt: now, lastRequestAt: now, Blame: Blame{
		Part: s.part, Epoch: epoch, Entry: l.Entry, DecidedAt: l.WallClock.Now().UTC(), Crashes: len(s.crashes), Chance: s.chance,
	}}
	for _, c := range s.crashes[max(0, len(s.crashes)-maxShownUpstreams):] {
		b.Upstreams = append(b.Upstreams, c.upstream)
	}
	l.liftLeastRecent()
	l.blames[s.part] = b
	l.count("localizer.blames")
	b.log("Prompt part blamed", "lastReplyBefore", s.crashes[0].at.Sub(l.replies[s.part].at))
}

// maxShownUpstreams is the number of crashed upstreams that a blame lists.
const maxShownUpstreams = 8

func (b *blame) log(message string, keysAndValues ...any) {
	klog.InfoS(message, append(b.LogFields(), keysAndValues...)...)
}

func (l *Localizer) count(name string) {
	if l.Metrics != nil {
		metrics.GetOrRegisterCounter(name, l.Metrics).Inc(1)
	}
}
