package soaker

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oriolecroft/oriolecroft/platform/standin"
	"github.com/oriolecroft/oriolecroft/soak/auditor"
)

// domains are the failure domains with their regions.
var domains = []struct{ name, region string }{
	{"huon-a", "huon"}, {"derwent-a", "derwent"}, {"huon-b", "huon"},
}

func regions() map[string]string {
	all := map[string]string{}
	for _, d := range domains {
		all[d.name] = d.region
	}
	return all
}

// The services of the deployment.
const (
	engineService  = "rota-llm"
	bookingService = "shed-app"
	portalService  = "grower-portal"
)

// Weights of the model: small ones, as loopback has no narrow links.
const (
	chunks     = 16
	chunkBytes = 4 << 10
)

// engineFigures are the parameters of an engine. Its answers take some 0.3 s.
var engineFigures = standin.EngineFigures{
	Model: "rota", Slots: 8, Chunks: chunks, Step: 12 * time.Millisecond, ReadPerSecond: 10000, Load: 300 * time.Millisecond,
}

// deployment is a deployment with everything around it.
type deployment struct {
	*Options
	dir       string
	bounds    standin.Bounds
	audit     *auditor.Auditor
	startedAt time.Time
	// running ends with the run.
	running context.Context

	store      *standin.Store
	origin     *standin.Origin
	originLink net.Listener
	// entryNames maps each address to its entry.
	entryNames      map[netip.AddrPort]string
	entryVMs        []*standin.VM
	entries, agents []*process
	storeLinks      []*link
	// agentLinks are the links before the two ports of each agent, entryLinks those before each
	// entry's port for other processes of the system.
	agentLinks, entryLinks [][]*link
	upstreamVMs            []*upstreamVM
	operators              *operators
	breakOff               atomic.Int32
	pauses                 standin.Pauses
	failures               standin.Failures
	floods                 atomic.Int32
	// fatal is the part of prompts that crashes engines at present; nil for none.
	fatal atomic.Pointer[string]

	// storeFault is held during a fault of the whole store, draining while a failure domain is
	// drained.
	storeFault, draining sync.Mutex
	// watchDelayed is held while the store's watches are delayed.
	watchDelayed sync.Mutex

	logMu     sync.Mutex
	closeOnce sync.Once
}

// minRetrySharers is the minimum number of entries among which the slack of the retries is divided.
const minRetrySharers = 6

func newDeployment(o *Options) *deployment {
	w := &deployment{Options: o, dir: o.Dir, bounds: standin.UsersBounds, entryNames: map[netip.AddrPort]string{}, startedAt: time.Now()}
	// More entries divide the slack; each must still have one retry of it.
	w.bounds.RetrySlack *= max(1, float64(o.Entries)/minRetrySharers)
	w.audit = w.newAuditor()
	return w
}

func (w *deployment) observe(e auditor.Event) { w.audit.Observe(e) }

// start starts the whole deployment.
func (w *deployment) start() error {
	if err := os.MkdirAll(w.dir, 0o700); err != nil {
		return err
	}
	w.store = standin.NewStore()
	w.origin = &standin.Origin{Chunks: chunks, ChunkBytes: chunkBytes, Floods: &w.floods}
	base, err := freeNetwork()
	if err != nil {
		return err
	}
	vms := w.assignVMs(base)
	w.store.Translate = w.translate
	w.originLink, err = net.Listen("tcp", netip.AddrPortFrom(base, standin.PortOrigin).String())
	if err != nil {
		return err
	}
	go func() { _ = w.origin.Serve(w.originLink) }()
	w.operators = newOperators(w)
	w.operators.writeInitialState()
	for _, vm := range vms {
		if err := w.startVM(vm); err != nil {
			return err
		}
	}
	return nil
}

// assignVMs assigns each VM its name, failure domain and address.
func (w *deployment) assignVMs(base netip.Addr) []*standin.VM {
	var vms []*standin.VM
	ip := base
	add := func(kind, service string, n int) {
		for i := range n {
			ip = ip.Next()
			d := domains[i%len(domains)]
			vm := &standin.VM{Name: fmt.Sprintf("%s-%d", kind, i), IP: ip, FailureDomain: d.name, Region: d.region, Service: service}
			if service == engineService || service == "" {
				ip = ip.Next()
				vm.Own = ip
			}
			vms = append(vms, vm)
		}
	}
	add("entry", "", w.Entries)
	w.entryVMs = slices.Clone(vms)
	add("engine", engineService, w.Engines)
	add("booking", bookingService, w.Services-1)
	add("portal", portalService, 1)
	return vms
}

