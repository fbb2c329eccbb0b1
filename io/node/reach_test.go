package node

import (
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// TestReachTellsLastWhatHolds lets a failing and a successful contact cross.
func TestReachTellsLastWhatHolds(t *testing.T) {
	const rounds = 20_000
	failed := errors.New("out of reach")
	for range rounds {
		var told atomic.Bool
		now := time.Unix(0, 0)
		r := &reach{now: func() time.Time { return now }, changed: told.Store}
		r.contact(nil)
		now = now.Add(2 * reachWait)
		var g errgroup.Group
		g.Go(func() error { r.contact(failed); return nil })
		g.Go(func() error { r.contact(nil); return nil })
		assert.NilError(t, g.Wait())
		assert.Equal(t, told.Load(), r.ok())
	}
}
