package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestConfigFreshness guards against an instance that reports a fresh configuration while it has not folded the
// records it knows of.
func TestConfigFreshness(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	f := &configFreshness{knownCurrentAt: start}
	assertAge := func(next int64, now, want int) {
		t.Helper()
		assert.Equal(t, f.age(next, at(now)), time.Duration(want)*time.Second)
	}
	assertAge(0, 3, 3)
	f.recordHead(5, 0, at(4))
	assertAge(4, 5, 5) // the last record is not folded yet
	assertAge(5, 6, 2)
	f.recordHead(9, 5, at(7))
	f.recordHead(9, 9, at(8))
	assertAge(9, 8, 0)
	f.recordHead(12, 9, at(20)) // a record that cannot be folded blocks all later ones
	assertAge(9, 30, 22)
}
