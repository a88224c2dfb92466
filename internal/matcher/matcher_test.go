package matcher_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/oriolecroft/oriolecroft/internal/matcher"
)

// TestMain fixes rapid's seed, so that results are reproducible.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

// bruteForceMatch checks all routes.
func bruteForceMatch(t *matcher.Table, host, path string) *matcher.Route {
	var best *matcher.Route
	for _, r := range t.Routes {
		if r.Host == host && strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// Guards against matching a shorter prefix than the longest one, which would send a request
// to the wrong service, or to that of another farm. The table has routes of several hosts,
// some within others.
func TestMatchAgainstOracle(t *testing.T) {
	segment := rapid.SampledFrom([]string{"a", "b", "ab", "", "é"})
	path := rapid.Custom(func(t *rapid.T) string {
		return "/" + strings.Join(rapid.SliceOfN(segment, 0, 4).Draw(t, "segments"), "/")
	})
	host := rapid.SampledFrom([]string{"farm.example", "ramp.example", "other.example"})
	rapid.Check(t, func(t *rapid.T) {
		table := &matcher.Table{}
		for i := range rapid.IntRange(0, 12).Draw(t, "routes") {
			table.Routes = append(table.Routes, &matcher.Route{Name: fmt.Sprint(i), Host: host.Draw(t, "host"), Prefix: strings.TrimSuffix(path.Draw(t, "prefix"), "/") + "/"})
		}
		table.Index()
		for range 20 {
			h, p := host.Draw(t, "host"), path.Draw(t, "path")
			must.Eq(t, bruteForceMatch(table, h, p), table.Match(strings.ToUpper(h)+":8443", p))
		}
	})
}

// tableOfRoutes is a table of n routes of one host, none within another.
func tableOfRoutes(n int) *matcher.Table {
	t := &matcher.Table{}
	for i := range n {
		t.Routes = append(t.Routes, &matcher.Route{Name: fmt.Sprint(i), Host: "farm.example", Prefix: fmt.Sprintf("/farm%05d/rota/", i)})
	}
	t.Index()
	return t
}

func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{10, 1_000, 20_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			t := tableOfRoutes(n)
			path := fmt.Sprintf("/farm%05d/rota/2026/12", n-1)
			for b.Loop() {
				if t.Match("farm.example", path) == nil {
					b.Fatal("no route")
				}
			}
		})
	}
}

// Guards against a probe route or another service's objective that shortens queueing for all.
func TestServiceHasTheShortestObjectiveOfItsOwnRoutes(t *testing.T) {
	targets := func(service string) []matcher.Target { return []matcher.Target{{Service: service, Weight: 1}} }
	table := &matcher.Table{
		Services: map[string]*matcher.Service{"engines": {}, "others": {}, "bookings": {}},
		Routes: []*matcher.Route{
			{Generates: true, Objective: 500 * time.Millisecond, Targets: targets("engines")},
			{Generates: true, Objective: 400 * time.Millisecond, Targets: targets("engines")},
			{Generates: true, Targets: targets("engines")},
			{Objective: 100 * time.Millisecond, Targets: targets("engines")},
			{Generates: true, Objective: 50 * time.Millisecond, Targets: targets("others")},
			{Objective: 150 * time.Millisecond, Targets: targets("bookings")},
		},
	}
	table.Index()
	must.Eq(t, 400*time.Millisecond, table.Services["engines"].Objective)
	must.Eq(t, 0, table.Services["bookings"].Objective)
}
