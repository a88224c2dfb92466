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

// weightsOf reads the tests' own form of records: a version of model m in one byte.
func weightsOf(_ string, value []byte) (registrar.Fact, error) {
	return registrar.Weights{Model: "m", Version: uint64(value[0])}, nil
}

// toldAge is how old a process tells others that its newest naming is at the least.
func toldAge(r *registrar.Registrar) time.Duration {
	b := r.ChangesSince(0)
	rec := b.Records[len(b.Records)-1]
	n := rec.Namings[len(rec.Namings)-1]
	return min(rec.Age, n.Age, n.SinceAge)
}

// A peer answers that a version has just been named. The VM that asked is suspended before
// it has read that, and its timeout, by the steady clock, doesn't run out meanwhile. Taken
// for new on waking, the naming would let old weights begin replies beyond their time by as
// long as the VM was suspended.
func TestAnswerFromBeforeASuspensionIsNotNew(t *testing.T) {
	vm := &suspender.VM{Steady: clock.RealClock{}}
	ages := vm.Clock()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	var named time.Time
	asked := 0
	server := &messenger.Server{Listener: l, OnRecords: func(ctx context.Context, q messenger.RecordsQuery) registrar.Batch {
		asked++
		if asked == 1 {
			return registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{{Key: "m", Value: []byte{1}, Revision: 1}}}
		}
		if asked == 2 {
			named = ages.Now()
		}
		b := registrar.Batch{After: q.After, At: 2}
		if q.After < 2 {
			age := ages.Since(named)
			b.Records = []registrar.Record{{Key: "m", Value: []byte{2}, Revision: 2, Age: age, Namings: []registrar.AnnouncementReport{
				{Version: 1, Age: time.Minute, SinceAge: time.Minute}, {Version: 2, Age: age, Replaced: 1, SinceAge: age}}}}
		}
		if asked == 2 {
			vm.Suspend(9 * time.Second)
		}
		if asked > 3 {
			<-ctx.Done()
		}
		return b
	}}
	go func() { _ = server.Serve(ctx) }()
	r := &registrar.Registrar{Clock: ages, Decode: weightsOf}
	s := &syncer.Syncer{ID: "agent", Region: "r", Registrar: r, Store: &emptyStore{vm: &suspender.VM{}}, Clock: ages,
		Random: rand.New(rand.NewPCG(1, 2)), Seeds: []netip.AddrPort{netip.MustParseAddrPort(l.Addr().String())},
		Dial: func(a netip.AddrPort) *messenger.Client { return &messenger.Client{Address: a} }}
	go func() { _ = s.Serve(ctx) }()
	eventually(t, func() bool { at, _, _ := r.Revision(); return at == 2 })
	must.GreaterEq(t, 9*time.Second, toldAge(r))
}

// emptyStore knows nothing new. Its first answer to a watch lies unread while the VM is
// suspended; it gives no further one.
type emptyStore struct {
	vm      *suspender.VM
	watched atomic.Int32
}

var errSilent = errors.New("silent")

func (s *emptyStore) List(context.Context) (registrar.Batch, error) {
	return registrar.Batch{Whole: true, At: 1}, nil
}

func (s *emptyStore) Watch(ctx context.Context, after uint64, wait time.Duration) (registrar.Batch, error) {
	if s.watched.Add(1) > 1 {
		<-ctx.Done()
		return registrar.Batch{}, errSilent
	}
	// It holds its answer back for the whole wait.
	s.vm.Suspend(wait)
	s.vm.Suspend(9 * time.Second)
	return registrar.Batch{After: after, At: after}, nil
}

// The store answers an entry that there is no news, and the VM is suspended before the entry
// has read that. Taken for the store's word of now, it would make news look fresh that is
// seconds old: routes that were added meanwhile would be denied, and a version that was
// named meanwhile would count as new when the entry hears of it.
func TestStoresWordFromBeforeASuspensionIsNotFresh(t *testing.T) {
	vm := &suspender.VM{Steady: clock.RealClock{}}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	r := &registrar.Registrar{Clock: vm.Clock(), Decode: weightsOf}
	store := &emptyStore{vm: vm}
	s := &syncer.Syncer{ID: "entry", Entry: true, Region: "r", Registrar: r, Store: store, Clock: vm.Clock(),
		Random: rand.New(rand.NewPCG(1, 2))}
	go func() { _ = s.Serve(ctx) }()
	eventually(t, func() bool { return store.watched.Load() == 2 })
	must.False(t, r.Fresh())
	_, age, _ := r.Revision()
	must.GreaterEq(t, 9*time.Second, age)
}
