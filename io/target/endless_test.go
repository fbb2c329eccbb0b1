package target_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"cranberryrail/core/memory"
	"cranberryrail/fake/plain"
	"cranberryrail/io/target"
)

// TestEndlessResponses guards against a target that sends without end, in a head or a body, and fills the memory of the process.
func TestEndlessResponses(t *testing.T) {
	const (
		kib     = 1 << 10
		chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		// maxHead is the limit of a head, and buffers of the connection.
		maxHead = 16*kib + 8*kib
		// maxReply is the limit for the replies of services.
		maxReply = 256 * kib
	)
	for name, form := range map[string]struct {
		prefix, pattern string
		// body is the limit of what follows a head: the overhead of chunks that net/http allows, a line of a stream, or the body of a short reply.
		body int64
	}{
		"status line":     {"HTTP/1.1 200 ", "O", 0},
		"header":          {"HTTP/1.1 200 OK\r\nX: ", "x", 0},
		"headers":         {"HTTP/1.1 200 OK\r\n", "X: x\r\n", 0},
		"interim":         {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", 0},
		"chunk size":      {chunked, "0", 8 * kib},
		"chunk extension": {chunked + "1;", "x", 8 * kib},
		"extensions":      {chunked, "1;" + strings.Repeat("x", 100) + "\r\nx\r\n", 32 * kib},
		"trailer":         {chunked + "0\r\nX: ", "x", 8 * kib},
		"line":            {chunked + "fffffff\r\n", "data: x", 64 * kib},
		"refusal":         {"HTTP/1.1 503 Service Unavailable\r\n\r\n", "x", 16 * kib},
	} {
		t.Run(name, func(t *testing.T) {
			var read atomic.Int64
			c := &target.Client{MaxReplyBytes: maxReply, Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
				return plain.CountedConn{Conn: conn, Bytes: &read}, err
			}}
			c.Default()
			addr := startRaw(t, plain.Endless(form.prefix, form.pattern))
			for operation, call := range map[string]func() error{
				"generate": func() error { _, err := collect(c, addr, newCall()); return err },
				"load":     func() error { _, err := c.Load(context.Background(), addr); return err },
				"service":  func() error { _, err := callService(c, addr, nil); return err },
			} {
				read.Store(0)
				err := call()
				var failed *target.Error
				assert.Assert(t, errors.As(err, &failed) && failed.Kind != target.Silent, "%s: %v", operation, err)
				bound := maxHead + form.body
				if operation == "service" && form.body > 0 {
					bound += maxReply
				}
				assert.Assert(t, read.Load() <= bound, "%s: %d bytes were read, the bound is %d", operation, read.Load(), bound)
			}
		})
	}
}

// TestStalledRepliesShareMemory guards against services that stop within large replies, which use up the memory of the process.
func TestStalledRepliesShareMemory(t *testing.T) {
	const calls, limit, size = 16, 4 << 20, 1_000_000
	addr := startRaw(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "2000000")
		_, _ = w.Write(make([]byte, size)) // fails once the client has closed the connection
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	c := &target.Client{Memory: &memory.Pool{Bytes: limit}}
	c.Default()
	ctx, cancel := context.WithCancel(t.Context())
	errs := make(chan error, calls)
	var group sync.WaitGroup
	for range calls {
		group.Go(func() {
			_, err := c.CallService(ctx, addr, "submit", "k", nil, nil)
			errs <- err
		})
	}
	for range calls - limit/size {
		err := <-errs
		assert.ErrorIs(t, err, memory.ErrUsedUp)
		assert.Assert(t, assertKind(t, err, target.Failed).Sent)
	}
	cancel()
	group.Wait()
	assert.NilError(t, c.Memory.NewHolder(nil).Add(limit)) // nothing is counted any more
}
