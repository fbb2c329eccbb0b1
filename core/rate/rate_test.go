package rate_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/core/logs"
	"cranberryrail/core/rate"
	"cranberryrail/core/roster"
)

// fixture is the tracker of instance i0, with a fake clock.
type fixture struct {
	*rate.Tracker
	now     time.Time
	changes []string
	invalid int
}

func newFixture(instances ...string) *fixture {
	f := &fixture{now: time.Unix(1000, 0)}
	outbox := &logs.Outbox{Topic: "rates"} // records stay pending
	outbox.Default()
	f.Tracker = &rate.Tracker{
		Instance: "i0", Publish: outbox.Add, Pending: outbox.Pending, Now: func() time.Time { return f.now }, OnInvalid: func(string, error) { f.invalid++ },
		OnChange: func(target string, perSecond float64, limited bool) {
			f.changes = append(f.changes, fmt.Sprint(target, " ", perSecond, " ", limited))
		},
	}
	f.Default()
	f.SetInstances(instances, false)
	return f
}

var target = roster.Target{ID: "t", Incarnation: "t@1"}

// observe applies a response to a request that was sent some time ago.
func (f *fixture) observe(perSecond float64, named bool, ago time.Duration) {
	limit := &perSecond
	if !named {
		limit = nil
	}
	f.Observe(target, limit, f.now.Add(-ago))
}

// count returns how many requests may be sent in a time.
func (f *fixture) count(length time.Duration) int {
	n := 0
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(10 * time.Millisecond) {
		if f.Wait(target.Incarnation) == 0 {
			f.Take(target.Incarnation)
			n++
		}
	}
	return n
}

func TestShares(t *testing.T) {
	t.Run("an instance alone sends at the limit", func(t *testing.T) {
		f := newFixture("i0")
		f.observe(2, true, 0)
		assert.Equal(t, f.count(10*time.Second), 19) // the first after half a second
	})
	t.Run("idle time allows a burst", func(t *testing.T) {
		f := newFixture("i0")
		f.observe(2, true, 0)
		f.now = f.now.Add(time.Minute)
		assert.Equal(t, f.count(10*time.Millisecond), 1)
		assert.Equal(t, f.count(time.Second), 6)
	})
	t.Run("instances share the limit", func(t *testing.T) {
		f := newFixture("i0", "i1")
		f.observe(2, true, 0)
		assert.Equal(t, f.count(10*time.Second), 10)
	})
	t.Run("a changed limit keeps the place of the next request", func(t *testing.T) {
		f := newFixture("i0")
		f.observe(0.1, true, 0)
		f.now = f.now.Add(5 * time.Second)
		f.observe(1, true, 0)
		assert.Equal(t, f.Wait(target.Incarnation), 500*time.Millisecond)
	})
	t.Run("no requests before the instances are known", func(t *testing.T) {
		f := newFixture()
		f.observe(100, true, 0)
		assert.Equal(t, f.count(time.Second), 0)
	})
	t.Run("no requests soon after joining", func(t *testing.T) {
		f := newFixture()
		f.SetInstances([]string{"i0", "i1"}, true)
		f.observe(10, true, 0)
		assert.Equal(t, f.count(29*time.Second), 0)
		assert.Assert(t, f.count(4*time.Second) > 10)
	})
	t.Run("no limit, no wait", func(t *testing.T) {
		assert.Equal(t, newFixture("i0").count(time.Second), 100)
		assert.Equal(t, (*rate.Tracker)(nil).Wait("t@1"), time.Duration(0))
	})
}

func TestEndOfLimit(t *testing.T) {
	t.Run("a response without a limit ends it", func(t *testing.T) {
		f := newFixture("i0")
		f.observe(1, true, 0)
		f.now = f.now.Add(2 * time.Second)
		f.observe(0, false, time.Second)
		assert.Equal(t, f.Wait(target.Incarnation), time.Duration(0))
		assert.DeepEqual(t, f.changes, []string{"t 1 true", "t 1 false"})
	})
	t.Run("not one to a request that was sent before the limit was named", func(t *testing.T) {
		f := newFixture("i0")
		f.observe(1, true, 0)
		f.observe(0, false, time.Second)
		assert.DeepEqual(t, f.changes, []string{"t 1 true"})
	})
	t.Run("an earlier record does not undo it", func(t *testing.T) {
		f := newFixture("i0")
		f.observe(1, true, 0)
		named := f.Pending()
		f.now = f.now.Add(time.Second)
		f.observe(0, false, 0)
		f.Apply(named)
		assert.DeepEqual(t, f.changes, []string{"t 1 true", "t 1 false"})
	})
	t.Run("a target that is no longer listed", func(t *testing.T) {
		f := newFixture("i0")
		f.observe(1, true, 0)
		f.now = f.now.Add(9 * time.Minute)
		f.Expire([]roster.Target{target})
		f.now = f.now.Add(9 * time.Minute)
		f.Expire(nil)
		assert.Equal(t, len(f.Limits()), 1)
		f.now = f.now.Add(12 * time.Minute)
		f.Expire(nil)
		assert.Equal(t, len(f.Limits()), 0)
	})
}

func TestRecords(t *testing.T) {
	f := newFixture("i0")
	source := newFixture("i0")
	source.observe(3, true, 0)
	records := source.Pending()
	t.Run("of others are applied", func(t *testing.T) {
		f.Apply(records)
		assert.DeepEqual(t, f.Limits(), []rate.Limit{{Target: "t", PerSecond: 3, SharePerSecond: 3}})
	})
	t.Run("are published again after a restore", func(t *testing.T) {
		f.Republish()
		f.Reset(nil)
		assert.Equal(t, len(f.Limits()), 1)
	})
	t.Run("that can't be decoded are reported", func(t *testing.T) {
		f.Apply([]logs.Record{{Key: "?", Value: []byte("{}")}, {Key: "1", Value: []byte("{")}, {Key: "1", Value: []byte(`{"per_second":-1}`)}})
		assert.Equal(t, f.invalid, 3)
	})
	t.Run("a reset forgets what the log does not hold", func(t *testing.T) {
		other := newFixture("i0")
		other.Apply(records)
		other.Reset(nil)
		assert.Equal(t, len(other.Limits()), 0)
	})
}
