//go:build review

package main

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/oriolecroft/oriolecroft/review/bed"
)

const (
	graceTime    = 8 * time.Second
	stableWindow = 3 * time.Second
	// ttlMax is ttl_max_s.
	ttlMax = 5 * time.Second
	// slowLimit is the time limit of a request of playLeave, and the timeout of its route.
	slowLimit = 6 * time.Second
	// requestPause is the mean pause between two requests of a consumer.
	requestPause = 500 * time.Millisecond
)

// consumer asks the directory where to connect, and sends requests on new channels.
type consumer struct {
	d    *deployment
	zone int
	// keeps is for how many times the stated time it keeps an answer of the directory.
	keeps int

	entries []netip.AddrPort
	until   time.Time
}

// run sends requests, one each requestPause in the mean, until the context ends.
func (c *consumer) run(ctx context.Context, t *traffic) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(rand.ExpFloat64() * float64(requestPause))):
		}
		if time.Now().After(c.until) {
			c.resolve(ctx)
		}
		if len(c.entries) == 0 {
			continue
		}
		call := &bed.Call{Entry: c.entries[rand.IntN(len(c.entries))], Method: "POST", Host: host, Path: bookPath, Key: key, Limit: slowLimit, Body: `{"slot":"1"}`}
		t.wait.Go(func() {
			from := time.Now()
			r := bed.Do(context.Background(), call)
			t.mu.Lock()
			defer t.mu.Unlock()
			t.sent = append(t.sent, sent{r, call, from, time.Now()})
		})
	}
}

// resolve asks up to three directories, the nearest first, for one second each. Without an answer the consumer keeps
// the one that it has.
func (c *consumer) resolve(ctx context.Context) {
	for i := range c.d.machines {
		m := c.d.machines[(c.zone+i)%len(c.d.machines)]
		entries, ttl, err := ask(ctx, m.At(bed.PortDirectory), bed.Zones[c.zone])
		if err == nil && len(entries) > 0 {
			c.entries, c.until = entries, time.Now().Add(time.Duration(c.keeps)*min(ttl, ttlMax))
			return
		}
	}
}

// ask asks a directory.
func ask(ctx context.Context, directory netip.AddrPort, z bed.Zone) (entries []netip.AddrPort, ttl time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	q := url.Values{"name": {host}, "region": {z.Region}, "zone": {z.Name}}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+directory.String()+"/v1/resolve?"+q.Encode(), nil)
	if err != nil {
		return nil, 0, err
	}
	r.Close = true
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, 0, err
	}
	defer res.Body.Close()
	var out struct {
		Addresses []netip.AddrPort `json:"addresses"`
		TTL       float64          `json:"ttl_s"`
	}
	if err := json.NewDecoder(res.Body).Decode(&out); err != nil {
		return nil, 0, err
	}
	return out.Addresses, time.Duration(out.TTL * float64(time.Second)), nil
}

// stop is one planned stop of an entry.
type stop struct {
	entry netip.AddrPort
	// termed is when SIGTERM was sent, woke when the freeze around it had ended, ended when the process had.
	termed, woke, ended time.Time
	killed              bool
}

// calmFrom is from when on a request counts: a stable window after the freeze, or the SIGTERM without one.
func (s *stop) calmFrom() time.Time {
	if s.woke.Equal(s.termed) {
		return s.termed
	}
	return s.woke.Add(stableWindow)
}

