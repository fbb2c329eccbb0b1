// Package cmd implements the command-line interface, with one file per subcommand.
package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"

	"github.com/integrii/flaggy"
)

// name is the program name.
const name = "cranberryrail"

// Exit statuses.
const (
	exitOK     = 0
	exitFailed = 1
	// exitUsage is the status of an invalid command line, and of a check of what can't be read.
	exitUsage = 2
)

// App is the command-line application. Exported fields are set before Main; an App runs once.
type App struct {
	// Stdout receives results.
	Stdout io.Writer
	// Stderr receives errors and logs.
	Stderr io.Writer
	// Getenv returns the value of an environment variable.
	Getenv func(key string) string
	// IsTerminal reports whether a writer is a terminal, where output is coloured.
	IsTerminal func(w io.Writer) bool
}

// command is a subcommand and the function that runs it.
type command struct {
	sub *flaggy.Subcommand
	run func(ctx context.Context) error
}

// group is a subcommand with nested subcommands.
type group struct {
	name, description string
	commands          []command
}

// Main runs the command line and returns the exit status.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return (&App{}).Main(ctx, args)
}

// commands returns the top-level subcommands, without groups; new subcommands are added here.
func (a *App) commands() []command {
	return []command{
		a.demo(),
		a.serve(),
		a.route(),
		a.check(),
		a.publish(),
		a.set(),
		a.remove(),
		a.templates(),
		a.topUp(),
		a.budgets(),
		a.usage(),
		a.targets(),
		a.instances(),
		a.state(),
		a.report(),
		a.burn(),
	}
}

// groups returns the subcommands that have nested subcommands.
func (a *App) groups() []group {
	return []group{
		{"fake", "run a fake platform or target for tests and load runs", []command{a.fakePlatform(), a.fakeEngine(), a.fakeService()}},
		{"measure", "run a measurement and print a table", []command{
			a.measureOverhead(), a.measureRouting(), a.measureAllowances(), a.measurePublishing(), a.measureSlopes(), a.measureFleets(),
		}},
		{"soak", "run randomised tests with invariant checks", []command{
			a.soakBudgets(), a.soakCalls(), a.soakConfig(), a.soakServing(), a.soakBuilds(),
		}},
	}
}

// String returns the program name for logs.
func (a *App) String() string { return name }

// Default sets unset fields to their defaults.
func (a *App) Default() {
	if a.Stdout == nil {
		a.Stdout = os.Stdout
	}
	if a.Stderr == nil {
		a.Stderr = os.Stderr
	}
	if a.Getenv == nil {
		a.Getenv = os.Getenv
	}
	if a.IsTerminal == nil {
		a.IsTerminal = isTerminal
	}
}

// Main runs one subcommand until it returns or the context ends, and returns the exit status.
func (a *App) Main(ctx context.Context, args []string) int {
	a.Default()
	err := a.dispatch(ctx, args)
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintf(a.Stderr, "%s: %v\n", name, err)
	var usage *UsageError
	var unreadable *UnreadableError
	if errors.As(err, &usage) || errors.As(err, &unreadable) {
		return exitUsage
	}
	return exitFailed
}

func (a *App) dispatch(ctx context.Context, args []string) error {
	p, commands := a.parser()
	l, err := scanArgs(p, args)
	if err != nil {
		return err
	}
	switch {
	case l.version:
		a.printf("%s %s\n", name, version())
		return nil
	case l.help:
		return a.help(p, l)
	}
	if err := p.ParseArgs(args); err != nil {
		return &UsageError{Problem: "invalid flag value: " + flagProblem(err), Path: l.path}
	}
	for _, c := range commands {
		if c.sub == l.sub {
			return c.run(ctx)
		}
	}
	return &UsageError{Problem: "a subcommand is missing", Path: l.path}
}

// flagProblem describes the error of a flag's value without names of Go.
func flagProblem(err error) string {
	var number *strconv.NumError
	switch {
	case !errors.As(err, &number):
		return strings.TrimPrefix(err.Error(), "time: ")
	case number.Func == "ParseBool":
		return fmt.Sprintf("%q is neither true nor false", number.Num)
	case errors.Is(err, strconv.ErrRange):
		return fmt.Sprintf("%s is out of range", number.Num)
	default:
		return fmt.Sprintf("%q is not a number", number.Num)
	}
}

// parser returns a parser and the commands that can run.
func (a *App) parser() (*flaggy.Parser, []command) {
	p := flaggy.NewParser(name)
	p.Description = "routes requests for organisations that buy token budgets in advance"
	p.AdditionalHelpAppend = examples("check --config settings.toml", "help publish")
	p.ShowHelpOnUnexpected = false
	p.ShowHelpWithHFlag = false
	p.ShowVersionWithVersionFlag = false
	p.ShowCompletion = false
	var help, version bool // evaluated by scanArgs
	p.Bool(&help, "h", helpFlag, "Show this help.")
	p.Bool(&version, "", versionFlag, "Show the version.")
	all := a.commands()
	for _, c := range all {
		p.AttachSubcommand(c.sub, 1)
	}
	for _, g := range a.groups() {
		sub := newSubcommand(g.name, g.description, g.name+" "+g.commands[0].sub.Name)
		p.AttachSubcommand(sub, 1)
		for _, c := range g.commands {
			sub.AttachSubcommand(c.sub, 1)
		}
		all = append(all, g.commands...)
	}
	return p, all
}

// newSubcommand returns a subcommand with usage examples, which are given without the program name.
func newSubcommand(name, description string, lines ...string) *flaggy.Subcommand {
	s := flaggy.NewSubcommand(name)
	s.Description = description
	s.AdditionalHelpAppend = examples(lines...)
	return s
}

// examples formats the examples section of a help text.
func examples(lines ...string) string {
	text := "  Examples:"
	for _, line := range lines {
		text += "\n    " + name + " " + line
	}
	return text
}

// help prints the help of the selected subcommand.
func (a *App) help(p *flaggy.Parser, l commandLine) error {
	for _, v := range l.sub.PositionalFlags {
		v.Found = true // otherwise the parser exits the process
	}
	if err := p.ParseArgs(l.path); err != nil {
		return err
	}
	var h flaggy.Help
	h.ExtractValues(p, "")
	return p.HelpTemplate.Execute(a.Stdout, h)
}

// version returns the module version from the build information.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "(devel)"
	}
	return info.Main.Version
}
