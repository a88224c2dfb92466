package fetcher

import (
	"context"
	"fmt"

	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

// Verified wraps a source to verify all that it returns against the requested digest. A
// source that omits this check would otherwise put wrong bytes into the memory
// from which all other agents are served.
func Verified(s Source) Source {
	if h, ok := s.(*HTTP); ok {
		return h
	}
	return verifiedSource{s}
}

type verifiedSource struct{ Source }

func (v verifiedSource) Manifest(ctx context.Context, digest string) ([]byte, error) {
	body, err := v.Source.Manifest(ctx, digest)
	if err != nil {
		return nil, err
	}
	return verify(digest, body)
}

func (v verifiedSource) Chunk(ctx context.Context, digest string, size int64) ([]byte, error) {
	body, err := v.Source.Chunk(ctx, digest, size)
	if err != nil {
		return nil, err
	}
	if int64(len(body)) != size {
		return nil, &CorruptError{Source: fmt.Sprintf("%T", v.Source), Digest: digest, Got: fmt.Sprintf("%d bytes", len(body))}
	}
	return verify(digest, body)
}

func verify(digest string, body []byte) ([]byte, error) {
	if got := bundler.Digest(body); got != digest {
		return nil, &CorruptError{Source: "source", Digest: digest, Got: got}
	}
	return body, nil
}
