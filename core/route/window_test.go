package route_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cranberryrail/core/route"
)

// TestRetriesStayWithinBudget checks that the retries in the window that ends with each retry do not exceed the ratio
// of the requests in that window plus the slack.
func TestRetriesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		w := &route.RetryWindow{Ratio: 0.2, Slack: 3, Now: func() time.Time { return now }}
		w.Default()
		var requests, retries []time.Time
		since := func(times []time.Time, d time.Duration) int {
			n := 0
			for _, at := range times {
				if now.Sub(at) < d {
					n++
				}
			}
			return n
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				w.CountRequest("claims")
				requests = append(requests, now)
				continue
			}
			if !w.TryRetry("claims") {
				continue
			}
			retries = append(retries, now)
			// The window advances by buckets, so that it may cover up to one bucket less than its length.
			budget := 0.2*float64(since(requests, route.DefaultWindow)) + 3
			assert.Assert(t, float64(since(retries, route.DefaultWindow*19/20)) <= budget)
		}
	})
}

func TestRetryBudgetIsRenewedAfterWindow(t *testing.T) {
	now := time.Unix(1000, 0)
	w := &route.RetryWindow{Ratio: 0.2, Slack: 1, Now: func() time.Time { return now }}
	w.Default()
	assert.Assert(t, w.TryRetry("claims"))
	assert.Assert(t, !w.AllowsRetry("claims"))
	assert.Assert(t, w.AllowsRetry("draft"), "each service has its own budget")
	now = now.Add(route.DefaultWindow)
	assert.Assert(t, w.TryRetry("claims"))
}
