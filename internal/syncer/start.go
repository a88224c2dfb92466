package syncer

import (
	"cmp"
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
)

const (
	// seedWaitLimit is how long a process without records asks the seeds before it turns to the
	// store. Seeds may start 0.3 s later than others; those that have not answered by then are
	// assumed dead.
	seedWaitLimit = 700 * time.Millisecond
	// seedReadTimeout is the same while a seed answers that it still reads the store: as long as
	// the store's client waits for a list. Afterwards processes list the store themselves, up to
	// listSpread apart.
	seedReadTimeout = 2400 * time.Millisecond
	listSpread      = time.Second
	// refusedSeedWait is how long the nearest seed that refuses connections is waited for: seeds
	// start up to 0.4 s later than others and need 60 to 100 ms until they listen. With 400 ms,
	// most of a region turned to far seeds, and their lists delayed the near seed's own by 1.5 s.
	refusedSeedWait = 700 * time.Millisecond
	// refusedSeedWaitLimit is seedWaitLimit if a seed has refused connections: farther ones are
	// asked after refusedSeedWait.
	refusedSeedWaitLimit = refusedSeedWait + 300*time.Millisecond
	// seedPause is the pause between two rounds over the seeds.
	seedPause = 40 * time.Millisecond
	// seedTimeout bounds a connection to a seed, and the time until its answer starts to arrive: a
	// dozen round trips between regions.
	seedTimeout = 250 * time.Millisecond
	// seedAnswerWait is how long a seed that still reads the store holds its answer.
	seedAnswerWait = 100 * time.Millisecond
	// furtherSeedWait is how long further seeds are waited for once one is connected.
	furtherSeedWait = 10 * time.Millisecond
)

// syncFromSeeds gets all records from a seed. After a loss of all processes they start at once; if
// each read the store, the same uncompressed table would cross the links between regions once per
// process, and the last process would have it seconds after the first. The nearest seed is waited
// for while it starts or reads the store: a farther one with the table would send it to all
// processes of the region, and the list that the nearest waits for would share the link with them.
func (s *Syncer) syncFromSeeds(ctx context.Context) bool {
	dials := s.newSeedDials()
	stale := map[netip.AddrPort]bool{}
	timeout := seedWaitLimit
	for s.Clock.Since(s.seedsAskedSince) < timeout && ctx.Err() == nil {
		dials.connect(ctx)
		for _, a := range dials.nearest() {
			if stale[a] {
				continue
			}
			if dials.refused[a] {
				timeout = max(timeout, refusedSeedWaitLimit)
				if s.Clock.Since(s.seedsAskedSince) < refusedSeedWait {
					break
				}
				continue
			}
			state := s.recordsFromSeed(ctx, a)
			if state == seedAnswered {
				s.nearSeeds = dials.nearest()
				return true
			}
			if state == seedReading {
				timeout = seedReadTimeout + s.listDelay
				break
			}
			stale[a] = state == seedStale
			if s.referred {
				timeout = seedReadTimeout + s.listDelay
			}
		}
		s.pause(ctx, seedPause)
	}
	return false
}

// seedDials manages the connections to the seeds.
type seedDials struct {
	syncer *Syncer
	// results receives the result of each connection in pending.
	results chan seedDial
	pending map[netip.AddrPort]bool
	// connectTimes are how long the seeds took to accept or to refuse a connection.
	connectTimes map[netip.AddrPort]time.Duration
	// refused seeds have refused the last connection, as the seed process doesn't run.
	refused map[netip.AddrPort]bool
}

// seedDial is the result of a connection attempt.
type seedDial struct {
	address netip.AddrPort
	took    time.Duration
	err     error
}

func (s *Syncer) newSeedDials() *seedDials {
	return &seedDials{
		syncer: s, results: make(chan seedDial, len(s.Seeds)), pending: map[netip.AddrPort]bool{},
		connectTimes: map[netip.AddrPort]time.Duration{}, refused: map[netip.AddrPort]bool{},
	}
}

