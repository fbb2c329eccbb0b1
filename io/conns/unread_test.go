package conns_test

import (
	"bytes"
	"context"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"cranberryrail/io/conns"
)

// userTimeout returns the TCP_USER_TIMEOUT of a connection, after it was set if set is positive.
func userTimeout(t *testing.T, nc net.Conn, set time.Duration) (d time.Duration) {
	t.Helper()
	raw, err := nc.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	assert.NilError(t, raw.Control(func(fd uintptr) {
		if set > 0 {
			assert.Check(t, unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(set.Milliseconds())))
		}
		ms, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		assert.Check(t, err)
		d = time.Duration(ms) * time.Millisecond
	}))
	return d
}

// TestLongBodyIsReadLate guards against answers that are cut because their target reads a long body late, before or after it begins to answer, and
// against connections that notice a lost target late afterwards.
func TestLongBodyIsReadLate(t *testing.T) {
	const shortTimeout = 200 * time.Millisecond
	for _, head := range []string{"", "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nx"} {
		t.Run(strings.TrimSpace(head[:min(len(head), 8)]), func(t *testing.T) {
			t.Parallel()
			var opened net.Conn
			var timeout time.Duration
			s, c := newTarget(t), &conns.Client{}
			c.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
				nc, err := conns.NewDialer().DialContext(ctx, network, addr)
				if err == nil {
					opened, timeout = nc, userTimeout(t, nc, 0)
					userTimeout(t, nc, shortTimeout)
				}
				return nc, err
			}
			c.Default()
			r := s.request("a")
			r.Body, r.HeaderTimeout = bytes.Repeat([]byte("x"), 8<<20), time.Minute
			got := startExchange(t, c, r)
			p := s.accept(t)
			p.send(t, head)
			time.Sleep(8 * shortTimeout)
			assert.Equal(t, p.readRequest(t), "a")
			for userTimeout(t, opened, 0) != timeout {
				time.Sleep(time.Millisecond) // until the time limit of the test
			}
			if head == "" {
				p.send(t, responseTo("a", "xx"))
			} else {
				p.send(t, "x")
			}
			assertBody(t, got, "xx")
			assert.Equal(t, userTimeout(t, opened, 0), timeout) // The connection is in the pool.
		})
	}
}
