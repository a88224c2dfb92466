// Package stager loads announced weights into the engine beside its agent: it fetches and stages
// them, reads them back, orders the engine to load them, and checks which version the engine holds
// before requests may go there.
package stager

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/loader"
	"github.com/oriolecroft/oriolecroft/internal/matcher"
	"github.com/oriolecroft/oriolecroft/internal/notifier"
	"github.com/oriolecroft/oriolecroft/internal/observer"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

const (
	// pollInterval is how often the engine is asked for its report. A restart is detected within
	// that time, and the slots are counted from zero.
	pollInterval = 150 * time.Millisecond
	// learnInterval is how often peers are asked which chunks make up a version.
	learnInterval = 30 * time.Millisecond
	// loadPollInterval is how often the engine is polled once it should have loaded its weights.
	loadPollInterval = 20 * time.Millisecond
	// loadOrderTimeout is how long an accepted order may go without effect before it is repeated.
	loadOrderTimeout = 6 * time.Second
	// maxReadBackTime is how long a read of all staged chunks may take for a load order to rely on
	// it. A chunk corrupted up to three seconds before the order is tolerated, and an ordinary read
	// takes 0.03 to 0.07 s.
	maxReadBackTime = 2 * time.Second
	// maxStageAttempts is how often staged chunks are repaired before the next round.
	maxStageAttempts = 3
)

// Engine is the model engine on this VM.
type Engine interface {
	Report(ctx context.Context) (Report, error)
	// Stage writes a chunk where the engine loads from; Staged reads one of at most size bytes.
	Stage(ctx context.Context, model string, chunk int, data []byte) error
	Staged(ctx context.Context, model string, chunk int, size int64) ([]byte, error)
	// StagedChunks lists the staged chunks.
	StagedChunks(ctx context.Context, model string) ([]int, error)
	// Load orders the engine to load the staged chunks as the given version.
	Load(ctx context.Context, model string, version uint64) error
}

// Report is what the engine states about itself.
type Report struct {
	Models []registrar.HeldModel
	// Busy is set while an order is being carried out.
	Busy bool
	// Leaving is set when the engine is about to shut down.
	Leaving bool
	// Waiting and Running count its requests.
	Waiting, Running int
	// Pace is how much slower than its figures it works; 0 when not stated.
	Pace float64
	// Memory is how many tokens of whole requests fit; 0 when not stated.
	Memory int
	// Momentary is the factor by which it is slower than Pace at the moment; 0 when not stated.
	Momentary float64
	// StartedAt is when the engine started.
	StartedAt time.Time
}

// heldVersion returns the version of a model that the engine holds; 0 for none.
func (r Report) heldVersion(model string) uint64 {
	for _, m := range r.Models {
		if m.Name == model {
			return m.Version
		}
	}
	return 0
}

// RefusedError reports a call that the engine or the origin refused.
type RefusedError struct {
	Call   string
	Status int
	Text   string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s: status %d: %s", e.Call, e.Status, e.Text)
}

// BackoffError reports a call that was not made, as the engine asked this agent for a backoff.
type BackoffError struct{ Rest time.Duration }

func (e *BackoffError) Error() string { return fmt.Sprintf("engine is backing off for %v", e.Rest) }

// Stager manages the weights of one engine. Set the exported fields before Serve.
type Stager struct {
	// ID is this agent's. Address is the engine's, and identifies its record.
	ID        string
	Service   string
	Address   netip.AddrPort
	Region    string
	Regions   map[string]string
	Registrar *registrar.Registrar
	Loader    *loader.Loader
	Ledger    *scheduler.Ledger
	Engine    Engine
	// Origin creates a client for the origin at an address.
	Origin func(netip.AddrPort) Origin
	// ChunkPort is where agents serve chunks to each other, on their engines' addresses.
	ChunkPort uint16
	// Bound is how long after the announcement of a version older weights may start a reply.
	Bound time.Duration
	// Clock must be the registrar's and the ledger's, as the times of announcements, switches and
	// slots are compared with each other.
	Clock clock.Clock
	// Digests finds out which chunks make up a version.
	Digests *Digester

	mu     sync.Mutex
	report Report
	// poll ends the wait before the next poll of the engine.
	poll notifier.Broadcast
	// engineStart is the engine start that the ledger's counts apply to.
	engineStart time.Time
	// startedAt is when this agent observed that start; reportedAt is when the last report was requested.
	startedAt  time.Time
	reportedAt time.Time
	// unresponsiveSince is when the engine stopped responding; zero while it responds.
	unresponsiveSince time.Time
	// seenRevision is the revision of the known records when the engine last responded, and
	// revisionBeforeStart the one at its last response before its start. coldUnreported is set
	// while no record of the engine after that is known.
	seenRevision, revisionBeforeStart uint64
	coldUnreported                    bool
	// orderedVersion is the version last ordered, at orderedAt.
	orderedVersion uint64
	orderedAt      time.Time
	ahead          stagedChunks
	stagedAdopted  bool
	// listPending is set while the chunk list of a pending version is unknown.
	listPending bool
	// wantedSince is when each version's chunks were first requested.
	wantedSince map[uint64]time.Time
	// originAddress is the address of the origin in use.
	originAddress netip.AddrPort
	closeReason   string
}

