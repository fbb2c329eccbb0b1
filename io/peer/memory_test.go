package peer_test

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcwire"

	"cranberryrail/core/memory"
	"cranberryrail/io/peer"
)

// TestReceivedCallsShareMemory guards against calls of other instances that are not sent to their end, which use up the memory of the instance.
func TestReceivedCallsShareMemory(t *testing.T) {
	const calls, size, limit = 16, 1 << 20, 4 << 20
	pool, held := &memory.Pool{Bytes: limit}, atomic.Bool{}
	n := startNode(t, "a", &clock{}, func(s *peer.Server) {
		s.Memory = pool
		s.Forward = func(_ context.Context, f peer.Forward, _ peer.ForwardWriter) peer.ForwardEnd {
			held.Store(len(f.Body) != limit/2 || !pool.HasRoom()) // a call that is handled is counted elsewhere
			return peer.ForwardEnd{Sent: true}
		}
	})
	part := drpcwire.AppendFrame(nil, drpcwire.Frame{ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindMessage, Data: make([]byte, 64<<10)})
	conns := make([]net.Conn, 0, calls)
	for range calls {
		conn, err := net.Dial("tcp", n.Addr())
		assert.NilError(t, err)
		conns = append(conns, conn)
		for range size / len(part) {
			if _, err := conn.Write(part); err != nil {
				break // closed to release memory
			}
		}
	}
	open := calls
	for end := time.Now().Add(longWait); open > limit/size+1 && time.Now().Before(end); {
		open = calls
		for _, conn := range conns {
			_ = conn.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
			if _, err := conn.Read(make([]byte, 1)); isClosed(err) {
				open--
			}
		}
	}
	assert.Check(t, open > 0 && open <= limit/size+1, "%d of %d calls of %d bytes are held with %d bytes for them", open, calls, size, limit)
	for _, conn := range conns {
		assert.NilError(t, conn.Close())
	}
	for !pool.HasRoom() {
		time.Sleep(time.Millisecond) // until the server has read the ends
	}
	for range 3 { // on one connection
		reply, err := n.client.Forward(t.Context(), n.Addr(), peer.Forward{HeaderTimeout: time.Minute, Remaining: time.Minute, Body: make([]byte, limit/2)})
		assert.NilError(t, err)
		_, end, err := reply.Head()
		assert.Check(t, err == nil && end != nil && !held.Load(), "%v", err)
		reply.Close()
	}
}

// isClosed reports whether the other end has closed the connection.
func isClosed(err error) bool {
	var timeout net.Error
	return err != nil && (!errors.As(err, &timeout) || !timeout.Timeout())
}
