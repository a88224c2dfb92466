package soaker

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/oriolecroft/oriolecroft/soak/auditor"
)

// measureEvery is the interval at which the memory of processes is read. The kernel records the peak
// of each.
const measureEvery = 200 * time.Millisecond

// measure is a process's memory use in megabytes.
type measure struct {
	pid       int
	megabytes int64
}

// watchMemory reports the memory that the process uses whenever it changes by a megabyte, and returns
// the peak.
func (p *process) watchMemory(ctx context.Context) (most int64) {
	var before measure
	for sleep(ctx, measureEvery) {
		pid, taken, ok := p.peak()
		if now := (measure{pid, taken / bytesPerMB}); ok && now != before {
			p.note(auditor.Measured{Who: p.name, Taken: taken, Allowed: p.memory})
			before, most = now, max(most, taken)
		}
	}
	return most
}

// peak returns the peak resident memory of the running process in bytes; false if none runs.
func (p *process) peak() (pid int, taken int64, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0, 0, false
	}
	select {
	case <-p.done:
		// Another process may have reused the PID.
		return 0, 0, false
	default:
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, 0, false
	}
	for line := range strings.Lines(string(text)) {
		var kibibytes int64
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kibibytes); n == 1 {
			return p.cmd.Process.Pid, kibibytes << 10, true
		}
	}
	// One that is just ending has no memory.
	return 0, 0, false
}
