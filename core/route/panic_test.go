package route_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/core/actors"
	"cranberryrail/core/roster"
	"cranberryrail/core/route"
)

// TestPanicInTheActorEndsOnlyItsMessage guards against a process that ends, or that chooses no targets any more, because the handling of one message panics.
func TestPanicInTheActorEndsOnlyItsMessage(t *testing.T) {
	panics := 0
	a := &route.Actor{}
	a.Balancer.Now = func() time.Time {
		if panics > 0 {
			panics--
			panic("odd message")
		}
		return time.Now()
	}
	root := actors.NewSystem().Root
	c := &route.Client{Root: root, PID: root.Spawn(a.Props()), Timeout: time.Second}
	c.SetTargets([]roster.Target{{ID: "t", Service: "s", Incarnation: "t@1", State: roster.Live, Slots: 1}}, 1)
	_, err := c.Pick(route.Request{Service: "s"})
	assert.NilError(t, err)
	panics = 1
	_, err = c.Pick(route.Request{Service: "s"})
	assert.Assert(t, err != nil)
	_, err = c.Pick(route.Request{Service: "s"})
	assert.NilError(t, err)
}