// connect connects to all seeds at once and records how long each took. It waits for the first one,
// and furtherSeedWait for the others.
func (d *seedDials) connect(ctx context.Context) {
	for _, a := range d.syncer.Seeds {
		_, answered := d.connectTimes[a]
		if !d.pending[a] && (!answered || d.refused[a]) {
			d.dial(ctx, a)
		}
	}
	var lead <-chan time.Time
	if d.anyConnected() {
		lead = d.syncer.Clock.After(furtherSeedWait)
	}
	for len(d.pending) > 0 {
		select {
		case r := <-d.results:
			d.recordResult(r)
			if lead == nil && r.err == nil {
				lead = d.syncer.Clock.After(furtherSeedWait)
			}
		case <-lead:
			return
		}
	}
}

// dial connects to a seed in the background.
func (d *seedDials) dial(ctx context.Context, a netip.AddrPort) {
	d.pending[a] = true
	client, began := d.syncer.clients.Get(a), d.syncer.Clock.Now()
	go func() {
		ctx, cancel := context.WithTimeout(ctx, seedTimeout)
		defer cancel()
		err := client.Connect(ctx)
		d.results <- seedDial{a, d.syncer.Clock.Since(began), err}
	}()
}

// recordResult records the result of a connection attempt.
func (d *seedDials) recordResult(r seedDial) {
	delete(d.pending, r.address)
	if r.err != nil {
		klog.V(1).InfoS("Seed not reached", "seed", r.address, "err", r.err)
	}
	if timedOut(r.err) {
		return
	}
	d.refused[r.address] = r.err != nil
	if _, known := d.connectTimes[r.address]; !known {
		d.connectTimes[r.address] = r.took
	}
}

// anyConnected returns whether a seed has accepted a connection.
func (d *seedDials) anyConnected() bool {
	for a := range d.connectTimes {
		if !d.refused[a] {
			return true
		}
	}
	return false
}

// nearest returns the seeds that have accepted or refused a connection, nearest first.
func (d *seedDials) nearest() []netip.AddrPort {
	return slices.SortedFunc(maps.Keys(d.connectTimes), func(a, b netip.AddrPort) int {
		return cmp.Compare(d.connectTimes[a], d.connectTimes[b])
	})
}

// seedState is the state of a seed according to its answer.
type seedState int

const (
	// seedFailed seeds gave no answer, or can't reach the store.
	seedFailed seedState = iota
	// seedReading seeds wait for their own first list.
	seedReading
	// seedStale seeds have lost contact with the store.
	seedStale
	// seedAnswered seeds have sent their records.
	seedAnswered
)

// applyAllRecords applies a peer's records if the store confirmed them recently, or returns the
// peer to which that peer refers this process.
func (s *Syncer) applyAllRecords(ctx context.Context, a netip.AddrPort, q messenger.RecordsQuery) (seedState, netip.AddrPort) {
	var none netip.AddrPort
	b, err := s.queryRecords(ctx, a, q, seedAnswerWait+seedTimeout)
	if err != nil {
		klog.V(1).InfoS("Seed did not answer", "seed", a, "err", err)
		return seedFailed, none
	}
	switch {
	case b.Refer.IsValid():
		return seedReading, b.Refer
	case b.At == 0 && b.Lost:
		return seedFailed, none
	case b.At == 0:
		return seedReading, none
	case b.Age > staleAge || !s.Registrar.Apply(b):
		return seedStale, none
	}
	klog.InfoS("Records learned from a seed", "seed", a, "records", len(b.Records), "revision", b.At)
	return seedAnswered, none
}

// learnAges asks peers for the ages of the weights that this process found in the store. Peers send
// them with the records, the store doesn't.
func (s *Syncer) learnAges(ctx context.Context, candidates []netip.AddrPort) {
	if !s.Registrar.NeedsAges() {
		s.agePeersAsked = 0
		return
	}
	for s.agePeersAsked < min(maxUnhelpfulPeers, len(candidates)) && s.Registrar.NeedsAges() {
		a := candidates[s.agePeersAsked]
		s.agePeersAsked++
		at, _, _ := s.Registrar.Revision()
		b, err := s.queryRecords(ctx, a, messenger.RecordsQuery{After: at, Ages: true}, seedTimeout)
		if err != nil {
			klog.V(1).InfoS("Peer did not answer a query for the age of weights", "peer", a, "err", err)
			continue
		}
		s.Registrar.Apply(b)
	}
}
