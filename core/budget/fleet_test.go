package budget_test

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"cranberryrail/fake/memlog"
)

// TestRestartedInstanceKnowsFleet guards against an instance that, after a restart, shares what targets take as if it did not know the others, although
// all of them are registered.
func TestRestartedInstanceKnowsFleet(t *testing.T) {
	log := &memlog.Server{}
	start := func(id string, bootstrap bool) (known []string) {
		m := startMember(t, log, id)
		m.syncer.FirstStart = bootstrap
		m.syncer.OnInstances = func(ids []string, joined bool) {
			assert.Assert(t, !joined)
			known = slices.Sorted(slices.Values(ids))
		}
		assert.NilError(t, m.syncer.Sync(t.Context()))
		return known
	}
	assert.Equal(t, len(start("i1", true)), 0)
	assert.Equal(t, len(start("i2", false)), 0)
	assert.Equal(t, len(start("i1", true)), 0) // Others may start at the same moment.
	assert.DeepEqual(t, start("i1", false), []string{"i1", "i2"})
}
