package stager

import (
	"context"
	"io"
	"maps"
	"net/netip"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/oriolecroft/oriolecroft/internal/fetcher"
	"github.com/oriolecroft/oriolecroft/internal/matcher"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/planner"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

const (
	// firstSwitchFraction and lastSwitchFraction are when, as fractions of the bound after the
	// announcement of a version, the first and the last engine of a service switch. An engine takes
	// no requests while its running ones end and it loads. If all engines switched at once, none
	// would be left, so the switches are spread over the available time. Before the first, few
	// agents have the weights; after the last, a slow one would exceed the bound.
	firstSwitchFraction = 0.5
	lastSwitchFraction  = 0.9
	// maxSwitchOverrun is how much later than the switch a request may be expected to end. The
	// order waits for it, and fewer requests are refused meanwhile. Over two days with two versions
	// each, the share of requests refused was 0.037 without it, 0.024 with 0.6 s, 0.022 with 1 s,
	// 0.021 with 1.5 s and 0.027 with 2.5 s.
	maxSwitchOverrun = 1500 * time.Millisecond
	// expectedCompleteShare is the share of a version's chunks from which an agent expects to have
	// all of them by the engine's switch.
	expectedCompleteShare = 0.6
)

// peerAgent is the agent beside another engine of the service.
type peerAgent struct {
	id, failureDomain, region string
	chunks                    netip.AddrPort
}

func (s *Stager) peers() []peerAgent {
	var ps []peerAgent
	for _, u := range s.Registrar.View().Service(s.Service) {
		if u.Address == s.Address {
			continue
		}
		ps = append(ps, peerAgent{
			id: u.Address.String(), failureDomain: u.FailureDomain, region: s.Regions[u.FailureDomain],
			chunks: netip.AddrPortFrom(u.Address.Addr(), s.ChunkPort),
		})
	}
	return ps
}

// peerID identifies this agent among its peers.
func (s *Stager) peerID() string { return s.Address.String() }

// targetVersion fetches the announced versions, and returns the newest one that is complete here
// and whether this engine is due to switch.
func (s *Stager) targetVersion(ctx context.Context, model string, held uint64) (version uint64, turn bool) {
	s.setOrigin()
	peers := s.peers()
	s.fetchPending(ctx, model, s.pending(model, held), peers)
	for v, _ := s.newestVersion(); v > held; v-- {
		if s.isComplete(model, v) && !s.expiresBeforeUse(v) {
			return v, held == 0 || s.isTurn(held)
		}
	}
	return held, false
}

// fetchPending fetches the first of the pending versions and prefetches the others: the origin may
// become unreachable before the first is complete.
func (s *Stager) fetchPending(ctx context.Context, model string, pending []registrar.Announcement, peers []peerAgent) {
	s.listPending = false
	maps.DeleteFunc(s.wantedSince, func(version uint64, _ time.Time) bool {
		return !slices.ContainsFunc(pending, func(n registrar.Announcement) bool { return n.Version == version })
	})
	var ahead []string
	for i, n := range pending {
		digest, ok := s.manifestDigest(ctx, model, n, peers)
		switch {
		case !ok:
			s.listPending = true
		case i == 0:
			s.requestManifest(ctx, model, digest, peers)
		default:
			ahead = append(ahead, digest)
		}
	}
	s.Loader.Prefetch(ahead)
	s.setHolders(ahead, peers)
}

// manifestDigest returns the digest of a version's manifest once known, and gives it to the loader.
func (s *Stager) manifestDigest(ctx context.Context, model string, n registrar.Announcement, peers []peerAgent) (digest string, ok bool) {
	if digest, ok = s.Digests.ManifestDigest(model, n.Version); ok {
		return digest, true
	}
	s.Digests.Learn(ctx, versionKey{model, n.Version}, s.peerID(), peers, min(s.Clock.Since(n.Learned), s.wantedDuration(n.Version)), s.originStep())
	if digest, ok = s.Digests.ManifestDigest(model, n.Version); !ok {
		return "", false
	}
	body, err := s.Digests.Manifest(ctx, digest)
	if err == nil {
		err = s.Loader.AddManifest(digest, body)
	}
	if err != nil {
		klog.ErrorS(err, "Manifest not added to the loader", "agent", s.ID, "manifest", digest)
	}
	return digest, true
}

// origin returns the weights' origin in the route table; nil when there is none.
func (s *Stager) origin() *matcher.Origin {
	for _, service := range s.Registrar.View().Table.Services {
		if service.Origin != nil {
			return service.Origin
		}
	}
	return nil
}

// originStep is how long each agent waits for the agent before it in rank to ask the origin.
func (s *Stager) originStep() time.Duration {
	origin := s.origin()
	if origin == nil {
		return defaultOriginStep
	}
	return OriginStep(s.chunkCount(), origin.LinkRate)
}

func (s *Stager) setOrigin() {
	origin := s.origin()
	if origin == nil {
		return
	}
	if s.originAddress != origin.Address {
		// A new client each time would leave the connections of the old one open, and the origin
		// accepts only a few.
		s.originAddress = origin.Address
		s.Digests.SetOrigin(s.Origin(s.originAddress))
	}
	s.Loader.SetSourceRegion(s.Regions[origin.FailureDomain])
}

func (s *Stager) isComplete(model string, version uint64) bool {
	digest, ok := s.Digests.ManifestDigest(model, version)
	if !ok {
		return false
	}
	_, whole := s.Loader.Complete(digest)
	return whole
}

// requestManifest makes the loader fetch a version. Complete versions are kept, as other agents may
// still need them.
func (s *Stager) requestManifest(ctx context.Context, model, digest string, peers []peerAgent) {
	s.adoptStaged(ctx, model, digest)
	digests := []string{digest}
	for _, p := range s.Loader.Progress() {
		if p.Manifest != digest && p.AllChunks > 0 && p.Chunks == p.AllChunks {
			digests = append(digests, p.Manifest)
		}
	}
	s.Loader.Want(digests)
	s.setHolders(digests, peers)
}

// setHolders lists the peers as possible holders of some manifests.
func (s *Stager) setHolders(digests []string, peers []peerAgent) {
	if len(digests) == 0 {
		return
	}
	var hs []messenger.Holder
	for _, p := range peers {
		for _, d := range digests {
			hs = append(hs, messenger.Holder{
				ID: p.id, FailureDomain: p.failureDomain, Region: p.region, Address: p.chunks,
				Holding: messenger.Holding{Manifest: d},
			})
		}
	}
	s.Loader.SetHolders(hs)
}

// adoptStaged takes over chunks that are already staged, once after the engine's first response.
// Engines that exist from the start have the first version staged; after a restart of the agent
// alone, what it staged before is still there.
func (s *Stager) adoptStaged(ctx context.Context, model, digest string) {
	if s.stagedAdopted || s.engineStart.IsZero() {
		return
	}
	s.stagedAdopted = true
	body, err := s.Digests.Manifest(ctx, digest)
	if err != nil {
		klog.ErrorS(err, "Manifest of staged chunks not available", "manifest", digest)
		return
	}
	m, err := fetcher.ParseManifest(digest, body)
	if err != nil {
		klog.ErrorS(err, "Manifest of staged chunks not valid", "manifest", digest)
		return
	}
	indexes, err := s.Engine.StagedChunks(ctx, model)
	if err != nil {
		klog.ErrorS(err, "Staged chunks not listed", "agent", s.ID, "model", model)
	}
	staged := map[int][]byte{}
	slices.Sort(indexes)
	for _, i := range slices.Compact(indexes) {
		if i < 0 || i >= len(m.Chunks) {
			continue
		}
		data, err := s.Engine.Staged(ctx, model, i, m.ChunkBytes(i))
		if err != nil {
			klog.InfoS("Staged chunk not read", "agent", s.ID, "chunk", i, "err", err)
			continue
		}
		staged[i] = data
	}
	if err := s.Loader.Adopt(digest, body, staged); err != nil {
		klog.ErrorS(err, "Staged chunks not adopted", "agent", s.ID)
		return
	}
	klog.InfoS("Staged chunks adopted", "agent", s.ID, "manifest", digest, "chunks", len(staged),
		"share", s.manifestProgress(digest))
}

func (s *Stager) chunkCount() int {
	e, _ := s.engine()
	if e == nil {
		return 0
	}
	return e.Chunks
}

// switchAt is when this engine should switch to a version announced at the given time. The engines
// are ordered by a hash of their addresses, which all agents compute alike except for engines that
// are being added or removed. Different views only make the spacing uneven.
func (s *Stager) switchAt(learned time.Time) time.Time {
	own, lower, all := planner.Score(s.Service, s.peerID()), 0, 1
	for _, p := range s.peers() {
		all++
		if planner.Score(s.Service, p.id) < own {
			lower++
		}
	}
	part := firstSwitchFraction + (lastSwitchFraction-firstSwitchFraction)*float64(lower)/float64(all)
	return learned.Add(time.Duration(part * float64(s.Bound)))
}

// isTurn reports whether this engine is due to switch from the version that it holds.
func (s *Stager) isTurn(held uint64) bool {
	at, superseded := s.supersededAt(held)
	return !superseded || !s.Clock.Now().Before(s.switchAt(at))
}

// limitGrantsToSwitch makes the ledger grant slots only to requests that end before this engine's
// switch, once the weights for it are expected in time.
func (s *Stager) limitGrantsToSwitch(model string, held uint64) {
	announced, superseded := s.supersededAt(held)
	if !superseded || held == 0 {
		s.Ledger.OpenUntil(time.Time{})
		return
	}
	newer := s.newerThan(held)
	complete := slices.ContainsFunc(newer, func(n registrar.Announcement) bool { return s.isComplete(model, n.Version) })
	arriving := slices.ContainsFunc(newer, func(n registrar.Announcement) bool { return s.progress(model, n.Version) >= expectedCompleteShare })
	at := s.switchAt(announced)
	// If the weights have not arrived by the switch, as when the origin is unreachable, the engine
	// keeps serving for as long as the bound allows.
	if complete || arriving && s.Clock.Now().Before(at) {
		s.Ledger.OpenUntil(at.Add(maxSwitchOverrun))
		return
	}
	s.Ledger.OpenUntil(time.Time{})
}

// progress returns the share of a version's chunks that this agent holds.
func (s *Stager) progress(model string, version uint64) float64 {
	digest, ok := s.Digests.ManifestDigest(model, version)
	if !ok {
		return 0
	}
	return s.manifestProgress(digest)
}

func (s *Stager) manifestProgress(digest string) float64 {
	for _, p := range s.Loader.Progress() {
		if p.Manifest == digest && p.AllChunks > 0 {
			return float64(p.Chunks) / float64(p.AllChunks)
		}
	}
	return 0
}

// readChunks returns all chunks of a complete version in order.
func (s *Stager) readChunks(model string, version uint64) ([][]byte, bool) {
	digest, ok := s.Digests.ManifestDigest(model, version)
	if !ok {
		return nil, false
	}
	m, ok := s.Loader.Complete(digest)
	if !ok {
		return nil, false
	}
	weights, err := s.Loader.Weights(digest)
	if err != nil {
		klog.ErrorS(err, "Weights not readable", "agent", s.ID, "manifest", digest)
		return nil, false
	}
	chunks := make([][]byte, len(m.Chunks))
	for i := range chunks {
		chunks[i] = make([]byte, m.ChunkBytes(i))
		if _, err := io.ReadFull(weights, chunks[i]); err != nil {
			klog.ErrorS(err, "Weights not readable", "agent", s.ID, "manifest", digest)
			return nil, false
		}
	}
	return chunks, true
}
