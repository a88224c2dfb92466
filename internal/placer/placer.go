// Package placer divides a failure domain's engines among the models that the
// bundle places there.
package placer

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

// Place names the model for each engine of a failure domain; none when no model is
// placed there. The answer depends only on what is given, so that entries which
// know the same agents give the same one; entries whose views differ for a moment
// cost a needless load and nothing else. Each model gets its share of the engines,
// at least one while they suffice. Engines that hold a model already keep it where
// the shares allow, since a load takes minutes of service.
func Place(b *bundler.Bundle, domain string, known []messenger.AgentState) map[string]string {
	ms := b.ModelsIn(domain)
	if len(ms) == 0 {
		return nil
	}
	engines := enginesIn(domain, known)
	left := quotas(ms, len(engines))
	assigned := keep(engines, left)
	for _, a := range engines {
		if assigned[a.ID] == "" {
			assigned[a.ID] = take(a.ID, ms, left)
		}
	}
	return assigned
}

// enginesIn lists the engines of a failure domain in an order that does not depend
// on who asks.
func enginesIn(domain string, known []messenger.AgentState) []messenger.AgentState {
	var engines []messenger.AgentState
	for _, a := range known {
		if a.Kind == messenger.KindEngine && a.FailureDomain == domain && !a.Leaving {
			engines = append(engines, a)
		}
	}
	slices.SortFunc(engines, func(a, b messenger.AgentState) int { return strings.Compare(a.ID, b.ID) })
	return engines
}

// quotas gives each model its number of engines, to within one of its exact share
// where that is one or more: one each first, then one at a time to the model that
// is furthest below its share. A model that has its share of the engines given out
// so far is passed over: those with great shares would else gain several of them
// at the cost of the small ones.
func quotas(ms []bundler.Model, engines int) map[string]int {
	total := 0
	for _, m := range ms {
		total += share(m)
	}
	q := map[string]int{}
	for given := range engines {
		best := -1
		for i, m := range ms {
			n := q[m.Name]
			if n > 0 && n*total >= share(m)*(given+1) {
				continue
			}
			if best < 0 || needier(q, m, ms[best]) {
				best = i
			}
		}
		q[ms[best].Name]++
	}
	return q
}

// share is a model's weight, which may have been left out.
func share(m bundler.Model) int { return max(1, m.Share) }

// needier tells whether model a has fewer engines for its share than b. A model
// without any goes before all that have one.
func needier(q map[string]int, a, b bundler.Model) bool {
	if (q[a.Name] == 0) != (q[b.Name] == 0) {
		return q[a.Name] == 0
	}
	return (q[a.Name]+1)*share(b) < (q[b.Name]+1)*share(a)
}

// keep leaves engines with the model they hold while its quota lasts.
func keep(engines []messenger.AgentState, left map[string]int) map[string]string {
	assigned := map[string]string{}
	for _, a := range engines {
		if a.Model != "" && left[a.Model] > 0 {
			left[a.Model]--
			assigned[a.ID] = a.Model
		}
	}
	return assigned
}

// take gives an engine one of the models whose quota is not used up, by the
// highest hash of the pair.
func take(id string, ms []bundler.Model, left map[string]int) string {
	best := ""
	var high uint64
	for _, m := range ms {
		if left[m.Name] == 0 {
			continue
		}
		if h := xxhash.Sum64String(id + " " + m.Name); best == "" || h > high {
			best, high = m.Name, h
		}
	}
	left[best]--
	return best
}
