package conns

import (
	"bufio"
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// readBufferBytes is the size of a connection's read buffer.
const readBufferBytes = 4096

// conn is a connection to one incarnation of a target.
type conn struct {
	net.Conn

	poolKey string
	reader  *bufio.Reader
	// idleTimeout is how long the connection may stay idle before it is closed.
	idleTimeout time.Duration
	// lastUsed is when the last response ended, and expires when the idle connection must no longer be used.
	lastUsed, expires time.Time
	closed            atomic.Bool
}

func newConn(nc net.Conn, poolKey string, idleTimeout time.Duration) *conn {
	return &conn{Conn: nc, poolKey: poolKey, idleTimeout: idleTimeout, reader: bufio.NewReaderSize(nc, readBufferBytes)}
}

func (cn *conn) close() {
	if cn.closed.CompareAndSwap(false, true) {
		_ = cn.Close() // no accepted response depends on it
	}
}

// isReusable reports whether the connection is open and has no unread input. A late response to an
// earlier request must not be taken for the response to the next one.
func (cn *conn) isReusable() bool {
	if cn.closed.Load() || cn.reader.Buffered() > 0 {
		return false
	}
	sc, ok := cn.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = err == unix.EAGAIN //nolint:errorlint // system calls return an unwrapped errno
		return true
	})
	return err == nil && empty
}

// TCP keep-alive probes detect an unresponsive peer while a response is pending.
const (
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// newDialer returns a dialer that sets TCP keep-alive and TCP_USER_TIMEOUT on connections to targets.
func newDialer() *net.Dialer {
	return &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		ControlContext: func(_ context.Context, _, _ string, c syscall.RawConn) error {
			var optErr error
			err := c.Control(func(fd uintptr) {
				optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout/time.Millisecond))
			})
			if err != nil {
				return err
			}
			return optErr
		},
	}
}
