package main

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rcrowley/go-metrics"
	"github.com/samber/oops"
	"github.com/thejerf/suture/v4"
	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/acceptor"
	"github.com/oriolecroft/oriolecroft/internal/connector"
	"github.com/oriolecroft/oriolecroft/internal/detector"
	"github.com/oriolecroft/oriolecroft/internal/hoster"
	"github.com/oriolecroft/oriolecroft/internal/localizer"
	"github.com/oriolecroft/oriolecroft/internal/logger"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/observer"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/reporter"
	"github.com/oriolecroft/oriolecroft/internal/surveyor"
	"github.com/oriolecroft/oriolecroft/internal/timekeeper"
	"github.com/oriolecroft/oriolecroft/platform"
)

const helpPlatform = `
  The daemons as they run on the users' platform. Their settings file is named by
  the environment variable ORIOLECROFT_SETTINGS. For operators: check a settings
  file, show what all processes believe, explain a request from logs, list and lift
  the blame of parts of prompts.

  Examples:
    oriolecroft platform check /etc/oriolecroft/local.toml
    ORIOLECROFT_SETTINGS=/etc/oriolecroft/local.toml oriolecroft platform entry
    ORIOLECROFT_SETTINGS=/etc/oriolecroft/local.toml oriolecroft platform agent
    ORIOLECROFT_SETTINGS=/etc/oriolecroft/local.toml oriolecroft platform status
    ORIOLECROFT_SETTINGS=/etc/oriolecroft/local.toml oriolecroft platform blames
    cat logs/*.jsonl | oriolecroft platform explain --request 9c41d07be2a35f68`

const (
	// metricsPort is the port on which both daemons serve metrics; deploy/system.toml names it.
	metricsPort = 9464
	// reservePortOffset and chunkPortOffset are positions in the range of internal ports:
	// for the slots that agents grant at their engines, and for chunks between agents.
	reservePortOffset = 0
	chunkPortOffset   = 1
	// lingerDrainShare is the share of the drain bound for which an upstream stays in
	// use after its record expired during an outage of the store.
	lingerDrainShare = 0.8
	// tickInterval is how often expired records and idle connections are checked.
	tickInterval = 200 * time.Millisecond
	// peerTimeout limits a message between the system's own processes unless the caller
	// has its own limit.
	peerTimeout = time.Second
)

func platformCommands() []command {
	return []command{platformEntryCommand(), platformAgentCommand(), platformStatusCommand(), platformCheckCommand(),
		platformExplainCommand(), platformBlamesCommand()}
}

// attachPlatform attaches the commands to `platform`.
func attachPlatform(commands []command) {
	parent := flaggy.NewSubcommand("platform")
	parent.Description = "run, check and look into the daemons on the users' platform"
	parent.AdditionalHelpAppend = helpPlatform
	flaggy.AttachSubcommand(parent, 1)
	for _, c := range commands {
		parent.AttachSubcommand(c.flags, 1)
	}
}

// heapShare is the share of the VM's memory at which the runtime collects garbage more often instead of growing the heap.
const heapShare = 0.7

// daemon holds the components that both daemons on the platform have.
type daemon struct {
	// role is "entry" or "agent".
	role      string
	settings  *platform.Settings
	registrar *registrar.Registrar
	store     *platform.Store
	// observer keeps the terms that upstreams state; nil in an agent.
	observer *observer.Observer
	// localizer finds prompts that crash upstreams; nil in an agent.
	localizer *localizer.Localizer
	metrics   metrics.Registry
	// limits are those of all clients.
	limits     *acceptor.Limits
	supervisor *suture.Supervisor
	log        *logger.Writer
	// clock is for times that the standard library uses too, such as deadlines. It does
	// not advance while the VM is suspended.
	clock clock.WithTicker
	// ageClock measures the age of information and counts the time for which the VM is
	// suspended. Its times must not be compared with those of clock.
	ageClock clock.WithTicker
	stalls   *detector.Detector
	// hangups receives each SIGHUP.
	hangups chan os.Signal
}

