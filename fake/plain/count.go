package plain

import (
	"net"
	"sync/atomic"
)

// CountedConn is a connection that counts the bytes that are read from it.
type CountedConn struct {
	net.Conn

	Bytes *atomic.Int64
}

// Read implements io.Reader.
func (c CountedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.Bytes.Add(int64(n))
	return n, err
}
