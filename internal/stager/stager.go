// Package stager brings named weights into the engine beside its agent: it has them
// fetched, stages them, reads them back, orders the engine to load them, and asks
// what it holds before any request may go there.
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
	// every is how often the engine is asked what it does. A restart shows within
	// that time, and its places count anew.
	every = 150 * time.Millisecond
	// learnEvery is how often the others are asked which chunks make up a version.
	learnEvery = 30 * time.Millisecond
	// loadedEvery is how often the engine is asked once it should have loaded its weights.
	loadedEvery = 20 * time.Millisecond
	// orderPatience is how long an accepted order may go without effect before it is
	// given again.
	orderPatience = 6 * time.Second
	// freshReading is within what time all chunks must have been found right for an order to
	// go out on it: a chunk that turned bad up to three seconds before is forgiven, and an
	// ordinary reading takes 0.03 to 0.07 s.
	freshReading = 2 * time.Second
	// stageTries is how often staged chunks are mended before the next round.
	stageTries = 3
)

// Engine is the model engine on this VM.
type Engine interface {
	Report(ctx context.Context) (Report, error)
	// Stage puts a chunk where the engine loads from; Staged reads back one of at most size bytes.
	Stage(ctx context.Context, model string, chunk int, data []byte) error
	Staged(ctx context.Context, model string, chunk int, size int64) ([]byte, error)
	// StagedChunks lists the chunks that lie staged.
	StagedChunks(ctx context.Context, model string) ([]int, error)
	// Load orders the engine to take what is staged for the given version.
	Load(ctx context.Context, model string, version uint64) error
}

// Report is the engine's own word.
type Report struct {
	Models []registrar.HeldModel
	// Busy tells that an order is under way.
	Busy bool
	// Leaving tells that it is about to end.
	Leaving bool
	// Waiting and Running are its requests.
	Waiting, Running int
	// Pace is how much slower than its figures it works; 0 when not told.
	Pace float64
	// Memory is how many tokens of whole requests it holds; 0 when not stated.
	Memory int
	// Momentary is by what factor it is slower than that at the moment; 0 when not stated.
	Momentary float64
	// StartedAt is its start.
	StartedAt time.Time
}

