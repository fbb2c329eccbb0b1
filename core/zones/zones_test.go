package zones_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cranberryrail/core/zones"
)

func assertEvacuated(t *testing.T, o *zones.Orders, want ...string) {
	t.Helper()
	got := o.Evacuated()
	assert.Equal(t, len(got), len(want), "%v", got)
	for i := range want {
		assert.Equal(t, got[i], want[i])
	}
}

// TestOrderSurvivesRestore guards against an accepted order that is lost, or one that was taken back and returns, because the log was restored from an older copy.
func TestOrderSurvivesRestore(t *testing.T) {
	o := &zones.Orders{}
	o.Reset([]zones.Order{{Zone: "a", Offset: 1, Evacuated: true}}, false)
	o.Apply([]zones.Order{{Zone: "a", Offset: 5}, {Zone: "b", Offset: 6, Evacuated: true}})
	assertEvacuated(t, o, "b")
	copied := []zones.Order{{Zone: "a", Offset: 1, Evacuated: true}}
	o.Reset(copied, true)
	assertEvacuated(t, o, "b")
	t.Run("records are read again", func(t *testing.T) {
		o.Reset(copied, false)
		assertEvacuated(t, o, "b")
	})
	t.Run("a newer order counts", func(t *testing.T) {
		o.Reset([]zones.Order{{Zone: "a", Offset: 3, Evacuated: true}, {Zone: "c", Offset: 4, Evacuated: true}}, false)
		assertEvacuated(t, o, "a", "b", "c")
		o.Apply([]zones.Order{{Zone: "b", Offset: 5}})
		assertEvacuated(t, o, "a", "c")
	})
	t.Run("without a restore the log counts", func(t *testing.T) {
		o.Reset(nil, false)
		assertEvacuated(t, o)
	})
}

// TestOrdersAreBounded guards against zones without end, of which orders are remembered.
func TestOrdersAreBounded(t *testing.T) {
	o := &zones.Orders{}
	for i := range 5000 {
		o.Apply([]zones.Order{{Zone: string(rune('a'+i%26)) + string(rune(0x100+i)), Offset: int64(i), Evacuated: true}})
	}
	assert.Equal(t, len(o.Evacuated()), 1024)
}

// TestHomes guards against a request that is processed outside the regions of its route or of its organisation.
func TestHomes(t *testing.T) {
	regions, err := zones.ParseRegions("a=north, b=south")
	assert.NilError(t, err)
	assert.Assert(t, zones.NewHomes(nil, nil).Allow("any") && zones.NewHomes(nil, nil).AllowAll(regions))
	both := zones.NewHomes([]string{"north", "south"}, []string{"south"})
	assert.Assert(t, both.Allow(regions["b"]) && !both.Allow(regions["a"]) && !both.Allow(regions["unknown"]) && !both.AllowAll(regions))
	_, err = zones.ParseRegions("a=north,b")
	assert.ErrorContains(t, err, `"b" is not a pair`)
}
