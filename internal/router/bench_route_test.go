package router_test

import (
	"fmt"
	"testing"

	"github.com/oriolecroft/oriolecroft/internal/retrier"
)

// BenchmarkRoute measures one Pick with its Done while all replicas are half
// loaded, and one report.
func BenchmarkRoute(b *testing.B) {
	for _, n := range []int{12, 300, 12000} {
		r, _ := newRouter(threeDomains())
		for i := range n {
			s := engine(i, []string{"north", "south", "east"}[i%3])
			s.Running = 2
			r.Report(s)
		}
		q := modelRequest
		q.Prompt = "a prompt with a prefix that is shared by many"
		b.Run(fmt.Sprintf("pick/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				c, err := r.Pick(q)
				if err != nil {
					b.Fatal(err)
				}
				c.Done(retrier.Ran)
			}
		})
		s := engine(0, "north")
		b.Run(fmt.Sprintf("report/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s.Sequence++
				r.Report(s)
			}
		})
		full := r.Agents()
		for _, s := range full {
			s.Sequence, s.Running = s.Sequence+1e12, s.Limit
			r.Report(s)
		}
		b.Run(fmt.Sprintf("full/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := r.Pick(q); err == nil {
					b.Fatal("picked a full replica")
				}
			}
		})
	}
}
