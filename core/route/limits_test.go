package route_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cranberryrail/core/codes"
	"cranberryrail/core/route"
)

func TestLimits(t *testing.T) {
	t.Run("refuses requests above the limit of an organisation until one is released", func(t *testing.T) {
		l := route.Limits{}
		l.Default()
		assert.NilError(t, l.Acquire("a", 1))
		assertRefused(t, l.Acquire("a", 1), codes.TooManyInFlight)
		l.Release("a")
		assert.NilError(t, l.Acquire("a", 1))
	})
	t.Run("an organisation that exhausts the global limit does not block another one", func(t *testing.T) {
		l := route.Limits{Global: 20, Reserve: 4}
		l.Default()
		for range 20 {
			assert.NilError(t, l.Acquire("flood", 0))
		}
		assertRefused(t, l.Acquire("flood", 0), codes.TooManyInFlight)
		for range 4 {
			assert.NilError(t, l.Acquire("small", 0))
		}
		assertRefused(t, l.Acquire("small", 0), codes.TooManyInFlight)
		for range 6 {
			l.Release("flood")
			assertRefused(t, l.Acquire("flood", 0), codes.TooManyInFlight)
			assert.NilError(t, l.Acquire("small", 0))
		}
		assertRefused(t, l.Acquire("small", 0), codes.TooManyInFlight)
	})
	t.Run("a release without an admitted request is ignored", func(t *testing.T) {
		l := route.Limits{Global: 1, Reserve: 1}
		l.Default()
		l.Release("a")
		assert.NilError(t, l.Acquire("a", 0))
		assertRefused(t, l.Acquire("a", 0), codes.TooManyInFlight)
	})
}

func TestRetryBudgetOfOrganisation(t *testing.T) {
	r := route.Retries{Ratio: 0.5, Min: 2}
	r.Default()
	spend := func(want ...bool) {
		t.Helper()
		for _, w := range want {
			assert.Equal(t, r.Withdraw("a"), w)
		}
	}
	spend(true, true, false)
	r.Deposit("a")
	spend(false)
	r.Deposit("a")
	spend(true, false)
	for range 100 {
		r.Deposit("a")
	}
	spend(true, true, false)
	assert.Assert(t, r.Withdraw("b"), "each organisation has its own budget")
}
