package budget_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/fake/loads"
)

// TestFleetThatStartsServesFirstRequests guards against refusals of the first requests of instances that start together, whose first draws conflict.
func TestFleetThatStartsServesFirstRequests(t *testing.T) {
	const runs = 100
	for name, era := range map[string]int64{"log without eras": 0, "log with eras": 1} {
		t.Run(name, func(t *testing.T) {
			var all loads.StartReport
			for seed := range uint64(runs) {
				synctest.Test(t, func(t *testing.T) {
					r, err := (&loads.Start{Instances: 4, Era: era, Interval: 30 * time.Millisecond, Seed: seed}).Play(t.Context())
					assert.NilError(t, err)
					all.Add(r)
				})
			}
			t.Logf("%+v in %d runs", all, runs)
			assert.Assert(t, all.Served > runs && all.Refused == 0, "%+v", all)
		})
	}
}
