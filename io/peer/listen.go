package peer

import (
	"context"
	"net"
	"sync"

	"storj.io/drpc/drpcctx"

	"cranberryrail/core/memory"
	"cranberryrail/io/httpd"
)

// countedListener counts what its connections have read of messages that are not complete.
type countedListener struct {
	net.Listener

	memory *memory.Pool
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, httpd.Retryable(err)
	}
	c := &countedConn{Conn: nc}
	c.holder = l.memory.NewHolder(func() { _ = nc.Close() }) // nothing is handled of a message that is not complete
	return c, nil
}

// countedConn is a connection, which carries one call at a time: a call is complete once it is handled or something is sent.
type countedConn struct {
	net.Conn

	holder *memory.Holder
	mu     sync.Mutex
	read   int
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if usedUp := c.holder.AddRead(n, c.read); usedUp != nil {
		return 0, usedUp
	}
	c.read += n
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	c.release()
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.release()
	return c.Conn.Close()
}

func (c *countedConn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.read > memory.SmallBytes {
		c.holder.Release()
	}
	c.read = 0
}

// releaseRead ends what was counted for the message of a call that is handled.
func releaseRead(ctx context.Context) {
	if tr, ok := drpcctx.Transport(ctx); ok {
		if c, ok := tr.(*countedConn); ok {
			c.release()
		}
	}
}
