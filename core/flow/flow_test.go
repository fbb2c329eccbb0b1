package flow_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/core/flow"
)

func TestMeter(t *testing.T) {
	now := time.Unix(1000, 0)
	assertDelay := func(t *testing.T, m *flow.Meter, want time.Duration) {
		t.Helper()
		assert.Equal(t, m.Delay().Round(time.Millisecond), want)
	}
	t.Run("data beyond the rate waits until it is sent", func(t *testing.T) {
		m := &flow.Meter{BytesPerSecond: 1000, Now: func() time.Time { return now }}
		assertDelay(t, m, 0)
		m.Add(500)
		assertDelay(t, m, 500*time.Millisecond)
		now = now.Add(200 * time.Millisecond)
		m.Add(100)
		assertDelay(t, m, 400*time.Millisecond)
		now = now.Add(time.Hour)
		assertDelay(t, m, 0)
	})
	t.Run("nothing waits at a link of unknown rate", func(t *testing.T) {
		m := &flow.Meter{}
		m.Add(1 << 30)
		assertDelay(t, m, 0)
	})
}