// holds gives the version of a model; 0 for none.
func (r Report) holds(model string) uint64 {
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

// RestingError reports a call that was not made, as the engine wants nothing from this agent for so
// long.
type RestingError struct{ Rest time.Duration }

func (e *RestingError) Error() string { return fmt.Sprintf("engine rests for %v", e.Rest) }

// Stager looks after one engine. Set the exported fields before Serve.
type Stager struct {
	// ID is this agent's; Address is the engine's, by which it finds itself among the
	// others.
	ID        string
	Service   string
	Address   netip.AddrPort
	Region    string
	Regions   map[string]string
	Registrar *registrar.Registrar
	Loader    *loader.Loader
	Ledger    *scheduler.Ledger
	Engine    Engine
	// Origin makes the client of the origin's address.
	Origin func(netip.AddrPort) Origin
	// ChunkPort is where agents hand chunks to each other, on their engines'
	// addresses.
	ChunkPort uint16
	// Bound is how long after the naming of a version older weights may begin a reply.
	Bound time.Duration
	// Clock must be the registrar's and the ledger's, as the times of namings, turns and
	// places are compared with each other.
	Clock clock.Clock
	// Digests finds out which chunks make up a version.
	Digests *Digester

	mu     sync.Mutex
	report Report
	// poll ends the wait until the engine is asked again.
	poll notifier.Broadcast
	// engineStart is the start that the ledger counts for.
	engineStart time.Time
	// startedAt is when this agent observed that start, and reportedAt when the last report was asked for.
	startedAt  time.Time
	reportedAt time.Time
	// silentSince is since when the engine hasn't answered; zero while it does.
	silentSince time.Time
	// looked is the revision of the records known when the engine last answered, and before the
	// one when it did so last before its start. Untold tells that no record of the engine since
	// then is known.
	looked, before uint64
	untold         bool
	// ordered is the version last ordered, and when.
	ordered   uint64
	orderedAt time.Time
	ahead     stagedAhead
	preloaded bool
	// unlisted tells that the chunks of a pending version aren't known yet.
	unlisted bool
	// wantedAt is since when each version's chunks have been looked for.
	wantedAt map[uint64]time.Time
	// originAt is the address of the origin in use.
	originAt netip.AddrPort
	why      string
}

// ClocksError reports that an agent's parts have different clocks.
type ClocksError struct {
	// Part is the one whose clock is not the stager's.
	Part string
}

func (e *ClocksError) Error() string { return "the clock of the " + e.Part + " is not the stager's" }

// checkClocks refuses parts with a clock of their own. One clock may count the time for
// which the VM is suspended and another not, or they begin at different years: old weights
// would then serve for good, or none at all, and no line would say why. Refused at the
// start, such an agent never opens its engine.
func (s *Stager) checkClocks() error {
	if s.Registrar.Clock != clock.PassiveClock(s.Clock) {
		return &ClocksError{Part: "registrar"}
	}
	if s.Ledger.Clock != clock.PassiveClock(s.Clock) {
		return &ClocksError{Part: "ledger"}
	}
	return nil
}

// Serve runs until the context ends.
func (s *Stager) Serve(ctx context.Context) error {
	if err := s.checkClocks(); err != nil {
		return err
	}
	for {
		changed, polled := s.Registrar.Changed(), s.poll.Wait()
		s.step(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-polled:
		case <-s.Clock.After(s.pause()):
		}
	}
}

// Poll has the engine asked without waiting for the next turn.
func (s *Stager) Poll() { s.poll.NotifyAll() }

// EngineStart gives the start of the engine as it was last observed, and how long ago that was; a zero
// start before the first time.
func (s *Stager) EngineStart() (startedAt time.Time, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.report.StartedAt, s.Clock.Since(s.reportedAt)
}

func (s *Stager) String() string { return "stager" }

// pause is shorter while it isn't known yet which chunks make up a version, as nothing can be fetched
// until then, and when the engine should have loaded its weights, as callers wait for it.
func (s *Stager) pause() time.Duration {
	if s.unlisted {
		return learnEvery
	}
	engine, model := s.engine()
	if engine == nil {
		return every
	}
	opens := s.opens(engine, s.Holds(model))
	if opens.IsZero() {
		return every
	}
	return min(every, max(loadedEvery, opens.Sub(s.Clock.Now())))
}

// Holds gives the version that the engine was last seen to hold.
func (s *Stager) Holds(model string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.report.holds(model)
}

func (s *Stager) step(ctx context.Context) {
	engine, model := s.engine()
	if engine == nil {
		s.closeGate("no route table")
		return
	}
	if !s.observe(ctx) {
		s.fetchAhead(ctx, model)
		return
	}
	held := s.report.holds(model)
	target, turn := s.target(ctx, model, held)
	s.announceSwitch(model, held)
	s.announceCold()
	s.decideGate(engine, model, held)
	if s.report.Busy {
		return
	}
	if target <= held || !turn {
		s.stageAhead(ctx, model, held, target)
		return
	}
	if s.ordered == target && s.loading(held) {
		return
	}
	s.load(ctx, model, target)
	s.decideGate(engine, model, held)
}

// fetchAhead has weights fetched for an engine that doesn't answer. One that is added does so a second
// after its agent has started, and takes requests that much sooner with weights at hand.
func (s *Stager) fetchAhead(ctx context.Context, model string) {
	if ctx.Err() == nil {
		s.target(ctx, model, s.Holds(model))
	}
}

// engine gives the figures of this agent's service and the model that it serves;
// nil while no route table is known.
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

// model is the one that the engine serves; empty while no route table is known.
func (s *Stager) model() string {
	_, model := s.engine()
	return model
}

const (
	// coldAfterStart is for how long an engine counts as cold at least after its agent saw it
	// start. Its own record says how long it is.
	coldAfterStart = 2 * time.Second
	// coldUntold is for how long it counts as cold while no such record is heard, as in an
	// outage of the store: three times as long as the users' engines are.
	coldUntold = 10 * time.Second
)

// announceCold has the ledger bound what a cold engine gets.
func (s *Stager) announceCold() {
	view := s.Registrar.View()
	until := s.startedAt.Add(coldAfterStart)
	for _, u := range view.Service(s.Service) {
		if u.Address != s.Address {
			continue
		}
		if u.Revision > s.before && !u.Leaving {
			s.untold = false
		}
		left := u.ColdFor()
		if told := s.Clock.Now().Add(left); told.After(until) {
			until = told
		}
	}
	if s.untold {
		until = s.startedAt.Add(coldUntold)
	}
	s.Ledger.Cold(view.Table.Services[s.Service].ColdRate, until)
}

// observe asks the engine and tells the ledger.
func (s *Stager) observe(ctx context.Context) bool {
	asked := s.Clock.Now()
	r, err := s.Engine.Report(ctx)
	if ctx.Err() != nil {
		return false
	}
	var resting *RestingError
	if errors.As(err, &resting) {
		s.closeGateUntil(observer.UpstreamBackingOff, asked.Add(resting.Rest))
		return false
	}
	if err != nil {
		s.noteSilence()
		s.closeGate("engine does not answer")
		return false
	}
	s.noteAnswer(r)
	if !r.StartedAt.Equal(s.engineStart) {
		klog.InfoS("Engine started anew", "agent", s.ID, "startedAt", r.StartedAt, "models", r.Models)
		s.Ledger.Reset()
		// An agent that starts beside a running engine knows its record, or will at once.
		s.before, s.untold = s.looked, !s.engineStart.IsZero()
		s.engineStart, s.ordered, s.startedAt = r.StartedAt, 0, s.Clock.Now()
	}
	s.looked = s.Registrar.View().Revision
	s.Ledger.Observe(r.Running+r.Waiting, r.Pace)
	s.Ledger.SetMemory(r.Memory)
	s.Ledger.Paced(r.Momentary, 0)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report, s.reportedAt = r, asked
	return true
}

// decideGate opens the engine to requests or closes it.
func (s *Stager) decideGate(e *matcher.Engine, model string, held uint64) {
	switch {
	case s.report.Leaving:
		s.closeGate(observer.UpstreamLeaving)
	case held == 0:
		s.closeGateUntil("no weights", s.opens(e, held))
	case s.report.Busy || s.loading(held):
		s.closeGateUntil("switching weights", s.opens(e, held))
	case s.outdated(held):
		s.closeGate(scheduler.OldWeights)
	default:
		if s.why != "" {
			newer, left := s.limit(held)
			klog.InfoS("Engine opened", "agent", s.ID, "model", model, "version", held, "newer", newer, "left", left)
		}
		s.why = ""
		s.Ledger.Open(e)
	}
}

// Gate tells the engine's model, the version that it was last seen to hold, and why it takes
// no requests; empty when it does.
func (s *Stager) Gate() (model string, held uint64, closed string) {
	model = s.model()
	return model, s.Holds(model), s.Ledger.Closed()
}

// loading tells whether an order to load newer weights than the held ones is under way.
func (s *Stager) loading(held uint64) bool {
	return s.ordered > held && s.Clock.Since(s.orderedAt) < orderPatience
}

// opens is when an engine should hold the weights that it loads; zero when that isn't known, as while
// it ends its requests first.
func (s *Stager) opens(e *matcher.Engine, held uint64) time.Time {
	if !s.loading(held) || s.report.Running+s.report.Waiting > 0 {
		return time.Time{}
	}
	return s.orderedAt.Add(e.Load)
}

func (s *Stager) closeGate(why string) { s.closeGateUntil(why, time.Time{}) }

func (s *Stager) closeGateUntil(why string, opens time.Time) {
	if s.why != why {
		klog.InfoS("Engine closed", "agent", s.ID, "why", why)
	}
	s.why = why
	s.Ledger.CloseUntil(why, opens)
}

// outdated tells whether the bound for a newer version is nearly over.
func (s *Stager) outdated(held uint64) bool {
	expiry := s.expiry(held)
	return !expiry.IsZero() && s.Clock.Now().After(expiry)
}

// Expiry is from when on the weights that the engine was last seen to hold may begin no
// reply any more; zero while no newer ones are named.
func (s *Stager) Expiry() time.Time {
	held := s.Holds(s.model())
	if held == 0 {
		return time.Time{}
	}
	return s.expiry(held)
}

// expiry is from when on a version may begin no reply any more; zero while no newer one
// is named.
func (s *Stager) expiry(held uint64) time.Time {
	at, superseded := s.superseded(held)
	if !superseded {
		return time.Time{}
	}
	return at.Add(s.Bound - scheduler.OldWeightsMargin)
}

// limit is the version whose naming ends the held one's time, and how much of that is left;
// zero while no newer one is known.
func (s *Stager) limit(held uint64) (newer uint64, left time.Duration) {
	after := s.after(held)
	if len(after) == 0 {
		return 0, 0
	}
	return after[0].Version, s.expiry(held).Sub(s.Clock.Now())
}

// load stages a version whole, reads it back and orders the engine to take it. What
// lies staged may have turned bad or belong to another version, and the engine does
// not check: it would answer from mixed weights.
func (s *Stager) load(ctx context.Context, model string, version uint64) {
	began := s.Clock.Now()
	chunks, ok := s.chunks(model, version)
	if !ok {
		return
	}
	if s.ahead.version != version {
		// What was staged of another version is overwritten now.
		s.ahead = stagedAhead{}
	}
	if err := s.stage(ctx, model, chunks); err != nil {
		klog.ErrorS(err, "Weights not staged", "agent", s.ID, "model", model, "version", version)
		return
	}
	err := s.Engine.Load(ctx, model, version)
	klog.InfoS("Engine ordered to load", "agent", s.ID, "model", model, "version", version,
		"held", s.report.holds(model), "running", s.report.Running, "stagedIn", s.Clock.Since(began), "err", err)
	if err != nil {
		return
	}
	s.ordered, s.orderedAt = version, s.Clock.Now()
}

// UnstageableError reports staged chunks that stay wrong.
type UnstageableError struct{ Chunk, Tries int }

func (e *UnstageableError) Error() string {
	return fmt.Sprintf("chunk %d still wrong, or all read too slowly, after %d tries", e.Chunk, e.Tries)
}

// stage puts all chunks that the engine doesn't have right, until one whole reading
// finds all of them right. A reading that took long, as when the VM froze over it, counts
// for nothing: what was right at its begin may have turned bad, and the engine would answer
// from spoilt weights.
func (s *Stager) stage(ctx context.Context, model string, chunks [][]byte) error {
	wrong := 0
	for range stageTries {
		began := s.Clock.Now()
		mended, err := s.mend(ctx, model, chunks)
		if err != nil {
			return err
		}
		if mended < 0 && s.Clock.Since(began) < freshReading {
			return nil
		}
		wrong = max(wrong, mended)
	}
	return &UnstageableError{Chunk: wrong, Tries: stageTries}
}

// mend reads all chunks back and puts those that aren't right. It gives the last of these;
// -1 for none.
func (s *Stager) mend(ctx context.Context, model string, chunks [][]byte) (mended int, err error) {
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
