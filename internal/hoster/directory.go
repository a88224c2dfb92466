// Package hoster serves an entry's callers, selects the entries that the directory
// lists for a caller, reports readiness, and shuts the entry down without cutting a
// request.
package hoster

import (
	"net/netip"
	"slices"

	"github.com/oriolecroft/oriolecroft/internal/matcher"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// minNearEntries is the number of entries near a caller that are enough to list no
// others. With a single one a caller would have no alternative when it fails.
const minNearEntries = 2

// DirectoryQuery is a caller's query to the directory.
type DirectoryQuery struct {
	Host   string
	Region string
}

// Nearest lists the callers' addresses of the entries that a caller should use: those
// of its own region if there are enough. Entries outside both the caller's region and
// the regions that the host's routes allow are never listed, as the request's body
// would be sent there.
func Nearest(view *registrar.View, q DirectoryQuery) []netip.AddrPort {
	allowed, restricted := allowedRegions(view.Table, q.Host)
	var near, far []netip.AddrPort
	for _, m := range view.Members {
		switch {
		case m.Region == q.Region:
			near = append(near, m.Callers)
		case !restricted || slices.Contains(allowed, m.Region):
			far = append(far, m.Callers)
		}
	}
	if len(near) >= minNearEntries {
		return near
	}
	return append(near, far...)
}

// allowedRegions returns the regions allowed by all of a host's routes that restrict
// them; restricted reports whether any does. If no region is common to all, only the
// caller's own region remains.
func allowedRegions(t *matcher.Table, host string) (common []string, restricted bool) {
	for _, r := range t.Host(host) {
		switch {
		case len(r.Regions) == 0:
		case !restricted:
			common, restricted = slices.Clone(r.Regions), true
		default:
			common = slices.DeleteFunc(common, func(region string) bool { return !slices.Contains(r.Regions, region) })
		}
	}
	return common, restricted
}
