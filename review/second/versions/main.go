//go:build review

// Command versions plays the case of new weights whose version number is far above the previous one.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oriolecroft/oriolecroft/platform/standin"
	"github.com/oriolecroft/oriolecroft/review/second/bed"
)

const (
	model, host             = "survey", "ramps.example"
	engineService           = "survey-model"
	plainService            = "booking-desk"
	chunks, chunkBytes      = 96, 24576
	nameAfter, playFor      = 2 * time.Second, 66 * time.Second
	streamGap, bookingGap   = 300 * time.Millisecond, 100 * time.Millisecond
	streamLimit, plainLimit = 6 * time.Second, 1500 * time.Millisecond
	promptTokens, events    = 600, 14
	heartbeat               = 1200 * time.Millisecond
	// servedShare is the share of all requests' service below which a kind of request counts as starved (RULES.md).
	servedShare = 0.25
)

// figures are those of a small engine; a stream takes about 0.3 s.
var figures = standin.EngineFigures{Model: model, Slots: 8, Chunks: chunks, Step: 12 * time.Millisecond, ReadPerSecond: 10000, Load: 300 * time.Millisecond}

// newVersion is the version that is named: the time, or without trouble the next number.
func newVersion() uint64 {
	if bed.Trouble() {
		return uint64(time.Now().UnixMilli())
	}
	return 2
}

// runs records what the replicas run.
type runs struct{ *bed.Bed }

func (runs) Arrived(standin.Arrival)                {}
func (runs) Rejected(string, string, time.Duration) {}
func (r runs) Began(id, upstream string, version uint64, corrupted bool) {
	r.Recordf("run %s at %s, version %d, corrupted %v", id, upstream, version, corrupted)
}
func (runs) Ended(string, string, bool, int) {}
func (runs) Failed(string, string)           {}
func (runs) Flooded(string, string, int)     {}
func (runs) Unread(string, string)           {}

// tally counts the requests of a kind.
type tally struct {
	mu                    sync.Mutex
	asked, served, newest int
}

func (t *tally) share() float64 { return float64(t.served) / float64(max(1, t.asked)) }

func main() {
	b, err := bed.New()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(bed.NotRun)
	}
	code, err := run(b)
	if err != nil {
		b.Logf("not run: %v", err)
		code = bed.NotRun
	}
	b.Logf("exit %d", code)
	b.Close()
	os.Exit(code)
}

func run(b *bed.Bed) (int, error) {
	zones := []string{"kalamaria", "heraklion", "ialysos"}
	for i, region := range []string{"thessaloniki", "crete", "rhodes"} {
		b.Deployment.Regions[zones[i]] = region
	}
	origin := &standin.Origin{Chunks: chunks, ChunkBytes: chunkBytes}
	originAt := netip.AddrPortFrom(b.IP(3, 1), standin.PortOrigin)
	l, err := standin.Listen(originAt)
	if err != nil {
		return 0, err
	}
	go func() { _ = origin.Serve(l) }()
	var entries, sides []*standin.VM
	for i, zone := range zones {
		region := b.Deployment.Regions[zone]
		entries = append(entries, &standin.VM{Name: "front-" + zone + "-1", IP: b.IP(1, byte(i+1)), FailureDomain: zone, Region: region, MemoryMB: 284})
		sides = append(sides, &standin.VM{Name: "side-" + zone + "-1", IP: b.IP(4, byte(i+1)), FailureDomain: zone, Region: region, MemoryMB: 152, Service: engineService})
		b.Deployment.Seeds = append(b.Deployment.Seeds, entries[i].At(standin.PortPeers))
	}
	var engines []*standin.Engine
	for i, v := range sides {
		staged := &standin.Staged{}
		for n := range chunks {
			staged.Put(n, origin.Chunk(model, 1, n))
		}
		e := standin.NewEngine(standin.Record{ID: fmt.Sprintf("i-model%d", i+1), Service: engineService, Address: v.At(standin.PortUpstream), FailureDomain: zones[i]}, figures, origin, staged, 1)
		if err := start(b, e.Upstream); err != nil {
			return 0, err
		}
		engines = append(engines, e)
		desk := standin.NewService(standin.Record{ID: fmt.Sprintf("i-desk%d", i+1), Service: plainService, Address: netip.AddrPortFrom(b.IP(2, byte(i+1)), standin.PortUpstream), FailureDomain: zones[i], Slots: 6}, 30*time.Millisecond)
		if err := start(b, desk); err != nil {
			return 0, err
		}
	}
	b.Store.PutTable(&standin.Table{
		Version: 1, Host: host, Services: []string{plainService}, Engines: []string{engineService}, Engine: figures,
		Origin: originAt, OriginDomain: zones[0], ColdRate: 26,
		Routes: []standin.Route{
			{Name: "permit-question", Prefix: "/permit/", Service: engineService, Kind: standin.Streaming, Resume: true, Public: true, Attempts: 3, Timeout: streamLimit},
			{Name: "crew-booking", Prefix: "/booking/", Service: plainService, Kind: standin.NonIdempotent, Public: true, Attempts: 3, Timeout: plainLimit},
		},
		Workspaces: []standin.Workspace{{Name: "north", Keys: []string{"key"}}},
	})
	agents := map[string]*bed.Process{}
	for i := range zones {
		if _, err := b.StartDaemon("entry", entries[i], nil); err != nil {
			return 0, err
		}
		p, err := b.StartDaemon("agent", sides[i], nil)
		if err != nil {
			return 0, err
		}
		agents[sides[i].Name] = p
	}
	if err := b.AwaitReady(entries, 20*time.Second); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)

	var streams, bookings tally
	began := time.Now()
	var callers sync.WaitGroup
	callers.Go(func() { offer(b, &callers, began, entries, "/permit/", streamGap, streamLimit, &streams) })
	callers.Go(func() { offer(b, &callers, began, entries, "/booking/", bookingGap, plainLimit, &bookings) })
	time.Sleep(nameAfter)
	version := newVersion()
	b.Store.AnnounceWeights(model, version)
	b.Logf("version %d of the weights named", version)
	for time.Since(began) < playFor {
		before := processorTimes(agents)
		time.Sleep(4 * time.Second)
		report(b, agents, before, engines, &streams, &bookings)
	}
	callers.Wait()
	all := float64(streams.served+bookings.served) / float64(max(1, streams.asked+bookings.asked))
	b.Logf("streams served %d of %d (%.3f), bookings %d of %d (%.3f), all %.3f", streams.served, streams.asked, streams.share(), bookings.served, bookings.asked, bookings.share(), all)
	if streams.share() < servedShare*all {
		b.Logf("Starved broken: permit-question is served less than a quarter as often as all requests")
		return bed.Broken, nil
	}
	return bed.Held, nil
}

