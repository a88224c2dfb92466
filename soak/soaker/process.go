package soaker

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/oriolecroft/oriolecroft/platform"
	"github.com/oriolecroft/oriolecroft/soak/auditor"
)

// restartPause is the time between the end of a process and its next start, as on the platform.
const restartPause = 300 * time.Millisecond

// process is a daemon of the system on its VM. It is restarted whenever it ends.
type process struct {
	name, binary, role string
	settings, log      string
	observe            func(auditor.Event)
	// grace is the time between the signal to stop and the kill.
	grace time.Duration
	// memory is its limit in bytes.
	memory int64

	// reloading is held while the settings file is written and reloaded. No process starts meanwhile,
	// as it might read a faulty file.
	reloading sync.Mutex
	// startSettings is the text of the settings with which the running process started.
	startSettings string
	// logLengthAtStart is the length of the log in bytes when the running process started.
	logLengthAtStart int64

	mu  sync.Mutex
	cmd *exec.Cmd
	// signaled is set once the running process got a signal to end, killed once it got SIGKILL.
	signaled, killed bool
	// ended is set once the process must not restart.
	ended bool
	// powerLossTime is how long the VM has no power after the process ends; 0 if it has power.
	powerLossTime time.Duration
	done          chan struct{}
}

func (p *process) start() error {
	p.reloading.Lock()
	defer p.reloading.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return nil
	}
	text, err := os.ReadFile(p.settings)
	if err != nil {
		return err
	}
	p.startSettings, p.logLengthAtStart = string(text), p.logLength()
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(p.binary, "platform", p.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsVariable + "=" + p.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.signaled, p.done = cmd, false, make(chan struct{})
	p.observe(auditor.Started{Entry: p.name})
	go p.restartWhenDone(cmd, p.done)
	return nil
}

// restartWhenDone waits for the end of the process and restarts it.
func (p *process) restartWhenDone(cmd *exec.Cmd, done chan struct{}) {
	// The log shows how the process ended; only that it ended matters here.
	_ = cmd.Wait()
	p.mu.Lock()
	ended, pause := p.ended, max(restartPause, p.powerLossTime)
	p.powerLossTime = 0
	p.observe(auditor.Exited{Who: p.name, Alone: !p.signaled && !ended})
	if p.killed {
		p.killed = false
		p.observe(auditor.FaultEnded{Who: p.name})
	}
	close(done)
	p.mu.Unlock()
	if ended {
		return
	}
	time.Sleep(pause)
	if err := p.start(); err != nil {
		p.observe(auditor.Exited{Who: p.name, Alone: true})
	}
}

// signal sends a signal to this process, unless it has already ended.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// pause suspends the process until wait returns.
func (p *process) pause(wait func()) {
	p.mu.Lock()
	cmd := p.cmd
	p.observe(auditor.FaultStarted{Who: p.name, Halted: true})
	p.signal(syscall.SIGSTOP)
	p.mu.Unlock()
	wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = cmd.Process.Signal(syscall.SIGCONT)
	p.observe(auditor.FaultEnded{Who: p.name})
}

// kill kills the process.
func (p *process) kill() { p.losePower(0) }

// losePower kills the process and delays its restart by at least a time.
func (p *process) losePower(downtime time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.powerLossTime = downtime
	p.observe(auditor.FaultStarted{Who: p.name, Halted: true})
	p.signaled = true
	p.signal(syscall.SIGKILL)
	select {
	case <-p.done:
		p.observe(auditor.FaultEnded{Who: p.name})
	default:
		// The kernel may take a while to end it, and its connections stay open until then.
		p.killed = true
	}
}

// terminate asks the process to end and kills it after the grace period.
func (p *process) terminate() { p.beginStop()() }

// beginStop asks the process to end. Wait, which has to be called at once, kills it after the grace period.
func (p *process) beginStop() (wait func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd, done := p.cmd, p.done
	p.signaled = true
	p.observe(auditor.Stopping{Entry: p.name})
	p.signal(syscall.SIGTERM)
	return func() { p.awaitEnd(cmd, done) }
}

// awaitEnd kills a process that has not ended within the grace period.
func (p *process) awaitEnd(cmd *exec.Cmd, done chan struct{}) {
	select {
	case <-done:
	case <-time.After(p.grace):
		_ = cmd.Process.Kill()
		<-done
	}
}

// stopForGood stops the process permanently.
func (p *process) stopForGood() {
	p.mu.Lock()
	p.ended = true
	cmd, done := p.cmd, p.done
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	// A suspended process cannot handle SIGTERM.
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Signal(syscall.SIGTERM)
	p.awaitEnd(cmd, done)
}

// newProcess prepares a daemon with its files in the run's directory.
func (w *deployment) newProcess(name, role string) *process {
	return &process{
		name: name, role: role, binary: w.Binary, observe: w.observe, grace: w.bounds.Grace,
		settings: filepath.Join(w.dir, name+".toml"), log: filepath.Join(w.dir, name+".log"),
	}
}
