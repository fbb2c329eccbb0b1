package rtsim_test

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/core/route"
	"cranberryrail/fake/rtsim"
)

func TestBench(t *testing.T) {
	newShortBench := func(out *bytes.Buffer) *rtsim.Bench {
		return &rtsim.Bench{
			Seed: 7, WarmUp: 20 * time.Second, Duration: 20 * time.Second,
			Loads: []float64{0.8}, Bounds: []float64{1.25}, Out: out,
		}
	}
	t.Run("the same seed produces the same table", func(t *testing.T) {
		var first, second bytes.Buffer
		assert.NilError(t, newShortBench(&first).Run(t.Context()))
		assert.NilError(t, newShortBench(&second).Run(t.Context()))
		assert.Equal(t, first.String(), second.String())
	})
	t.Run("affinity hits more prefixes than random choice", func(t *testing.T) {
		results, err := newShortBench(nil).Results(t.Context())
		assert.NilError(t, err)
		hits := map[route.Policy]int{}
		for _, r := range results {
			if !r.SlowEngine {
				hits[r.Policy] = r.Hits
			}
		}
		assert.Assert(t, hits[route.PrefixBounded] > hits[route.Random], "hits: %v", hits)
	})
}