// ClockMismatchError reports that the parts of an agent have different clocks.
type ClockMismatchError struct {
	// Part is the one whose clock is not the stager's.
	Part string
}

func (e *ClockMismatchError) Error() string {
	return "the clock of the " + e.Part + " differs from the stager's"
}

// checkClocks refuses parts with a clock of their own. One clock may count the time for which the
// VM is suspended and another may not, or their epochs may differ: old weights would then serve
// forever, or none at all, without a log line that explains it. Refused at the start, such an agent
// never opens its engine.
func (s *Stager) checkClocks() error {
	if s.Registrar.Clock != clock.PassiveClock(s.Clock) {
		return &ClockMismatchError{Part: "registrar"}
	}
	if s.Ledger.Clock != clock.PassiveClock(s.Clock) {
		return &ClockMismatchError{Part: "ledger"}
	}
	return nil
}

// Serve runs until the context is done.
func (s *Stager) Serve(ctx context.Context) error {
	if err := s.checkClocks(); err != nil {
		return err
	}
	for {
		changed, polled := s.Registrar.Changed(), s.poll.Wait()
		s.reconcile(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-polled:
		case <-s.Clock.After(s.pollDelay()):
		}
	}
}

// Poll polls the engine at once instead of at the end of the interval.
func (s *Stager) Poll() { s.poll.NotifyAll() }

// EngineStart returns the engine's start as last reported, and how long ago that was; a zero start
// before the first report.
func (s *Stager) EngineStart() (startedAt time.Time, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.report.StartedAt, s.Clock.Since(s.reportedAt)
}

func (s *Stager) String() string { return "stager" }

// pollDelay is shorter while the chunk list of a version is unknown, as nothing can be fetched
// until then, and when the engine should have loaded its weights, as callers wait for it.
func (s *Stager) pollDelay() time.Duration {
	if s.listPending {
		return learnInterval
	}
	engine, model := s.engine()
	if engine == nil {
		return pollInterval
	}
	opens := s.expectedOpening(engine, s.HeldVersion(model))
	if opens.IsZero() {
		return pollInterval
	}
	return min(pollInterval, max(loadPollInterval, opens.Sub(s.Clock.Now())))
}

// HeldVersion returns the version that the engine last reported to hold.
func (s *Stager) HeldVersion(model string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.report.heldVersion(model)
}

func (s *Stager) reconcile(ctx context.Context) {
	engine, model := s.engine()
	if engine == nil {
		s.closeGate("no route table")
		return
	}
	if !s.pollEngine(ctx) {
		s.fetchForUnresponsiveEngine(ctx, model)
		return
	}
	held := s.report.heldVersion(model)
	target, turn := s.targetVersion(ctx, model, held)
	s.limitGrantsToSwitch(model, held)
	s.updateColdLimit()
	s.updateGate(engine, model, held)
	if s.report.Busy {
		return
	}
	if target <= held || !turn {
		s.stageAhead(ctx, model, held, target)
		return
	}
	if s.orderedVersion == target && s.loadOrdered(held) {
		return
	}
	s.load(ctx, model, target)
	s.updateGate(engine, model, held)
}

// fetchForUnresponsiveEngine fetches weights for an engine that does not respond. A new engine does
// so a second after its agent starts, and opens that much sooner if the weights are fetched by then.
func (s *Stager) fetchForUnresponsiveEngine(ctx context.Context, model string) {
	if ctx.Err() == nil {
		s.targetVersion(ctx, model, s.HeldVersion(model))
	}
}

// engine returns the figures of this agent's service and the model that it serves; nil while no
// route table is known.
func (s *Stager) engine() (*matcher.Engine, string) {
	view := s.Registrar.View()
	if view == nil || view.Table == nil {
		return nil, ""
	}
	service := view.Table.Services[s.Service]
	if service == nil || service.Engine == nil || len(service.Engine.Models) == 0 {
		return nil, ""
	}
	return service.Engine, service.Engine.Models[0]
}

