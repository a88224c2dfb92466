package soaker

import (
	"context"
	"net/netip"
	"time"

	"github.com/oriolecroft/oriolecroft/soak/auditor"
)

// Process exposes a daemon to tests.
type Process struct{ p *process }

// NewProcess prepares a daemon.
func NewProcess(name, binary, settings, log string, observe func(auditor.Event)) *Process {
	return &Process{&process{name: name, binary: binary, settings: settings, log: log, observe: observe, grace: time.Second}}
}

// Start starts the daemon.
func (p *Process) Start() error { return p.p.start() }

// WatchMemory reports the memory that the daemon uses, with the given limit in bytes.
func (p *Process) WatchMemory(ctx context.Context, allowed int64) {
	p.p.memory = allowed
	p.p.watchMemory(ctx)
}

// Kill kills the daemon, which then restarts.
func (p *Process) Kill() { p.p.kill() }

// End stops the daemon permanently.
func (p *Process) End() { p.p.stopForGood() }

// FaultedLink puts a faulty link before an address. Repair ends the fault.
func FaultedLink(to netip.AddrPort, kind string, amount int) (at netip.AddrPort, repair, end func(), err error) {
	k, err := newLink(netip.MustParseAddrPort("127.0.0.1:0"), to)
	if err != nil {
		return netip.AddrPort{}, nil, nil, err
	}
	k.apply(fault{Kind: faultKind(kind), Amount: amount})
	return k.address(), k.repair, k.close, nil
}

// ShortLink puts a link before an address; short reports whether it ran out of descriptors.
func ShortLink(to netip.AddrPort) (at netip.AddrPort, short func() bool, end func(), err error) {
	k, err := newLink(netip.MustParseAddrPort("127.0.0.1:0"), to)
	if err != nil {
		return netip.AddrPort{}, nil, nil, err
	}
	return k.address(), k.outOfDescriptors.Load, k.close, nil
}

// Settle is how long a repaired link may take to deliver the bytes it held.
const Settle = 200 * time.Millisecond