// newDaemon reads the settings and installs the log.
func newDaemon(role string) (*daemon, error) {
	// Settings may change while the process starts or shuts down. An unhandled SIGHUP would
	// end the process and all its requests; the buffer keeps one that arrives before the
	// reloader runs.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	logger.KeepRunningWithoutReader()
	w := logger.New(os.Stdout)
	logger.Install(w)
	s, err := platform.LoadSettings()
	if err != nil {
		return nil, oops.Hint("see docs/OPERATIONS.md for the settings").Wrap(err)
	}
	ageClock, err := timekeeper.New()
	if err != nil {
		return nil, oops.Hint("the platform must run programs on Linux with CLOCK_BOOTTIME").Wrap(err)
	}
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(s.Memory)))
	}
	d := &daemon{
		role:       role,
		settings:   s,
		store:      platform.NewStore(s.Store.Address),
		metrics:    metrics.NewRegistry(),
		supervisor: suture.New(role, suture.Spec{EventHook: reporter.LogEvents}),
		log:        w,
		clock:      clock.RealClock{},
		ageClock:   ageClock,
		hangups:    hangups,
	}
	d.limits = newLimits(s, d.metrics)
	d.stalls = detector.New(ageClock, d.metrics)
	d.registrar = &registrar.Registrar{
		Clock: ageClock, WallClock: d.clock, Decode: platform.Decode, Linger: time.Duration(lingerDrainShare * float64(s.Bounds.Drain)),
		Heartbeat: s.Heartbeat, Region: s.Region,
	}
	return d, nil
}

// clientMemoryShare is the share of the VM's memory that clients may use. The heap may grow to twice its live size before it
// is collected, and the rest is for the process's other state and the kernel's buffers.
const clientMemoryShare = 0.25

// newLimits returns the limits of all clients of a process.
func newLimits(s *platform.Settings, r metrics.Registry) *acceptor.Limits {
	memory := int64(clientMemoryShare * float64(s.Memory))
	if s.Memory <= 0 {
		memory = acceptor.DefaultMemory
	}
	return acceptor.New(memory, s.Sockets, r)
}

// listen opens a port.
func (d *daemon) listen(a netip.AddrPort) (*acceptor.Listener, error) { return listen(a, d.limits) }

// internalPort returns the port at an offset in the range of internal ports.
func (d *daemon) internalPort(offset uint16) uint16 { return d.settings.FirstPort + offset }

// serveMetrics adds the server of the process's metrics, status and readiness.
func (d *daemon) serveMetrics(status func() any, ready func() error) error {
	l, err := d.listen(netip.AddrPortFrom(d.settings.IP, metricsPort))
	if err != nil {
		return err
	}
	d.supervisor.Add(newWebService("metrics", l, reporter.Handler(status, ready, d.metrics)))
	return nil
}

// run runs the services until the context ends, and calls shutDown before it stops them.
func (d *daemon) run(ctx context.Context, shutDown func(context.Context)) error {
	logCtx, stopLog := context.WithCancel(context.Background())
	logDone := make(chan struct{})
	go func() {
		defer close(logDone)
		d.log.Run(logCtx)
	}()
	d.supervisor.Add(reloader{d})
	d.supervisor.Add(d.stalls)
	go d.stalls.WatchSignals(logCtx, syscall.SIGTERM, os.Interrupt)
	defer d.exitBeforeKill(ctx)()
	klog.InfoS("Process starts", "vm", d.settings.Name, "failureDomain", d.settings.FailureDomain, "pid", os.Getpid())
	err := reporter.RunUntil(ctx, d.supervisor, shutDown)
	klog.InfoS("Process ends", "vm", d.settings.Name, "err", err)
	stopLog()
	select {
	case <-logDone:
	case <-time.After(lastLinesTime):
	}
	return err
}

const (
	// lastAnswersTime is how long an entry may answer the requests that it cuts until it exits, even if services still run.
	lastAnswersTime = 75 * time.Millisecond
	// lastLinesTime bounds the writing of the last log lines, so that it ends before the kill.
	lastLinesTime = 50 * time.Millisecond
)

