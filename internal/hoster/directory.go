// Package hoster runs an entry's listeners: for callers, for those who ask which
// entry to use, and for checks of readiness; and takes them down without cutting a
// request.
package hoster

import (
	"net/netip"
	"slices"

	"github.com/oriolecroft/oriolecroft/internal/matcher"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// enoughNear is how many entries near a caller are enough to name no others. With a
// single one a caller would have nowhere to go when it dies.
const enoughNear = 2

// Question is what a caller asks of the directory.
type Question struct {
	Host   string
	Region string
}

// Nearest lists the callers' addresses of the entries that a caller should use: those
// of its own region if there are enough. Entries outside the regions that the host's
// routes allow, and outside the caller's own, are never named: the request's body
// would go there.
func Nearest(view *registrar.View, q Question) []netip.AddrPort {
	allowed, restricted := homes(view.Table, q.Host)
	var near, far []netip.AddrPort
	for _, m := range view.Members {
		switch {
		case m.Region == q.Region:
			near = append(near, m.Callers)
		case !restricted || slices.Contains(allowed, m.Region):
			far = append(far, m.Callers)
		}
	}
	if len(near) >= enoughNear {
		return near
	}
	return append(near, far...)
}

// homes are the regions allowed by all of a host's routes that name any; restricted
// tells whether one does. None may be left: then only the caller's own region is.
func homes(t *matcher.Table, host string) (common []string, restricted bool) {
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
