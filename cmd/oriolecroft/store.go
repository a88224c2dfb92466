package main

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/oriolecroft/oriolecroft/internal/publisher"
	"github.com/oriolecroft/oriolecroft/internal/storer"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

// storeFlags holds the flags for reading and changing the bundle in force.
type storeFlags struct {
	store      string
	keys       []string
	signatures int
}

// bind adds the flags, with defaults from the environment.
func (s *storeFlags) bind(flags *flaggy.Subcommand) {
	s.store = os.Getenv("OC_STORE")
	s.signatures = 1
	flags.String(&s.store, "", "store", "address of the platform's key-value service [OC_STORE]")
	flags.StringSlice(&s.keys, "", "keys", "operators' public keys (base64), with commas or repeated [OC_KEYS]")
	flags.Int(&s.signatures, "", "signatures", "how many of them must sign a bundle")
}

// keyring returns the keys of --keys or OC_KEYS, which may be lists with commas.
func (s *storeFlags) keyring() bundler.Keyring {
	list := strings.Join(s.keys, ",")
	if list == "" {
		list = os.Getenv("OC_KEYS")
	}
	k := bundler.Keyring{Threshold: s.signatures}
	for _, key := range strings.Split(list, ",") {
		if key = strings.TrimSpace(key); key != "" {
			k.Keys = append(k.Keys, key)
		}
	}
	return k
}

func (s *storeFlags) publisher() (*publisher.Publisher, error) {
	address, err := netip.ParseAddrPort(s.store)
	if err != nil {
		return nil, &UsageError{Problem: fmt.Sprintf("--store: %q is no IP number and port, such as 127.0.0.1:7000", s.store)}
	}
	k := s.keyring()
	if err := k.Validate(); err != nil {
		return nil, &UsageError{Problem: "--keys: " + err.Error()}
	}
	return &publisher.Publisher{Store: &storer.HTTP{Address: address, Timeout: storeTimeout}, Keyring: k}, nil
}

// fetchBundle returns the bundle in force, or an earlier revision.
func (s *storeFlags) fetchBundle(ctx context.Context, revision uint64) (*bundler.Bundle, error) {
	p, err := s.publisher()
	if err != nil {
		return nil, err
	}
	if revision == 0 {
		b, _, err := p.Current(ctx)
		return b, err
	}
	item, err := p.Store.Get(ctx, fmt.Sprintf("%s%d", publisher.RevisionPrefix, revision))
	if err != nil {
		return nil, err
	}
	r, err := bundler.DecodeRecord(item.Value)
	if err != nil {
		return nil, err
	}
	return r.Open(p.Keyring)
}

func isNotFound(err error) bool {
	var n *storer.NotFoundError
	return errors.As(err, &n)
}
