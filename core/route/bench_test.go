package route_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/core/roster"
	"cranberryrail/core/route"
)

// BenchmarkPick measures Pick with up to as many engines as the fleet is designed for. Each of the seven models is
// served by a seventh of them.
func BenchmarkPick(b *testing.B) {
	const models = 7
	for _, n := range []int{20, 1_000, 12_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Unix(0, 0)
			balancer := &route.Balancer{Now: func() time.Time { return now }}
			balancer.Default()
			targets := make([]roster.Target, 0, n)
			for i := range n {
				targets = append(targets, roster.Target{
					ID: fmt.Sprintf("engine-%05d", i), Incarnation: fmt.Sprint("inc-", i), Kind: roster.ModelEngine, State: roster.Live,
					Models: []roster.Model{{Model: fmt.Sprint("model-", i%models), Version: "1"}},
				})
			}
			balancer.SetTargets(targets)
			i := 0
			for b.Loop() {
				i++
				choice, err := balancer.Pick(route.Request{Model: fmt.Sprint("model-", i%models), Prefix: fmt.Sprint("prompt ", i%400)})
				assert.NilError(b, err)
				balancer.Done(choice.DispatchID, route.OK)
			}
		})
	}
}
