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

// reloadTimeout is how long a process may take to reload its settings, and logPollInterval the interval
// at which its log is read meanwhile.
const (
	reloadTimeout   = time.Second
	logPollInterval = 20 * time.Millisecond
)

// reload changes the settings file, corrupts it for a moment or leaves it as it is, makes the process
// reload it, and reports the logged result to the auditor.
func (p *process) reload(amount int) {
	p.reloading.Lock()
	defer p.reloading.Unlock()
	before, err := os.ReadFile(p.settings)
	if err != nil {
		p.observe(auditor.Exited{Who: p.name, Alone: true})
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
	wanted := auditor.ReloadResult{Who: p.name, Faulty: text != kept, Changed: text == kept && text != p.startSettings}
	logged := p.signalReload(text)
	if err := os.WriteFile(p.settings, []byte(kept), 0o600); err != nil {
		logged.Lost = true
	}
	p.observe(auditor.Reloaded{Wanted: wanted, Said: logged})
}

// signalReload gives the process other settings and waits for the result in its log.
func (p *process) signalReload(text string) auditor.ReloadResult {
	logged := auditor.ReloadResult{Who: p.name}
	if !p.awaitFirstLine() {
		logged.Lost = true
		return logged
	}
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		logged.Lost = true
		return logged
	}
	from := p.logLength()
	p.mu.Lock()
	p.observe(auditor.ReloadRequested{Entry: p.name})
	p.signal(syscall.SIGHUP)
	p.mu.Unlock()
	// Count reads instead of time, as a stall of the soak itself could end the wait without any read.
	for range reloadTimeout / logPollInterval {
		time.Sleep(logPollInterval)
		for line := range strings.Lines(p.loggedSince(from)) {
			switch {
			case !strings.HasSuffix(line, "\n"):
			case strings.Contains(line, settingsFaulty):
				logged.Faulty = true
				return logged
			case strings.Contains(line, settingsRead):
				logged.Changed = strings.Contains(line, settingsChanged)
				return logged
			}
		}
	}
	logged.Lost = true
	return logged
}

// awaitFirstLine waits for a starting process to log. Before its first line, a SIGHUP ends it, and it
// may still read the settings file, which could be faulty.
func (p *process) awaitFirstLine() bool {
	for range reloadTimeout / logPollInterval {
		if p.logLength() > p.logLengthAtStart {
			return true
		}
		time.Sleep(logPollInterval)
	}
	return false
}

// logLength returns the length of the process's log.
func (p *process) logLength() int64 {
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
