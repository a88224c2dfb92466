package relayer

import "net"

// StallRetry is the pause between two checks of a stalled reply.
const StallRetry = stallCheckInterval

// StallingConnection returns a connection of the pool; keepReading decides whether a stalled one reads on.
func StallingConnection(conn net.Conn, keepReading func() bool) net.Conn {
	return &connection{Conn: conn, keepReading: keepReading}
}
