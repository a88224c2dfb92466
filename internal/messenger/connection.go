package messenger

import (
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// silentAfter is how long after a timeout a connection over which nothing has come since is
// replaced by the next call: several round trips between regions.
const silentAfter = 300 * time.Millisecond

// connection is one to a peer.
type connection struct {
	*jsonrpc2.Conn
	raw *boundedConn
	// suspected is how long after it was opened a call timed out, in nanoseconds; 0 for never.
	suspected atomic.Int64
}

// suspect notes that a call has timed out. The first timeout since anything was received counts.
func (n *connection) suspect() {
	if before := n.suspected.Load(); before == 0 || n.raw.received.Load() >= before {
		n.suspected.Store(int64(max(1, time.Since(n.raw.opened))))
	}
}

// silent returns whether nothing has come since a call timed out, and that was some time ago.
func (n *connection) silent() bool {
	suspected := n.suspected.Load()
	return suspected > 0 && n.raw.received.Load() < suspected &&
		time.Since(n.raw.opened)-time.Duration(suspected) >= silentAfter
}
