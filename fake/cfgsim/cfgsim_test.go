package cfgsim_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"cranberryrail/fake/cfgsim"
)

func run(t *testing.T, r *cfgsim.Run) {
	t.Helper()
	r.Default()
	assert.NilError(t, r.Run(context.Background()))
}

func TestFixedSeedsHaveNoViolation(t *testing.T) {
	fromPeer := 0
	for seed := range uint64(3) {
		r := &cfgsim.Run{Seed: seed, Steps: 15_000, Instances: 3 + 2*int(seed)}
		run(t, r)
		s := r.Stats
		t.Logf("%+v", s)
		assert.Assert(t, s.Accepted > 50 && s.Refused > 0 && s.Repeated > 0 && s.Kills > 0 && s.FromLog > 0 && s.Behind > 0, "%+v", s)
		fromPeer += s.FromPeer
	}
	assert.Assert(t, fromPeer > 0)
}

func TestSameSeedSameRun(t *testing.T) {
	runs := [2]cfgsim.Run{{Seed: 5, Steps: 5_000}, {Seed: 5, Steps: 5_000}}
	for i := range runs {
		run(t, &runs[i])
	}
	assert.Equal(t, runs[0].Stats, runs[1].Stats)
}
