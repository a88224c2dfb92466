package fetcher

import (
	"context"
	"fmt"

	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

// Verified checks all that a source returns against the digest asked for. A
// source that forgets to check would otherwise bring wrong bytes into the memory
// from which all other agents are served.
func Verified(s Source) Source {
	if h, ok := s.(*HTTP); ok {
		return h
	}
	return verified{s}
}

type verified struct{ Source }

func (v verified) Manifest(ctx context.Context, digest string) ([]byte, error) {
	body, err := v.Source.Manifest(ctx, digest)
	if err != nil {
		return nil, err
	}
	return check(digest, body)
}

func (v verified) Chunk(ctx context.Context, digest string, size int64) ([]byte, error) {
	body, err := v.Source.Chunk(ctx, digest, size)
	if err != nil {
		return nil, err
	}
	if int64(len(body)) != size {
		return nil, &CorruptError{Source: fmt.Sprintf("%T", v.Source), Digest: digest, Got: fmt.Sprintf("%d bytes", len(body))}
	}
	return check(digest, body)
}

func check(digest string, body []byte) ([]byte, error) {
	if got := bundler.Digest(body); got != digest {
		return nil, &CorruptError{Source: "source", Digest: digest, Got: got}
	}
	return body, nil
}
