package budget_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/fake/memlog"
)

// flood lets each member reserve and spend tokens ten times a second for a duration, as far as it is not refused.
func (f *fleet) flood(t *testing.T, duration time.Duration, tokens int64) {
	t.Helper()
	const interval = 100 * time.Millisecond
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(interval) {
		for _, m := range f.members {
			assert.NilError(t, m.syncer.Sync(t.Context()))
			if r, err := reserve(t, m, tokens); err == nil {
				m.book.Settle(r, tokens)
			}
		}
	}
}

// left returns the tokens that the log can grant or members hold, and the part that members hold.
func (f *fleet) left(t *testing.T) (left, held int64) {
	t.Helper()
	var record struct{ Granted int64 }
	if value := f.log.Value("keyed.budgets", 0, "travel"); value != nil {
		assert.NilError(t, json.Unmarshal(value, &record))
	}
	for _, m := range f.members {
		held += m.book.Balance("travel").Free
	}
	return f.paid - record.Granted + held, held
}

// killAll kills all members at once and starts their successors.
func (f *fleet) killAll(t *testing.T) {
	t.Helper()
	for i := range f.members {
		f.members[i] = f.start(fmt.Sprintf("i-%d", i))
	}
	for _, m := range f.members {
		assert.NilError(t, m.syncer.Sync(t.Context()))
	}
}

// TestKillsInSeriesLeaveHalf guards against budgets that a few kills of all instances strand while an organisation sends many times its usual: a kill
// strands at most half of what is held, and so of what is left, beyond a few requests of each instance.
func TestKillsInSeriesLeaveHalf(t *testing.T) {
	for _, instances := range []int{1, 8, 11, 24} {
		for _, percentPerSecond := range []int64{5, 15} {
			t.Run(fmt.Sprintf("%d instances, %d%% a second", instances, percentPerSecond), func(t *testing.T) {
				f := &fleet{log: &memlog.Server{}, paid: 10_000 * paid, now: startTime, maxWait: 20 * time.Millisecond}
				for i := range instances {
					f.members = append(f.members, f.start(fmt.Sprintf("i-%d", i)))
				}
				tokens := f.paid * percentPerSecond / 100 / int64(10*instances)
				few := 3 * tokens * int64(instances)
				for range 4 {
					f.flood(t, 2500*time.Millisecond, tokens)
					before, held := f.left(t)
					f.killAll(t)
					after, _ := f.left(t)
					assert.Assert(t, before-after <= held/2+few, "%d of %d held were stranded", before-after, held)
					assert.Assert(t, after >= before/2-few, "%d of %d remain", after, before)
				}
			})
		}
	}
}
