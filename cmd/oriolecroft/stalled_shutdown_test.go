package main_test

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/platform/standin"
)

const (
	// stopGrace is the time from SIGTERM to SIGKILL, as in settingsText.
	stopGrace = 8 * time.Second
	// slowWork is how long the service works on a request: the last ones before an entry ends can't be finished.
	slowWork = 4500 * time.Millisecond
	// stopRequestInterval is the pause between two requests, each on a connection of its own.
	stopRequestInterval = 50 * time.Millisecond
	// leastAnswered is how many requests must be answered for the test to be meaningful.
	leastAnswered = 20
	// firstStopHost is the first loopback host of the test, which uses two for each case.
	firstStopHost = 210
)

// stopEvent is a signal at a time after SIGTERM.
type stopEvent struct {
	at     time.Duration
	signal syscall.Signal
}

// stoppingEntry is an entry in front of a slow service.
type stoppingEntry struct {
	address netip.AddrPort
	daemon  *exec.Cmd
	store   *standin.Store

	mu      sync.Mutex
	arrived map[string]bool
	replies map[string]stoppedReply
}

// stoppedReply is a reply of a stopping entry, or none, and how long it took.
type stoppedReply struct {
	standin.Reply
	after time.Duration
}

// Arrived implements standin.Observer.
func (e *stoppingEntry) Arrived(a standin.Arrival) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrived[a.ID] = true
}

func (*stoppingEntry) Rejected(string, string, time.Duration) {}
func (*stoppingEntry) Began(string, string, uint64, bool)     {}
func (*stoppingEntry) Ended(string, string, bool, int)        {}
func (*stoppingEntry) Failed(string, string)                  {}
func (*stoppingEntry) Flooded(string, string, int)            {}
func (*stoppingEntry) Unread(string, string)                  {}

// startStoppingEntry starts an entry on a loopback host, and on the next one a service that works for a time on each request.
func startStoppingEntry(t *testing.T, host int, work time.Duration) *stoppingEntry {
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	must.NoError(t, err)
	defer log.Close()
	e := startEntryWithOutput(t, host, work, log)
	t.Cleanup(func() {
		if !t.Failed() {
			return
		}
		out, err := os.ReadFile(log.Name())
		t.Logf("%s %v", out, err)
	})
	return e
}

// startEntryWithOutput is startStoppingEntry with the entry's standard output.
func startEntryWithOutput(t *testing.T, host int, work time.Duration, output *os.File) *stoppingEntry {
	e := &stoppingEntry{arrived: map[string]bool{}, replies: map[string]stoppedReply{}}
	store := standin.NewStore()
	t.Cleanup(store.Close)
	e.store = store
	e.putTable(firstTable)
	ip, desk := loopback(host), netip.MustParseAddrPort(loopback(host+1)+":8080")
	l, err := standin.Listen(desk)
	must.NoError(t, err)
	u := standin.NewService(standin.Record{ID: "i-1", Service: "desk", Address: desk, FailureDomain: "a", Slots: 1000}, work)
	u.Observer, u.Store, u.Heartbeat, u.BreakOff = e, store, 500*time.Millisecond, &atomic.Int32{}
	u.Start(l, 0)
	t.Cleanup(u.Stop)
	settings := writeSettings(t, t.TempDir(), "front.toml", fmt.Sprintf(settingsText("front-1", ip, store.Address()), fmt.Sprintf(entrySettings, ip)))
	e.address = netip.MustParseAddrPort(ip + ":8005")
	e.daemon = exec.CommandContext(t.Context(), binary, "platform", "entry")
	e.daemon.Env = append(os.Environ(), "ORIOLECROFT_SETTINGS="+settings)
	e.daemon.Stdout = output
	must.NoError(t, e.daemon.Start())
	waitForListener(t, e.address.String())
	for deadline := time.Now().Add(15 * time.Second); e.send(t.Context(), "warmUp").Status != 200; {
		must.True(t, time.Now().Before(deadline))
	}
	return e
}

// firstTable is the version of the first route table.
const firstTable = 7

