package acceptor

// messageBytes is the memory of a message besides its text.
const messageBytes = 8 << 10

// Message is a message that is handled. Its connection stays open until End. All its methods may be called on nil, a message
// without limits.
type Message struct {
	conn *Conn
	// bytes is the memory held for it, its text and its reply.
	bytes int64
}

// StartMessage records that a message was received and starts to be handled; pending is the number of bytes received after
// it. Errors are *ClosedError, if the connection was closed or has to be for lack of memory.
func (c *Conn) StartMessage(pending int) (*Message, error) {
	if c == nil {
		return nil, nil
	}
	if err := c.StartRequest(); err != nil {
		return nil, err
	}
	if !c.listener.startRequest(messageBytes) {
		return nil, &ClosedError{}
	}
	c.limits.mu.Lock()
	defer c.limits.mu.Unlock()
	// The text is counted for the message from now on.
	m := &Message{conn: c, bytes: messageBytes + countedCost(c.received)}
	c.setReceived(min(c.received, maxJSONCost(pending)))
	c.listener.held += m.bytes - messageBytes
	c.limits.hold(m.bytes - messageBytes)
	return m, nil
}

// Acquire reports whether this many more bytes are available for the message's reply, and counts them.
func (m *Message) Acquire(bytes int64) bool {
	if m == nil {
		return true
	}
	if !m.conn.listener.acquire(bytes) {
		return false
	}
	m.bytes += bytes
	return true
}

// End releases the message's memory.
func (m *Message) End() {
	if m == nil {
		return
	}
	m.conn.listener.endRequest(m.bytes)
	m.conn.endMessage()
}

// ReceivedJSON counts a part of a message. Errors are *ClosedError.
func (c *Conn) ReceivedJSON(b []byte) error {
	if c == nil {
		return nil
	}
	return c.receivePlain(JSONCost(b))
}

// endMessage records that a message was handled.
func (c *Conn) endMessage() {
	c.limits.mu.Lock()
	defer c.limits.mu.Unlock()
	c.running--
	switch {
	case c.running > 0:
	case c.state == receivingHead, c.state == receivingLargeHead:
		c.enter(c.state)
	default:
		c.enter(idle)
	}
}

// AwaitMessage records whether the connection waits for a message of which nothing was received yet.
func (c *Conn) AwaitMessage(partial bool) {
	if c == nil {
		return
	}
	c.limits.mu.Lock()
	defer c.limits.mu.Unlock()
	switch {
	case partial && c.bytes > ConnectionBytes:
		c.enter(receivingLargeHead)
	case partial:
		c.enter(receivingHead)
	case c.state != unused:
		c.setReceived(0)
		c.enter(idle)
	}
}

// maxJSONCost is JSONCost of the most expensive text of so many bytes.
func maxJSONCost(length int) int64 { return int64(length) * (jsonByteCost + objectCost) }
