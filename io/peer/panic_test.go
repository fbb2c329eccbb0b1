package peer_test

import (
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"cranberryrail/io/peer"
)

// TestPanicInACallEndsOnlyIt guards against a process that ends with all its connections because the call of another instance panics: its goroutine is one of the
// library. The call must not count as refused, since it may have had an effect.
func TestPanicInACallEndsOnlyIt(t *testing.T) {
	var panics atomic.Int64
	n := startNode(t, "a", &clock{}, func(s *peer.Server) {
		s.OnPanic = func(any) { panics.Add(1) }
		s.AcceptRepayment = func(string, int64) error { panic("odd message") }
	})
	assertKind(t, n.client.Repay(t.Context(), n.Addr(), "budget", 1), peer.NoReply)
	assert.Equal(t, panics.Load(), int64(1))
	_, _, err := n.client.Hello(t.Context(), n.Addr(), n.LocalView())
	assert.NilError(t, err)
}