// model returns the model that the engine serves; empty while no route table is known.
func (s *Stager) model() string {
	_, model := s.engine()
	return model
}

const (
	// minColdTime is how long an engine counts as cold at least after its agent saw it start. Its
	// own record states the full time.
	minColdTime = 2 * time.Second
	// unreportedColdTime is how long it counts as cold without such a record, as in an outage of
	// the store: three times as long as the users' engines are cold.
	unreportedColdTime = 10 * time.Second
)

// updateColdLimit makes the ledger limit the rate of grants while the engine is cold.
func (s *Stager) updateColdLimit() {
	view := s.Registrar.View()
	until := s.startedAt.Add(minColdTime)
	for _, u := range view.Service(s.Service) {
		if u.Address != s.Address {
			continue
		}
		if u.Revision > s.revisionBeforeStart && !u.Leaving {
			s.coldUnreported = false
		}
		left := u.ColdFor()
		if reported := s.Clock.Now().Add(left); reported.After(until) {
			until = reported
		}
	}
	if s.coldUnreported {
		until = s.startedAt.Add(unreportedColdTime)
	}
	s.Ledger.SetColdLimit(view.Table.Services[s.Service].ColdRate, until)
}

// pollEngine requests the engine's report and updates the ledger.
func (s *Stager) pollEngine(ctx context.Context) bool {
	polledAt := s.Clock.Now()
	r, err := s.Engine.Report(ctx)
	if ctx.Err() != nil {
		return false
	}
	var backoff *BackoffError
	if errors.As(err, &backoff) {
		s.closeGateUntil(observer.UpstreamBackingOff, polledAt.Add(backoff.Rest))
		return false
	}
	if err != nil {
		s.markUnresponsive()
		s.closeGate("engine does not answer")
		return false
	}
	s.markResponsive(r)
	if !r.StartedAt.Equal(s.engineStart) {
		klog.InfoS("Engine start observed", "agent", s.ID, "startedAt", r.StartedAt, "models", r.Models)
		s.Ledger.Reset()
		// An agent that starts beside a running engine has its record, or receives it at once.
		s.revisionBeforeStart, s.coldUnreported = s.seenRevision, !s.engineStart.IsZero()
		s.engineStart, s.orderedVersion, s.startedAt = r.StartedAt, 0, s.Clock.Now()
	}
	s.seenRevision = s.Registrar.View().Revision
	s.Ledger.Observe(r.Running+r.Waiting, r.Pace)
	s.Ledger.SetMemory(r.Memory)
	s.Ledger.RecordPace(r.Momentary, 0)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report, s.reportedAt = r, polledAt
	return true
}

// updateGate opens the engine to requests or closes it.
func (s *Stager) updateGate(e *matcher.Engine, model string, held uint64) {
	switch {
	case s.report.Leaving:
		s.closeGate(observer.UpstreamLeaving)
	case held == 0:
		s.closeGateUntil("no weights", s.expectedOpening(e, held))
	case s.report.Busy || s.loadOrdered(held):
		s.closeGateUntil("switching weights", s.expectedOpening(e, held))
	case s.outdated(held):
		s.closeGate(s.outdatedReason(held))
	default:
		if s.closeReason != "" {
			newer, left := s.replacement(held)
			klog.InfoS("Engine opened", "agent", s.ID, "model", model, "version", held, "newer", newer, "left", left)
		}
		s.closeReason = ""
		s.Ledger.Open(e)
	}
}

// Gate returns the engine's model, the version that it last reported to hold, and why it takes no
// requests; empty when it does.
func (s *Stager) Gate() (model string, held uint64, closed string) {
	model = s.model()
	return model, s.HeldVersion(model), s.Ledger.Closed()
}

// loadOrdered reports whether an order to load newer weights than the held ones is in progress.
func (s *Stager) loadOrdered(held uint64) bool {
	return s.orderedVersion > held && s.Clock.Since(s.orderedAt) < loadOrderTimeout
}

// expectedOpening is when the engine should hold the weights that it loads; zero when that is
// unknown, as while it first completes its requests.
func (s *Stager) expectedOpening(e *matcher.Engine, held uint64) time.Time {
	if !s.loadOrdered(held) || s.report.Running+s.report.Waiting > 0 {
		return time.Time{}
	}
	return s.orderedAt.Add(e.Load)
}

