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

	"github.com/oriolecroft/oriolecroft/internal/connector"
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
	// metricsPort is where both daemons serve metrics; deploy/system.toml names it.
	metricsPort = 9464
	// reservePort and chunkPort are places within the range of internal ports: where
	// agents grant places at their engines, and hand each other chunks.
	reservePort = 0
	chunkPort   = 1
	// lingerPart is the part of the drain bound for which an upstream stays in use
	// whose record lapsed during an outage of the store.
	lingerPart = 0.8
	// tickEvery is how often records that lapsed and idle connections are looked at.
	tickEvery = 200 * time.Millisecond
	// peerTimeout bounds a message between our own processes unless the caller has a
	// bound of its own.
	peerTimeout = time.Second
)

func platformCommands() []command {
	return []command{platformEntryCommand(), platformAgentCommand(), platformStatusCommand(), platformCheckCommand(),
		platformExplainCommand(), platformBlamesCommand()}
}

// attachPlatform puts the commands under `platform`.
func attachPlatform(commands []command) {
	parent := flaggy.NewSubcommand("platform")
	parent.Description = "run, check and look into the daemons on the users' platform"
	parent.AdditionalHelpAppend = helpPlatform
	flaggy.AttachSubcommand(parent, 1)
	for _, c := range commands {
		parent.AttachSubcommand(c.flags, 1)
	}
}

// heapPart is the part of the VM's memory at which the runtime collects garbage more often rather than let the heap grow.
const heapPart = 0.7

// daemon is what both daemons on the platform have.
type daemon struct {
	// role is "entry" or "agent".
	role      string
	settings  *platform.Settings
	registrar *registrar.Registrar
	store     *platform.Store
	// observer keeps what upstreams state of themselves; nil in an agent.
	observer *observer.Observer
	// localizer finds prompts that crash upstreams; nil in an agent.
	localizer *localizer.Localizer
	metrics   metrics.Registry
	parts     *suture.Supervisor
	log       *logger.Writer
	// clock is that of deadlines and of everything else that the standard library tells
	// the time of. It stands still while the VM is suspended.
	clock clock.WithTicker
	// ages tells how old beliefs are and counts the time for which the VM is suspended. No
	// time of it may be compared with one of clock.
	ages clock.WithTicker
	// hangups gets each SIGHUP.
	hangups chan os.Signal
}

// newDaemon reads the settings and starts the log.
func newDaemon(role string) (*daemon, error) {
	// Settings may change while the process still starts, or already ends. A SIGHUP that
	// nobody waits for would end it, with all the requests that it carries; one for which
	// the reading isn't ready yet is kept.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	w := logger.New(os.Stdout)
	logger.Install(w)
	s, err := platform.LoadSettings()
	if err != nil {
		return nil, oops.Hint("see docs/OPERATIONS.md for the settings").Wrap(err)
	}
	ages, err := timekeeper.New()
	if err != nil {
		return nil, oops.Hint("the platform must run programs on Linux with CLOCK_BOOTTIME").Wrap(err)
	}
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(heapPart * float64(s.Memory)))
	}
	d := &daemon{
		role:     role,
		settings: s,
		store:    platform.NewStore(s.Store.Address),
		metrics:  metrics.NewRegistry(),
		parts:    suture.New(role, suture.Spec{EventHook: reporter.LogEvents}),
		log:      w,
		clock:    clock.RealClock{},
		ages:     ages,
		hangups:  hangups,
	}
	d.registrar = &registrar.Registrar{
		Clock: ages, Decode: platform.Decode, Linger: time.Duration(lingerPart * float64(s.Bounds.Drain)),
		Heartbeat: s.Heartbeat, Region: s.Region,
	}
	return d, nil
}

// listen opens a port for our own processes.
func (d *daemon) listen(a netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", a.String())
	if err != nil {
		return nil, listenError(err, a)
	}
	return l, nil
}

// internalPort is one of the ports for our own processes.
func (d *daemon) internalPort(place uint16) uint16 { return d.settings.FirstPort + place }