// startVM starts the processes of a VM: an entry, an engine with its agent, or a service.
func (w *deployment) startVM(vm *standin.VM) error {
	if vm.Service != "" {
		p, err := w.newUpstreamVM(vm)
		if err != nil {
			return err
		}
		w.upstreamVMs = append(w.upstreamVMs, p)
		p.open(0, 1)
		if vm.Service != engineService {
			return nil
		}
	}
	k, err := newLink(vm.At(standin.PortStore), w.store.Address())
	if err != nil {
		return err
	}
	w.storeLinks = append(w.storeLinks, k)
	vm.Store = k.address()
	role := "agent"
	if vm.Service == "" {
		role = "entry"
	}
	vm.MemoryMB = memoryLimits[role]
	p := w.newProcess(vm.Name, role)
	p.memory = int64(vm.MemoryMB) * bytesPerMB
	if err := w.settings().WriteSettings(p.settings, vm); err != nil {
		return err
	}
	ports := []uint16{standin.PortSlots, standin.PortChunks}
	if role == "entry" {
		ports = []uint16{standin.PortPeers}
	}
	links, err := newLinks(vm, ports)
	if err != nil {
		return err
	}
	if role == "entry" {
		w.entries, w.entryLinks = append(w.entries, p), append(w.entryLinks, links)
		w.entryNames[vm.At(standin.PortCallers)] = vm.Name
	} else {
		w.agents, w.agentLinks = append(w.agents, p), append(w.agentLinks, links)
	}
	return p.start()
}

// memoryLimits are the memory limits of processes in megabytes by role, as on the users' smallest VMs.
var memoryLimits = map[string]int{"entry": 184, "agent": 152}

const bytesPerMB int64 = 1e6

// newLinks puts links before some ports of a process.
func newLinks(vm *standin.VM, ports []uint16) (links []*link, err error) {
	for _, port := range ports {
		k, err := newLink(vm.At(port), netip.AddrPortFrom(vm.Own, port))
		if err != nil {
			return nil, err
		}
		links = append(links, k)
	}
	return links, nil
}

// processes lists the processes of the system: entries, then agents.
func (w *deployment) processes() []*process { return slices.Concat(w.entries, w.agents) }

// translate replaces the addresses in the records of entries by those of the links before them.
func (w *deployment) translate(value []byte) []byte {
	for _, vm := range w.entryVMs {
		value = bytes.ReplaceAll(value, quoted(vm.Peers()), quoted(vm.At(standin.PortPeers)))
	}
	return value
}

func quoted(a netip.AddrPort) []byte { return []byte(strconv.Quote(a.String())) }

// maxSeeds is the number of entries that the settings list.
const maxSeeds = 3

// settings returns what all settings have in common. The first entries are the seeds.
func (w *deployment) settings() *standin.Deployment {
	d := &standin.Deployment{Regions: regions(), Bounds: w.bounds}
	for _, vm := range w.entryVMs[:min(maxSeeds, w.Entries)] {
		d.Seeds = append(d.Seeds, vm.At(standin.PortPeers))
	}
	return d
}

// close ends all processes that were started, by their IDs, and the stand-ins.
func (w *deployment) close() {
	w.closeOnce.Do(func() {
		var all sync.WaitGroup
		for _, p := range w.processes() {
			all.Go(p.stopForGood)
		}
		all.Wait()
		for _, p := range w.upstreamVMs {
			p.close()
		}
		for _, k := range w.links() {
			k.close()
		}
		if w.originLink != nil {
			w.originLink.Close()
		}
		if w.store != nil {
			w.store.Close()
		}
	})
}

// links lists all links except those before upstreams, which are closed with their VMs.
func (w *deployment) links() []*link {
	return slices.Concat(slices.Concat(w.agentLinks, w.entryLinks, [][]*link{w.storeLinks})...)
}

// outOfDescriptors reports whether a link had no descriptor left for a connection.
func (w *deployment) outOfDescriptors() bool {
	for _, p := range w.upstreamVMs {
		if p.link.outOfDescriptors.Load() {
			return true
		}
	}
	return slices.ContainsFunc(w.links(), func(k *link) bool { return k.outOfDescriptors.Load() })
}

// NoNetworkError reports that all loopback networks tried are in use.
type NoNetworkError struct{ Tried int }

func (e *NoNetworkError) Error() string {
	return fmt.Sprintf("no free loopback network among %d", e.Tried)
}

const maxNetworks = 200

var networks atomic.Uint32

// freeNetwork finds addresses on which no other run listens. Each run gets some hundred of them.
func freeNetwork() (netip.Addr, error) {
	pid := uint32(os.Getpid())
	for range maxNetworks {
		n := networks.Add(1) + pid
		base := netip.AddrFrom4([4]byte{127, byte(64 + n%128), byte(n >> 7), 1})
		l, err := net.Listen("tcp", netip.AddrPortFrom(base.Next(), standin.PortCallers).String())
		if err == nil {
			l.Close()
			return base, nil
		}
	}
	return netip.Addr{}, &NoNetworkError{maxNetworks}
}
