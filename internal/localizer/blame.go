package localizer

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// lift ends a blame by this entry's decision.
func (l *Localizer) lift(b *blame, reason string) {
	l.sequence++
	b.Lifted, b.Reason, b.sequence, b.changedAt, b.trial = true, reason, l.sequence, l.Clock.Now(), ""
	l.count("localizer.lifted")
	b.log("Prompt part cleared", "reason", reason)
}

// makeRoom keeps the number of blames in bounds.
func (l *Localizer) makeRoom() {
	inForce := l.inForce()
	if len(inForce) >= maxBlames {
		l.lift(slices.MinFunc(inForce, func(a, b *blame) int { return a.askedAt.Compare(b.askedAt) }), "too many parts are blamed")
	}
}

// inForce lists the blames that are not lifted.
func (l *Localizer) inForce() []*blame {
	var all []*blame
	for _, b := range l.blames {
		if !b.Lifted {
			all = append(all, b)
		}
	}
	return all
}

// expire ends blames that nobody's request meets, and forgets lifted ones.
func (l *Localizer) expire(now time.Time) {
	for part, b := range l.blames {
		switch {
		case b.Lifted && now.Sub(b.changedAt) > liftedKept:
			delete(l.blames, part)
		case !b.Lifted && now.Sub(b.askedAt) > idleLift:
			l.lift(b, "nobody asked for the part")
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

// try lets one request of one entry pass once a trial is due. It counts once it is sent.
func (l *Localizer) try(b *blame, request string) bool {
	now := l.Clock.Now()
	if request == "" {
		return false
	}
	if b.trial == request {
		return true
	}
	if b.Trials >= len(trialsAfter) || now.Before(b.trialUntil) || l.untilTrial(b) > 0 || !l.makesTrial(b) {
		return false
	}
	b.trial, b.trialUntil = request, now.Add(trialTime)
	return true
}

// Sent notes that a request that passed Check is sent.
func (l *Localizer) Sent(request string, parts []string) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, part := range parts {
		b := l.blames[part]
		if b == nil || b.Lifted || b.trial != request {
			continue
		}
		l.sequence++
		b.Trials, b.TriedAt, b.sequence = b.Trials+1, l.WallClock.Now().UTC(), l.sequence
		b.log("Request with a blamed part tried", "request", request)
	}
}

// untilTrial is in how long the next trial is due, while there is one.
func (l *Localizer) untilTrial(b *blame) time.Duration {
	from := b.DecidedAt
	if b.Trials > 0 {
		from = b.TriedAt
	}
	// Clocks of other VMs may be ahead, but no wait is longer than the whole.
	return min(from.Add(trialsAfter[b.Trials]).Sub(l.WallClock.Now()), trialsAfter[b.Trials])
}

// makesTrial tells whether the next trial is this entry's: each makes one of its own otherwise. By
// rendezvous hashing all choose the same entry, as far as they know the same ones.
func (l *Localizer) makesTrial(b *blame) bool {
	if l.Members == nil {
		return true
	}
	weight := func(entry string) uint64 {
		return xxhash.Sum64String(entry + "\n" + b.Part + "\n" + strconv.Itoa(b.Trials))
	}
	own := weight(l.Entry)
	return !slices.ContainsFunc(l.Members(), func(entry string) bool { return weight(entry) > own })
}

// retryAfter is when a refused request may come back.
func (l *Localizer) retryAfter(b *blame) time.Duration {
	if b.Trials >= len(trialsAfter) {
		return idleLift
	}
	return max(l.untilTrial(b), time.Second)
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
		known = &blame{since: now, askedAt: now}
		if !b.Lifted {
			l.makeRoom()
		}
		l.blames[b.Part] = known
	case !b.Supersedes(&known.Blame):
		return
	}
	was := known.Blame
	known.Blame, known.changedAt, known.sequence = b, now, 0
	switch {
	case b.Lifted && (was.Epoch != b.Epoch || !was.Lifted):
		known.trial = ""
		// The crashes before are no evidence any more.
		l.replies[b.Part] = reply{at: now}
		known.log("Prompt part cleared", "reason", b.Reason, "learned", true)
	case !b.Lifted && was.Epoch != b.Epoch:
		known.since, known.askedAt, known.trial = now, now, ""
		known.log("Prompt part blamed", "learned", true)
		// The one that decided may not know of a reply here.
		l.reportReplies([]string{b.Part})
	}
}

// Blames lists what is blamed, and what was until lately, by part.
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
