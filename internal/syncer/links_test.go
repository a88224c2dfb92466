package syncer_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

const (
	// callTimeout bounds a call, as the platform's client does.
	callTimeout = 900 * time.Millisecond
	// segment is in which pieces, in bytes, the transfers on a link take turns.
	segment = 8 << 10
	// itemOverhead is what an item takes on the wire besides its value, in bytes.
	itemOverhead = 120
)

// shape is the size of a fleet, and how its processes reach the store and each other.
type shape struct {
	entries, regions, agents, upstreams int
	// seeds is how many processes are, at least two; they are in one region after the other.
	seeds int
	// recordTime is how long a process takes to prepare a record for others.
	recordTime time.Duration
	// seedsLater is how much later than the others these start, but for the first onTime.
	seedsLater time.Duration
	onTime     int
	// table has the store hold a large route table from the start.
	table bool
	// cut has no process reach the store at the start.
	cut bool
	// storeDelay is how long the store takes for an answer.
	storeDelay time.Duration
	// linkRate is how many bytes a second fit between two regions, each way; 0 for any number.
	// The store is in the first region.
	linkRate int
}

// grownShape is that of a grown deployment with so slow a store.
func grownShape(storeDelay time.Duration) shape {
	return shape{entries: 46, regions: 3, agents: 33, storeDelay: storeDelay, linkRate: quarterLink}
}

func regionName(i int) string { return fmt.Sprintf("region-%d", i) }

// links are those between regions.
type links struct {
	mu   sync.Mutex
	each map[[2]string]*regionLink
}

// linkBetween is the link from one region to another; nil where transfers have no bound.
func (f *fleet) linkBetween(from, to *node) *regionLink {
	return f.link(from.Member.Region, to.Member.Region)
}

func (f *fleet) link(from, to string) *regionLink {
	if f.shape.linkRate == 0 || from == to {
		return nil
	}
	f.links.mu.Lock()
	defer f.links.mu.Unlock()
	if f.links.each == nil {
		f.links.each = map[[2]string]*regionLink{}
	}
	l := f.links.each[[2]string{from, to}]
	if l == nil {
		l = &regionLink{rate: f.shape.linkRate}
		f.links.each[[2]string{from, to}] = l
	}
	return l
}

// regionLink carries so many bytes a second for all transfers together.
type regionLink struct {
	rate int

	mu   sync.Mutex
	free time.Time
	// sent is how many bytes it has carried.
	sent int
}

// carry takes as long as the link needs for a transfer among the others, and gives the context's
// error when that ends before.
func (l *regionLink) carry(ctx context.Context, size int) error {
	if l == nil {
		return nil
	}
	for sent := 0; sent < size; sent += segment {
		if err := l.carrySegment(ctx, min(segment, size-sent)); err != nil {
			return err
		}
	}
	return nil
}

func (l *regionLink) carrySegment(ctx context.Context, size int) error {
	l.mu.Lock()
	begin := time.Now()
	if l.free.After(begin) {
		begin = l.free
	}
	l.sent += size
	l.free = begin.Add(time.Duration(size) * time.Second / time.Duration(l.rate))
	arrives := l.free
	l.mu.Unlock()
	select {
	case <-time.After(time.Until(arrives)):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// deliver hands over an answer of the store once all of it has arrived.
func (s nodeStore) deliver(ctx context.Context, b registrar.Batch, err error) (registrar.Batch, error) {
	if err != nil {
		return b, err
	}
	size := 0
	for _, rec := range b.Records {
		size += itemOverhead + len(rec.Value)*4/3
	}
	select {
	case <-time.After(s.fleet.shape.storeDelay + time.Duration(s.node.answerDelay.Load())):
	case <-ctx.Done():
		return registrar.Batch{}, ctx.Err()
	}
	if err := s.fleet.link(regionName(0), s.node.Member.Region).carry(ctx, size); err != nil {
		return registrar.Batch{}, err
	}
	return b, nil
}

func (l *regionLink) bytesSent() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent
}
