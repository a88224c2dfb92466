// Package placer divides a failure domain's engines among the models that the bundle places there.
package placer

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

// Place returns the model for each engine of a failure domain; none if no model is placed there. The result
// depends only on the arguments, so entries with the same view of the agents compute the same one; views that
// differ for a moment cost only a needless load. Each model gets its share of the engines, at least one while
// they suffice. Engines keep a model that they hold where the shares allow, since a load takes minutes of
// service.
func Place(b *bundler.Bundle, domain string, agents []messenger.AgentState) map[string]string {
	models := b.ModelsIn(domain)
	if len(models) == 0 {
		return nil
	}
	engines := enginesIn(domain, agents)
	remaining := quotas(models, len(engines))
	assigned := keepCurrent(engines, remaining)
	for _, a := range engines {
		if assigned[a.ID] == "" {
			assigned[a.ID] = assignByHash(a.ID, models, remaining)
		}
	}
	return assigned
}

// enginesIn lists the engines of a failure domain in an order that doesn't depend on the process.
func enginesIn(domain string, agents []messenger.AgentState) []messenger.AgentState {
	var engines []messenger.AgentState
	for _, a := range agents {
		if a.Kind == messenger.KindEngine && a.FailureDomain == domain && !a.Leaving {
			engines = append(engines, a)
		}
	}
	slices.SortFunc(engines, func(a, b messenger.AgentState) int { return strings.Compare(a.ID, b.ID) })
	return engines
}

// quotas returns the number of engines of each model, to within one of its exact share where that is one or
// more: one each first, then one at a time to the model that is furthest below its share. A model that already
// has its share of the engines assigned so far is skipped: otherwise models with large shares would gain
// several engines at the cost of small ones.
func quotas(models []bundler.Model, engines int) map[string]int {
	total := 0
	for _, m := range models {
		total += share(m)
	}
	quota := map[string]int{}
	for assigned := range engines {
		neediest := -1
		for i, m := range models {
			n := quota[m.Name]
			if n > 0 && n*total >= share(m)*(assigned+1) {
				continue
			}
			if neediest < 0 || furtherBelowShare(quota, m, models[neediest]) {
				neediest = i
			}
		}
		quota[models[neediest].Name]++
	}
	return quota
}

// share is a model's weight, at least one as it may be omitted.
func share(m bundler.Model) int { return max(1, m.Share) }

// furtherBelowShare reports whether model a has fewer engines for its share than b. A model without any
// precedes all that have one.
func furtherBelowShare(quota map[string]int, a, b bundler.Model) bool {
	if (quota[a.Name] == 0) != (quota[b.Name] == 0) {
		return quota[a.Name] == 0
	}
	return (quota[a.Name]+1)*share(b) < (quota[b.Name]+1)*share(a)
}

// keepCurrent assigns engines the model they hold while its quota lasts.
func keepCurrent(engines []messenger.AgentState, remaining map[string]int) map[string]string {
	assigned := map[string]string{}
	for _, a := range engines {
		if a.Model != "" && remaining[a.Model] > 0 {
			remaining[a.Model]--
			assigned[a.ID] = a.Model
		}
	}
	return assigned
}

// assignByHash assigns an engine one of the models whose quota is not used up, by the highest hash of the pair.
func assignByHash(id string, models []bundler.Model, remaining map[string]int) string {
	chosen := ""
	var highest uint64
	for _, m := range models {
		if remaining[m.Name] == 0 {
			continue
		}
		if h := xxhash.Sum64String(id + " " + m.Name); chosen == "" || h > highest {
			chosen, highest = m.Name, h
		}
	}
	remaining[chosen]--
	return chosen
}
