package messenger

import (
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// unresponsiveAfter is the time after a timeout until a connection on which nothing was received
// is replaced by the next call: several round trips between regions.
const unresponsiveAfter = 300 * time.Millisecond

// connection is a connection to a peer, with the time of its last timeout.
type connection struct {
	*jsonrpc2.Conn
	raw *boundedConn
	// timedOut is when a call timed out, in nanoseconds after the connection was opened; 0 for never.
	timedOut atomic.Int64
}

// markTimedOut records the first timeout of a call since the last read.
func (n *connection) markTimedOut() {
	if previous := n.timedOut.Load(); previous == 0 || n.raw.lastRead.Load() >= previous {
		n.timedOut.Store(int64(max(1, time.Since(n.raw.opened))))
	}
}

// unresponsive reports whether nothing was received for unresponsiveAfter or longer after a call timed out.
func (n *connection) unresponsive() bool {
	timedOut := n.timedOut.Load()
	return timedOut > 0 && n.raw.lastRead.Load() < timedOut &&
		time.Since(n.raw.opened)-time.Duration(timedOut) >= unresponsiveAfter
}
