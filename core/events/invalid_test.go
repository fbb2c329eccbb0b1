package events_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/core/events"
)

// TestInvalidRecordsAreLoggedWithinBounds guards against a log that grows with each write of an invalid record.
func TestInvalidRecordsAreLoggedWithinBounds(t *testing.T) {
	now, logged, long := time.Unix(1000, 0), 0, strings.Repeat("x", 10_000)
	i := &events.Invalid{Now: func() time.Time { return now }}
	i.Default()
	assert.Equal(t, len(i.Record("t", long, errors.New(long)).Reason), 200)
	assert.Assert(t, i.Record("t", long, errors.New(long)) == nil)
	i.Valid("t", long[:255])
	assert.Assert(t, i.Record("t", long, errors.New(long)) != nil, "it was valid")
	for n := range 1000 {
		if i.Record("t", fmt.Sprint(n), errors.New("odd")) != nil {
			logged++
		}
	}
	assert.Equal(t, logged, 58)
	now = now.Add(time.Minute)
	assert.Equal(t, i.Record("t", "0", errors.New("other")).Suppressed, 942)
}
