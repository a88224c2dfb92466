package stager

import (
	"context"

	"k8s.io/klog/v2"

	"github.com/oriolecroft/oriolecroft/internal/planner"
)

// stagedChunks are the chunks staged of a version whose load has not been ordered yet.
type stagedChunks struct {
	version uint64
	chunks  planner.Bitmap
}

// maxStagedPerPoll limits the chunks staged between two polls of the engine, so that a restart of
// the engine is still detected soon: each takes about a millisecond.
const maxStagedPerPoll = 32

// stageAhead stages the chunks of the next version as they arrive, long before its load order. A VM
// keeps only the staged chunks: when all agents lose their memory at once, as after a power
// failure, the weights would otherwise have to come from the origin again, which takes as long as
// the first time, and no request could be served meanwhile. Staging overwrites the previous
// version; if only the engine restarts, the agent still has that in memory.
func (s *Stager) stageAhead(ctx context.Context, model string, held, whole uint64) {
	version := whole
	if version <= held {
		version = s.pending(model, held)[0].Version
	}
	digest, ok := s.Digests.ManifestDigest(model, version)
	if !ok || version <= held {
		return
	}
	if s.ahead.version != version {
		s.ahead = stagedChunks{version: version, chunks: planner.NewBitmap(s.chunkCount())}
	}
	began, staged := s.Clock.Now(), 0
	for i := range s.chunkCount() {
		if s.ahead.chunks.Has(i) {
			continue
		}
		data, ok := s.Loader.Chunk(digest, i)
		if !ok {
			continue
		}
		if err := s.Engine.Stage(ctx, model, i, data); err != nil {
			klog.ErrorS(err, "Chunk not staged ahead of the switch", "agent", s.ID, "model", model, "version", version, "chunk", i)
			return
		}
		s.ahead.chunks.Set(i)
		if staged++; staged >= maxStagedPerPoll {
			break
		}
	}
	if staged > 0 && s.ahead.chunks.Count() == s.chunkCount() {
		klog.InfoS("Weights staged ahead of the switch", "agent", s.ID, "model", model, "version", version, "held", held,
			"lastStagedIn", s.Clock.Since(began))
	}
}
