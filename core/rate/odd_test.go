package rate_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/core/logs"
)

// TestOddRateRecords guards against a limit out of range after which a target gets no requests for good, and records that cost memory without bound.
func TestOddRateRecords(t *testing.T) {
	f := newFixture("i0", "i1")
	for range 3 {
		f.observe(1e300, true, 0)
		f.count(20 * time.Millisecond)
		f.now = f.now.Add(time.Second)
		f.observe(10, true, 0)
		assert.Assert(t, f.Wait(target.Incarnation) < 2*time.Second, "%v", f.Wait(target.Incarnation))
	}
	g := newFixture("i0")
	records := make([]logs.Record, 0, 20_006)
	for n := range 20_000 {
		records = append(records, logs.Record{Key: fmt.Sprintf("%x", n+1), Value: []byte(`{"per_second":1,"target":"` + strings.Repeat("x", 500) + `"}`)})
	}
	for _, key := range []string{"", "0001", "FF", "+1", "t", "fffffffffffffffff"} {
		records = append(records, logs.Record{Key: key, Value: []byte(`{"per_second":1}`)})
	}
	g.Reset(records)
	assert.Assert(t, len(g.Limits()) <= 8192 && g.invalid >= 6, "%d limits, %d records invalid", len(g.Limits()), g.invalid)
	assert.Assert(t, len(g.Limits()[0].Target) <= 64)
	g.observe(10, true, 0)
	assert.Assert(t, g.Wait(target.Incarnation) > 0, "the limit that a target names itself is always kept")
}
