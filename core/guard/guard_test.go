package guard_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/core/guard"
)

const stall = 2 * time.Second

// crowd admits connections of an address, and counts those that were closed.
func crowd(g *guard.Guard, addr string, n int, closed *int) []*guard.Conn {
	conns := make([]*guard.Conn, n)
	for i := range conns {
		conns[i] = g.Admit(addr, func() { *closed++ })
	}
	return conns
}

// TestConnectionsThatAreClosed guards against ordinary callers that are shut out, or closed in place of connections that have stalled or that one address has
// many of.
func TestConnectionsThatAreClosed(t *testing.T) {
	for name, c := range map[string]struct {
		addrs  int
		wait   time.Duration
		sends  bool
		closed int
	}{
		"stalled":                 {addrs: 1, wait: stall, closed: 4},
		"one byte is no progress": {addrs: 1, wait: stall, sends: true, closed: 4},
		"of one address":          {addrs: 1, closed: 4},
		"of many addresses":       {addrs: 20, closed: 4},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := &guard.Guard{MaxConns: 20, Stall: stall}
				closed, ordinary := 0, 0
				run := crowd(g, "run", 1, &ordinary)[0]
				assert.NilError(t, run.BeginRequest(100, func() {}))
				assert.NilError(t, run.Process())
				for i := range 19 {
					c0 := crowd(g, fmt.Sprint(i%c.addrs), 1, &closed)[0]
					if c.sends {
						assert.NilError(t, c0.Received([]byte("G")))
					}
				}
				time.Sleep(c.wait)
				crowd(g, "new", 4, &ordinary)
				assert.Equal(t, closed, c.closed)
				assert.Equal(t, ordinary, 0)
				assert.Equal(t, g.Conns(), 20)
			})
		})
	}
}

// TestAllProcessed guards against requests in progress that are ended for new connections.
func TestAllProcessed(t *testing.T) {
	g := &guard.Guard{MaxConns: 2, Stall: stall}
	closed, refused := 0, 0
	for _, c := range crowd(g, "a", 2, &closed) {
		assert.NilError(t, c.BeginRequest(1, func() {}))
		assert.NilError(t, c.Process())
	}
	crowd(g, "b", 1, &refused)
	assert.Equal(t, closed, 0)
	assert.Equal(t, refused, 1)
}

// TestBodiesThatAreEnded guards against bodies that are held just short of their end and keep ordinary ones out, and against the end of small ones, or of requests
// that are processed, for large ones.
func TestBodiesThatAreEnded(t *testing.T) {
	const room, large, small = 1 << 20, 128 << 10, 1 << 10
	synctest.Test(t, func(t *testing.T) {
		g := &guard.Guard{MaxBodyBytes: room, Stall: stall}
		closed, interrupted := 0, 0
		for _, c := range crowd(g, "a", 7, &closed) {
			assert.NilError(t, c.BeginRequest(1, func() { interrupted++ }))
			assert.NilError(t, c.HoldBody(large))
		}
		conns := crowd(g, "b", 3, &closed)
		for _, c := range conns {
			assert.NilError(t, c.BeginRequest(1, func() {}))
		}
		assert.NilError(t, conns[0].HoldBody(large/2))
		assert.NilError(t, conns[0].Process())
		assert.NilError(t, conns[1].HoldBody(large/2))
		assert.Equal(t, interrupted, 0)
		assert.Assert(t, conns[2].HasRoom(small), "a large body of another address is not ended")
		assert.NilError(t, conns[2].HoldBody(small))
		assert.Equal(t, interrupted, 1)
		late := crowd(g, "a", 1, &closed)[0]
		assert.NilError(t, late.BeginRequest(1, func() {}))
		assert.Assert(t, !late.HasRoom(large), "an equal one of the same address is ended")
		time.Sleep(stall)
		assert.Assert(t, late.HasRoom(large), "a stalled one is not ended")
		assert.Assert(t, !conns[0].Ended())
		assert.Equal(t, closed, 0)
	})
}

// TestHeadsWithManyFields guards against heads with many short fields that use up the memory, also before they are complete.
func TestHeadsWithManyFields(t *testing.T) {
	const fields = 1000
	g := &guard.Guard{MaxHeadBytes: 3 * fields * guard.FieldBytes}
	closed, ordinary := 0, 0
	lines := make([]byte, 0, 3*fields)
	for range fields {
		lines = append(lines, "a:\n"...)
	}
	failed := 0
	for _, c := range crowd(g, "a", 10, &closed) {
		if c.Received(lines) != nil {
			failed++
		}
	}
	assert.Equal(t, failed, 8)
	assert.Equal(t, closed, 8)
	assert.NilError(t, crowd(g, "b", 1, &ordinary)[0].Received([]byte("GET / HTTP/1.1\n\n")))
}

// TestUnreadResponses guards against connections whose callers never read, which stay for good.
func TestUnreadResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &guard.Guard{ReadLimit: 10 * stall, Stall: stall}
		closed := 0
		conns := crowd(g, "a", 2, &closed)
		for _, c := range conns {
			assert.NilError(t, c.BeginRequest(1, func() {}))
			assert.NilError(t, c.Process())
			c.BeginWrite()
		}
		conns[0].EndWrite()
		time.Sleep(9 * stall)
		g.Sweep()
		assert.Equal(t, closed, 0)
		time.Sleep(stall)
		g.Sweep()
		assert.Equal(t, closed, 1)
		conns[0].EndRequest()
		conns[0].Closed()
		assert.Equal(t, g.Conns(), 0)
	})
}
