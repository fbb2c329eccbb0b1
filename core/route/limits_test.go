package route_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cranberryrail/core/codes"
	"cranberryrail/core/route"
)

func TestLimits(t *testing.T) {
	t.Run("an organisation's own limit", func(t *testing.T) {
		l := route.Limits{}
		l.Default()
		assert.NilError(t, l.Enter("a", 1))
		assertRefused(t, l.Enter("a", 1), codes.TooManyInFlight)
		l.Leave("a")
		assert.NilError(t, l.Enter("a", 1))
	})
	t.Run("a flood does not take another's place", func(t *testing.T) {
		l := route.Limits{Global: 20, Reserve: 4}
		l.Default()
		for range 20 {
			assert.NilError(t, l.Enter("flood", 0))
		}
		assertRefused(t, l.Enter("flood", 0), codes.TooManyInFlight)
		for range 4 {
			assert.NilError(t, l.Enter("small", 0))
		}
		assertRefused(t, l.Enter("small", 0), codes.TooManyInFlight)
		for range 6 {
			l.Leave("flood")
			assertRefused(t, l.Enter("flood", 0), codes.TooManyInFlight)
			assert.NilError(t, l.Enter("small", 0))
		}
		assertRefused(t, l.Enter("small", 0), codes.TooManyInFlight)
	})
	t.Run("leaving more often than entering changes nothing", func(t *testing.T) {
		l := route.Limits{Global: 1, Reserve: 1}
		l.Default()
		l.Leave("a")
		assert.NilError(t, l.Enter("a", 0))
		assertRefused(t, l.Enter("a", 0), codes.TooManyInFlight)
	})
}

func TestRetries(t *testing.T) {
	r := route.Retries{Ratio: 0.5, Min: 2}
	r.Default()
	spend := func(want ...bool) {
		t.Helper()
		for _, w := range want {
			assert.Equal(t, r.Spend("a"), w)
		}
	}
	spend(true, true, false)
	r.Earn("a")
	spend(false)
	r.Earn("a")
	spend(true, false)
	for range 100 {
		r.Earn("a")
	}
	spend(true, true, false)
	assert.Assert(t, r.Spend("b"), "the budget is of one organisation")
}
