package claim_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"cranberryrail/fake/claim"
)

func assertNoViolation(t *testing.T, seed uint64, steps int64) {
	t.Helper()
	r := &claim.Run{Seed: seed, Steps: steps}
	r.Default()
	assert.NilError(t, r.Run(context.Background()))
	t.Logf("%+v", r.Stats)
}

func TestFixedSeedHasNoViolation(t *testing.T) { assertNoViolation(t, 1, 200_000) }
