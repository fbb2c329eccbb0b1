package cmd

import (
	"context"
	"fmt"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rs/zerolog"

	"cranberryrail/fake/cfgsim"
	"cranberryrail/fake/chaos"
	"cranberryrail/fake/claim"
	"cranberryrail/fake/ledsim"
)

// soakSteps is the default length of a randomised run, in steps.
const soakSteps = 1_000_000

// soakRun is a randomised run that checks invariants as it runs.
type soakRun struct {
	run func(ctx context.Context) error
	// stats returns statistics once run has returned; nil when the run has none.
	stats func() string
}

// soak performs one randomised run of the given length per seed, in sequence, beginning with the seed first.
func (a *App) soak(ctx context.Context, sub *flaggy.Subcommand, first uint64, seeds int, length int64, newRun func(seed uint64) soakRun) error {
	if seeds < 1 || length < 1 {
		return &UsageError{Problem: "the number of seeds and the length of a run are at least 1; a soak without a run shows nothing", Path: []string{"soak", sub.Name}}
	}
	for seed := first; seed < first+uint64(seeds); seed++ {
		s := newRun(seed)
		started := time.Now()
		if err := s.run(ctx); err != nil {
			return fmt.Errorf("soak with seed %d: %w", seed, err)
		}
		a.printf("seed %d: no violation in %s", seed, time.Since(started).Round(time.Millisecond))
		if s.stats != nil {
			a.printf("; %s", s.stats())
		}
		a.printf("\n")
	}
	return nil
}

// newStepSoak returns the subcommand of a randomised run whose length is given in steps.
func (a *App) newStepSoak(name, description string, newRun func(seed uint64, steps int64) soakRun) command {
	seed, seeds, steps := uint64(1), 1, int64(soakSteps)
	sub := newSubcommand(name, description, "soak "+name+" --seed 1 --seeds 3 --steps 1000000")
	sub.UInt64(&seed, "", "seed", "First seed.")
	sub.Int(&seeds, "", "seeds", "Number of seeds; one run per seed.")
	sub.Int64(&steps, "", "steps", "Number of steps per run.")
	return command{sub, func(ctx context.Context) error {
		return a.soak(ctx, sub, seed, seeds, steps, func(seed uint64) soakRun { return newRun(seed, steps) })
	}}
}

func (a *App) soakBudgets() command {
	return a.newStepSoak("budgets", "test budgets at random under faults", func(seed uint64, steps int64) soakRun {
		r := &ledsim.Run{Seed: seed, Steps: steps}
		r.Default()
		return soakRun{run: r.Run, stats: func() string { return fmt.Sprintf("%+v", r.Stats) }}
	})
}

func (a *App) soakCalls() command {
	return a.newStepSoak("calls", "test at-most-once calls at random under faults", func(seed uint64, steps int64) soakRun {
		r := &claim.Run{Seed: seed, Steps: steps}
		r.Default()
		return soakRun{run: r.Run, stats: func() string { return fmt.Sprintf("%+v", r.Stats) }}
	})
}

func (a *App) soakConfig() command {
	return a.newStepSoak("config", "test publishing at random under faults", func(seed uint64, steps int64) soakRun {
		r := &cfgsim.Run{Seed: seed, Steps: steps}
		r.Default()
		return soakRun{run: r.Run, stats: func() string { return fmt.Sprintf("%+v", r.Stats) }}
	})
}

func (a *App) soakServing() command {
	seed, seeds, seconds := uint64(1), 1, int64(60)
	sub := newSubcommand("serving", "test a whole fleet at random over real sockets", "soak serving --seed 1 --seconds 60")
	sub.UInt64(&seed, "", "seed", "First seed.")
	sub.Int(&seeds, "", "seeds", "Number of seeds; one run per seed.")
	sub.Int64(&seconds, "", "seconds", "Duration of each run, in seconds.")
	return command{sub, func(ctx context.Context) error {
		return a.soak(ctx, sub, seed, seeds, seconds, func(seed uint64) soakRun {
			r := &chaos.Run{Seed: seed, Duration: time.Duration(seconds) * time.Second, Log: zerolog.Nop()}
			r.Default()
			return soakRun{run: r.Run}
		})
	}}
}
