package messenger

import (
	"context"
	"errors"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/oriolecroft/oriolecroft/internal/acceptor"
)

// replyCopies is how many copies of a reply there are while it is written: the encoded result, and the buffer of the
// message around it, which doubles as it grows.
const replyCopies = 3

// messageHandler handles the messages of a connection, and closes it if they or their replies need more memory than there
// is. Record queries are handled concurrently, as replies to them may be delayed, and other messages in order.
type messageHandler struct {
	handle func(context.Context, *jsonrpc2.Request) (any, error)
	stream *boundedStream
}

// Handle implements jsonrpc2.Handler.
func (h *messageHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	m, err := h.stream.conn.limited.StartMessage(h.stream.pending())
	if err != nil {
		conn.Close()
		return
	}
	if r.Method == methodRecords {
		go h.answer(ctx, conn, r, m)
		return
	}
	h.answer(ctx, conn, r, m)
}

// answer handles a message and sends the reply.
func (h *messageHandler) answer(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request, m *acceptor.Message) {
	defer m.End()
	result, err := h.handle(ctx, r)
	if r.Notif {
		return
	}
	reply := &jsonrpc2.Response{ID: r.ID}
	if err == nil {
		err = reply.SetResult(result)
	}
	var rpcErr *jsonrpc2.Error
	switch {
	case errors.As(err, &rpcErr):
		reply.Error = rpcErr
	case err != nil:
		reply.Error = &jsonrpc2.Error{Message: err.Error()}
	case !m.Acquire(replyCopies * int64(len(*reply.Result))):
		conn.Close()
		return
	}
	// The requester notices that there is no reply.
	_ = conn.SendResponse(ctx, reply)
}
