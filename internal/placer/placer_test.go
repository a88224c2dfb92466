package placer_test

import (
	"errors"
	"flag"
	"fmt"
	"math"
	"os"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/placer"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

// TestMain sets rapid's seed, so that every run checks the same cases.
func TestMain(m *testing.M) {
	if err := errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.checks", "1000")); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

// bundleOf is a bundle with models of the given shares in failure domain a.
func bundleOf(shares ...int) *bundler.Bundle {
	b := &bundler.Bundle{FailureDomains: []bundler.FailureDomain{{Name: "a"}, {Name: "b"}}}
	for i, s := range shares {
		b.Models = append(b.Models, bundler.Model{Name: fmt.Sprintf("m%d", i), Share: s, FailureDomains: []string{"a"}})
	}
	return b
}

// engine is an engine that holds a model; empty for none.
func engine(n int, model string) messenger.AgentState {
	return messenger.AgentState{
		ID: fmt.Sprintf("vm-%02d", n), FailureDomain: "a", Kind: messenger.KindEngine, Model: model,
	}
}

func engines(models ...string) []messenger.AgentState {
	es := make([]messenger.AgentState, len(models))
	for i, m := range models {
		es[i] = engine(i, m)
	}
	return es
}

func countByModel(assigned map[string]string) map[string]int {
	n := map[string]int{}
	for _, m := range assigned {
		n[m]++
	}
	return n
}

func TestShares(t *testing.T) {
	none := make([]string, 13)
	for _, tt := range []struct {
		shares  []int
		engines int
		want    map[string]int
	}{
		{[]int{1}, 3, map[string]int{"m0": 3}},
		{[]int{1, 1}, 4, map[string]int{"m0": 2, "m1": 2}},
		{[]int{3, 1}, 8, map[string]int{"m0": 6, "m1": 2}},
		{[]int{100, 1}, 12, map[string]int{"m0": 11, "m1": 1}},
		{[]int{1, 1, 1}, 2, map[string]int{"m0": 1, "m1": 1}},
		{[]int{0, 0}, 4, map[string]int{"m0": 2, "m1": 2}},
		{[]int{33, 4, 6}, 13, map[string]int{"m0": 10, "m1": 1, "m2": 2}},
		{nil, 2, map[string]int{}},
	} {
		got := placer.Place(bundleOf(tt.shares...), "a", engines(none[:tt.engines]...))
		must.Eq(t, tt.want, countByModel(got))
	}
}

// Guards against assigning models to plain services, leaving VMs and VMs of other failure domains, which can't
// serve them.
func TestOnlyEnginesOfTheDomainCount(t *testing.T) {
	known := engines("", "", "", "")
	known[1].Kind = messenger.KindService
	known[2].Leaving = true
	known[3].FailureDomain = "b"
	must.MapLen(t, 1, placer.Place(bundleOf(1, 1), "a", known))
	must.MapEmpty(t, placer.Place(bundleOf(1, 1), "b", known))
}

// Guards against placing all engines again when one leaves under load: most of a failure domain would load for
// minutes instead of one engine.
func TestLeavingEngineMovesFewModels(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := bundleOf(drawShares(t)...)
		n := rapid.IntRange(2, 40).Draw(t, "engines")
		before := placer.Place(b, "a", engines(make([]string, n)...))
		var known []messenger.AgentState
		for i := range n {
			known = append(known, engine(i, before[engine(i, "").ID]))
		}
		gone := rapid.IntRange(0, n-1).Draw(t, "gone")
		after := placer.Place(b, "a", slices.Delete(known, gone, gone+1))
		moved := 0
		for id, m := range after {
			if m != before[id] {
				moved++
			}
		}
		if moved > 1 {
			t.Fatalf("%d engines moved: %v, then %v", moved, before, after)
		}
	})
}

func drawShares(t *rapid.T) []int {
	return rapid.SliceOfN(rapid.IntRange(1, 100), 1, 8).Draw(t, "shares")
}

// Checks for any held models that each model gets its share of the engines to within one, at least one while
// they suffice, and that no engine changes its model that could have kept it.
func TestPlacement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shares := drawShares(t)
		b := bundleOf(shares...)
		held := rapid.SliceOfN(rapid.SampledFrom([]string{"", "m0", "m1", "m2", "old"}), 0, 40).Draw(t, "held")
		known := engines(held...)
		assigned := placer.Place(b, "a", known)
		checkQuotas(t, shares, len(held), countByModel(assigned))
		checkKept(t, held, assigned)
		slices.Reverse(known)
		must.Eq(t, assigned, placer.Place(b, "a", known))
	})
}

func checkQuotas(t *rapid.T, shares []int, engines int, got map[string]int) {
	total, least := 0, math.MaxInt
	for _, s := range shares {
		total += s
		least = min(least, s)
	}
	placed := 0
	for i, s := range shares {
		n := got[fmt.Sprintf("m%d", i)]
		placed += n
		exact := float64(engines*s) / float64(total)
		if engines >= len(shares) && n == 0 {
			t.Fatalf("model %d of shares %v has none of %d engines", i, shares, engines)
		}
		// The one engine that each model gets first may be taken from another's share.
		if engines*least >= total && math.Abs(float64(n)-exact) >= 1 {
			t.Fatalf("model %d of shares %v has %d of %d engines, want %.2f", i, shares, n, engines, exact)
		}
	}
	if placed != engines {
		t.Fatalf("%d of %d engines placed", placed, engines)
	}
}

// checkKept checks that as many engines keep each model as its quota allows.
func checkKept(t *rapid.T, held []string, assigned map[string]string) {
	quotas, had, kept := countByModel(assigned), map[string]int{}, map[string]int{}
	for i, m := range held {
		had[m]++
		if assigned[engine(i, "").ID] == m {
			kept[m]++
		}
	}
	for m, n := range quotas {
		if want := min(n, had[m]); kept[m] != want {
			t.Fatalf("%d engines keep %s, want %d: %v", kept[m], m, want, assigned)
		}
	}
}
