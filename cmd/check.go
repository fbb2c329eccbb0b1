package cmd

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/mattn/go-isatty"

	"cranberryrail/core/audit"
	"cranberryrail/core/conf"
	"cranberryrail/core/conf/field"
	"cranberryrail/io/opts"
	"cranberryrail/platform"
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

// UnreadableError reports that what is to be checked can't be read.
type UnreadableError struct{ Err error }

// Error implements the error interface.
func (e *UnreadableError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *UnreadableError) Unwrap() error { return e.Err }

// Formats of the output of check.
const (
	formatText = "text"
	formatJSON = "json"
)

// inForce is the value of --against for the version in force, which is read from the platform's log.
const inForce = "in-force"

// storeTimeout bounds the read of the version in force.
const storeTimeout = 10 * time.Second

// checkFlags are the flags of the subcommand check.
type checkFlags struct {
	file, settings, against, format string
	router                          bool
}

func (a *App) check() command {
	f := checkFlags{format: formatText}
	sub := newSubcommand("check", "check a configuration, or settings without starting an instance",
		"check --config settings.toml", "check --route --config router.toml", "check travel.toml --against earlier.toml",
		"check configuration.json --format json", "check configuration.json --against "+inForce+" --config router.toml")
	sub.AddPositionalValue(&f.file, "FILE", 1, false, "Configuration in JSON as in the platform's log, or template of an organisation in TOML.")
	sub.String(&f.settings, "c", "config", "Settings file in TOML; checked if FILE is missing.")
	sub.Bool(&f.router, "r", "route", "Validate the settings of an instance on the users' platform.")
	sub.String(&f.against, "a", "against", "Earlier file to compare with; "+inForce+" is the version in the platform's log, whose address is read from --config.")
	sub.String(&f.format, "f", "format", "Format of the result: text or json.")
	return command{sub, func(ctx context.Context) error {
		usage := func(problem string) error { return &UsageError{Problem: problem, Path: []string{sub.Name}} }
		switch {
		case f.format != formatText && f.format != formatJSON:
			return usage(fmt.Sprintf("--format %q is neither text nor json", f.format))
		case f.file == "" && f.settings == "":
			return usage("FILE is missing and --config is missing; set one to the path of a file")
		case f.file == "" && f.against != "":
			return usage("FILE is missing, which --against compares with")
		case f.file != "" && f.against == inForce && f.settings == "":
			return usage("--against " + inForce + " needs --config, the settings file with the address of the log")
		case f.file == "":
			return a.checkSettings(f.settings, f.router)
		}
		return a.checkFile(ctx, f)
	}}
}

// checkSettings checks a settings file.
func (a *App) checkSettings(path string, router bool) error {
	load := func() error { _, err := opts.Load(path); return err }
	if router {
		load = func() error { _, err := opts.LoadRouter(path); return err }
	}
	if err := load(); err != nil {
		return a.printFaults(err)
	}
	a.printf("%s: settings are valid\n", path)
	return nil
}

// checkResult is the result of a check.
type checkResult struct {
	File     string          `json:"file"`
	Findings []audit.Finding `json:"findings"`
	// Against is what the file was compared with; empty if it was not.
	Against string         `json:"against,omitempty"`
	Changes []audit.Change `json:"changes"`
}

// checkFile checks a configuration of either format, which its first character shows, and prints the result.
func (a *App) checkFile(ctx context.Context, f checkFlags) error {
	data, err := readFile(f.file)
	if err != nil {
		return err
	}
	var earlier []byte
	if f.against != "" {
		if earlier, err = readEarlier(ctx, f); err != nil {
			return err
		}
	}
	result := checkResult{File: f.file, Against: f.against}
	switch isJSON := bytes.HasPrefix(bytes.TrimSpace(data), []byte("{")); {
	case isJSON:
		err = result.checkConfig(data, earlier)
	case f.against == inForce:
		return &UnreadableError{errors.New("the log has no templates; compare the template with a file")}
	default:
		err = result.checkTemplate(data, earlier)
	}
	if err != nil {
		return &UnreadableError{fmt.Errorf("compare with %s: %w", f.against, err)}
	}
	if err := a.printCheck(f.format, result); err != nil {
		return fmt.Errorf("print the result: %w", err)
	}
	if n := audit.Errors(result.Findings); n > 0 {
		return &FaultsError{What: f.file, Faults: n}
	}
	return nil
}

// readFile reads a file; the error is an *UnreadableError.
func readFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &UnreadableError{fmt.Errorf("read configuration; check its path and permissions: %w", err)}
	}
	return data, nil
}

