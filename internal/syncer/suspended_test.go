package syncer_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/suspender"
	"github.com/oriolecroft/oriolecroft/internal/syncer"
)

// decodeWeights decodes the tests' own form of records: a version of model m in one byte.
func decodeWeights(_ string, value []byte) (registrar.Fact, error) {
	return registrar.Weights{Model: "m", Version: uint64(value[0])}, nil
}

// reportedAge returns the least age that a process reports for its newest announcement.
func reportedAge(r *registrar.Registrar) time.Duration {
	b := r.ChangesSince(0)
	rec := b.Records[len(b.Records)-1]
	n := rec.Announcements[len(rec.Announcements)-1]
	return min(rec.Age, n.Age, n.SinceAge)
}

// Guards against counting an announcement too late when the VM is suspended before it has read a
// peer's answer. The timeout, by the steady clock, doesn't run out meanwhile; old weights would
// serve too long by the length of the suspension.
func TestAnswerBeforeSuspensionIsNotCountedLate(t *testing.T) {
	vm := &suspender.VM{Steady: clock.RealClock{}}
	ages := vm.Clock()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	var announced time.Time
	requests := 0
	server := &messenger.Server{Listener: l, OnRecords: func(ctx context.Context, q messenger.RecordsQuery) registrar.Batch {
		requests++
		if requests == 1 {
			return registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{{Key: "m", Value: []byte{1}, Revision: 1}}}
		}
		if requests == 2 {
			announced = ages.Now()
		}
		b := registrar.Batch{After: q.After, At: 2}
		if q.After < 2 {
			age := ages.Since(announced)
			b.Records = []registrar.Record{{Key: "m", Value: []byte{2}, Revision: 2, Age: age, Announcements: []registrar.AnnouncementReport{
				{Version: 1, Age: time.Minute, SinceAge: time.Minute}, {Version: 2, Age: age, Replaced: 1, SinceAge: age}}}}
		}
		if requests == 2 {
			vm.Suspend(9 * time.Second)
		}
		if requests > 3 {
			<-ctx.Done()
		}
		return b
	}}
	go func() { _ = server.Serve(ctx) }()
	r := &registrar.Registrar{Clock: ages, Decode: decodeWeights}
	s := &syncer.Syncer{ID: "agent", Region: "r", Registrar: r, Store: &emptyStore{vm: &suspender.VM{}}, Clock: ages,
		Random: rand.New(rand.NewPCG(1, 2)), Seeds: []netip.AddrPort{netip.MustParseAddrPort(l.Addr().String())},
		Dial: func(a netip.AddrPort) *messenger.Client { return &messenger.Client{Address: a} }}
	go func() { _ = s.Serve(ctx) }()
	eventually(t, func() bool { at, _, _ := r.Revision(); return at == 2 })
	must.GreaterEq(t, 9*time.Second, reportedAge(r))
}

// emptyStore has no updates. Its first answer to a watch stays unread while the VM is suspended;
// further watches get no answer.
type emptyStore struct {
	unreachableStore
	vm      *suspender.VM
	watches atomic.Int32
}

var errUnresponsive = errors.New("silent")

func (s *emptyStore) List(context.Context) (registrar.Batch, error) {
	return registrar.Batch{Whole: true, At: 1}, nil
}

func (s *emptyStore) Watch(ctx context.Context, after uint64, wait time.Duration) (registrar.Batch, error) {
	if s.watches.Add(1) > 1 {
		<-ctx.Done()
		return registrar.Batch{}, errUnresponsive
	}
	// It holds its answer for the whole wait.
	s.vm.Suspend(wait)
	s.vm.Suspend(9 * time.Second)
	return registrar.Batch{After: after, At: after}, nil
}

// Guards against taking a store's answer without updates for fresh when the VM was suspended before
// reading it: routes that were added meanwhile would be denied, and a version that was announced
// meanwhile would be counted too late.
func TestStoreConfirmationBeforeSuspensionIsNotFresh(t *testing.T) {
	vm := &suspender.VM{Steady: clock.RealClock{}}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	r := &registrar.Registrar{Clock: vm.Clock(), Decode: decodeWeights}
	store := &emptyStore{vm: vm}
	s := &syncer.Syncer{ID: "entry", Entry: true, Region: "r", Registrar: r, Store: store, Clock: vm.Clock(),
		Random: rand.New(rand.NewPCG(1, 2))}
	go func() { _ = s.Serve(ctx) }()
	eventually(t, func() bool { return store.watches.Load() == 2 })
	must.False(t, r.Fresh())
	_, age, _ := r.Revision()
	must.GreaterEq(t, 9*time.Second, age)
}
