package cmd

import (
	"context"
	"errors"
	"fmt"

	"cranberryrail/core/conf/field"
	"cranberryrail/io/opts"
)

// FaultsError tells that the faults of a document were printed.
type FaultsError struct {
	What   string
	Faults int
}

// Error implements the error interface.
func (e *FaultsError) Error() string {
	return fmt.Sprintf("%s has %d faults; mend them and try again", e.What, e.Faults)
}

func (a *App) check() command {
	var path string
	var router bool
	sub := newSubcommand("check", "check settings without starting", "check --config settings.toml", "check --route --config router.toml")
	sub.String(&path, "c", "config", "File with the settings, in TOML.")
	sub.Bool(&router, "r", "route", "The settings are those of an instance on the users' platform.")
	return command{sub, func(context.Context) error {
		if path == "" {
			return &UsageError{Problem: "--config is missing", Path: []string{sub.Name}}
		}
		load := func() error { _, err := opts.Load(path); return err }
		if router {
			load = func() error { _, err := opts.LoadRouter(path); return err }
		}
		if err := load(); err != nil {
			return a.printFaults(err)
		}
		a.printf("%s: settings are in order\n", path)
		return nil
	}}
}

// printFaults prints the printFaults of a document one a line.
func (a *App) printFaults(err error) error {
	var e *field.FaultError
	if !errors.As(err, &e) {
		return err
	}
	for _, f := range e.Faults {
		_, _ = fmt.Fprintln(a.Stderr, f)
	}
	return &FaultsError{What: e.What, Faults: len(e.Faults)}
}