// serveMetrics adds the address for those who look into the process.
func (d *daemon) serveMetrics(status func() any, ready func() error) error {
	l, err := d.listen(netip.AddrPortFrom(d.settings.IP, metricsPort))
	if err != nil {
		return err
	}
	d.parts.Add(web("metrics", l, reporter.Handler(status, ready, d.metrics)))
	return nil
}

// run keeps the parts running until the context ends; leave goes first then.
func (d *daemon) run(ctx context.Context, leave func(context.Context)) error {
	logs, stop := context.WithCancel(context.Background())
	written := make(chan struct{})
	go func() {
		defer close(written)
		d.log.Run(logs)
	}()
	d.parts.Add(reload{d})
	d.parts.Add(reporter.Stalls(d.ages, d.metrics))
	defer d.exitInTime(ctx)()
	klog.InfoS("Process starts", "vm", d.settings.Name, "failureDomain", d.settings.FailureDomain, "pid", os.Getpid())
	err := reporter.RunUntil(ctx, d.parts, leave)
	klog.InfoS("Process ends", "vm", d.settings.Name, "err", err)
	stop()
	<-written
	return err
}

// exitMargin is how much before the kill a process ends, whatever still runs.
const exitMargin = 75 * time.Millisecond

// exitInTime ends the process shortly before it would be killed. A part that does not
// stop, such as one that waits for a peer behind a cut, would otherwise keep it until
// then, and its last log lines would be lost.
func (d *daemon) exitInTime(ctx context.Context) (cancel func()) {
	stop := context.AfterFunc(ctx, func() {
		time.AfterFunc(d.settings.Bounds.Grace-exitMargin, func() {
			klog.InfoS("Process ends with parts still running", "vm", d.settings.Name)
			d.log.Flush()
			os.Exit(exitOK)
		})
	})
	return func() { stop() }
}

// reload reads the settings again at each SIGHUP. Addresses and bounds hold from the
// next start on; a file with faults changes nothing.
type reload struct{ *daemon }

// Serve runs until the context ends.
func (r reload) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.hangups:
			r.read()
		}
	}
}

func (r reload) String() string { return "reload" }

func (r reload) read() {
	s, err := platform.LoadSettings()
	if err != nil {
		klog.ErrorS(err, "Settings not reloaded, the old ones stay in force")
		return
	}
	klog.InfoS("Settings read again", "changed", !reflect.DeepEqual(s, r.settings))
}

func (d *daemon) tick(more ...func()) {
	d.parts.Add(reporter.Every("ticks", d.clock, tickEvery, func(context.Context) {
		d.registrar.Tick()
		for _, f := range more {
			f()
		}
	}))
}

// dialPeer makes the client of another process of ours.
func dialPeer(a netip.AddrPort) *messenger.Client {
	return &messenger.Client{Address: a, Timeout: peerTimeout, Dial: connector.DialContext}
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// UnreadyError reports a process that can't take work yet.
type UnreadyError struct{ Why string }

func (e *UnreadyError) Error() string { return e.Why }

// readiness tells the reporter why a process takes no work yet.
func (d *daemon) readiness() error {
	if v := d.registrar.View(); v == nil || v.Table == nil {
		return &UnreadyError{Why: "no route table yet"}
	}
	return nil
}

// status is what a process believes and how old that is.
func (d *daemon) status(ready func() error) surveyor.Status {
	at, age, known := d.registrar.Revision()
	st := surveyor.Status{
		VM: d.settings.Name, Role: d.role, FailureDomain: d.settings.FailureDomain,
		Revision: at, Known: known, LinesDropped: d.log.Dropped(),
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

// answerTimeout bounds an answer to a peer or an operator who may read slowly. A profile takes 30 s.
const answerTimeout = time.Minute

// web makes a suture service of an HTTP handler.
func web(name string, l net.Listener, h http.Handler) suture.Service {
	return &reporter.Web{Name: name, Listener: l, Handler: h, AnswerTimeout: answerTimeout}
}
