package syncer_test

import (
	"context"
	"fmt"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

const (
	// callTimeout bounds a call, as the platform's client does.
	callTimeout = 900 * time.Millisecond
	// segmentBytes is the size of the pieces in which transfers take turns on a link.
	segmentBytes = 8 << 10
	// itemOverheadBytes is the size of an item on the wire besides its value.
	itemOverheadBytes = 120
	// handshakeBytes is the size of a packet that opens a connection.
	handshakeBytes = 60
	// arrivalTimeout is how long an answer of the store may take to arrive once it has begun to, if callers wait for that.
	arrivalTimeout = 5 * time.Second
)

// shape is the size of a fleet, and how its processes reach the store and each other.
type shape struct {
	entries, regions, agents, upstreams int
	// seeds is the number of seeds, at least two; they are spread over the regions in turn.
	seeds int
	// recordTime is how long a process takes to prepare a record for others.
	recordTime time.Duration
	// seedDelay is how much later than the others the seeds start, but for the first punctualSeeds.
	seedDelay     time.Duration
	punctualSeeds int
	// hasTable has the store hold a large route table from the start.
	hasTable bool
	// partitioned disconnects all processes from the store at the start.
	partitioned bool
	// storeDelay is how long the store takes to answer.
	storeDelay time.Duration
	// patient calls to the store are bounded by gaps in their answers, as those of the platform's client are, instead of in
	// total. The store lists only the newest record of each key then, and connections have to cross the links.
	patient bool
	// linkRate is the capacity between two regions in bytes a second, each way; 0 for no bound. The
	// store is in the first region.
	linkRate int
}

// grownShape is the shape of a grown deployment with a store of the given delay.
func grownShape(storeDelay time.Duration) shape {
	return shape{entries: 46, regions: 3, agents: 33, storeDelay: storeDelay, linkRate: quarterLink}
}

func regionName(i int) string { return fmt.Sprintf("region-%d", i) }

// links are the links between regions, by source and destination.
type links struct {
	mu        sync.Mutex
	byRegions map[[2]string]*regionLink
}

// linkBetween returns the link between the regions of two nodes; nil for an unbounded one.
func (f *fleet) linkBetween(from, to *node) *regionLink {
	return f.link(from.Member.Region, to.Member.Region)
}

func (f *fleet) link(from, to string) *regionLink {
	if f.shape.linkRate == 0 || from == to {
		return nil
	}
	f.links.mu.Lock()
	defer f.links.mu.Unlock()
	if f.links.byRegions == nil {
		f.links.byRegions = map[[2]string]*regionLink{}
	}
	l := f.links.byRegions[[2]string{from, to}]
	if l == nil {
		l = &regionLink{rate: f.shape.linkRate}
		f.links.byRegions[[2]string{from, to}] = l
	}
	return l
}

// regionLink carries a bounded number of bytes a second for all transfers together.
type regionLink struct {
	rate int

	mu     sync.Mutex
	freeAt time.Time
	// sent is the number of bytes carried.
	sent int
}

// transfer takes as long as the link needs for a transfer among the others, and returns the
// context's error if that ends first.
func (l *regionLink) transfer(ctx context.Context, size int) error {
	if l == nil {
		return nil
	}
	for sent := 0; sent < size; sent += segmentBytes {
		if err := l.transferSegment(ctx, min(segmentBytes, size-sent)); err != nil {
			return err
		}
		reportArrival(ctx)
	}
	return nil
}

// reportArrival reports a part of an answer as an HTTP client does.
func reportArrival(ctx context.Context) {
	if trace := httptrace.ContextClientTrace(ctx); trace != nil {
		trace.GotFirstResponseByte()
	}
}

// transferPatiently is transfer with a bound on the time of each segment.
func (l *regionLink) transferPatiently(ctx context.Context, size int) error {
	if l == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, arrivalTimeout)
	defer cancel()
	for sent := 0; sent < size; sent += segmentBytes {
		segmentCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := l.transferSegment(segmentCtx, min(segmentBytes, size-sent))
		cancel()
		if err != nil {
			return err
		}
		reportArrival(ctx)
	}
	return nil
}

func (l *regionLink) transferSegment(ctx context.Context, size int) error {
	l.mu.Lock()
	start := time.Now()
	if l.freeAt.After(start) {
		start = l.freeAt
	}
	l.sent += size
	l.freeAt = start.Add(time.Duration(size) * time.Second / time.Duration(l.rate))
	arrives := l.freeAt
	l.mu.Unlock()
	select {
	case <-time.After(time.Until(arrives)):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// deliver returns an answer of the store once all of it has arrived.
func (s nodeStore) deliver(ctx context.Context, b registrar.Batch, err error) (registrar.Batch, error) {
	if err != nil {
		return b, err
	}
	size := 0
	for _, rec := range b.Records {
		size += itemOverheadBytes + len(rec.Value)*4/3
	}
	select {
	case <-time.After(s.fleet.shape.storeDelay + time.Duration(s.node.answerDelay.Load())):
	case <-ctx.Done():
		return registrar.Batch{}, ctx.Err()
	}
	l := s.fleet.link(regionName(0), s.node.Member.Region)
	transfer := l.transfer
	if s.fleet.shape.patient {
		transfer = l.transferPatiently
	}
	if err := transfer(ctx, size); err != nil {
		return registrar.Batch{}, err
	}
	return b, nil
}

func (l *regionLink) bytesSent() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent
}
