package detour_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/core/detour"
)

type fixture struct {
	*detour.Tracker
	now time.Time
}

func newFixture(peers ...string) *fixture {
	f := &fixture{now: time.Unix(1000, 0)}
	f.Tracker = &detour.Tracker{Peers: func() []string { return peers }, Random: func(int) int { return 0 }, Now: func() time.Time { return f.now }}
	f.Default()
	f.SetTargets(map[string]int{"claims": 3, "single": 1})
	return f
}

// TestCut guards against a service that counts as unreachable because of one target, and against an instance that stays on a detour.
func TestCut(t *testing.T) {
	f := newFixture("a")
	t.Run("one target is no cut, and triggers one check", func(t *testing.T) {
		assert.Assert(t, f.Unreachable("claims", "t0"))
		assert.Assert(t, !f.Unreachable("claims", "t0"))
		assert.Assert(t, !f.Cut("claims") && !f.Needed("claims", 0))
	})
	t.Run("two in a row are one", func(t *testing.T) {
		f.Unreachable("claims", "t1")
		assert.Assert(t, f.Cut("claims") && f.Needed("claims", 0))
		assert.DeepEqual(t, f.CutServices(), []string{"claims"})
	})
	t.Run("of a service with one target it is one", func(t *testing.T) {
		f.Unreachable("single", "s0")
		assert.Assert(t, f.Cut("single"))
	})
	t.Run("a connection ends it", func(t *testing.T) {
		assert.Assert(t, f.Connected("claims") && !f.Connected("claims"))
		assert.Assert(t, !f.Needed("claims", 0))
	})
	t.Run("a request that reached no target goes by way of another instance", func(t *testing.T) {
		assert.Assert(t, !f.Needed("claims", 1) && f.Needed("claims", 2))
	})
	t.Run("without another instance there is no detour", func(t *testing.T) {
		assert.Assert(t, !newFixture().Needed("claims", 2))
	})
}

// TestCrashesAreNoCut guards against requests that are refused although there are sound targets, because several crash together and each instance counts as cut off.
func TestCrashesAreNoCut(t *testing.T) {
	f := newFixture("a")
	f.Refused("claims", "t0")
	f.Refused("claims", "t1")
	assert.Assert(t, !f.Cut("claims"), "the third one may be sound")
	f.Refused("claims", "t2")
	assert.Assert(t, f.Cut("claims") && f.Connected("claims"))
	f.Refused("claims", "t0")
	f.Unreachable("claims", "t1")
	assert.Assert(t, !f.Cut("claims"))
	f.Unreachable("claims", "t0")
	assert.Assert(t, f.Cut("claims"), "two are lost")
}

// TestHelper guards against instances that are asked again although they can't help.
func TestHelper(t *testing.T) {
	f := newFixture("a", "b", "c")
	all := func(service string) []string {
		var asked []string
		for addr, ok := f.Helper(service, asked); ok; addr, ok = f.Helper(service, asked) {
			asked = append(asked, addr)
		}
		slices.Sort(asked)
		return asked
	}
	assert.DeepEqual(t, all("claims"), []string{"a", "b", "c"})
	f.Pause("a", "claims", detour.CutPause)
	f.Pause("b", "", detour.LostPause)
	assert.DeepEqual(t, all("claims"), []string{"c"})
	assert.DeepEqual(t, all("other"), []string{"a", "c"})
	f.now = f.now.Add(detour.CutPause)
	assert.DeepEqual(t, all("claims"), []string{"a", "c"})
	f.now = f.now.Add(detour.LostPause)
	f.Random = func(n int) int { return n - 1 }
	f.Helped("b", "claims")
	addr, ok := f.Helper("claims", nil)
	assert.Assert(t, ok && addr == "b", "an instance that helped is preferred")
}

// TestSilentHelpersAreAskedLast guards against requests that are refused because a target was silent behind each instance that could help.
func TestSilentHelpersAreAskedLast(t *testing.T) {
	f := newFixture("a", "b")
	f.Silent("a", "claims")
	addr, ok := f.Helper("claims", nil)
	assert.Assert(t, ok && addr == "b")
	f.Silent("b", "claims")
	_, ok = f.Helper("claims", []string{"a"})
	assert.Assert(t, ok)
	f.Pause("a", "", detour.LostPause)
	_, ok = f.Helper("claims", []string{"b"})
	assert.Assert(t, !ok, "an instance that did not reply is not asked")
}
