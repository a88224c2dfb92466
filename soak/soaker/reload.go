package soaker

import (
	"io"
	"math"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/oriolecroft/oriolecroft/platform/standin"
	"github.com/oriolecroft/oriolecroft/soak/auditor"
)

// Parts of the log lines that a process writes after a reload of its settings.
const (
	settingsFaulty  = `"Settings not reloaded`
	settingsRead    = `"Settings read again"`
	settingsChanged = `"changed":true`
)

// rereadWithin is how long a process may take to reload its settings, and lookEvery the interval
// at which its log is read meanwhile.
const (
	rereadWithin = time.Second
	lookEvery    = 20 * time.Millisecond
)

// reload changes the settings file, corrupts it for a moment or leaves it as it is, makes the process
// reload it, and reports the logged result to the auditor.
func (p *process) reload(amount int) {
	p.rereading.Lock()
	defer p.rereading.Unlock()
	before, err := os.ReadFile(p.settings)
	if err != nil {
		p.note(auditor.Exited{Who: p.name, Alone: true})
		return
	}
	text, kept := string(before), string(before)
	switch amount % 3 {
	case 1:
		// The file sets another link rate, which takes effect at the next start.
		text = standin.ChangeLinkRate(text, standin.LinkRate-float64(amount))
		kept = text
	case 2:
		text = standin.CorruptSettings(text)
	}
	wanted := auditor.ReloadResult{Who: p.name, Faulty: text != kept, Changed: text == kept && text != p.startedOn}
	said := p.reread(text)
	if err := os.WriteFile(p.settings, []byte(kept), 0o600); err != nil {
		said.Lost = true
	}
	p.note(auditor.Reloaded{Wanted: wanted, Said: said})
}

// reread gives the process other settings and waits for the result in its log.
func (p *process) reread(text string) auditor.ReloadResult {
	said := auditor.ReloadResult{Who: p.name}
	if !p.awaitFirstLine() {
		said.Lost = true
		return said
	}
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		said.Lost = true
		return said
	}
	from := p.logged()
	p.mu.Lock()
	p.note(auditor.ReloadRequested{Entry: p.name})
	p.signal(syscall.SIGHUP)
	p.mu.Unlock()
	// Count reads instead of time, as a stall of the soak itself could end the wait without any read.
	for range rereadWithin / lookEvery {
		time.Sleep(lookEvery)
		for line := range strings.Lines(p.loggedSince(from)) {
			switch {
			case !strings.HasSuffix(line, "\n"):
			case strings.Contains(line, settingsFaulty):
				said.Faulty = true
				return said
			case strings.Contains(line, settingsRead):
				said.Changed = strings.Contains(line, settingsChanged)
				return said
			}
		}
	}
	said.Lost = true
	return said
}

// awaitFirstLine waits for a starting process to log. Before its first line, a SIGHUP ends it, and it
// may still read the settings file, which could be faulty.
func (p *process) awaitFirstLine() bool {
	for range rereadWithin / lookEvery {
		if p.logged() > p.loggedBefore {
			return true
		}
		time.Sleep(lookEvery)
	}
	return false
}

// logged returns the length of the process's log.
func (p *process) logged() int64 {
	info, err := os.Stat(p.log)
	if err != nil {
		return 0
	}
	return info.Size()
}

// loggedSince returns what the process logged after an offset. An unreadable log counts as one without
// the expected line.
func (p *process) loggedSince(from int64) string {
	f, err := os.Open(p.log)
	if err != nil {
		return ""
	}
	defer f.Close()
	text, err := io.ReadAll(io.NewSectionReader(f, from, math.MaxInt64-from))
	if err != nil {
		return ""
	}
	return string(text)
}
