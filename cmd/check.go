package cmd

import (
	"context"
	"errors"
	"fmt"

	"cranberryrail/core/conf/field"
	"cranberryrail/io/opts"
)

// FaultsError reports that a document is invalid; its faults have already been printed.
type FaultsError struct {
	What   string
	Faults int
}

// Error implements the error interface.
func (e *FaultsError) Error() string {
	return fmt.Sprintf("%s is invalid: %d fault(s); correct them and retry", e.What, e.Faults)
}

func (a *App) check() command {
	var path string
	var router bool
	sub := newSubcommand("check", "validate settings without starting an instance", "check --config settings.toml", "check --route --config router.toml")
	sub.String(&path, "c", "config", "Settings file in TOML.")
	sub.Bool(&router, "r", "route", "Validate the settings of an instance on the users' platform.")
	return command{sub, func(context.Context) error {
		if path == "" {
			return &UsageError{Problem: "--config is missing; set it to the path of a settings file", Path: []string{sub.Name}}
		}
		load := func() error { _, err := opts.Load(path); return err }
		if router {
			load = func() error { _, err := opts.LoadRouter(path); return err }
		}
		if err := load(); err != nil {
			return a.printFaults(err)
		}
		a.printf("%s: settings are valid\n", path)
		return nil
	}}
}

// printFaults prints the faults of a document to standard error, one per line, and returns a *FaultsError.
// Other errors are returned unchanged.
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
