package target_test

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"testing"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cranberryrail/fake/plain"
	"cranberryrail/io/target"
)

func callService(c *target.Client, addr string, body []byte) (*target.Reply, error) {
	return c.CallService(context.Background(), addr, "file-claim", "k1", nil, body)
}

func TestCallService(t *testing.T) {
	tests := []struct {
		name   string
		faults plain.Faults
		kind   target.Kind
		notRun bool
		runs   int
	}{
		{name: "connection closed after the run", faults: plain.Faults{DropAfterRatio: 1}, kind: target.Failed, runs: 1},
		{name: "call to a leaving service", faults: plain.Faults{Leaving: true}, kind: target.Leaving, notRun: true},
		{name: "service that never responds", faults: plain.Faults{Silent: true}, kind: target.Silent},
		{name: "service slower than the call timeout", faults: plain.Faults{DelayMS: 60_000}, kind: target.Silent, runs: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := startPlain(t, tt.faults)
			c := &target.Client{CallTimeout: shortTimeout}
			c.Default()
			_, err := callService(c, s.Addr(), []byte("{}"))
			e := assertKind(t, err, tt.kind)
			assert.Assert(t, e.Sent)
			assert.Equal(t, e.NotRun, tt.notRun)
			assert.Equal(t, s.Runs("k1"), tt.runs)
			assert.Equal(t, s.Counts().Calls, 1)
		})
	}
	t.Run("a complete reply is returned", func(t *testing.T) {
		s := startPlain(t, plain.Faults{})
		reply, err := callService(newClient(), s.Addr(), []byte("{}"))
		assert.NilError(t, err)
		var answer plain.Answer
		assert.NilError(t, json.Unmarshal(reply.Body, &answer))
		assert.Equal(t, answer.Operation, "file-claim")
		assert.Equal(t, answer.Key, "k1")
		assert.Equal(t, answer.Run, 1)
	})
	t.Run("failed without running is a response", func(t *testing.T) {
		s := startPlain(t, plain.Faults{FailBeforeRatio: 1})
		reply, err := callService(newClient(), s.Addr(), []byte("{}"))
		assert.NilError(t, err)
		assert.Equal(t, reply.Status, http.StatusInternalServerError)
		assert.Equal(t, s.Runs("k1"), 0)
	})
}

func TestCallServiceUnsent(t *testing.T) {
	t.Run("no listener", func(t *testing.T) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		assert.NilError(t, ln.Close())
		_, err = callService(newClient(), ln.Addr().String(), nil)
		e := assertKind(t, err, target.Refused)
		assert.Assert(t, !e.Sent && e.NotRun)
	})
	t.Run("the caller disconnected after the connection was made", func(t *testing.T) {
		s := startPlain(t, plain.Faults{})
		ctx, cancel := context.WithCancel(context.Background())
		c := &target.Client{Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
			defer cancel()
			return (&net.Dialer{}).DialContext(ctx, network, addr)
		}}
		c.Default()
		_, err := c.CallService(ctx, s.Addr(), "pay", "k1", nil, nil)
		e := assertKind(t, err, target.Cancelled)
		assert.Assert(t, !e.Sent && e.NotRun)
		assert.Equal(t, s.Counts().Calls, 0)
	})
}

func TestCallServiceCutReplies(t *testing.T) {
	replies := map[string]string{
		"shorter than its length": "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{}",
		"within its chunks":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n",
		"without length":          "HTTP/1.1 200 OK\r\n\r\n{}",
	}
	for name, reply := range replies {
		t.Run(name, func(t *testing.T) {
			addr := startRaw(t, func(w http.ResponseWriter, _ *http.Request) {
				nc, _, err := http.NewResponseController(w).Hijack()
				if err == nil {
					_, _ = nc.Write([]byte(reply))
					_ = nc.Close()
				}
			})
			_, err := callService(newClient(), addr, nil)
			e := assertKind(t, err, target.Truncated)
			assert.Assert(t, e.Sent && !e.NotRun)
		})
	}
	t.Run("larger than the limit", func(t *testing.T) {
		addr := startRaw(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 100)) })
		c := &target.Client{MaxReplyBytes: 99}
		c.Default()
		_, err := callService(c, addr, nil)
		assertKind(t, err, target.Failed)
	})
}

// TestCallServiceIsWrittenOnce responds to the first call on a connection that stays open, and closes the connection of
// each later call once its request was read. The client must neither reuse a connection nor retry a call.
func TestCallServiceIsWrittenOnce(t *testing.T) {
	for name, body := range map[string][]byte{"without body": nil, "with body": []byte("{}")} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			requests, connections := 0, 0
			var group errgroup.Group
			group.Go(func() error {
				for {
					nc, err := ln.Accept()
					if err != nil {
						return nil
					}
					connections++
					requests += serveConn(nc, requests)
				}
			})
			addr := ln.Addr().String()
			_, err = callService(newClient(), addr, body)
			assert.NilError(t, err)
			_, err = callService(newClient(), addr, body)
			assert.Assert(t, assertKind(t, err, target.Failed).Sent)
			marker, err := net.Dial("tcp", addr)
			assert.NilError(t, err)
			assert.NilError(t, marker.Close())
			_, _ = callService(newClient(), addr, body)
			assert.NilError(t, ln.Close())
			assert.NilError(t, group.Wait())
			assert.Equal(t, requests, 3)
			assert.Equal(t, connections, 4)
		})
	}
}

// serveConn reads the requests of a connection and responds only to the first request of the test. It returns the
// number of requests.
func serveConn(nc net.Conn, earlier int) int {
	defer nc.Close()
	lines := bufio.NewReader(nc)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(lines)
		if err != nil {
			return n
		}
		if req.ContentLength > 0 {
			_, _ = lines.Discard(int(req.ContentLength))
		}
		if earlier+n > 0 {
			return n + 1
		}
		_, _ = nc.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"))
	}
}
