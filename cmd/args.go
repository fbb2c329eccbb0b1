package cmd

import (
	"fmt"
	"slices"
	"strings"

	"github.com/integrii/flaggy"
)

// Flags of every subcommand.
const (
	helpFlag    = "help"
	versionFlag = "version"
)

// UsageError reports an invalid command line.
type UsageError struct {
	Problem string
	// Path is the subcommand whose help is relevant.
	Path []string
}

// Error implements the error interface.
func (e *UsageError) Error() string {
	return fmt.Sprintf("%s; see %s", e.Problem, strings.Join(append([]string{name, helpFlag}, e.Path...), " "))
}

// commandLine is a command line that is validated before it is parsed. The flaggy parser ignores unknown arguments,
// and exits the process when a value is missing.
type commandLine struct {
	root *flaggy.Parser
	// sub is the selected subcommand, and path its name.
	sub  *flaggy.Subcommand
	path []string
	// positionalCount is the number of positional values.
	positionalCount int
	help, version   bool
}

// scanArgs returns a *UsageError when the parser would ignore an argument or when one is missing.
func scanArgs(p *flaggy.Parser, args []string) (commandLine, error) {
	l := commandLine{root: p, sub: &p.Subcommand}
	if len(args) > 0 && args[0] == helpFlag {
		l.help = true
		args = args[1:]
	}
	for i := 0; i < len(args); i++ {
		if !strings.HasPrefix(args[i], "-") {
			if err := l.positional(args[i]); err != nil {
				return l, err
			}
			continue
		}
		takesNext, err := l.flag(args[i])
		if err != nil {
			return l, err
		}
		if takesNext {
			i++
		}
		if i >= len(args) {
			return l, l.usageError("flag %s needs a value", args[i-1])
		}
	}
	return l, l.checkComplete()
}

// positional processes the name of a subcommand or a positional value.
func (l *commandLine) positional(arg string) error {
	for _, s := range l.sub.Subcommands {
		if s.Name == arg {
			l.sub, l.path = s, append(l.path, arg)
			return nil
		}
	}
	if len(l.sub.Subcommands) > 0 {
		return l.usageError("unknown subcommand %q", arg)
	}
	l.positionalCount++
	if l.positionalCount > len(l.sub.PositionalFlags) {
		return l.usageError("unexpected argument %q", arg)
	}
	return nil
}

// flag processes a flag and reports whether the next argument is its value.
func (l *commandLine) flag(arg string) (bool, error) {
	key, _, hasValue := strings.Cut(strings.TrimLeft(arg, "-"), "=")
	f := l.findFlag(key)
	if f == nil {
		return false, l.usageError("unknown flag %s", arg)
	}
	l.help = l.help || f.LongName == helpFlag
	l.version = l.version || f.LongName == versionFlag
	_, isBool := f.AssignmentVar.(*bool)
	return !isBool && !hasValue, nil
}

func (l *commandLine) findFlag(key string) *flaggy.Flag {
	for _, f := range slices.Concat(l.root.Flags, l.sub.Flags) {
		if key != "" && f.HasName(key) {
			return f
		}
	}
	return nil
}

// checkComplete returns a *UsageError when a subcommand or a required positional value is missing.
func (l *commandLine) checkComplete() error {
	if l.help || l.version {
		return nil
	}
	if len(l.sub.Subcommands) > 0 {
		return l.usageError("a subcommand is missing")
	}
	for _, v := range l.sub.PositionalFlags {
		if v.Required && v.Position > l.positionalCount {
			return l.usageError("argument %s is missing", v.Name)
		}
	}
	return nil
}

func (l *commandLine) usageError(format string, args ...any) error {
	return &UsageError{Problem: fmt.Sprintf(format, args...), Path: l.path}
}
