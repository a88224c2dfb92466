//go:build review

package main

import (
	"context"
	"syscall"
	"time"

	"github.com/oriolecroft/oriolecroft/platform/standin"
	"github.com/oriolecroft/oriolecroft/review/bed"
)

// playCold has a replica turn cold again while the platform's store is down. The replica states that on its health
// path, and in its record as soon as the store takes it.
func playCold(b *bed.Bed, trouble string) (int, error) {
	const (
		coldStart = 3.0
		coldRate  = 26.0
		bound     = coldRate*1.5 + 5
		downFor   = 4500 * time.Millisecond
		limit     = 1500 * time.Millisecond
	)
	putManifest(b, 800*time.Millisecond, coldStart, coldRate)
	d, err := start(b, 1, "-work", "15ms", "-slots", "6", "-cold", "3s")
	if err != nil {
		return 0, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	t := &traffic{d: d, perSecond: 210, limit: limit, bookings: 0.2}
	done := make(chan struct{})
	go func() {
		defer close(done)
		t.run(ctx)
	}()
	time.Sleep(4 * time.Second)
	if trouble == "1" {
		b.Log("the store answers 503")
		b.Store.SetFault(standin.Busy)
	}
	time.Sleep(500 * time.Millisecond)
	b.Log("replica %s turns cold", d.replicas[0].Name)
	d.replicas[0].Signal(syscall.SIGUSR1)
	time.Sleep(downFor - 500*time.Millisecond)
	if trouble == "1" {
		b.Store.SetFault(standin.None)
		b.Log("the store serves again")
	}
	time.Sleep(2 * time.Second)
	stop()
	<-done
	requests := t.finish()
	events, err := d.events()
	if err != nil {
		return 0, err
	}
	d.writeRecord(requests, events)
	most, at := coldest(requests, events)
	b.Say("%d requests, by status: %s; a cold replica got up to %d requests in one second (from %.3f), bound %.0f", len(requests), statuses(requests), most, b.Since(at), float64(bound))
	if len(requests) == 0 {
		return bed.CantRun, nil
	}
	if float64(most) > bound {
		b.Say("FAILBACK: a cold replica got more than cold_per_s x cold_over + cold_slack requests in one second")
		return bed.Broken, nil
	}
	return bed.Held, nil
}

// coldest returns the most requests that a replica got in one second while it was cold, and when that second began.
// Counted are requests that were sent and arrived inside that second.
func coldest(requests []sent, events []event) (most int, from time.Time) {
	sentAt := map[string]time.Time{}
	for i := range requests {
		sentAt[requests[i].ID] = requests[i].from
	}
	arrivals := map[string][]*event{}
	for i := range events {
		e := &events[i]
		if e.Event != "arrival" || e.Cold <= 0 {
			continue
		}
		arrivals[e.Replica] = append(arrivals[e.Replica], e)
		begin := e.time().Add(-time.Second)
		n, first := 0, e.time()
		for _, a := range arrivals[e.Replica] {
			if a.time().After(begin) && sentAt[a.Attempt].After(begin) {
				if n == 0 {
					first = a.time()
				}
				n++
			}
		}
		if n > most {
			most, from = n, first
		}
	}
	return most, from
}
