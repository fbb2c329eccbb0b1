package cmd

import (
	"fmt"
	"slices"
	"strings"

	"github.com/integrii/flaggy"
)

// Names of the flags that every subcommand has.
const (
	helpFlag    = "help"
	versionFlag = "version"
)

// UsageError tells that the command line can't be understood.
type UsageError struct {
	Problem string
	// Path is the subcommand whose help tells more.
	Path []string
}

// Error implements the error interface.
func (e *UsageError) Error() string {
	return fmt.Sprintf("%s; see %s", e.Problem, strings.Join(append([]string{name, helpFlag}, e.Path...), " "))
}

// line is a command line that was looked through before it is parsed. The parser ignores
// what it does not know, and ends the process when a value is missing.
type line struct {
	root *flaggy.Parser
	// sub is the subcommand that was named, and path its name.
	sub  *flaggy.Subcommand
	path []string
	// values counts the positional values.
	values        int
	help, version bool
}

// readLine returns a *UsageError when the parser would ignore or miss an argument.
func readLine(p *flaggy.Parser, args []string) (line, error) {
	l := line{root: p, sub: &p.Subcommand}
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
			return l, l.fault("flag %s needs a value", args[i-1])
		}
	}
	return l, l.whole()
}

// positional takes the name of a subcommand or a positional value.
func (l *line) positional(arg string) error {
	for _, s := range l.sub.Subcommands {
		if s.Name == arg {
			l.sub, l.path = s, append(l.path, arg)
			return nil
		}
	}
	if len(l.sub.Subcommands) > 0 {
		return l.fault("unknown subcommand %q", arg)
	}
	l.values++
	if l.values > len(l.sub.PositionalFlags) {
		return l.fault("unexpected argument %q", arg)
	}
	return nil
}

// flag reports whether the flag takes the next argument as its value.
func (l *line) flag(arg string) (bool, error) {
	key, _, hasValue := strings.Cut(strings.TrimLeft(arg, "-"), "=")
	f := l.find(key)
	if f == nil {
		return false, l.fault("unknown flag %s", arg)
	}
	l.help = l.help || f.LongName == helpFlag
	l.version = l.version || f.LongName == versionFlag
	_, isBool := f.AssignmentVar.(*bool)
	return !isBool && !hasValue, nil
}

func (l *line) find(key string) *flaggy.Flag {
	for _, f := range slices.Concat(l.root.Flags, l.sub.Flags) {
		if key != "" && f.HasName(key) {
			return f
		}
	}
	return nil
}

// whole returns an error when something is missing.
func (l *line) whole() error {
	if l.help || l.version {
		return nil
	}
	if len(l.sub.Subcommands) > 0 {
		return l.fault("a subcommand is missing")
	}
	for _, v := range l.sub.PositionalFlags {
		if v.Required && v.Position > l.values {
			return l.fault("%s is missing", v.Name)
		}
	}
	return nil
}

func (l *line) fault(format string, args ...any) error {
	return &UsageError{Problem: fmt.Sprintf(format, args...), Path: l.path}
}
