package flow_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/core/flow"
)

// TestSlowConnectionsShowAFullLink guards against a link that is filled by traffic which the meter does not see, so that connections time out and requests wait; and
// against requests that are refused because one peer is slow, or the machine of an idle link is.
func TestSlowConnectionsShowAFullLink(t *testing.T) {
	const rate = 1_000_000
	for name, tc := range map[string]struct {
		used  int
		peers []string
		took  []time.Duration
		full  bool
	}{
		"several slow peers": {rate / 2, []string{"a", "b", "c"}, []time.Duration{300, 200, 250}, true},
		"one fast peer":      {rate / 2, []string{"a", "b", "c"}, []time.Duration{300, 2, 250}, false},
		"one slow peer":      {rate / 2, []string{"a", "a", "a"}, []time.Duration{300, 300, 300}, false},
		"an idle link":       {rate / 50, []string{"a", "b", "c"}, []time.Duration{300, 200, 250}, false},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			m := &flow.Meter{BytesPerSecond: rate, Now: func() time.Time { return now }}
			for range 100 {
				m.Add(tc.used / 100)
				now = now.Add(10 * time.Millisecond)
			}
			for i, peer := range tc.peers {
				m.Connected(peer, tc.took[i]*time.Millisecond)
			}
			assert.Equal(t, m.Delay() > flow.MaxDelay, tc.full, fmt.Sprint(m.Delay()))
			now = now.Add(time.Second)
			assert.Equal(t, m.Delay(), time.Duration(0))
		})
	}
}
