package codes_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"cranberryrail/core/codes"
)

func TestAllIsSortedAndUnique(t *testing.T) {
	last := 0
	for _, c := range codes.All() {
		assert.Assert(t, c.Number > last, "code %s is not in ascending order", c)
		last = c.Number
	}
}

func TestFrom(t *testing.T) {
	t.Run("keeps the code of a wrapped error", func(t *testing.T) {
		err := fmt.Errorf("reserve: %w", codes.Refuse(codes.BudgetExhausted, 0, "12 tokens wanted"))
		assert.Equal(t, codes.From(err, codes.Ran).Code, codes.BudgetExhausted)
	})
	t.Run("converts another error to Internal", func(t *testing.T) {
		e := codes.From(fmt.Errorf("broken"), codes.Unknown)
		assert.Equal(t, e.Code, codes.Internal)
		assert.Equal(t, e.Run, codes.Unknown)
	})
}
