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

// soaking is a randomised run with invariants asserted inside the program.
type soaking struct {
	run func(ctx context.Context) error
	// stats is what happened, once run has returned; nil for none.
	stats func() string
}

// soak runs one randomised run after another with the seeds from first on.
func (a *App) soak(ctx context.Context, first uint64, seeds int, with func(seed uint64) soaking) error {
	for seed := first; seed < first+uint64(seeds); seed++ {
		s := with(seed)
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

// steps makes the subcommand of a randomised run that is measured in steps.
func (a *App) steps(name, description string, with func(seed uint64, steps int64) soaking) command {
	seed, seeds, steps := uint64(1), 1, int64(soakSteps)
	sub := newSub(name, description, "soak "+name+" --seed 1 --seeds 3 --steps 1000000")
	sub.UInt64(&seed, "", "seed", "First seed.")
	sub.Int(&seeds, "", "seeds", "Number of seeds, one run each.")
	sub.Int64(&steps, "", "steps", "Steps of each run.")
	return command{sub, func(ctx context.Context) error {
		return a.soak(ctx, seed, seeds, func(seed uint64) soaking { return with(seed, steps) })
	}}
}

func (a *App) soakBudgets() command {
	return a.steps("budgets", "randomised run of budgets under faults", func(seed uint64, steps int64) soaking {
		r := &storm.Run{Seed: seed, Steps: steps}
		r.Default()
		return soaking{run: r.Run, stats: func() string { return fmt.Sprintf("%+v", r.Stats) }}
	})
}

func (a *App) soakCalls() command {
	return a.steps("calls", "randomised run of calls that must run at most once", func(seed uint64, steps int64) soaking {
		r := &claim.Run{Seed: seed, Steps: steps}
		r.Default()
		return soaking{run: r.Run, stats: func() string { return fmt.Sprintf("%+v", r.Stats) }}
	})
}

func (a *App) soakConfig() command {
	return a.steps("config", "randomised run of publishing under faults", func(seed uint64, steps int64) soaking {
		r := &drift.Run{Seed: seed, Steps: steps}
		r.Default()
		return soaking{run: r.Run, stats: func() string { return fmt.Sprintf("%+v", r.Stats) }}
	})
}

func (a *App) soakServing() command {
	seed, seeds, seconds := uint64(1), 1, int64(60)
	sub := newSub("serving", "randomised run of a whole fleet over real sockets", "soak serving --seed 1 --seconds 60")
	sub.UInt64(&seed, "", "seed", "First seed.")
	sub.Int(&seeds, "", "seeds", "Number of seeds, one run each.")
	sub.Int64(&seconds, "", "seconds", "Length of each run.")
	return command{sub, func(ctx context.Context) error {
		return a.soak(ctx, seed, seeds, func(seed uint64) soaking {
			r := &havoc.Run{Seed: seed, For: time.Duration(seconds) * time.Second, Log: zerolog.Nop()}
			r.Default()
			return soaking{run: r.Run}
		})
	}}
}
