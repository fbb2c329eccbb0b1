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

// startWithEcho returns a running gate that forwards to an echo server.
func startWithEcho(t *testing.T) *proxy.Proxy {
	t.Helper()
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	g := &proxy.Proxy{Target: echo.Addr().String()}
	g.Default()
	assert.NilError(t, g.Listen(ctx))
	var group errgroup.Group
	group.Go(func() error { return g.Run(ctx) })
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
	return g
}

func dial(t *testing.T, g *proxy.Proxy) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", g.Addr())
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

func TestStates(t *testing.T) {
	g := startWithEcho(t)
	first := dial(t, g)
	t.Run("open", func(t *testing.T) {
		assertEchoes(t, first)
		assert.Equal(t, g.Bytes(), int64(8))
	})
	t.Run("silent", func(t *testing.T) {
		g.SetState(proxy.Silent)
		assertSilent(t, first)
		assertSilent(t, dial(t, g))
	})
	t.Run("open again", func(t *testing.T) {
		g.SetState(proxy.Open)
		assertSilent(t, first)
		second := dial(t, g)
		assertEchoes(t, second)
		g.SetState(proxy.Closed)
		assertClosed(t, second)
		assertClosed(t, dial(t, g))
	})
}
