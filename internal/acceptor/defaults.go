package acceptor

import (
	"math"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"
)

const (
	// DefaultMemory limits the memory of clients if the VM's is unknown, in bytes.
	DefaultMemory = 128 << 20
	// reserveShare is the share of the memory for connections alone.
	reserveShare = 0.2
	// ownSockets is the number of sockets for the store, for peers and for listeners, unless that is more than ownShare of
	// all. Half of the others are for upstreams.
	ownSockets = 64
	ownShare   = 0.25
)

// New returns limits for a process whose clients may use so much memory, in bytes, and that may open so many sockets; 0 means
// that the number is unknown, and that the limit of the process's descriptors counts alone.
func New(memory int64, sockets int, r metrics.Registry) *Limits {
	if limit := descriptorLimit(); sockets <= 0 || limit < sockets {
		sockets = limit
	}
	own := min(ownSockets, int(ownShare*float64(sockets)))
	return &Limits{
		Connections: max(1, (sockets-own)/2),
		Memory:      memory,
		Reserve:     int64(reserveShare * float64(memory)),
		Metrics:     r,
	}
}

// descriptorLimit returns the limit of the process's open descriptors.
func descriptorLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return math.MaxInt32
	}
	return int(min(limit.Cur, math.MaxInt32))
}
