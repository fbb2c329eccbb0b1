package cmd

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"cranberryrail/core/events"
	"cranberryrail/io/node"
	"cranberryrail/io/opts"
)

func (a *App) serve() command {
	var path string
	sub := newSubcommand("serve", "run an instance", "serve --config settings.toml")
	sub.String(&path, "c", "config", "Settings file in TOML.")
	return command{sub, func(ctx context.Context) error {
		if path == "" {
			return &UsageError{Problem: "--config is missing; set it to the path of a settings file", Path: []string{sub.Name}}
		}
		settings, err := opts.Load(path)
		if err != nil {
			return a.printFaults(err)
		}
		return a.runNode(ctx, settings)
	}}
}

// runNode runs an instance until the context ends and its graceful shutdown is complete. A second signal aborts the
// shutdown.
func (a *App) runNode(ctx context.Context, settings opts.Settings) error {
	log := a.loggerFor(settings.Log)
	events.Log(log, events.SettingsLoaded).Send()
	n := &node.Node{Settings: settings, Log: log}
	n.Default()
	if err := n.Listen(ctx); err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	n.AwaitForcedStop = awaitSecondSignal(ctx, signals)
	a.printf("callers %s, peers %s, operators %s\n", n.Front.Addr(), n.PeerAddr(), n.Oper.Addr())
	if err := n.Run(ctx); err != nil {
		return fmt.Errorf("run %s: %w", n, err)
	}
	return nil
}

// awaitSecondSignal returns a function that waits for the second signal after ctx ends and reports whether it arrived
// before done was closed. The first signal, which ends ctx, is also delivered on signals.
func awaitSecondSignal(ctx context.Context, signals <-chan os.Signal) func(done <-chan struct{}) bool {
	return func(done <-chan struct{}) bool {
		<-ctx.Done()
		for range 2 {
			select {
			case <-done:
				return false
			case <-signals:
			}
		}
		return true
	}
}

// loggerFor returns a logger with the level and format from the settings. An unknown level selects info.
func (a *App) loggerFor(s opts.Log) zerolog.Logger {
	level, err := zerolog.ParseLevel(string(s.Level))
	if err != nil {
		level = zerolog.InfoLevel
	}
	log := a.newLogger().Level(level)
	if s.Format == opts.Console {
		log = log.Output(zerolog.ConsoleWriter{Out: a.Stderr, NoColor: true})
	}
	return log
}
