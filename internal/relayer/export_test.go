package relayer

import "net"

// StallRetry is the pause between two looks at a stalled reply.
const StallRetry = stallCheckInterval

// StallingConnection gives a connection of the pool, with what decides whether to read on when nothing comes.
func StallingConnection(conn net.Conn, stalled func() bool) net.Conn {
	return &connection{Conn: conn, stalled: stalled}
}
