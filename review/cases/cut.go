//go:build review

package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/oriolecroft/oriolecroft/review/bed"
)

// playCut has half of the replicas send one answer in 20 without a length, in two halves. Each replica keeps connections
// to a database, as such a service does: the kernel closes a crashed process's channels one by one, its listener last.
// Every crashPause one replica of six crashes and is back downFor later, as a new start at its address.
//
// With TROUBLE=freeze+crash, the entry of the replica's zone is frozen from before the crash until after the return,
// and with TROUBLE=freeze there is only that freeze.
func playCut(b *bed.Bed, trouble string) (int, error) {
	const (
		rounds     = 18
		crashPause = 3 * time.Second
		downFor    = time.Second
		limit      = 4 * time.Second
	)
	crash := trouble == "1" || trouble == "freeze+crash"
	freeze := strings.HasPrefix(trouble, "freeze")
	putManifest(b, limit, 0, 0)
	database, err := b.Database()
	if err != nil {
		return 0, err
	}
	d, err := (&deployment{
		Bed: b, flags: []string{"-work", "15ms", "-hold", "1s", "-slots", "12", "-database", database.String(), "-connections", "40"}, flagsOfFirst: []string{"-unframed"},
	}).start(2)
	if err != nil {
		return 0, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	t := &traffic{d: d, perSecond: 600, limit: limit, bookings: 0.5}
	done := make(chan struct{})
	go func() {
		defer close(done)
		t.run(ctx)
	}()
	time.Sleep(3 * time.Second)
	for round := range rounds {
		i := round % len(bed.Zones)
		entry := i % len(d.entries)
		began := time.Now()
		if freeze {
			b.Log("entry %s freezes", d.machines[entry].Name)
			d.entries[entry].Signal(syscall.SIGSTOP)
			time.Sleep(100 * time.Millisecond)
		}
		if crash {
			b.Log("%s crashes", d.replicas[i].Name)
			d.replicas[i].End()
			time.Sleep(downFor)
			if d.replicas[i], err = d.startReplica(i, fmt.Sprintf("i-%d-%d", i, round+2)); err != nil {
				return 0, err
			}
		}
		if freeze {
			time.Sleep(1500*time.Millisecond - time.Since(began))
			b.Log("entry %s wakes", d.machines[entry].Name)
			d.entries[entry].Signal(syscall.SIGCONT)
		}
		time.Sleep(crashPause - time.Since(began))
	}
	stop()
	<-done
	requests := t.finish()
	events, err := d.events()
	if err != nil {
		return 0, err
	}
	d.writeRecord(requests, events)
	wrong := 0
	for i := range requests {
		r := &requests[i]
		if r.Status/100 != 2 || !r.Whole || r.Right {
			continue
		}
		wrong++
		half := slices.IndexFunc(events, func(e event) bool { return e.Attempt == r.ID && e.Event == "half" })
		replica := "no replica"
		if half >= 0 {
			replica = events[half].Replica + ", which crashed after it had sent as much"
		}
		b.Say("MIXED: %s %s got a complete answer with status %d and %d bytes of %s", r.call.Method, r.ID, r.Status, r.Bytes, replica)
	}
	b.Say("%d requests, by status: %s; %d successes with a body that isn't the replica's whole body", len(requests), statuses(requests), wrong)
	if len(requests) == 0 {
		return bed.CantRun, nil
	}
	if wrong > 0 {
		return bed.Broken, nil
	}
	return bed.Held, nil
}
