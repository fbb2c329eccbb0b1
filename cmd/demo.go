package cmd

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"cranberryrail/fake/demo"
	"cranberryrail/fake/platf"
)

// demoTimeout bounds the demo, so that it ends within a minute also when a step can't be reached.
const demoTimeout = 50 * time.Second

func (a *App) demo() command {
	sub := newSubcommand("demo", "run a demonstration fleet on fake targets inside this process", "demo")
	return command{sub, func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, demoTimeout)
		defer cancel()
		d := &demo.Demo{Out: a.Stdout, Platform: &platf.Server{Seed: 1, Log: zerolog.Nop()}}
		d.Default()
		if err := d.Run(ctx); err != nil {
			return fmt.Errorf("run demo: %w", err)
		}
		return nil
	}}
}