// start runs a replica and its record.
func start(b *bed.Bed, u *standin.Upstream) error {
	l, err := standin.Listen(u.Address)
	if err != nil {
		return err
	}
	u.Observer, u.Store, u.Heartbeat, u.BreakOff = runs{b}, b.Store, heartbeat, new(atomic.Int32)
	u.Start(l, 0)
	return nil
}

// offer sends requests at a steady rate.
func offer(b *bed.Bed, callers *sync.WaitGroup, began time.Time, entries []*standin.VM, prefix string, gap, limit time.Duration, t *tally) {
	for i := 0; time.Since(began) < playFor; i++ {
		id := fmt.Sprintf("%s%07x%08x", strings.Trim(prefix, "/")[:1], i, time.Now().UnixNano()&0xffffffff)
		callers.Go(func() {
			status, whole := ask(b, entries[i%len(entries)], prefix, id, limit)
			t.mu.Lock()
			defer t.mu.Unlock()
			t.asked++
			if status == http.StatusOK && whole {
				t.served++
			}
			t.newest = status
		})
		time.Sleep(gap)
	}
}

// ask sends a request, once more if it is refused and time is left, and returns the last status.
func ask(b *bed.Bed, entry *standin.VM, prefix, id string, limit time.Duration) (status int, whole bool) {
	end := time.Now().Add(limit)
	for attempt := range 2 {
		var wait time.Duration
		name := fmt.Sprintf("%s%x", id, attempt)
		b.Recordf("sent %s to %s", name, entry.Name)
		status, whole, wait = try(entry, prefix, name, time.Until(end))
		b.Recordf("answered %s: status %d, whole %v", name, status, whole)
		if status != http.StatusServiceUnavailable || time.Now().Add(wait).After(end) {
			break
		}
		time.Sleep(wait)
	}
	return status, whole
}

func try(entry *standin.VM, prefix, id string, left time.Duration) (status int, whole bool, wait time.Duration) {
	c, err := net.DialTimeout("tcp", entry.At(standin.PortCallers).String(), time.Second)
	if err != nil {
		return 0, false, 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(left))
	head := ""
	if prefix == "/permit/" {
		head = fmt.Sprintf("X-Model: %s\r\nX-Token-Count: %d,%d\r\nX-Prompt-Prefix: aa:40,%s:%d\r\n", model, promptTokens, events, id, promptTokens-40)
	}
	fmt.Fprintf(c, "POST %s%s HTTP/1.1\r\nHost: %s\r\nX-Request-Attempt: %s\r\nX-Deadline-Ms: %d\r\n%sContent-Length: 2\r\n\r\nok", prefix, id, host, id, left.Milliseconds(), head)
	res, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, false, 0
	}
	_, err = io.Copy(io.Discard, res.Body)
	seconds, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	return res.StatusCode, err == nil, time.Duration(seconds * float64(time.Second))
}

// processorTimes returns the processor time that each agent has used, in ticks of 10 ms.
func processorTimes(agents map[string]*bed.Process) map[string]int {
	times := map[string]int{}
	for name, p := range agents {
		times[name] = p.ProcessorTicks()
	}
	return times
}

// report writes the state of all engines and agents to the record.
func report(b *bed.Bed, agents map[string]*bed.Process, before map[string]int, engines []*standin.Engine, streams, bookings *tally) {
	now := processorTimes(agents)
	var line strings.Builder
	for i, name := range []string{"side-kalamaria-1", "side-heraklion-1", "side-ialysos-1"} {
		held, corrupted := engines[i].Holds()
		fmt.Fprintf(&line, "  %s: agent %.2f of a core, engine holds %d, corrupted %v", name, float64(now[name]-before[name])/400, held, corrupted)
	}
	for name, t := range map[string]*tally{"streams": streams, "bookings": bookings} {
		t.mu.Lock()
		fmt.Fprintf(&line, "  %s %d/%d, last status %d", name, t.served, t.asked, t.newest)
		t.mu.Unlock()
	}
	b.Logf("%s", line.String())
}
