package soaker

import (
	"net/netip"
	"sync"
	"time"

	"github.com/oriolecroft/oriolecroft/platform/standin"
)

const (
	// lateStreams are sent to an entry that stops, one each lateStreamInterval from lateStreamDelay after its signal on, when
	// the directory answers that list it have expired.
	lateStreams        = 6
	lateStreamDelay    = 3020 * time.Millisecond
	lateStreamInterval = 40 * time.Millisecond
	// reportEvents is the length of their answers, which take 3.9 s or more with their engines' silence, and reportLimit how
	// long their callers wait.
	reportEvents = 200
	reportLimit  = 6 * time.Second
)

// stopEntry stops an entry while late callers send it streams whose engines fall silent once.
func (w *deployment) stopEntry(target int) {
	n := target % len(w.entries)
	wait := w.entries[n].beginStop()
	var all sync.WaitGroup
	defer all.Wait()
	all.Go(func() { w.sendLateStreams(w.entryVMs[n].At(standin.PortCallers)) })
	wait()
}

func (w *deployment) sendLateStreams(entry netip.AddrPort) {
	var all sync.WaitGroup
	defer all.Wait()
	if !sleep(w.running, lateStreamDelay) {
		return
	}
	for i := range lateStreams {
		c := w.newCaller(i)
		c.entries = []netip.AddrPort{entry}
		all.Go(func() { c.sendReport() })
		if !sleep(w.running, lateStreamInterval) {
			return
		}
	}
}

// sendReport sends a request for a long stream, if its entry accepts the connection.
func (c *caller) sendReport() {
	defer c.disconnect()
	if !c.connect(c.running) {
		return
	}
	q := c.newRequest()
	c.setPath(q, reportPrefix)
	q.Key, q.Prompt, q.Events, q.Limit, q.Parts = steadyKey, 300, reportEvents, reportLimit, soundParts(draftPrefix)
	c.pauses.Add(q.ID)
	c.send(q)
}