// exitBeforeKill exits shortly before the process would be killed. A service that does
// not stop, such as one that waits for a partitioned peer, would otherwise keep the
// process until the kill, and its last log lines would be lost.
func (d *daemon) exitBeforeKill(ctx context.Context) (cancel func()) {
	ended, end := context.WithCancel(context.Background())
	stop := context.AfterFunc(ctx, func() {
		kill := &hoster.Kill{Signal: d.stalls.StopSignal(), Grace: d.settings.Bounds.Grace, Clock: d.ageClock, Stalls: d.stalls}
		if timekeeper.WaitFor(ended, d.ageClock, kill.CutAt) != nil {
			return
		}
		// The process may have resumed just now.
		time.Sleep(lastAnswersTime + kill.LateTime())
		klog.InfoS("Process exits with services still running", "vm", d.settings.Name)
		d.log.Flush(lastLinesTime)
		os.Exit(exitOK)
	})
	return func() {
		stop()
		end()
	}
}

// reloader reloads the settings at each SIGHUP. Addresses and bounds take effect at the
// next start; a file with faults changes nothing.
type reloader struct{ *daemon }

// Serve runs until the context ends.
func (r reloader) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.hangups:
			r.reload()
		}
	}
}

func (r reloader) String() string { return "reload" }

func (r reloader) reload() {
	s, err := platform.LoadSettings()
	if err != nil {
		klog.ErrorS(err, "Settings not reloaded, keeping the previous ones")
		return
	}
	klog.InfoS("Settings read again", "changed", !reflect.DeepEqual(s, r.settings))
}

func (d *daemon) addTicks(jobs ...func()) {
	d.supervisor.Add(reporter.Every("ticks", d.clock, tickInterval, func(context.Context) {
		d.registrar.Tick()
		for _, f := range jobs {
			f()
		}
	}))
}

// dialPeer makes a client of another process of the system.
func dialPeer(a netip.AddrPort) *messenger.Client {
	return &messenger.Client{Address: a, Timeout: peerTimeout, Dial: connector.DialContext}
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// UnreadyError reports a process that doesn't accept work.
type UnreadyError struct{ Why string }

func (e *UnreadyError) Error() string { return e.Why }

// readiness returns the reason why the process doesn't accept work yet, or nil.
func (d *daemon) readiness() error {
	if v := d.registrar.View(); v == nil || v.Table == nil {
		return &UnreadyError{Why: "no route table yet"}
	}
	return nil
}

// status returns the process's state and the age of its information.
func (d *daemon) status(ready func() error) surveyor.Status {
	revision, age, known := d.registrar.Revision()
	st := surveyor.Status{
		VM: d.settings.Name, Role: d.role, FailureDomain: d.settings.FailureDomain,
		Revision: revision, Known: known, LinesDropped: d.log.Dropped(),
	}
	if known {
		st.ConfirmedAgo = age.Seconds()
	}
	if err := ready(); err != nil {
		st.NotReady = err.Error()
	}
	for _, t := range d.observer.All() {
		st.Terms = append(st.Terms, surveyor.Terms{
			Upstream: t.ID, Leaving: t.Leaving, RestSeconds: t.Rest.Seconds(), PerSecond: t.Limit.Rate,
		})
	}
	for _, b := range d.localizer.Blames() {
		if !b.Lifted {
			st.Blames = append(st.Blames, b.Part)
		}
	}
	v := d.registrar.View()
	if v == nil {
		return st
	}
	st.Upstreams, st.Entries, st.Weights = len(v.Upstreams), len(v.Members), v.AnnouncedVersions()
	if v.Table != nil {
		st.TableVersion = v.Table.Version
	}
	return st
}

// answerTimeout limits an answer to a peer or an operator that may read slowly. A profile takes 30 s.
const answerTimeout = time.Minute

// newWebService makes a suture service of an HTTP handler.
func newWebService(name string, l net.Listener, h http.Handler) suture.Service {
	return &reporter.Web{Name: name, Listener: l, Handler: h, AnswerTimeout: answerTimeout}
}
