package cmd

import (
	"context"
	"fmt"
	"time"

	"cranberryrail/fake/apply"
	"cranberryrail/fake/perf"
	"cranberryrail/fake/policy"
	"cranberryrail/fake/rtsim"
	"cranberryrail/fake/sizing"
)

func (a *App) measureOverhead() command {
	b := perf.Bench{}
	var firstMS, gapMS int64
	sub := newSubcommand("overhead", "measure the overhead of an instance per request", "measure overhead --requests 4000")
	sub.Int(&b.Requests, "", "requests", "Number of requests per measurement.")
	sub.Int(&b.Tokens, "", "tokens", "Number of tokens per answer.")
	sub.Int(&b.Streams, "", "streams", "Number of open streams for the memory measurement.")
	sub.Int64(&firstMS, "", "first-token-ms", "Time to the first token at the fake engine, in milliseconds.")
	sub.Int64(&gapMS, "", "token-gap-ms", "Time between tokens at the fake engine, in milliseconds.")
	return command{sub, func(ctx context.Context) error {
		b.Out, b.FirstToken, b.TokenGap = a.Stdout, time.Duration(firstMS)*time.Millisecond, time.Duration(gapMS)*time.Millisecond
		b.Default()
		return wrapMeasureError(&b, b.Run(ctx))
	}}
}

func (a *App) measureAllowances() command {
	b := policy.Comparison{Seed: 1}
	sub := newSubcommand("allowances", "compare allowance policies under faults", "measure allowances --seed 1")
	sub.UInt64(&b.Seed, "", "seed", "Random seed of the run.")
	return command{sub, func(ctx context.Context) error {
		b.Out = a.Stdout
		b.Default()
		return wrapMeasureError(&b, b.Run(ctx))
	}}
}

func (a *App) measureFleets() command {
	s := policy.Scaling{Seed: 1}
	sub := newSubcommand("fleets", "measure the cost of budget control per instance by fleet size", "measure fleets --instances 8 --instances 32")
	sub.IntSlice(&s.Instances, "", "instances", "Fleet size; repeatable.")
	return command{sub, func(ctx context.Context) error {
		s.Out = a.Stdout
		s.Default()
		return wrapMeasureError(&s, s.Run(ctx))
	}}
}

func (a *App) measurePublishing() command {
	var b apply.Bench
	sub := newSubcommand("publishing", "measure publish latency and the cost of idle instances",
		"measure publishing --instances 8 --instances 32 --changes 100")
	sub.IntSlice(&b.Instances, "", "instances", "Fleet size; repeatable.")
	sub.Int(&b.Changes, "", "changes", "Number of timed changes.")
	return command{sub, func(ctx context.Context) error {
		b.Out = a.Stdout
		b.Default()
		return wrapMeasureError(&b, b.Run(ctx))
	}}
}

func (a *App) measureRouting() command {
	b := rtsim.Bench{Seed: 1}
	sub := newSubcommand("routing", "compare routing policies on simulated engines", "measure routing --seed 1")
	sub.UInt64(&b.Seed, "", "seed", "Random seed of the run.")
	return command{sub, func(ctx context.Context) error {
		b.Out = a.Stdout
		b.Default()
		return wrapMeasureError(&b, b.Run(ctx))
	}}
}

func (a *App) measureSlopes() command {
	var b sizing.Bench
	sub := newSubcommand("slopes", "measure the marginal cost of budgets, targets and other objects per instance", "measure slopes --budgets 330000")
	sub.Int(&b.Budgets, "", "budgets", "Number of budgets.")
	sub.Int(&b.Targets, "", "targets", "Number of targets.")
	return command{sub, func(ctx context.Context) error {
		b.Out = a.Stdout
		b.Default()
		return wrapMeasureError(&b, b.Run(ctx))
	}}
}

// wrapMeasureError adds the name of the measurement to an error.
func wrapMeasureError(what fmt.Stringer, err error) error {
	if err != nil {
		return fmt.Errorf("measure %s: %w", what, err)
	}
	return nil
}
