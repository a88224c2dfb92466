package soaker

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/oriolecroft/oriolecroft/platform/standin"
	"github.com/oriolecroft/oriolecroft/soak/auditor"
)

// host is the name by which callers address the deployment.
const host = "rota.example"

// The callers' routes by prefix. The last two are added, removed and moved.
const (
	draftPrefix   = "/draft/"
	oncePrefix    = "/oncedraft/"
	homePrefix    = "/homedraft/"
	reportPrefix  = "/report/"
	bookPrefix    = "/book/"
	lookPrefix    = "/look/"
	publicPrefix  = "/public/"
	movingPrefix  = "/moving/"
	comingPrefix  = "/look/coming/"
	homeRegion    = "huon"
	steadyKey     = "key-steady"
	homeKey       = "key-home"
	removedPrefix = "key-removed-"
)

// priorities are the priorities of the routes; the other routes have the most urgent one.
// homeWorkspacePriority is that of a workspace, which takes precedence.
var priorities = map[string]int{oncePrefix: 2, homePrefix: 1, lookPrefix: 2, publicPrefix: 3, comingPrefix: 1}

const homeWorkspacePriority = 4

// operators write the configuration of the deployment to the store and report it to the auditor when
// it is confirmed.
type operators struct {
	*deployment

	mu    sync.Mutex
	table standin.Table
	// extra are routes that make the table large. No caller uses them, so the auditor does not receive
	// them.
	extra   []standin.Route
	removed int
	weights uint64
}

func newOperators(w *deployment) *operators {
	o := &operators{deployment: w, weights: 1}
	route := func(prefix, service string, kind standin.Kind) standin.Route {
		return standin.Route{
			Name: prefix, Prefix: prefix, Service: service, Kind: kind, Attempts: 2, Timeout: 3 * time.Second, Priority: priorities[prefix],
		}
	}
	homePriority := homeWorkspacePriority
	drafts, once, homes := route(draftPrefix, engineService, standin.Streaming), route(oncePrefix, engineService, standin.Streaming), route(homePrefix, engineService, standin.Streaming)
	drafts.Resume, homes.Resume = true, true
	homes.Regions = []string{homeRegion}
	reports := route(reportPrefix, engineService, standin.Streaming)
	reports.Resume, reports.Timeout = true, reportLimit
	public := route(publicPrefix, portalService, standin.Idempotent)
	public.Public = true
	o.table = standin.Table{
		Host: host, Version: 1, Engines: []string{engineService}, Services: []string{bookingService, portalService},
		Origin: netip.MustParseAddrPort(w.originLink.Addr().String()), OriginDomain: domains[0].name, ColdRate: coldRate, Engine: engineFigures,
		Routes: []standin.Route{
			drafts, once, homes, reports, public, route(bookPrefix, bookingService, standin.NonIdempotent),
			route(lookPrefix, bookingService, standin.Idempotent), route(movingPrefix, bookingService, standin.NonIdempotent),
		},
		Workspaces: []standin.Workspace{
			{Name: "steady", Keys: []string{steadyKey}}, {Name: "home", Keys: []string{homeKey}, Regions: []string{homeRegion}, Priority: &homePriority},
			{Name: "changing", Keys: []string{removedPrefix + "0"}},
		},
	}
	return o
}

// writeInitialState writes the first table and announces the first version of the weights.
func (o *operators) writeInitialState() {
	o.writeTable()
	o.store.AnnounceWeights(engineFigures.Model, o.weights)
	o.observe(auditor.WeightsAnnounced{Version: o.weights})
}

// writeTable writes the table. The auditor receives it first, as an entry may use it before this process
// continues.
func (o *operators) writeTable() {
	t := auditor.Table{Version: o.table.Version, Keys: map[string]auditor.Workspace{}}
	for i := range o.table.Routes {
		r := &o.table.Routes[i]
		t.Routes = append(t.Routes, auditor.Route{
			Prefix: r.Prefix, Service: r.Service, Once: r.RunsAtMostOnce(), Public: r.Public, Attempts: r.Attempts, Regions: r.Regions,
			Priority: strconv.Itoa(r.Priority),
		})
	}
	for _, w := range o.table.Workspaces {
		for _, k := range w.Keys {
			t.Keys[k] = auditor.Workspace{Name: w.Name, Regions: w.Regions}
			if w.Priority != nil {
				t.Keys[k] = auditor.Workspace{Name: w.Name, Regions: w.Regions, Priority: strconv.Itoa(*w.Priority)}
			}
		}
	}
	o.observe(auditor.Configured{Table: t})
	table := o.table
	table.Routes = slices.Concat(table.Routes, o.extra)
	o.store.PutTable(&table)
}

// changeRoutes moves a route between services, or adds or removes one.
func (o *operators) changeRoutes(amount int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.Version += uint64(1 + amount%3)
	routes := slices.Clone(o.table.Routes)
	if coming := slices.IndexFunc(routes, func(r standin.Route) bool { return r.Prefix == comingPrefix }); amount%2 == 0 {
		i := slices.IndexFunc(routes, func(r standin.Route) bool { return r.Prefix == movingPrefix })
		if routes[i].Service == bookingService {
			routes[i].Service = portalService
		} else {
			routes[i].Service = bookingService
		}
	} else if coming >= 0 {
		routes = slices.Delete(routes, coming, coming+1)
	} else {
		routes = append(routes, standin.Route{
			Name: comingPrefix, Prefix: comingPrefix, Service: portalService, Kind: standin.Idempotent, Attempts: 2, Timeout: 3 * time.Second,
			Priority: priorities[comingPrefix],
		})
	}
	o.table.Routes = routes
	o.writeTable()
}

// extraRoutes yields a table of some 100 KB.
const extraRoutes = 400

// enlargeTable makes the table large.
func (o *operators) enlargeTable() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.Version++
	for i := range extraRoutes {
		prefix := fmt.Sprintf("/grown/%d/", i)
		o.extra = append(o.extra, standin.Route{
			Name: prefix, Prefix: prefix, Service: portalService, Kind: standin.Idempotent, Attempts: 2, Timeout: 3 * time.Second,
		})
	}
	o.writeTable()
}

// removeKey replaces the key of callers that use it.
func (o *operators) removeKey() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.Version++
	o.removed++
	o.table.Workspaces = slices.Clone(o.table.Workspaces)
	o.table.Workspaces[len(o.table.Workspaces)-1].Keys = []string{fmt.Sprint(removedPrefix, o.removed)}
	o.writeTable()
}

// changingKeys returns the current value of the key that changes and the previous one.
func (o *operators) changingKeys() (current, previous string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return fmt.Sprint(removedPrefix, o.removed), fmt.Sprint(removedPrefix, max(0, o.removed-1))
}

// announceWeights announces the next version of the weights.
func (o *operators) announceWeights() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.weights++
	o.store.AnnounceWeights(engineFigures.Model, o.weights)
	o.observe(auditor.WeightsAnnounced{Version: o.weights})
}

// drain drains a failure domain.
func (o *operators) drain(domain string) {
	o.store.Drain(domain)
	o.observe(auditor.Drained{FailureDomain: domain})
}

// undrain ends the draining of a failure domain. The auditor receives it first, as an entry may use
// the domain before this process continues.
func (o *operators) undrain(domain string) {
	o.observe(auditor.Undrained{FailureDomain: domain})
	o.store.Undrain(domain)
}
