// Package fetcher fetches from the sources of weights: the platform's weight store,
// the origin, and other agents, which share one protocol. It verifies all
// data against the requested digest.
package fetcher

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"regexp"

	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

// Bounds of the values in a manifest. Without them a faulty source could make
// an agent allocate without bound before the first chunk is verified.
const (
	// MaxManifestBytes is the largest manifest body that is read.
	MaxManifestBytes = 8 << 20
	// MaxChunkBytes is the largest chunk that is read.
	MaxChunkBytes = 1 << 30
	// MaxChunks is the largest number of chunks of one manifest.
	MaxChunks = 1 << 16
)

var digestPattern = regexp.MustCompile(`^sha256:[0-9a-f]{64}$`)

// Manifest lists the chunks of one set of weights. Its digest is that of its
// body as served, and thereby covers every byte of the weights.
type Manifest struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	// Size is the total size of all chunks in bytes.
	Size int64 `json:"size"`
	// ChunkSize is the size in bytes of each chunk but the last, which may be
	// shorter.
	ChunkSize int64 `json:"chunkSize"`
	// Chunks are the digests of the chunks in order.
	Chunks []string `json:"chunks"`
}

// ParseManifest verifies a body against its digest and validates it. It returns a
// *CorruptError if the digest differs and an *InvalidManifestError if the content is not
// a valid manifest.
func ParseManifest(digest string, body []byte) (*Manifest, error) {
	if got := bundler.Digest(body); got != digest {
		return nil, &CorruptError{Digest: digest, Got: got}
	}
	d := json.NewDecoder(bytes.NewReader(body))
	m := new(Manifest)
	if err := d.Decode(m); err != nil {
		return nil, &InvalidManifestError{Digest: digest, Problem: err.Error()}
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, &InvalidManifestError{Digest: digest, Problem: "text after the manifest"}
	}
	if problem := m.problem(); problem != "" {
		return nil, &InvalidManifestError{Digest: digest, Problem: problem}
	}
	return m, nil
}

func (m *Manifest) problem() string {
	if m.Size <= 0 || m.ChunkSize <= 0 || m.ChunkSize > MaxChunkBytes {
		return fmt.Sprintf("size %d, chunk size %d", m.Size, m.ChunkSize)
	}
	if len(m.Chunks) > MaxChunks {
		return fmt.Sprintf("%d chunks, over the limit of %d", len(m.Chunks), MaxChunks)
	}
	if want := (m.Size-1)/m.ChunkSize + 1; int64(len(m.Chunks)) != want {
		return fmt.Sprintf("%d chunks, want %d for its sizes", len(m.Chunks), want)
	}
	for i, c := range m.Chunks {
		if !digestPattern.MatchString(c) {
			return fmt.Sprintf("chunks[%d] is not a digest", i)
		}
	}
	return ""
}

// ChunkBytes returns the size in bytes of chunk i.
func (m *Manifest) ChunkBytes(i int) int64 {
	if i == len(m.Chunks)-1 {
		return m.Size - int64(i)*m.ChunkSize
	}
	return m.ChunkSize
}