func (s *Stager) closeGate(why string) { s.closeGateUntil(why, time.Time{}) }

func (s *Stager) closeGateUntil(why string, opens time.Time) {
	if s.closeReason != why {
		klog.InfoS("Engine closed", "agent", s.ID, "why", why)
	}
	s.closeReason = why
	s.Ledger.CloseUntil(why, opens)
}

// outdated reports whether the bound for a newer version is nearly over.
func (s *Stager) outdated(held uint64) bool { return s.Clock.Now().After(s.expiry(held)) }

// outdatedReason is why a version may no longer start a reply.
func (s *Stager) outdatedReason(held uint64) string {
	if _, superseded := s.supersededAt(held); superseded {
		return scheduler.OldWeights
	}
	return scheduler.UnconfirmedWeights
}

// Expiry is when the weights that the engine last reported to hold may no longer start a reply;
// zero while it holds none.
func (s *Stager) Expiry() time.Time {
	held := s.HeldVersion(s.model())
	if held == 0 {
		return time.Time{}
	}
	return s.expiry(held)
}

// expiry is when a version may no longer start a reply. While no newer one is known, each confirmation of the store
// extends it.
func (s *Stager) expiry(held uint64) time.Time {
	return s.Registrar.CertainlyCurrentUntil(s.model(), held).Add(s.Bound - scheduler.OldWeightsMargin)
}

// replacement returns the version whose announcement limits the held one, and how long the held one
// may still serve; zero while no newer one is known.
func (s *Stager) replacement(held uint64) (newer uint64, left time.Duration) {
	after := s.newerThan(held)
	if len(after) == 0 {
		return 0, 0
	}
	return after[0].Version, s.expiry(held).Sub(s.Clock.Now())
}

// load stages a complete version, reads it back and orders the engine to load it. The staged chunks
// may be corrupted or belong to another version, and the engine does not check: it would generate
// from mixed weights.
func (s *Stager) load(ctx context.Context, model string, version uint64) {
	began := s.Clock.Now()
	chunks, ok := s.readChunks(model, version)
	if !ok {
		return
	}
	if s.ahead.version != version {
		// What was staged of another version is overwritten here.
		s.ahead = stagedChunks{}
	}
	if err := s.stage(ctx, model, chunks); err != nil {
		klog.ErrorS(err, "Weights not staged", "agent", s.ID, "model", model, "version", version)
		return
	}
	err := s.Engine.Load(ctx, model, version)
	klog.InfoS("Engine ordered to load", "agent", s.ID, "model", model, "version", version,
		"held", s.report.heldVersion(model), "running", s.report.Running, "stagedIn", s.Clock.Since(began), "err", err)
	if err != nil {
		return
	}
	s.orderedVersion, s.orderedAt = version, s.Clock.Now()
}

// UnstageableError reports staged chunks that stay wrong.
type UnstageableError struct{ Chunk, Tries int }

func (e *UnstageableError) Error() string {
	return fmt.Sprintf("chunk %d still wrong, or chunks read back too slowly, after %d attempts", e.Chunk, e.Tries)
}

// stage writes the chunks that are wrong at the engine until one read finds all of them right. A
// read that took long, as when the VM was suspended during it, does not count: a chunk that was
// right at its start may be corrupted by its end, and the engine would generate from corrupted
// weights.
func (s *Stager) stage(ctx context.Context, model string, chunks [][]byte) error {
	lastWrong := 0
	for range maxStageAttempts {
		began := s.Clock.Now()
		mended, err := s.restageWrongChunks(ctx, model, chunks)
		if err != nil {
			return err
		}
		if mended < 0 && s.Clock.Since(began) < maxReadBackTime {
			return nil
		}
		lastWrong = max(lastWrong, mended)
	}
	return &UnstageableError{Chunk: lastWrong, Tries: maxStageAttempts}
}

// restageWrongChunks reads all chunks back and writes those that are wrong. It returns the last of
// these; -1 for none.
func (s *Stager) restageWrongChunks(ctx context.Context, model string, chunks [][]byte) (mended int, err error) {
	mended = -1
	for i, data := range chunks {
		staged, err := s.Engine.Staged(ctx, model, i, int64(len(data)))
		if err == nil && string(staged) == string(data) {
			continue
		}
		if ctx.Err() != nil {
			return mended, ctx.Err()
		}
		if err := s.Engine.Stage(ctx, model, i, data); err != nil {
			return mended, err
		}
		mended = i
	}
	return mended, nil
}
