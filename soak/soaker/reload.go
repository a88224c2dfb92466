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

// What a process's log says of settings that were read again.
const (
	settingsFaulty  = `"Settings not reloaded`
	settingsRead    = `"Settings read again"`
	settingsChanged = `"changed":true`
)

// rereadWithin is how long a process may take to read its settings again, and lookEvery how
// often its log is looked at meanwhile.
const (
	rereadWithin = time.Second
	lookEvery    = 20 * time.Millisecond
)

// reload changes the settings file, or spoils it for a moment, or leaves it, has the
// process read it again, and tells the auditor what its log says of that.
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
		// The file tells another link's rate, which holds from the next start on.
		text = standin.ChangeLinkRate(text, standin.LinkRate-float64(amount))
		kept = text
	case 2:
		text = standin.CorruptSettings(text)
	}
	wanted := auditor.Reread{Who: p.name, Faulty: text != kept, Changed: text == kept && text != p.startedOn}
	said := p.reread(text)
	if err := os.WriteFile(p.settings, []byte(kept), 0o600); err != nil {
		said.Lost = true
	}
	p.note(auditor.Reloaded{Wanted: wanted, Said: said})
}

// reread gives the process other settings and waits for what its log says of them.
func (p *process) reread(text string) auditor.Reread {
	said := auditor.Reread{Who: p.name}
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
	p.note(auditor.HungUp{Entry: p.name})
	p.signal(syscall.SIGHUP)
	p.mu.Unlock()
	// Counted in looks, as a stall of the soak itself would else end the wait without any.
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

// awaitFirstLine waits for a process that starts. Before it has run its first line, any hangup ends it, and it may
// still read the settings file, which is to be faulty.
func (p *process) awaitFirstLine() bool {
	for range rereadWithin / lookEvery {
		if p.logged() > p.loggedBefore {
			return true
		}
		time.Sleep(lookEvery)
	}
	return false
}

// logged is how long the process's log is.
func (p *process) logged() int64 {
	info, err := os.Stat(p.log)
	if err != nil {
		return 0
	}
	return info.Size()
}

// loggedSince is what the process logged from some byte on. A log that can't be read shows
// as one without the line that is looked for.
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
