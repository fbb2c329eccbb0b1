package conns

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"

	"cranberryrail/core/memory"
)

// readBufferBytes is the size of a connection's read buffer.
const readBufferBytes = 4096

// maxHeadBytes limits the status line and the headers of a response, with the interim responses before it.
const maxHeadBytes = 64 << 10

// maxHeadLines limits the lines of the same. A header that was parsed takes many times the memory of a short line. The lines in the read buffer may be more.
const maxHeadLines = 256

// headCopies is how often the text of a head is in memory: as the line that is read, which grows by doubling, and as the header.
const headCopies = 3

var errHeadTooLarge = fmt.Errorf("the head of the response has more than %d bytes or %d lines", maxHeadBytes, maxHeadLines)

// headLimiter reads from a connection. While a head is read, it limits how much is read.
type headLimiter struct {
	net.Conn

	limited bool
	// left is how many bytes may still be read, if limited is set, and lines how many lines were read.
	left, lines int
	// holder counts the memory of the head; nil if nothing does.
	holder *memory.Holder
}

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.Conn.Read(p)
	}
	if l.lines > maxHeadLines {
		l.left = 0 // What was read so far belongs to the head.
	}
	if l.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.Conn.Read(p[:min(len(p), l.left)])
	l.left -= n
	l.lines += bytes.Count(p[:n], []byte("\n"))
	if l.holder != nil && maxHeadBytes-l.left > memory.SmallBytes {
		if ended := l.holder.Add(headCopies * n); ended != nil {
			return 0, ended
		}
	}
	return n, err
}

// limit limits the reads that follow until unlimit is called.
func (l *headLimiter) limit(holder *memory.Holder) {
	l.limited, l.left, l.lines, l.holder = true, maxHeadBytes, 0, holder
}

func (l *headLimiter) unlimit() { l.limited, l.holder = false, nil }

// exhausted reports whether the last limit was reached.
func (l *headLimiter) exhausted() bool { return l.left <= 0 }

// conn is a connection to one incarnation of a target.
type conn struct {
	net.Conn

	poolKey string
	// addr is the address that it was opened to.
	addr   string
	input  *headLimiter
	reader *bufio.Reader
	// idleTimeout is how long the connection may stay idle before it is closed.
	idleTimeout time.Duration
	// lastUsed is when the last response ended, and expires when the idle connection must no longer be used.
	lastUsed, expires time.Time
	closed            atomic.Bool
	// verified is set once the target has shown on the connection which start it is.
	verified bool
	// responses is the number of responses that were read, without interim ones.
	responses int
	// ids holds the hashes of the ids of the last requests, at most maxIDs.
	ids []uint64
}

// maxIDs is how many requests a connection remembers: several times maxForeignResponses, since a second response follows the first one closely.
const maxIDs = 16

// hasCarried reports whether one of the last requests on the connection had an id. Callers choose ids, so that a late second response to that request would look
// like the response to another one with the same id.
func (cn *conn) hasCarried(id string) bool { return slices.Contains(cn.ids, xxhash.Sum64String(id)) }

// carry records the id of a request that is sent.
func (cn *conn) carry(id string) {
	if len(cn.ids) == maxIDs {
		cn.ids = slices.Delete(cn.ids, 0, 1)
	}
	cn.ids = append(cn.ids, xxhash.Sum64String(id))
}

func newConn(nc net.Conn, poolKey, addr string, idleTimeout time.Duration) *conn {
	input := &headLimiter{Conn: nc}
	return &conn{Conn: nc, poolKey: poolKey, addr: addr, idleTimeout: idleTimeout, input: input, reader: bufio.NewReaderSize(input, readBufferBytes)}
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

// control calls f with the file descriptor of the connection, if it has one.
func (cn *conn) control(f func(fd int)) {
	if sc, ok := cn.Conn.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) { f(int(fd)) }) // fails only on a closed connection
		}
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT; 0 is the default of the system.
func (cn *conn) setUserTimeout(d time.Duration) {
	cn.control(func(fd int) {
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d/time.Millisecond)) // the connection was opened with this option
	})
}

// isReceived reports whether the other machine has acknowledged all that was written. A closed connection counts as acknowledged.
func (cn *conn) isReceived() bool {
	left := 0
	cn.control(func(fd int) {
		if n, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ); err == nil {
			left = n
		}
	})
	return left == 0
}

// awaitReceived waits until all that was written is acknowledged, or closing is closed, and reports whether it is. A lost target is then noticed within
// tcpUserTimeout again.
func (cn *conn) awaitReceived(closing <-chan struct{}) bool {
	ticker := time.NewTicker(ackPollInterval)
	defer ticker.Stop()
	for closed := false; !cn.isReceived(); {
		if closed {
			return false
		}
		select {
		case <-closing:
			closed = true
		case <-ticker.C:
		}
	}
	cn.setUserTimeout(tcpUserTimeout)
	return true
}

// TCP keep-alive probes detect an unresponsive peer while a response is pending.
const (
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// NewDialer returns a dialer that sets TCP keep-alive and TCP_USER_TIMEOUT on connections, so that one whose other end is lost fails within
// seconds.
func NewDialer() *net.Dialer {
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
