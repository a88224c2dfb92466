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

// longReplyTokens is the length of a reply that takes longer than a list of entries is
// kept.
const longReplyTokens = 300

// TestGracefulShutdownCutsNoRequest guards against streams that break off and connections
// that are refused when operators replace a machine. It ends entries and agents one
// after the other with SIGTERM, first an idle entry, then processes with streams in
// progress. Callers continue to connect by the list of entries for as long as its
// keepForMs allows.
func TestGracefulShutdownCutsNoRequest(t *testing.T) {
	t.Parallel()
	d := deploy(t, topology{entries: 3, engines: 3, services: 2, engine: func(_ int, e *imitator.Engine) {
		e.TokenTime = 7 * time.Millisecond
	}})
	lists := d.pickFromKeptLists()
	for i := range 9 {
		lists(i, 0)
	}
	d.entries[0].terminate()
	// An entry that didn't wait for such callers would have exited at this point.
	eventually(t, keepFor, "entry off the list", func() bool { return !slices.Contains(d.fetchList(1), d.entries[0].callers) })
	f := startLongTraffic(t, 9, longReplyTokens, lists)
	d.entries[0].wait()
	f.awaitComplete(t, 9)
	b := startBookings(t, 2, d, entryKeys)
	b.awaitConfirmed(t, 9)
	for _, find := range []func() *process{
		func() *process { return findBusy(d.engines) },
		func() *process { return findBusy(d.services) },
		func() *process { return findBusy(d.entries[1:]) },
	} {
		var p *process
		eventually(t, waitTimeout, "a busy process", func() bool {
			p = find()
			return p != nil
		})
		p.terminate()
		p.wait()
		f.awaitComplete(t, 9)
	}
	f.stop()
	b.stop()
	f.mustHaveNoDefects(t, d.weights)
	for _, a := range f.answers {
		must.True(t, a.complete || a.outcome == outcomeNotRun, must.Sprintf("answer %q: %s %s", a.request.Prompt, a.outcome, a.message))
	}
	b.mustMatchRuns(t)
}

// findBusy returns a process with a request in progress, or nil.
func findBusy[T interface {
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

// pickFromKeptLists has each caller connect by a list of entries that it got from an
// entry and keeps for the advertised time.
func (d *deployment) pickFromKeptLists() entryPicker {
	var mu sync.Mutex
	kept := map[int]*keptList{}
	return func(caller, request int) netip.AddrPort {
		mu.Lock()
		l := kept[caller]
		if l == nil {
			l = &keptList{sources: d.callerAddresses()}
			kept[caller] = l
		}
		mu.Unlock()
		l.refresh()
		return l.entries[request%len(l.entries)]
	}
}

// keptList is one caller's copy of the list of entries.
type keptList struct {
	sources []netip.AddrPort
	entries []netip.AddrPort
	expires time.Time
}

// refresh fetches a new list from any entry that answers once the old one has expired.
// Callers never connect by an expired list.
func (l *keptList) refresh() {
	for i := 0; time.Now().After(l.expires); i++ {
		l.fetch(l.sources[i%len(l.sources)])
	}
}

// fetchList returns the list that an entry currently sends to callers.
func (d *deployment) fetchList(i int) []netip.AddrPort {
	l := &keptList{}
	l.fetch(d.entries[i].callers)
	return l.entries
}

func (l *keptList) fetch(addr netip.AddrPort) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+"/v1/entries", nil)
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
	l.expires = time.Now().Add(time.Duration(list.KeepForMS) * time.Millisecond)
}
