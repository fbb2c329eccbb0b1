package cmd

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"cranberryrail/fake/platf"
	"cranberryrail/fake/show"
)

// demoTimeout bounds the whole demo.
const demoTimeout = 2 * time.Minute

func (a *App) demo() command {
	sub := newSubcommand("demo", "show the main job on stand-ins inside this process", "demo")
	return command{sub, func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, demoTimeout)
		defer cancel()
		d := &show.Demo{Out: a.Stdout, Platform: &platf.Server{Seed: 1, Log: zerolog.Nop()}}
		d.Default()
		if err := d.Run(ctx); err != nil {
			return fmt.Errorf("run the demo: %w", err)
		}
		return nil
	}}
}
