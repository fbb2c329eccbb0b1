package cmd

import (
	"context"
	"fmt"
	"time"

	"cranberryrail/fake/pace"
	"cranberryrail/fake/probe"
	"cranberryrail/fake/routs"
	"cranberryrail/fake/slope"
	"cranberryrail/fake/trade"
)

func (a *App) measureOverhead() command {
	b := probe.Bench{}
	var firstMS, gapMS int64
	sub := newSubcommand("overhead", "measure what an instance adds to a request", "measure overhead --requests 4000")
	sub.Int(&b.Requests, "", "requests", "Requests of each measurement.")
	sub.Int(&b.Tokens, "", "tokens", "Tokens of each answer.")
	sub.Int(&b.Streams, "", "streams", "Open streams for the measurement of memory.")
	sub.Int64(&firstMS, "", "first-token-ms", "Time to the first token at the stand-in engine.")
	sub.Int64(&gapMS, "", "token-gap-ms", "Time between tokens at the stand-in engine.")
	return command{sub, func(ctx context.Context) error {
		b.Out, b.FirstToken, b.TokenGap = a.Stdout, time.Duration(firstMS)*time.Millisecond, time.Duration(gapMS)*time.Millisecond
		b.Default()
		return wrapMeasureError(&b, b.Run(ctx))
	}}
}

func (a *App) measureAllowances() command {
	b := trade.Table{Seed: 1}
	sub := newSubcommand("allowances", "compare the policies that size allowances under faults", "measure allowances --seed 1")
	sub.UInt64(&b.Seed, "", "seed", "Seed of the run.")
	return command{sub, func(ctx context.Context) error {
		b.Out = a.Stdout
		b.Default()
		return wrapMeasureError(&b, b.Run(ctx))
	}}
}

func (a *App) measureFleets() command {
	s := trade.Slope{Seed: 1}
	sub := newSubcommand("fleets", "measure what control of budgets costs an instance as the fleet grows", "measure fleets --instances 8 --instances 32")
	sub.IntSlice(&s.Instances, "", "instances", "Size of a fleet; may be repeated.")
	return command{sub, func(ctx context.Context) error {
		s.Out = a.Stdout
		s.Default()
		return wrapMeasureError(&s, s.Run(ctx))
	}}
}

func (a *App) measurePublishing() command {
	var b pace.Bench
	sub := newSubcommand("publishing", "measure how fast a change is in force and what idle instances cost",
		"measure publishing --instances 8 --instances 32 --changes 100")
	sub.IntSlice(&b.Instances, "", "instances", "Size of a fleet; may be repeated.")
	sub.Int(&b.Changes, "", "changes", "Changes that are timed.")
	return command{sub, func(ctx context.Context) error {
		b.Out = a.Stdout
		b.Default()
		return wrapMeasureError(&b, b.Run(ctx))
	}}
}

func (a *App) measureRouting() command {
	b := routs.Bench{Seed: 1}
	sub := newSubcommand("routing", "compare the routing policies on a model of engines", "measure routing --seed 1")
	sub.UInt64(&b.Seed, "", "seed", "Seed of the run.")
	return command{sub, func(ctx context.Context) error {
		b.Out = a.Stdout
		b.Default()
		return wrapMeasureError(&b, b.Run(ctx))
	}}
}

func (a *App) measureSlopes() command {
	var b slope.Bench
	sub := newSubcommand("slopes", "measure what one more of each thing costs an instance", "measure slopes --budgets 330000")
	sub.Int(&b.Budgets, "", "budgets", "Number of budgets.")
	sub.Int(&b.Targets, "", "targets", "Number of targets.")
	return command{sub, func(ctx context.Context) error {
		b.Out = a.Stdout
		b.Default()
		return wrapMeasureError(&b, b.Run(ctx))
	}}
}

// wrapMeasureError says what was being wrapMeasureError when it failed.
func wrapMeasureError(what fmt.Stringer, err error) error {
	if err != nil {
		return fmt.Errorf("measure the %s: %w", what, err)
	}
	return nil
}
