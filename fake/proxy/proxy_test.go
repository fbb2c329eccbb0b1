package proxy_test

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cranberryrail/fake/proxy"
)

// silenceWindow is how long a test waits to verify that no bytes arrive.
const silenceWindow = 50 * time.Millisecond

// startWithEcho returns a running proxy that forwards to an echo server.
func startWithEcho(t *testing.T) *proxy.Proxy {
	t.Helper()
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	p := &proxy.Proxy{Target: echo.Addr().String()}
	p.Default()
	assert.NilError(t, p.Listen(ctx))
	var group errgroup.Group
	group.Go(func() error { return p.Run(ctx) })
	group.Go(func() error {
		for {
			conn, err := echo.Accept()
			if err != nil {
				return nil
			}
			group.Go(func() error {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
				return nil
			})
		}
	})
	t.Cleanup(func() {
		cancel()
		_ = echo.Close()
		assert.NilError(t, group.Wait())
	})
	return p
}

func dial(t *testing.T, p *proxy.Proxy) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", p.Addr())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func assertEchoes(t *testing.T, conn net.Conn) {
	t.Helper()
	_, err := conn.Write([]byte("ping"))
	assert.NilError(t, err)
	got := make([]byte, 4)
	_, err = io.ReadFull(conn, got)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "ping")
}

func assertSilent(t *testing.T, conn net.Conn) {
	t.Helper()
	_, err := conn.Write([]byte("ping"))
	assert.NilError(t, err)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(silenceWindow)))
	_, err = conn.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
}

func assertClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	_, err := conn.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
}

func TestProxyStates(t *testing.T) {
	p := startWithEcho(t)
	first := dial(t, p)
	t.Run("an open proxy forwards and counts both directions", func(t *testing.T) {
		assertEchoes(t, first)
		assert.Equal(t, p.Bytes(), int64(8))
	})
	t.Run("a silent proxy accepts connections and forwards nothing", func(t *testing.T) {
		p.SetState(proxy.Silent)
		assertSilent(t, first)
		assertSilent(t, dial(t, p))
	})
	t.Run("only new connections are forwarded after reopening", func(t *testing.T) {
		p.SetState(proxy.Open)
		assertSilent(t, first)
		second := dial(t, p)
		assertEchoes(t, second)
		p.SetState(proxy.Closed)
		assertClosed(t, second)
		assertClosed(t, dial(t, p))
	})
}
