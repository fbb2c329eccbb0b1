package node

import (
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// TestReachabilityReportsLatestState records a failed and a successful access concurrently. The last call of onChange
// must report the state that results.
func TestReachabilityReportsLatestState(t *testing.T) {
	const rounds = 20_000
	failed := errors.New("log unreachable")
	for range rounds {
		var reported atomic.Bool
		now := time.Unix(0, 0)
		r := &reachability{now: func() time.Time { return now }, onChange: reported.Store}
		r.recordResult(nil)
		now = now.Add(2 * unreachableAfter)
		var g errgroup.Group
		g.Go(func() error { r.recordResult(failed); return nil })
		g.Go(func() error { r.recordResult(nil); return nil })
		assert.NilError(t, g.Wait())
		assert.Equal(t, reported.Load(), r.isReachable())
	}
}
