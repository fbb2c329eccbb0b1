package logs_test

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/core/logs"
	"cranberryrail/fake/memlog"
)

// callerLeaves is when a caller of a stream gives up.
const callerLeaves = 6 * time.Second

// publish adds n records to an outbox, one every interval, and returns how long after that each was acknowledged, and the number of records in the log. The first
// copies of the records are acknowledged and stored in order.
func publish(t *testing.T, l logs.Log, n int, interval, after time.Duration) (took []time.Duration, copies int) {
	t.Helper()
	acknowledged, took, stored, err := memlog.Publish(t.Context(), l, n, interval, after)
	assert.NilError(t, err)
	seen := map[string]bool{}
	first := slices.DeleteFunc(slices.Clone(stored), func(key string) bool { known := seen[key]; seen[key] = true; return known })
	for _, keys := range [][]string{acknowledged, first} {
		for i, key := range keys {
			assert.Equal(t, key, strconv.Itoa(i))
		}
	}
	return took, len(stored)
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
