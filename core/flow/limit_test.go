package flow_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/core/flow"
)

// TestFullLinkServesTheUrgent guards against a link that gets three times what it carries and refuses urgent requests as often as others.
func TestFullLinkServesTheUrgent(t *testing.T) {
	const (
		seconds   = 20
		perSecond = 300
		size      = 10_000
	)
	now := time.Unix(1000, 0)
	m := &flow.Meter{BytesPerSecond: perSecond * size / 3, Now: func() time.Time { return now }}
	rng := rand.New(rand.NewPCG(1, 2))
	var sent, served [3]int
	for range seconds * perSecond {
		now = now.Add(time.Duration(rng.ExpFloat64() * float64(time.Second) / perSecond))
		rank := rng.IntN(3)
		sent[rank]++
		if m.Delay() <= flow.Limit(1-float64(rank)/2) {
			m.Add(size)
			served[rank]++
		}
	}
	share := func(rank int) float64 { return float64(served[rank]) / float64(sent[rank]) }
	assert.Assert(t, share(0) > 2.0/3 && share(0) > share(1) && share(1) > share(2), "%v of %v", served, sent)
	assert.Equal(t, flow.Limit(1), flow.MaxDelay)
	assert.Equal(t, flow.Limit(-1), flow.MaxDelay/2)
}
