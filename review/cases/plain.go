//go:build review

package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/oriolecroft/oriolecroft/review/bed"
)

const (
	service = "booking-desk"
	host    = "desk.example"
	key     = "jnbanfqasnmgkcuyj8pj"
	// lookupPath is on an idempotent route, bookPath on a non-idempotent one.
	lookupPath, bookPath = "/status/7", "/book/7"
	// maxConnections is above what the largest case needs.
	maxConnections = 2000
)

type object = map[string]any

// putManifest writes the operators' manifest: one plain service with two routes.
func putManifest(b *bed.Bed, timeout time.Duration, coldStart, coldRate float64) {
	route := func(name, prefix, kind string, attempts int) object {
		return object{
			"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": timeout.Milliseconds(), "target_latency_ms": 150,
			"priority": 2, "service": service, "max_attempts": attempts, "public": false, "sticky_sessions": false, "resume_streams": false,
			"allowed_regions": []string{},
		}
	}
	b.Store.Put("op/config", object{
		"version": 7,
		"routes":  []object{route("r-status", "/status/", "idempotent", 2), route("r-book", "/book/", "non_idempotent", 1)},
		"services": []object{{
			"name": service, "health_path": "/healthz", "max_connections": maxConnections, "protocol": "h1", "tls": false,
			"cold_start_s": coldStart, "cold_per_s": coldRate,
		}},
		"limits":  object{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []object{{"name": "bozi300", "api_keys": []string{key}, "priority": 1, "allowed_regions": []string{}}},
	})
}

// deployment is an entry and some replicas of the plain service in each zone.
type deployment struct {
	*bed.Bed
	machines []*bed.Machine
	entries  []*bed.Process
	replicas []*bed.Process
	// addresses are those of the replicas.
	addresses []netip.AddrPort
	logs      []string
	// flags are further arguments of the replicas, flagsOfFirst those of the first one of each zone beside them.
	flags, flagsOfFirst []string
}

// start starts an entry and some replicas in each zone and waits until the entries are ready.
func start(b *bed.Bed, replicasPerZone int, flags ...string) (*deployment, error) {
	return (&deployment{Bed: b, flags: flags}).start(replicasPerZone)
}

// start is the function of the same name for a deployment whose flags are set.
func (d *deployment) start(replicasPerZone int) (*deployment, error) {
	b := d.Bed
	var seeds []netip.AddrPort
	for _, z := range bed.Zones {
		m := &bed.Machine{Name: fmt.Sprintf("front-%s-1", z.Name), Zone: z, IP: b.Address()}
		d.machines = append(d.machines, m)
		seeds = append(seeds, m.At(bed.PortControl))
	}
	for i := range replicasPerZone * len(bed.Zones) {
		d.addresses = append(d.addresses, netip.AddrPortFrom(b.Address(), 8100))
		d.logs = append(d.logs, filepath.Join(b.Dir, fmt.Sprintf("replica-%d.jsonl", i)))
		p, err := d.startReplica(i, fmt.Sprintf("i-%d-1", i))
		if err != nil {
			return nil, err
		}
		d.replicas = append(d.replicas, p)
	}
	for _, m := range d.machines {
		p, err := b.StartEntry(m, seeds)
		if err != nil {
			return nil, err
		}
		d.entries = append(d.entries, p)
	}
	for _, m := range d.machines {
		if err := b.AwaitReady(m, 10*time.Second); err != nil {
			return nil, err
		}
	}
	time.Sleep(2 * time.Second)
	return d, nil
}

// startReplica starts the replica of a zone under an id.
func (d *deployment) startReplica(i int, id string) (*bed.Process, error) {
	args := []string{"-id", id, "-service", service, "-address", d.addresses[i].String(), "-zone", d.zone(i).Name, "-store", d.Store.Address().String(), "-log", d.logs[i]}
	args = append(args, d.flags...)
	if i < len(bed.Zones) {
		args = append(args, d.flagsOfFirst...)
	}
	return d.Start("replica-"+id, nil, "review/replica", args...)
}

// zone is that of a replica.
func (d *deployment) zone(i int) bed.Zone { return bed.Zones[i%len(bed.Zones)] }

// event is a line of a replica's log.
type event struct {
	At      int64  `json:"at"`
	Replica string `json:"replica"`
	Event   string `json:"event"`
	Attempt string `json:"attempt"`
	Detail  string `json:"detail"`
	Bytes   int    `json:"bytes"`
	Cold    int64  `json:"cold"`
}

func (e *event) time() time.Time { return time.UnixMilli(e.At) }

// events reads the replicas' logs in the order of their times.
func (d *deployment) events() ([]event, error) {
	var all []event
	for _, path := range d.logs {
		f, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		s := bufio.NewScanner(f)
		for s.Scan() {
			var e event
			if json.Unmarshal(s.Bytes(), &e) == nil {
				all = append(all, e)
			}
		}
		f.Close()
	}
	slices.SortStableFunc(all, func(x, y event) int { return int(x.At - y.At) })
	return all, nil
}

// sent is a request with its result.
type sent struct {
	bed.Result
	call     *bed.Call
	from, to time.Time
}

// traffic sends requests at a rate until the context ends, each from the zone's consumers to the zone's entry.
type traffic struct {
	d *deployment
	// perSecond is the rate over all zones.
	perSecond float64
	limit     time.Duration
	// bookings is the share of non-idempotent requests.
	bookings float64

	mu   sync.Mutex
	sent []sent
	wait sync.WaitGroup
}

func (t *traffic) run(ctx context.Context) {
	tick := time.NewTicker(time.Duration(float64(time.Second) / t.perSecond))
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		c := &bed.Call{Entry: t.d.machines[n%len(t.d.machines)].At(bed.PortFront), Method: "GET", Host: host, Path: lookupPath, Key: key, Limit: t.limit}
		if rand.Float64() < t.bookings {
			c.Method, c.Path, c.Body = "POST", bookPath, `{"slot":"`+strconv.Itoa(n)+`"}`
		}
		t.wait.Go(func() {
			from := time.Now()
			r := bed.Do(context.Background(), c)
			t.mu.Lock()
			defer t.mu.Unlock()
			t.sent = append(t.sent, sent{r, c, from, time.Now()})
		})
	}
}

// finish waits for the last answers and returns all requests in the order of their times.
func (t *traffic) finish() []sent {
	t.wait.Wait()
	slices.SortFunc(t.sent, func(x, y sent) int { return x.from.Compare(y.from) })
	return t.sent
}

// writeRecord adds what was sent, answered and run to the record.
func (d *deployment) writeRecord(requests []sent, events []event) {
	for i := range requests {
		r := &requests[i]
		d.Log("request %s %s %s to %s sent at %.3f: status %d, sealed %t, whole %t, as sealed %t, %d bytes, after %v, err %v",
			r.ID, r.call.Method, r.call.Path, r.call.Entry, d.Since(r.from), r.Status, r.Sealed, r.Whole, r.Right, r.Bytes, r.to.Sub(r.from).Round(time.Millisecond), r.Err)
	}
	for i := range events {
		e := &events[i]
		d.Log("replica %s at %.3f: %s %s %s (%d bytes, cold for %d ms)", e.Replica, d.Since(e.time()), e.Event, e.Attempt, e.Detail, e.Bytes, e.Cold)
	}
}

// statuses counts the results by status.
func statuses(requests []sent) string {
	counts := map[int]int{}
	for i := range requests {
		counts[requests[i].Status]++
	}
	return fmt.Sprint(counts)
}
