package target

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
	"syscall"
)

// conn counts the writes to a connection and can be sealed, which prevents further writes.
type conn struct {
	net.Conn

	mu     sync.Mutex
	writes int
	sealed bool
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if !c.beginWrite() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

func (c *conn) beginWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false
	}
	c.writes++
	return true
}

// writesStarted returns the number of writes that were started.
func (c *conn) writesStarted() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal prevents further writes and returns the number of writes that were started.
func (c *conn) seal() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}

// dial establishes a connection to a target.
func (c *Client) dial(ctx context.Context, network, addr string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.DialTimeout)
	defer cancel()
	nc, err := c.Dial(ctx, network, addr)
	if err != nil {
		return nil, &dialError{err: err}
	}
	return &conn{Conn: nc}, nil
}

// RefusesConnections reports whether nothing listens at an address, as after the end of a process.
func (c *Client) RefusesConnections(ctx context.Context, addr string) bool {
	nc, err := c.dial(ctx, "tcp", addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = nc.Close() // nothing was sent
	return false
}

// requestConns records the connections that a request used, and the number of writes to each of them before.
type requestConns struct {
	conns        []*conn
	writesBefore []int
}

// trace returns ctx with a hook that records the connections of a request.
func (u *requestConns) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			u.conns = append(u.conns, c)
			u.writesBefore = append(u.writesBefore, c.writesStarted())
		}
	}})
}

// seal seals the connections of a failed request and reports whether any byte of it may have been written.
func (u *requestConns) seal() bool {
	sent := false
	for i, c := range u.conns {
		if c.seal() > u.writesBefore[i] {
			sent = true
		}
	}
	return sent
}
