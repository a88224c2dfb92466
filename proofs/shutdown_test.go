package proofs_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/standins/imitator"
)

// longReply is the length of a reply that takes longer than a list of entries is
// kept.
const longReply = 300

// TestGracefulShutdownCutsNoRequest ends entries and agents one after the other
// with SIGTERM, an entry first that has nothing to do, then others while streams
// are under way. Callers go on connecting by the list of entries that they were
// told to keep. A user would notice a draft
// that stops in the middle of a sentence, or a refused connection, whenever the
// operators replace a machine.
func TestGracefulShutdownCutsNoRequest(t *testing.T) {
	t.Parallel()
	d := deploy(t, shape{entries: 3, engines: 3, services: 2, engine: func(_ int, e *imitator.Engine) {
		e.TokenTime = 7 * time.Millisecond
	}})
	lists := d.keptLists()
	for i := range 9 {
		lists(i, 0)
	}
	d.entries[0].leave()
	// An entry that did not wait for such callers would be gone by then.
	eventually(t, keepFor, "entry off the list", func() bool { return !slices.Contains(d.fetchList(1), d.entries[0].callers) })
	f := startLongTraffic(t, 9, longReply, lists)
	d.entries[0].wait()
	f.moves(t, 9)
	b := startBookings(t, 2, d, minted)
	b.moves(t, 9)
	for _, find := range []func() *process{
		func() *process { return busy(d.engines) },
		func() *process { return busy(d.services) },
		func() *process { return busy(d.entries[1:]) },
	} {
		var p *process
		eventually(t, patience, "a busy process", func() bool {
			p = find()
			return p != nil
		})
		p.leave()
		p.wait()
		f.moves(t, 9)
	}
	f.stop()
	b.stop()
	f.mustBeHonest(t, d.weights)
	for _, a := range f.answers {
		must.True(t, a.whole || a.outcome == notRun, must.Sprintf("answer %q: %s %s", a.question.Prompt, a.outcome, a.message))
	}
	b.mustBeTrue(t)
}

// busy finds one that has a request under way.
func busy[T interface {
	running() int
	self() *process
}](vs []T) *process {
	for _, v := range vs {
		if v.running() > 0 {
			return v.self()
		}
	}
	return nil
}

// keptLists has each caller connect by a list of entries that it got from an
// entry and keeps as long as it was told to.
func (d *deployment) keptLists() picker {
	var mu sync.Mutex
	kept := map[int]*keptList{}
	return func(caller, request int) netip.AddrPort {
		mu.Lock()
		l := kept[caller]
		if l == nil {
			l = &keptList{ask: d.callers()}
			kept[caller] = l
		}
		mu.Unlock()
		l.refresh()
		return l.entries[request%len(l.entries)]
	}
}

// keptList is one caller's copy of the list of entries.
type keptList struct {
	ask     []netip.AddrPort
	entries []netip.AddrPort
	until   time.Time
}

// refresh asks for a new list once the old one has run out, any entry that
// answers. Nothing is connected to by a list that has run out.
func (l *keptList) refresh() {
	for i := 0; time.Now().After(l.until); i++ {
		l.fetch(l.ask[i%len(l.ask)])
	}
}

// fetchList is what an entry tells callers now.
func (d *deployment) fetchList(i int) []netip.AddrPort {
	l := &keptList{}
	l.fetch(d.entries[i].callers)
	return l.entries
}

func (l *keptList) fetch(at netip.AddrPort) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at.String()+"/v1/entries", nil)
	if err != nil {
		return
	}
	res, err := client.Do(r)
	if err != nil {
		return
	}
	defer res.Body.Close()
	var list struct {
		Entries []struct {
			Address netip.AddrPort `json:"address"`
		} `json:"entries"`
		KeepForMS int64 `json:"keepForMs"`
	}
	if json.NewDecoder(res.Body).Decode(&list) != nil || len(list.Entries) == 0 {
		return
	}
	l.entries = nil
	for _, e := range list.Entries {
		l.entries = append(l.entries, e.Address)
	}
	l.until = time.Now().Add(time.Duration(list.KeepForMS) * time.Millisecond)
}