// playLeave stops the entries in turn with SIGTERM, and with SIGKILL grace_s later. Each freezes from shortly before
// its SIGTERM on for frozenFor.
func playLeave(b *bed.Bed, trouble string) (int, error) {
	const (
		frozenFor    = 2800 * time.Millisecond
		beforeSignal = 200 * time.Millisecond
		cycles       = 9
		perZone      = 130
	)
	putManifest(b, slowLimit, 0, 0)
	d, err := start(b, 2, "-work", "2600ms", "-slots", "400")
	if err != nil {
		return 0, err
	}
	ctx, stopTraffic := context.WithCancel(context.Background())
	defer stopTraffic()
	t := &traffic{d: d}
	var consumers sync.WaitGroup
	for i := range perZone * len(bed.Zones) {
		c := &consumer{d: d, zone: i % len(bed.Zones), keeps: 1 + 2*(i/len(bed.Zones)%2)}
		consumers.Go(func() { c.run(ctx, t) })
	}
	time.Sleep(stableWindow + 500*time.Millisecond)
	var stops []stop
	for cycle := range cycles {
		s, err := d.stopEntry(cycle%len(d.entries), trouble == "1", beforeSignal, frozenFor)
		if err != nil {
			return 0, err
		}
		stops = append(stops, s)
		time.Sleep(time.Second)
	}
	stopTraffic()
	consumers.Wait()
	requests := t.finish()
	events, err := d.events()
	if err != nil {
		return 0, err
	}
	d.writeRecord(requests, events)
	lost := 0
	for i := range requests {
		r := &requests[i]
		if s := lostIn(stops, r, events); s != nil {
			lost++
			b.Say("LOST: %s sent %.3f s after the SIGTERM, %.3f s after the freeze, passed on to a replica, its channel ended without an answer after %.3f s: %v",
				r.ID, r.from.Sub(s.termed).Seconds(), r.from.Sub(s.woke).Seconds(), r.to.Sub(r.from).Seconds(), r.Err)
		}
	}
	b.Say("%d requests, by status: %s; %d of them lost around a planned stop", len(requests), statuses(requests), lost)
	if len(requests) == 0 {
		return bed.CantRun, nil
	}
	if lost > 0 {
		return bed.Broken, nil
	}
	return bed.Held, nil
}

// stopEntry stops an entry as the platform does, and starts it again.
func (d *deployment) stopEntry(i int, freeze bool, before, frozenFor time.Duration) (stop, error) {
	p, m := d.entries[i], d.machines[i]
	s := stop{entry: m.At(bed.PortFront)}
	began := time.Now()
	if freeze {
		d.Log("%s freezes", m.Name)
		p.Signal(syscall.SIGSTOP)
		time.Sleep(before)
	}
	s.termed = time.Now()
	d.Log("%s gets SIGTERM", m.Name)
	p.Signal(syscall.SIGTERM)
	s.woke = s.termed
	if freeze {
		time.Sleep(frozenFor - time.Since(began))
		p.Signal(syscall.SIGCONT)
		s.woke = time.Now()
		d.Log("%s wakes", m.Name)
	}
	for !p.Ended() && time.Since(s.termed) < graceTime {
		time.Sleep(5 * time.Millisecond)
	}
	if s.killed = !p.Ended(); s.killed {
		d.Log("%s gets SIGKILL", m.Name)
		p.End()
	}
	s.ended = time.Now()
	d.Log("%s has ended", m.Name)
	time.Sleep(300 * time.Millisecond)
	var seeds []netip.AddrPort
	for _, other := range d.machines {
		seeds = append(seeds, other.At(bed.PortControl))
	}
	var err error
	if d.entries[i], err = d.StartEntry(m, seeds); err != nil {
		return s, err
	}
	return s, d.AwaitReady(m, 10*time.Second)
}

// lostIn is the planned stop around which a request was lost; nil if it wasn't. Only requests that began later than
// the stable window after the freeze count, and that were passed on to a replica.
func lostIn(stops []stop, r *sent, events []event) *stop {
	if r.Whole || r.to.Sub(r.from) >= slowLimit-100*time.Millisecond {
		return nil
	}
	i := slices.IndexFunc(stops, func(s stop) bool {
		return s.entry == r.call.Entry && !r.from.Before(s.termed) && !r.from.Before(s.calmFrom()) && r.to.Before(s.termed.Add(graceTime+time.Second))
	})
	if i < 0 {
		return nil
	}
	s := &stops[i]
	atWork := r.from.Sub(s.termed) <= 3*time.Second && r.to.Sub(s.termed) >= graceTime*5/6
	ran := slices.ContainsFunc(events, func(e event) bool { return e.Attempt == r.ID && e.Event == "run" })
	if atWork || !ran {
		return nil
	}
	return s
}
