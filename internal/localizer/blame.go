package localizer

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// liftBlame lifts a blame on a decision of this entry.
func (l *Localizer) liftBlame(b *blame, reason string) {
	l.sequence++
	b.Lifted, b.Reason, b.sequence, b.changedAt, b.trialRequest = true, reason, l.sequence, l.Clock.Now(), ""
	l.count("localizer.lifted")
	b.log("Prompt part cleared", "reason", reason)
}

// liftLeastRecent lifts the least recently requested blame if the limit is reached.
func (l *Localizer) liftLeastRecent() {
	active := l.activeBlames()
	if len(active) >= maxBlames {
		l.liftBlame(slices.MinFunc(active, func(a, b *blame) int { return a.lastRequestAt.Compare(b.lastRequestAt) }), "too many parts are blamed")
	}
}

// activeBlames lists the blames that are not lifted.
func (l *Localizer) activeBlames() []*blame {
	var all []*blame
	for _, b := range l.blames {
		if !b.Lifted {
			all = append(all, b)
		}
	}
	return all
}

// expireBlames lifts blames of parts that no request contains and deletes old lifted ones.
func (l *Localizer) expireBlames(now time.Time) {
	for part, b := range l.blames {
		switch {
		case b.Lifted && now.Sub(b.changedAt) > liftedRetention:
			delete(l.blames, part)
		case !b.Lifted && now.Sub(b.lastRequestAt) > idleExpiry:
			l.liftBlame(b, "nobody asked for the part")
		}
	}
	if len(l.blames) <= maxBlames+maxLifted {
		return
	}
	var lifted []*blame
	for _, b := range l.blames {
		if b.Lifted {
			lifted = append(lifted, b)
		}
	}
	slices.SortFunc(lifted, func(a, b *blame) int { return a.changedAt.Compare(b.changedAt) })
	for _, b := range lifted[:max(0, len(lifted)-maxLifted)] {
		delete(l.blames, b.Part)
	}
}

// allowTrial lets one request at one entry pass once a trial is due. The trial counts when the request is sent.
func (l *Localizer) allowTrial(b *blame, request string) bool {
	now := l.Clock.Now()
	if request == "" {
		return false
	}
	if b.trialRequest == request {
		return true
	}
	if b.Trials >= len(trialDelays) || now.Before(b.trialDeadline) || l.timeUntilTrial(b) > 0 || !l.isTrialOwner(b) {
		return false
	}
	b.trialRequest, b.trialDeadline = request, now.Add(trialTimeout)
	return true
}

// RequestSent counts a request that passed Check as a trial of its blamed parts.
func (l *Localizer) RequestSent(request string, parts []string) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, part := range parts {
		b := l.blames[part]
		if b == nil || b.Lifted || b.trialRequest != request {
			continue
		}
		l.sequence++
		b.Trials, b.TriedAt, b.sequence = b.Trials+1, l.WallClock.Now().UTC(), l.sequence
		b.log("Trial request with a blamed part sent", "request", request)
	}
}

// timeUntilTrial returns the time until the next trial is due. The blame must have trials left.
func (l *Localizer) timeUntilTrial(b *blame) time.Duration {
	start := b.DecidedAt
	if b.Trials > 0 {
		start = b.TriedAt
	}
	// The clock of the deciding VM may be ahead, so the wait is capped at the full delay.
	return min(start.Add(trialDelays[b.Trials]).Sub(l.WallClock.Now()), trialDelays[b.Trials])
}

// isTrialOwner reports whether this entry makes the next trial, so that not every entry makes its own.
// Entries with the same member list choose the same owner by rendezvous hashing.
func (l *Localizer) isTrialOwner(b *blame) bool {
	if l.Members == nil {
		return true
	}
	weight := func(entry string) uint64 {
		return xxhash.Sum64String(entry + "\n" + b.Part + "\n" + strconv.Itoa(b.Trials))
	}
	own := weight(l.Entry)
	return !slices.ContainsFunc(l.Members(), func(entry string) bool { return weight(entry) > own })
}

// retryAfter returns the time after which a refused request may be retried.
func (l *Localizer) retryAfter(b *blame) time.Duration {
	if b.Trials >= len(trialDelays) {
		return idleExpiry
	}
	return max(l.timeUntilTrial(b), time.Second)
}

// Merge merges the state of a blame from another entry or the store.
func (l *Localizer) Merge(b Blame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	l.merge(b)
}

func (l *Localizer) merge(b Blame) {
	known, now := l.blames[b.Part], l.Clock.Now()
	switch {
	case b.Part == "" || b.Epoch == 0:
		return
	case known == nil:
		known = &blame{refutableFrom: now, lastRequestAt: now}
		if !b.Lifted {
			l.liftLeastRecent()
		}
		l.blames[b.Part] = known
	case !b.Supersedes(&known.Blame):
		return
	}
	previous := known.Blame
	known.Blame, known.changedAt, known.sequence = b, now, 0
	switch {
	case b.Lifted && (previous.Epoch != b.Epoch || !previous.Lifted):
		known.trialRequest = ""
		// Earlier crashes stop counting as evidence.
		l.replies[b.Part] = reply{at: now}
		known.log("Prompt part cleared", "reason", b.Reason, "learned", true)
	case !b.Lifted && previous.Epoch != b.Epoch:
		known.refutableFrom, known.lastRequestAt, known.trialRequest = now, now, ""
		known.log("Prompt part blamed", "learned", true)
		// The deciding entry may have missed a reply at this entry.
		l.publishReplies([]string{b.Part})
	}
}

// Blames lists the active and the recently lifted blames, sorted by part.
func (l *Localizer) Blames() []Blame {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []Blame
	for _, b := range l.blames {
		all = append(all, b.Blame)
	}
	slices.SortFunc(all, func(a, b Blame) int { return cmp.Or(strings.Compare(a.Part, b.Part), cmp.Compare(a.Epoch, b.Epoch)) })
	return all
}
