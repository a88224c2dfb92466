package loader

import (
	"errors"
	"io"
)

// reader reads chunks in order. It references the chunks that it was created with, so that an
// eviction doesn't affect an engine that is loading them.
type reader struct {
	chunks          [][]byte
	chunkSize, size int64
	position        int64
}

func (r *reader) Read(p []byte) (int, error) {
	if r.position >= r.size {
		return 0, io.EOF
	}
	n := copy(p, r.chunks[r.position/r.chunkSize][r.position%r.chunkSize:])
	r.position += int64(n)
	return n, nil
}

func (r *reader) Seek(offset int64, whence int) (int64, error) {
	switch whence {
	case io.SeekCurrent:
		offset += r.position
	case io.SeekEnd:
		offset += r.size
	}
	if offset < 0 {
		return 0, errors.New("seek before the start of the weights")
	}
	r.position = offset
	return offset, nil
}
