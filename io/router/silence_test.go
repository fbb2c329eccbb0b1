package router

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestStallIsNoSilenceOfTargets guards against sound targets, and other instances, that get no requests, because this process stood still and took its own stall for
// their silence.
func TestStallIsNoSilenceOfTargets(t *testing.T) {
	const bound = 250 * time.Millisecond
	for name, c := range map[string]struct {
		// stall is how late the timer fires, and answerAt when the answer is read; 0 for never.
		stall, answerAt time.Duration
		// silentAt is when the target counts as silent; 0 for never.
		silentAt time.Duration
	}{
		"answer":                         {answerAt: bound / 2},
		"silent target":                  {silentAt: bound},
		"answer after a stall":           {stall: 2 * bound, answerAt: bound + time.Millisecond},
		"silent target after a stall":    {stall: bound / 2, silentAt: bound + bound/2},
		"silent target, longer stall":    {stall: 4 * bound, silentAt: 2 * bound},
		"late answer of a silent target": {answerAt: 2 * bound, silentAt: bound},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				var stall, silentAt atomic.Int64 // in nanoseconds
				s := &silenceTimer{Bound: bound, OnSilent: func() { silentAt.Add(int64(time.Since(began))) }, Now: func() time.Time { return time.Now().Add(time.Duration(stall.Load())) }}
				s.Start()
				stall.Store(int64(c.stall))
				if c.answerAt > 0 {
					time.AfterFunc(c.answerAt, s.Stop)
				}
				time.Sleep(10 * bound)
				s.Stop()
				assert.Equal(t, time.Duration(silentAt.Load()), c.silentAt)
			})
		})
	}
}