// readEarlier reads what to compare with; the error is an *UnreadableError.
func readEarlier(ctx context.Context, f checkFlags) ([]byte, error) {
	if f.against != inForce {
		return readFile(f.against)
	}
	settings, _, err := opts.LoadRouterOfAnyBuild(f.settings)
	if err != nil {
		return nil, &UnreadableError{err}
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	store := &platform.Store{Addr: settings.Store.Address}
	newest, err := store.Log().NewestAll(ctx, platform.ConfigTopic, 0)
	if err != nil {
		return nil, &UnreadableError{fmt.Errorf("read the version in force: %w", err)}
	}
	for _, record := range newest.Records {
		if record.Key == platform.ConfigKey && len(record.Value) > 0 {
			return record.Value, nil
		}
	}
	return nil, &UnreadableError{errors.New("the log has no configuration")}
}

// errEarlierInvalid is the error of an earlier file that can't be compared with.
var errEarlierInvalid = errors.New("it is not a valid configuration")

// checkConfig checks a configuration as in the platform's log. The error means that the earlier one can't be decoded.
func (r *checkResult) checkConfig(data, earlier []byte) error {
	document, findings := platform.CheckConfig(data)
	r.Findings = findings
	if earlier == nil {
		return nil
	}
	before, problems := platform.CheckConfig(earlier)
	if before == nil {
		return fmt.Errorf("%w: %s", errEarlierInvalid, problems[0])
	}
	if document == nil {
		return nil // the findings state why
	}
	changes, findings := document.Compare(before)
	r.Changes, r.Findings = changes, append(findings, r.Findings...)
	return nil
}

// checkTemplate checks the template of an organisation. The error means that the earlier one can't be decoded.
func (r *checkResult) checkTemplate(data, earlier []byte) error {
	lines := audit.LocateTOML(data)
	after, err := conf.Parse(data)
	if err != nil {
		r.Findings = templateFaults(err, lines)
	} else {
		r.Findings = audit.CheckTemplate(after, lines)
	}
	if earlier == nil {
		return nil
	}
	before, earlierErr := conf.Parse(earlier)
	if earlierErr != nil {
		return fmt.Errorf("%w: %w", errEarlierInvalid, earlierErr)
	}
	if err != nil {
		return nil // the findings state why
	}
	from, err := valuesByPath(before)
	if err != nil {
		return err
	}
	to, err := valuesByPath(after)
	if err != nil {
		return err
	}
	r.Changes = audit.CompareTemplates(from, to, lines)
	return nil
}

// templateFaults returns the faults of a template as findings.
func templateFaults(err error, lines audit.Lines) []audit.Finding {
	var e *field.FaultError
	if !errors.As(err, &e) {
		return []audit.Finding{{Severity: audit.Error, Key: "document", Line: 1, Message: err.Error()}}
	}
	findings := make([]audit.Finding, 0, len(e.Faults))
	for _, f := range e.Faults {
		if f.Line == 0 {
			f.Line = lines.Of(f.Path)
		}
		if f.Path == "" {
			f.Path = "document"
		}
		findings = append(findings, audit.Finding{Severity: audit.Error, Key: f.Path, Line: f.Line, Message: f.Problem + "; allowed: " + f.Allowed, Effect: "the template is refused"})
	}
	audit.Sort(findings)
	return findings
}

// printCheck prints the result of a check.
func (a *App) printCheck(format string, r checkResult) error {
	if format == formatJSON {
		r.Findings = append([]audit.Finding{}, r.Findings...)
		r.Changes = append([]audit.Change{}, r.Changes...)
		return a.printJSON(r)
	}
	paint := a.painter()
	for _, f := range r.Findings {
		a.printf("%s:%d: %s\n", r.File, f.Line, paint(string(f.Severity), f.String()))
	}
	for _, c := range r.Changes {
		file := r.File
		if c.Difference == audit.Removed {
			file = r.Against
		}
		a.printf("%s:%d: %s\n", file, c.Line, paint(string(c.Difference), c.String()))
	}
	errs := audit.Errors(r.Findings)
	a.printf("%s: %d error(s), %d warning(s)", r.File, errs, len(r.Findings)-errs)
	if r.Against != "" {
		a.printf(", %d change(s) from %s", len(r.Changes), r.Against)
	}
	a.printf("\n")
	return nil
}

// noColourEnv is the environment variable that turns colours off at a terminal.
const noColourEnv = "NO_COLOR" //nolint:misspell // an established name

// painter returns a function that colours a line by its first word if the output is a terminal.
func (a *App) painter() func(word, line string) string {
	colours := map[string]string{
		string(audit.Error): "\x1b[31m", string(audit.Warning): "\x1b[33m", string(audit.Added): "\x1b[32m", string(audit.Removed): "\x1b[31m",
		string(audit.Moved): "\x1b[36m", string(audit.Changed): "\x1b[36m",
	}
	if !a.IsTerminal(a.Stdout) || a.Getenv(noColourEnv) != "" {
		return func(_, line string) string { return line }
	}
	return func(word, line string) string { return colours[word] + word + "\x1b[0m" + line[len(word):] }
}

// isTerminal reports whether a writer is a terminal.
func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	return ok && isatty.IsTerminal(f.Fd())
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