// putTable writes a route table with one route to the service, whose timeout differs from version to version.
func (e *stoppingEntry) putTable(version int) {
	e.store.PutBytes("op/config", fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"book","host":"h","path_prefix":"/book/","kind":"non_idempotent",
		"public":true,"timeout_ms":%d,"target_latency_ms":150,"max_attempts":1,"service":"desk"}],"services":[{"name":"desk"}]}`, version, 6000+version))
}

func (e *stoppingEntry) send(ctx context.Context, id string) standin.Reply {
	c, err := standin.Dial(ctx, e.address)
	if err != nil {
		return standin.Reply{}
	}
	defer c.Close()
	return c.Send(&standin.Request{ID: id, Host: "h", Path: "/book/", Body: "slot", Limit: 6 * time.Second})
}

// sendUntil sends requests until the context ends, and waits for their replies.
func (e *stoppingEntry) sendUntil(ctx context.Context) {
	var all sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		all.Go(func() {
			id := fmt.Sprintf("r%d", n)
			sentAt := time.Now()
			r := e.send(context.Background(), id)
			e.mu.Lock()
			defer e.mu.Unlock()
			e.replies[id] = stoppedReply{r, time.Since(sentAt)}
		})
		time.Sleep(stopRequestInterval)
	}
	all.Wait()
}

// stop sends signals, and SIGKILL at the end of the grace. It returns how the process ended.
func (e *stoppingEntry) stop(t *testing.T, signals []stopEvent) syscall.WaitStatus {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = e.daemon.Wait()
	}()
	termAt := time.Now().Add(-signals[0].at)
	for _, s := range append(signals, stopEvent{stopGrace, syscall.SIGKILL}) {
		select {
		case <-time.After(time.Until(termAt.Add(s.at))):
			must.NoError(t, e.daemon.Process.Signal(s.signal))
		case <-ended:
		}
	}
	<-ended
	return e.daemon.ProcessState.Sys().(syscall.WaitStatus)
}

// Guards against an entry that counts its grace from when it resumes, and is killed before its requests are answered.
func TestStalledEntryAnswersRequestsBeforeItIsKilled(t *testing.T) {
	const term, stall, resume = syscall.SIGTERM, syscall.SIGSTOP, syscall.SIGCONT
	for i, e := range []struct {
		name    string
		signals []stopEvent
	}{
		{"not stalled", []stopEvent{{0, term}}},
		{"before SIGTERM", []stopEvent{{-2500 * time.Millisecond, stall}, {-time.Second, resume}, {0, term}}},
		{"over SIGTERM", []stopEvent{{-200 * time.Millisecond, stall}, {0, term}, {2600 * time.Millisecond, resume}}},
		{"briefly over SIGTERM", []stopEvent{{-20 * time.Millisecond, stall}, {0, term}, {330 * time.Millisecond, resume}}},
		{"over nearly all of the grace", []stopEvent{{-200 * time.Millisecond, stall}, {0, term}, {7600 * time.Millisecond, resume}}},
		{"twice over SIGTERM", []stopEvent{{-1500 * time.Millisecond, stall}, {0, term}, {time.Second, resume}, {1010 * time.Millisecond, stall}, {3 * time.Second, resume}}},
		{"after SIGTERM", []stopEvent{{0, term}, {time.Second, stall}, {5 * time.Second, resume}}},
		{"over the end of the grace", []stopEvent{{0, term}, {6 * time.Second, stall}, {7700 * time.Millisecond, resume}}},
	} {
		t.Run(e.name, func(t *testing.T) {
			t.Parallel()
			w := startStoppingEntry(t, firstStopHost+2*i, slowWork)
			ctx, cancel := context.WithCancel(t.Context())
			traffic := make(chan struct{})
			go func() {
				defer close(traffic)
				w.sendUntil(ctx)
			}()
			time.Sleep(time.Second)
			status := w.stop(t, e.signals)
			cancel()
			<-traffic
			must.True(t, status.Exited(), must.Sprintf("%v", status.Signal()))
			statuses, answered, lost := map[int]int{}, 0, 0
			for id, r := range w.replies {
				statuses[r.Status]++
				switch {
				case r.Whole:
					answered++
				case !r.Expired && w.arrived[id]:
					lost++
					t.Logf("%s has no whole answer after %v: status %d, %v", id, r.after, r.Status, r.Err)
				}
			}
			t.Logf("replies by status: %v", statuses)
			must.Zero(t, lost)
			must.GreaterEq(t, leastAnswered, answered)
		})
	}
}
