package ready_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/core/ready"
)

// machine is an instance on a machine that carries a number of requests a second.
type machine struct {
	gate    *ready.Gate
	carries int
	// outAt is when the platform takes the instance out of rotation: two checks after it is not ready.
	misses int
}

// playCaller assigns one caller to the first instance in rotation, in an order, for a number of seconds, and returns how many of its requests were served.
func playCaller(maxHold time.Duration, perSecond, seconds int, carries ...int) (served int) {
	now := time.Unix(1000, 0)
	machines := make([]*machine, len(carries))
	for i, n := range carries {
		machines[i] = &machine{gate: &ready.Gate{MaxHold: maxHold, Now: func() time.Time { return now }}, carries: n}
	}
	for range seconds {
		for _, m := range machines {
			if m.misses >= 2 {
				continue
			}
			served += min(perSecond, m.carries)
			if perSecond > m.carries {
				m.gate.Overloaded()
			}
			break
		}
		for _, m := range machines {
			m.misses++
			if m.gate.Open() {
				m.misses = 0
			}
		}
		now = now.Add(time.Second)
	}
	return served
}

// TestHeavyCallerReachesLargeMachine guards against a caller whose load moves to and fro between small machines that can't carry it, while a larger one later in its
// order is idle.
func TestHeavyCallerReachesLargeMachine(t *testing.T) {
	const (
		seconds   = 60
		perSecond = 400
	)
	order := []int{100, 100, 100, 100, 100, 2000}
	fixed := playCaller(ready.DefaultHold, perSecond, seconds, order...)
	growing := playCaller(27*time.Second, perSecond, seconds, order...)
	assert.Assert(t, fixed < perSecond*seconds/3, "%d served", fixed)
	assert.Assert(t, growing > perSecond*seconds/2, "%d served", growing)
}

// TestHoldIsForgotten guards against an instance that is away for long after a single overload, or long after the last one.
func TestHoldIsForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	g := &ready.Gate{MaxHold: 27 * time.Second, Now: func() time.Time { return now }}
	assertHeld := func(want time.Duration) {
		t.Helper()
		assert.Equal(t, g.HeldFor(), want)
	}
	overload := func(after time.Duration) {
		now = now.Add(after)
		g.Overloaded()
	}
	overload(0)
	assertHeld(3 * time.Second)
	overload(2 * time.Second) // the same overload
	assertHeld(3 * time.Second)
	overload(4 * time.Second)
	assertHeld(9 * time.Second)
	overload(10 * time.Second)
	overload(28 * time.Second)
	assertHeld(27 * time.Second)
	assert.Assert(t, !g.Open())
	now = now.Add(27 * time.Second)
	assert.Assert(t, g.Open())
	g.Refused()
	assertHeld(3 * time.Second)
	overload(31 * time.Second)
	assertHeld(3 * time.Second)
}
