package node_test

import (
	"context"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cranberryrail/core/conf"
	"cranberryrail/fake/fleet"
	"cranberryrail/io/opts"
)

// TestStopTimeoutReturnsAllowance stops an instance during a response that exceeds the stop timeout. The instance must
// still return its unused allowance to the budget.
func TestStopTimeoutReturnsAllowance(t *testing.T) {
	f := start(t, &fleet.Fleet{
		Instances: 2, Engines: 1, TokenGap: time.Second, FixedLength: true,
		ConfigureInstance: func(_ int, s *opts.Settings) { s.Stop.TimeoutMS, s.Stop.NoticeMS = 5000, 0 },
	})
	provision(t, f, 100_000)
	var g errgroup.Group
	g.Go(func() error {
		send(context.Background(), f.Members[0], "/v1/completions", fleet.Key("acme"), promptBody("slow", 100, true))
		return nil
	})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	assert.NilError(t, f.Await(ctx, func() bool { return f.EngineServers[0].Counts().Started > 0 }))
	assert.Assert(t, f.Members[0].Stop() != nil, "the stop must report that it cut off a request")
	assert.NilError(t, g.Wait())
	key := "acme/" + conf.MainBudget
	assert.NilError(t, f.Await(ctx, func() bool {
		b := balance(t, f.Members[1], key)
		return b.Held == b.Own
	}), "the allowance of the stopped instance was not returned")
}
