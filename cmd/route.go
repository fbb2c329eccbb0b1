package cmd

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"

	"cranberryrail/core/events"
	"cranberryrail/io/logio"
	"cranberryrail/io/meter"
	"cranberryrail/io/opts"
	"cranberryrail/io/router"
	"cranberryrail/platform"
)

func (a *App) route() command {
	var path string
	sub := newSubcommand("route", "run an instance on the users' platform", "route --config settings.toml")
	sub.String(&path, "c", "config", "Settings file in TOML.")
	return command{sub, func(ctx context.Context) error {
		reload := notifyReload()
		signal.Ignore(syscall.SIGPIPE) // The end of the reader of the log would end the process: a write to standard output raises it.
		if path == "" {
			return &UsageError{Problem: "--config is missing; set it to the path of a settings file", Path: []string{sub.Name}}
		}
		settings, ignored, err := opts.LoadRouterOfAnyBuild(path)
		if err != nil {
			return a.printFaults(err)
		}
		return a.runRouter(ctx, settings, ignored, path, reload)
	}}
}

// runRouter runs an instance until the context ends and its graceful shutdown is complete.
func (a *App) runRouter(ctx context.Context, settings opts.Router, ignored []string, path string, reload <-chan os.Signal) error {
	debug.SetMemoryLimit(settings.Memory.Bytes(heapShare))
	m := &meter.Meter{}
	m.Default()
	out := &logio.Writer{Out: a.Stdout, Capacity: settings.Log.Lines, Level: string(settings.Log.Level), OnDropped: m.LinesDropped}
	out.Default()
	defer out.Close()
	log := out.Log()
	logIgnored(log, ignored)
	events.Log(log, events.SettingsLoaded).Str("path", path).Send()
	store := &platform.Store{Addr: settings.Store.Address, OnCall: func(call string, err error, sent, received int) {
		result := meter.Granted
		if err != nil {
			result = meter.Failed
		}
		m.StoreCall(call, result, sent, received)
	}}
	r := &router.Router{
		Settings: settings, Log: log, Dropped: out.Dropped, Meter: m, Store: store.Log(), Platform: platform.Adapter(),
		ReloadSignals: reload,
		Reload: func() (opts.Router, error) {
			settings, ignored, err := opts.LoadRouterOfAnyBuild(path)
			logIgnored(log, ignored)
			return settings, err
		},
	}
	store.Eras.OnNewEra, store.Eras.OnInvalid = r.RecordLogRestored, r.RecordInvalidEra
	r.Default()
	if err := r.Listen(ctx); err != nil {
		return err
	}
	if err := r.Run(ctx); err != nil {
		return fmt.Errorf("run %s: %w", r, err)
	}
	return nil
}

// logIgnored logs the keys of the settings that this build does not know, if there are any.
func logIgnored(log zerolog.Logger, keys []string) {
	if len(keys) > 0 {
		events.Log(log, events.SettingsIgnored).Strs("keys", keys).Send()
	}
}

// heapShare is the share of the process memory that the garbage collector keeps the heap below; the rest is for
// stacks and for buffers outside the heap.
const heapShare = 0.75

// notifyReload returns a channel that receives SIGHUP. It does so until the process ends, since SIGHUP would end a process that is stopping otherwise.
func notifyReload() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}
