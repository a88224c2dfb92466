package loader

import (
	"github.com/oriolecroft/oriolecroft/internal/fetcher"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

// Adopt adds a manifest and those of its chunks that the caller already has, such as the chunks
// staged at the engine before its agent restarted, so that a restart does not fetch the weights
// again. Chunks with a wrong digest are skipped.
func (l *Loader) Adopt(digest string, body []byte, chunks map[int][]byte) error {
	l.setUp()
	l.mu.Lock()
	defer l.mu.Unlock()
	s, err := l.storeManifest(digest, body)
	if err != nil {
		return err
	}
	m := s.manifest
	if s.transfer == nil && !l.admit(s, l.Clock.Now()) {
		return &IncompleteError{Manifest: digest, All: len(m.Chunks)}
	}
	for i, data := range chunks {
		if i < 0 || i >= len(m.Chunks) || bundler.Digest(data) != m.Chunks[i] {
			continue
		}
		l.storeChunk(m.Chunks[i], data)
	}
	l.notifyChanged()
	l.triggerStep()
	return nil
}

// AddManifest adds a manifest that the caller already has. Otherwise it would first be requested
// from peers, over links that are saturated while weights spread.
func (l *Loader) AddManifest(digest string, body []byte) error {
	l.setUp()
	l.mu.Lock()
	defer l.mu.Unlock()
	_, err := l.storeManifest(digest, body)
	l.triggerStep()
	return err
}

// storeManifest validates and stores a manifest, and returns its set.
func (l *Loader) storeManifest(digest string, body []byte) (*weightSet, error) {
	m, err := fetcher.ParseManifest(digest, body)
	if err != nil {
		return nil, err
	}
	l.ensureSet(digest)
	s := l.sets[digest]
	if s.manifest == nil {
		s.setManifest(m, body)
	}
	return s, nil
}

// storeChunk stores verified bytes and updates all transfers that include them.
func (l *Loader) storeChunk(digest string, data []byte) {
	c := l.chunks[digest]
	if c == nil || c.data != nil {
		return
	}
	c.data = data
	for _, s := range l.sets {
		if s.transfer == nil {
			continue
		}
		for _, i := range s.chunkIndexes[digest] {
			s.transfer.AddChunk(i)
		}
	}
}

// SetSourceRegion sets the region of Sources once it is known; transfers that have started keep
// their previous value.
func (l *Loader) SetSourceRegion(region string) {
	l.setUp()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.SourceRegion = region
}
