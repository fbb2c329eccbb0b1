package cmd

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"cranberryrail/fake/claim"
	"cranberryrail/fake/drift"
	"cranberryrail/fake/havoc"
	"cranberryrail/fake/storm"
)

// soakSteps is the default length of a randomised run, in steps.
const soakSteps = 1_000_000

// soakRun is a randomised run with invariants asserted inside the program.
type soakRun struct {
	run func(ctx context.Context) error
	// stats is what happened, once run has returned; nil for none.
	stats func() string
}

// soak runs one randomised run after another with the seeds from first on.
func (a *App) soak(ctx context.Context, first uint64, seeds int, newRun func(seed uint64) soakRun) error {
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

// newStepSoak makes the subcommand of a randomised run that is measured in newStepSoak.
func (a *App) newStepSoak(name, description string, newRun func(seed uint64, steps int64) soakRun) command {
	seed, seeds, steps := uint64(1), 1, int64(soakSteps)
	sub := newSubcommand(name, description, "soak "+name+" --seed 1 --seeds 3 --steps 1000000")
	sub.UInt64(&seed, "", "seed", "First seed.")
	sub.Int(&seeds, "", "seeds", "Number of seeds, one run each.")
	sub.Int64(&steps, "", "steps", "Steps of each run.")
	return command{sub, func(ctx context.Context) error {
		return a.soak(ctx, seed, seeds, func(seed uint64) soakRun { return newRun(seed, steps) })
	}}
}

func (a *App) soakBudgets() command {
	return a.newStepSoak("budgets", "randomised run of budgets under faults", func(seed uint64, steps int64) soakRun {
		r := &storm.Run{Seed: seed, Steps: steps}
		r.Default()
		return soakRun{run: r.Run, stats: func() string { return fmt.Sprintf("%+v", r.Stats) }}
	})
}

func (a *App) soakCalls() command {
	return a.newStepSoak("calls", "randomised run of calls that must run at most once", func(seed uint64, steps int64) soakRun {
		r := &claim.Run{Seed: seed, Steps: steps}
		r.Default()
		return soakRun{run: r.Run, stats: func() string { return fmt.Sprintf("%+v", r.Stats) }}
	})
}

func (a *App) soakConfig() command {
	return a.newStepSoak("config", "randomised run of publishing under faults", func(seed uint64, steps int64) soakRun {
		r := &drift.Run{Seed: seed, Steps: steps}
		r.Default()
		return soakRun{run: r.Run, stats: func() string { return fmt.Sprintf("%+v", r.Stats) }}
	})
}

func (a *App) soakServing() command {
	seed, seeds, seconds := uint64(1), 1, int64(60)
	sub := newSubcommand("serving", "randomised run of a whole fleet over real sockets", "soak serving --seed 1 --seconds 60")
	sub.UInt64(&seed, "", "seed", "First seed.")
	sub.Int(&seeds, "", "seeds", "Number of seeds, one run each.")
	sub.Int64(&seconds, "", "seconds", "Length of each run.")
	return command{sub, func(ctx context.Context) error {
		return a.soak(ctx, seed, seeds, func(seed uint64) soakRun {
			r := &havoc.Run{Seed: seed, For: time.Duration(seconds) * time.Second, Log: zerolog.Nop()}
			r.Default()
			return soakRun{run: r.Run}
		})
	}}
}
