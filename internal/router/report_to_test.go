package router_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/router"
)

// One of 80 entries of a region fails. If agents were redistributed from scratch,
// all 2,400 would reconnect, and no entry would know its replicas for a while.
func TestLossOfEntryMovesOnlyItsAgents(t *testing.T) {
	var entries []messenger.EntryState
	for i := range 80 {
		entries = append(entries, messenger.EntryState{ID: fmt.Sprint("e", i), Region: "one"})
	}
	entries = append(entries, messenger.EntryState{ID: "far", Region: "two"}, messenger.EntryState{ID: "old", Region: "one", Leaving: true})
	agents := map[string]int{}
	moved := 0
	for i := range 2400 {
		id := fmt.Sprint("vm-", i)
		before := router.ReportTo(id, "one", entries, 4)
		after := router.ReportTo(id, "one", entries[1:], 4)
		must.SliceLen(t, 4, before)
		for _, e := range before {
			agents[e.ID]++
			if !slices.ContainsFunc(after, func(a messenger.EntryState) bool { return a.ID == e.ID }) {
				moved++
			}
		}
	}
	must.EqOp(t, agents["e0"], moved)
	for id, n := range agents {
		must.Between(t, 120/2, n, 120*2, must.Sprint(id))
	}
	must.MapLen(t, 80, agents)
}
