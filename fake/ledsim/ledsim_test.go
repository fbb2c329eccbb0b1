package ledsim_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cranberryrail/fake/ledsim"
)

func assertNoViolation(t rapid.TB, r *ledsim.Run) {
	t.Helper()
	r.Default()
	if err := r.Run(context.Background()); err != nil {
		t.Fatal(err)
	}
}

func TestFixedSeedHasNoViolation(t *testing.T) {
	r := &ledsim.Run{Seed: 1, Steps: 200_000}
	assertNoViolation(t, r)
	assert.Assert(t, r.Stats.Kills > 0 && r.Stats.Stops > 0 && r.Stats.Pauses > 0 && r.Stats.Outages > 0 && r.Stats.Trims > 0 && r.Stats.Lost > 0)
	assert.Assert(t, r.Stats.Bills > 1000)
}

func TestAnySeedHasNoViolation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		assertNoViolation(t, &ledsim.Run{
			Seed:          rapid.Uint64().Draw(t, "seed"),
			Steps:         rapid.Int64Range(500, 2500).Draw(t, "steps"),
			Instances:     rapid.IntRange(2, 6).Draw(t, "instances"),
			Organisations: rapid.IntRange(1, 12).Draw(t, "organisations"),
		})
	})
}

func TestSameSeedSameRun(t *testing.T) {
	runs := [2]ledsim.Run{{Seed: 5, Steps: 20_000}, {Seed: 5, Steps: 20_000}}
	for i := range runs {
		assertNoViolation(t, &runs[i])
	}
	assert.Equal(t, runs[0].Stats, runs[1].Stats)
}
