package soaker

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/oriolecroft/oriolecroft/soak/auditor"
)

// memoryInterval is the interval at which the memory of processes is read. The kernel records the peak
// of each.
const memoryInterval = 200 * time.Millisecond

// memorySample is a process's memory use in megabytes.
type memorySample struct {
	pid       int
	megabytes int64
}

// watchMemory reports the memory that the process uses whenever it changes by a megabyte, and returns
// the peak.
func (p *process) watchMemory(ctx context.Context) (most int64) {
	var previous memorySample
	for sleep(ctx, memoryInterval) {
		pid, taken, ok := p.peakMemory()
		if now := (memorySample{pid, taken / bytesPerMB}); ok && now != previous {
			p.observe(auditor.Measured{Who: p.name, Taken: taken, Allowed: p.memory})
			previous, most = now, max(most, taken)
		}
	}
	return most
}

// peakMemory returns the peak resident memory of the running process in bytes; false if none runs.
func (p *process) peakMemory() (pid int, taken int64, ok bool) {
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
	// The status of a process that is just ending lists no memory.
	return 0, 0, false
}
