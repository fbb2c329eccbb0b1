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

// TestStopThatRunsOutOfTimeReturnsAllowance cuts one long answer off; what the instance
// held beyond it goes back to the budget all the same.
func TestStopThatRunsOutOfTimeReturnsAllowance(t *testing.T) {
	f := start(t, &fleet.Fleet{
		Instances: 2, Engines: 1, TokenGap: time.Second, FixedLength: true,
		Change: func(_ int, s *opts.Settings) { s.Stop.TimeoutMS, s.Stop.NoticeMS = 5000, 0 },
	})
	open(t, f, 100_000)
	var g errgroup.Group
	g.Go(func() error {
		send(context.Background(), f.Nodes[0], "/v1/completions", fleet.Key("acme"), promptBody("slow", 100, true))
		return nil
	})
	ctx, cancel := context.WithTimeout(context.Background(), testTime)
	defer cancel()
	assert.NilError(t, f.Await(ctx, func() bool { return f.EngineServers[0].Counts().Started > 0 }))
	assert.Assert(t, f.Nodes[0].Stop() != nil, "the stop says that it cut a request off")
	assert.NilError(t, g.Wait())
	key := "acme/" + conf.MainBudget
	assert.NilError(t, f.Await(ctx, func() bool {
		b := balance(t, f.Nodes[1], key)
		return b.Held == b.Own
	}), "the allowance of the stopped instance is not returned")
}
