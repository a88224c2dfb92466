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
	// seedPatience is how long a process that knows nothing asks the seeds before it
	// turns to the store. Seeds may start 0.3 s later than others; who has not answered by then
	// is taken for dead.
	seedPatience = 700 * time.Millisecond
	// readingTimeout is the same while a seed answers that it still reads the store: as long as
	// the store's client waits for a list. Afterwards processes list the store themselves, up
	// to listSpread apart.
	readingTimeout = 2400 * time.Millisecond
	listSpread     = time.Second
	// seedStart is how long the nearest seed that refuses connections is waited for: seeds start
	// up to 0.4 s later than others and need 60 to 100 ms until they listen. With 400 ms, most of
	// a region turned to far seeds, and their lists delayed the near one's own by 1.5 s.
	seedStart = 700 * time.Millisecond
	// seedStartPatience is seedPatience where a seed has refused connections: farther ones are asked after seedStart.
	seedStartPatience = seedStart + 300*time.Millisecond
	// seedPause is the pause between two rounds over the seeds.
	seedPause = 40 * time.Millisecond
	// seedTimeout bounds a connection to a seed, and the time until its answer begins to
	// arrive: a dozen round trips between regions.
	seedTimeout = 250 * time.Millisecond
	// seedHold is how long a seed that still reads the store holds its answer back.
	seedHold = 100 * time.Millisecond
	// seedLead is how long further seeds are waited for once one is connected.
	seedLead = 10 * time.Millisecond
)

// fromSeeds learns all records from a seed. After a loss of everything all processes
// start at once; if each read the store, the same uncompressed table would cross the
// links between regions as many times as there are processes, and the last would know it
// seconds after the first. The nearest seed tells it, and is waited for while it starts or reads
// the store: a farther one that knows the table would send it to all processes of the region, and
// the list that the nearest waits for would have to share the link with them.
func (s *Syncer) fromSeeds(ctx context.Context) bool {
	dials := s.newSeedDials()
	stale := map[netip.AddrPort]bool{}
	timeout := seedPatience
	for s.Clock.Since(s.seedsSince) < timeout && ctx.Err() == nil {
		dials.connect(ctx)
		for _, a := range dials.nearest() {
			if stale[a] {
				continue
			}
			if dials.refused[a] {
				timeout = max(timeout, seedStartPatience)
				if s.Clock.Since(s.seedsSince) < seedStart {
					break
				}
				continue
			}
			state := s.firstRecords(ctx, a)
			if state == seedKnows {
				s.nearSeeds = dials.nearest()
				return true
			}
			if state == seedReads {
				timeout = readingTimeout + s.listDelay
				break
			}
			stale[a] = state == seedIsStale
			if s.referred {
				timeout = readingTimeout + s.listDelay
			}
		}
		s.pause(ctx, seedPause)
	}
	return false
}

// seedDials are the connections to the seeds.
type seedDials struct {
	syncer *Syncer
	// results are those of the connections in pending.
	results chan seedDial
	pending map[netip.AddrPort]bool
	// distances tell how long a seed took to accept or to refuse a connection.
	distances map[netip.AddrPort]time.Duration
	// refused seeds have refused the last connection, as none of their processes runs.
	refused map[netip.AddrPort]bool
}

// seedDial is the result of a connection.
type seedDial struct {
	address netip.AddrPort
	took    time.Duration
	err     error
}

func (s *Syncer) newSeedDials() *seedDials {
	return &seedDials{
		syncer: s, results: make(chan seedDial, len(s.Seeds)), pending: map[netip.AddrPort]bool{},
		distances: map[netip.AddrPort]time.Duration{}, refused: map[netip.AddrPort]bool{},
	}
}

// connect connects to all seeds at once and notes how long each took. It waits for
// the first one and a little for the others.
func (d *seedDials) connect(ctx context.Context) {
	for _, a := range d.syncer.Seeds {
		_, answered := d.distances[a]
		if !d.pending[a] && (!answered || d.refused[a]) {
			d.dial(ctx, a)
		}
	}
	var lead <-chan time.Time
	if d.connected() {
		lead = d.syncer.Clock.After(seedLead)
	}
	for len(d.pending) > 0 {
		select {
		case r := <-d.results:
			d.note(r)
			if lead == nil && r.err == nil {
				lead = d.syncer.Clock.After(seedLead)
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

// note takes over the result of a connection.
func (d *seedDials) note(r seedDial) {
	delete(d.pending, r.address)
	if r.err != nil {
		klog.V(1).InfoS("Seed not reached", "seed", r.address, "err", r.err)
	}
	if timedOut(r.err) {
		return
	}
	d.refused[r.address] = r.err != nil
	if _, known := d.distances[r.address]; !known {
		d.distances[r.address] = r.took
	}
}

// connected returns whether a seed has accepted a connection.
func (d *seedDials) connected() bool {
	for a := range d.distances {
		if !d.refused[a] {
			return true
		}
	}
	return false
}

// nearest lists the seeds that have accepted or refused a connection, the nearest first.
func (d *seedDials) nearest() []netip.AddrPort {
	return slices.SortedFunc(maps.Keys(d.distances), func(a, b netip.AddrPort) int {
		return cmp.Compare(d.distances[a], d.distances[b])
	})
}

// seedState is what a seed's answer shows of it.
type seedState int

const (
	// seedFailed seeds gave no answer, or can't reach the store.
	seedFailed seedState = iota
	// seedReads seeds wait for their own first list.
	seedReads
	// seedIsStale seeds have lost touch with the store.
	seedIsStale
	// seedKnows seeds have given their records.
	seedKnows
)

// allRecords takes over what a peer knows, if the store confirmed it of late, or gives the peer to
// which that one refers this process.
func (s *Syncer) allRecords(ctx context.Context, a netip.AddrPort, q messenger.RecordsQuery) (seedState, netip.AddrPort) {
	var none netip.AddrPort
	b, err := s.records(ctx, a, q, seedHold+seedTimeout)
	if err != nil {
		klog.V(1).InfoS("Seed did not answer", "seed", a, "err", err)
		return seedFailed, none
	}
	switch {
	case b.Refer.IsValid():
		return seedReads, b.Refer
	case b.At == 0 && b.Lost:
		return seedFailed, none
	case b.At == 0:
		return seedReads, none
	case b.Age > staleNews || !s.Registrar.Apply(b):
		return seedIsStale, none
	}
	klog.InfoS("Records learned from a seed", "seed", a, "records", len(b.Records), "revision", b.At)
	return seedKnows, none
}

// learnAges asks peers for the ages of the weights that this process found in the store. Processes
// that read from peers get them with the records, readers of the store don't.
func (s *Syncer) learnAges(ctx context.Context, candidates []netip.AddrPort) {
	for s.agePeersAsked < min(sources, len(candidates)) && s.Registrar.Undated() {
		a := candidates[s.agePeersAsked]
		s.agePeersAsked++
		at, _, _ := s.Registrar.At()
		b, err := s.records(ctx, a, messenger.RecordsQuery{After: at, Ages: true}, seedTimeout)
		if err != nil {
			klog.V(1).InfoS("Peer unresponsive to a question for the age of weights", "peer", a, "err", err)
			continue
		}
		s.Registrar.Apply(b)
	}
}
