package loader

import (
	"errors"
	"io"
)

// reader reads chunks in order. It keeps the chunks alive that it was made with,
// so that an eviction can't pull them from under an engine that is loading.
type reader struct {
	chunks          [][]byte
	chunkSize, size int64
	at              int64
}

func (r *reader) Read(p []byte) (int, error) {
	if r.at >= r.size {
		return 0, io.EOF
	}
	n := copy(p, r.chunks[r.at/r.chunkSize][r.at%r.chunkSize:])
	r.at += int64(n)
	return n, nil
}

func (r *reader) Seek(offset int64, whence int) (int64, error) {
	switch whence {
	case io.SeekCurrent:
		offset += r.at
	case io.SeekEnd:
		offset += r.size
	}
	if offset < 0 {
		return 0, errors.New("seek before the start of the weights")
	}
	r.at = offset
	return offset, nil
}
