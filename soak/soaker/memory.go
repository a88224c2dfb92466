package soaker

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/oriolecroft/oriolecroft/soak/auditor"
)

// measureEvery is how often the memory of processes is looked at. The kernel keeps the most that each has taken.
const measureEvery = 200 * time.Millisecond

// measure is how many megabytes a process has taken.
type measure struct {
	pid       int
	megabytes int64
}

// watchMemory tells the auditor of the memory that the process takes, whenever that is another megabyte, and
// returns the most that it took.
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

// peak is the most resident memory that the running process has taken, in bytes; false for none that runs.
func (p *process) peak() (pid int, taken int64, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0, 0, false
	}
	select {
	case <-p.done:
		// Another process may have its number by now.
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
