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

// readBuffer is the size of the read buffer of a connection, in bytes.
const readBuffer = 4096

// conn is a connection to one incarnation of a target.
type conn struct {
	net.Conn

	target string
	reader *bufio.Reader
	// idle is how long the connection is kept without use.
	idle time.Duration
	// used is when it carried its last answer, and until when it may be used again.
	used, until time.Time
	closed      atomic.Bool
}

func newConn(nc net.Conn, target string, idle time.Duration) *conn {
	return &conn{Conn: nc, target: target, idle: idle, reader: bufio.NewReaderSize(nc, readBuffer)}
}

func (k *conn) close() {
	if k.closed.CompareAndSwap(false, true) {
		_ = k.Close() // nothing that was accepted depends on it
	}
}

// quiet reports whether the connection is open and nothing has arrived on it: a late
// answer to an earlier request must not be taken for that of the next one.
func (k *conn) quiet() bool {
	if k.closed.Load() || k.reader.Buffered() > 0 {
		return false
	}
	sc, ok := k.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN //nolint:errorlint // a system call returns the number itself
		return true
	})
	return err == nil && quiet
}

// Keep-alive probes find a connection that went silent while it waits for an answer.
const (
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// dialer returns the dialer of connections to targets.
func dialer() *net.Dialer {
	return &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		ControlContext: func(_ context.Context, _, _ string, c syscall.RawConn) error {
			var failed error
			err := c.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
}
