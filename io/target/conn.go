package target

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
)

// conn counts the writes of a connection and can be sealed against further ones.
type conn struct {
	net.Conn

	mu     sync.Mutex
	writes int
	sealed bool
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if !c.mayWrite() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

func (c *conn) mayWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false
	}
	c.writes++
	return true
}

// started returns the number of writes that were started.
func (c *conn) started() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal forbids further writes and returns the number of those that were started.
func (c *conn) seal() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}

// dial makes a connection to a target.
func (c *Client) dial(ctx context.Context, network, addr string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.DialTimeout)
	defer cancel()
	nc, err := c.Dial(ctx, network, addr)
	if err != nil {
		return nil, &dialError{err: err}
	}
	return &conn{Conn: nc}, nil
}

// usage notes which connections a request was given and how much was written to them before.
type usage struct {
	conns  []*conn
	before []int
}

// trace returns ctx with a hook that notes the connections of a request.
func (u *usage) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			u.conns = append(u.conns, c)
			u.before = append(u.before, c.started())
		}
	}})
}

// sent seals the connections of a failed request and reports whether a byte may have been written.
func (u *usage) sent() bool {
	sent := false
	for i, c := range u.conns {
		if c.seal() > u.before[i] {
			sent = true
		}
	}
	return sent
}
