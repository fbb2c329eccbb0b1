package logs_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cranberryrail/core/logs"
	"cranberryrail/fake/memlog"
)

// callerLeaves is when a caller of a stream gives up.
const callerLeaves = 6 * time.Second

// publish adds a record to an outbox every interval, and returns how long after that each was acknowledged, if it was within a time after the last one, and the
// number of records in the log.
func publish(t *testing.T, l logs.Log, n int, interval, after time.Duration) (acknowledged []time.Duration, copies int) {
	t.Helper()
	began := time.Now()
	o := &logs.Outbox{Log: l, Topic: "t", OnAppended: func(records []logs.Record) {
		for _, r := range records {
			assert.Equal(t, r.Key, fmt.Sprint(len(acknowledged)))
			acknowledged = append(acknowledged, time.Since(began)-time.Duration(len(acknowledged))*interval)
		}
	}}
	o.Default()
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error { return o.Run(ctx) })
	for i := range n {
		o.Add(logs.Record{Key: fmt.Sprint(i), Value: []byte("v")})
		time.Sleep(interval)
	}
	time.Sleep(after)
	cancel()
	assert.NilError(t, g.Wait())
	records, _, err := l.Read(t.Context(), "t", 0, 0, 0)
	assert.NilError(t, err)
	seen := map[string]bool{}
	for _, r := range records {
		if !seen[r.Key] {
			assert.Equal(t, r.Key, fmt.Sprint(len(seen)), "the first copies of records are in order")
			seen[r.Key] = true
		}
	}
	return acknowledged, len(records)
}

// TestSlowAppendsAreAcknowledged guards against records that are sent again and again, and never known to be in the log, while appends are slow.
func TestSlowAppendsAreAcknowledged(t *testing.T) {
	for _, inTurn := range []bool{false, true} {
		for _, took := range []time.Duration{300 * time.Millisecond, 500 * time.Millisecond, 700 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second} {
			t.Run(fmt.Sprintf("%v, in turn %v", took, inTurn), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					const n = 300
					acknowledged, copies := publish(t, memlog.Slow((&memlog.Server{}).Log(), took, inTurn), n, 100*time.Millisecond, 2*callerLeaves)
					assert.Equal(t, len(acknowledged), n)
					first, longest := acknowledged[0], slices.Max(acknowledged)
					t.Logf("first %v, longest %v, last %v, %.2f copies", first, longest, acknowledged[n-1], float64(copies)/n)
					assert.Assert(t, first < took+100*time.Millisecond, "%v", first)
					assert.Assert(t, longest < callerLeaves || 2*took >= callerLeaves, "%v", longest) // A record may wait for the append before its own.
					assert.Assert(t, copies <= 2*n, "%d copies", copies)
				})
			})
		}
	}
}

// TestOutboxAfterSilence guards against records that reach the log late after calls were lost or held up.
func TestOutboxAfterSilence(t *testing.T) {
	for name, silent := range map[string]func(l logs.Log, replies time.Time) logs.Log{"held up": memlog.SilentUntil, "lost": memlog.LoseUntil} {
		for seconds := range 10 {
			silence := time.Duration(seconds) * time.Second
			t.Run(fmt.Sprint(name, silence), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					l := silent((&memlog.Server{}).Log(), time.Now().Add(silence))
					acknowledged, _ := publish(t, l, 1, 0, silence+2*callerLeaves)
					assert.Equal(t, len(acknowledged), 1)
					t.Logf("%v after the end", acknowledged[0]-silence)
					assert.Assert(t, acknowledged[0] < silence+time.Second, "%v", acknowledged[0])
				})
			})
		}
	}
}
