package field

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Fault is one thing that is wrong with a document.
type Fault struct {
	// Path is the dotted path of the key; empty when the document is not TOML.
	Path string `json:"path"`
	// Line counts from 1; it is 0 where only the path is known.
	Line int `json:"line,omitempty"`
	// Problem says what is wrong.
	Problem string `json:"problem"`
	// Allowed says what is allowed.
	Allowed string `json:"allowed"`
}

// String returns the fault in one line.
func (f Fault) String() string {
	where := f.Path
	if f.Line > 0 {
		where = strings.TrimSpace(fmt.Sprintf("%s (line %d)", where, f.Line))
	}
	return fmt.Sprintf("%s: %s; allowed: %s", where, f.Problem, f.Allowed)
}

// FaultError lists every fault that was found in a document.
type FaultError struct {
	// What names the document.
	What string
	// Faults has at least one element.
	Faults []Fault
}

// Error implements the error interface.
func (e *FaultError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return fmt.Sprintf("%s: mend and try again: %s", e.What, strings.Join(lines, " | "))
}

// Parse sets the defaults of the struct that v points to, reads data over them, calls
// finish and checks every value. Finish fills what tags can't express and returns the
// faults that concern several keys. The error is a *FaultError.
func Parse(what string, data []byte, v any, finish func() []Fault) error {
	setDefaults(v)
	faults, whole := decode(data, v)
	if whole {
		faults = append(faults, finish()...)
		faults = append(faults, check(v)...)
	}
	if len(faults) > 0 {
		return &FaultError{What: what, Faults: faults}
	}
	return nil
}

// decode reports whether all known keys were read.
func decode(data []byte, v any) ([]Fault, bool) {
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	err := dec.Decode(v)
	var unknown *toml.StrictMissingError
	var broken *toml.DecodeError
	switch {
	case err == nil:
		return nil, true
	case errors.As(err, &unknown):
		faults := make([]Fault, 0, len(unknown.Errors))
		for _, e := range unknown.Errors {
			faults = append(faults, fault(&e, "unknown key", siblings(v, e.Key())))
		}
		return faults, true
	case errors.As(err, &broken):
		return []Fault{fault(broken, strings.TrimPrefix(broken.Error(), "toml: "), expected(v, broken.Key()))}, false
	default:
		return []Fault{{Problem: err.Error(), Allowed: "TOML"}}, false
	}
}

func fault(e *toml.DecodeError, problem, allowed string) Fault {
	line, _ := e.Position()
	return Fault{Path: strings.Join(e.Key(), "."), Line: line, Problem: problem, Allowed: allowed}
}

// siblings lists the known keys of the table that the key is in.
func siblings(v any, key toml.Key) string {
	parent := ""
	if len(key) > 1 {
		parent = strings.Join(key[:len(key)-1], ".") + "."
	}
	var names []string
	for _, row := range Rows(v) {
		rest, ok := strings.CutPrefix(plain(row.Path), parent)
		name, _, _ := strings.Cut(rest, ".")
		if ok && (len(names) == 0 || names[len(names)-1] != name) {
			names = append(names, name)
		}
	}
	return strings.Join(names, ", ")
}

// expected describes the values that a key takes.
func expected(v any, key toml.Key) string {
	path := strings.Join(key, ".")
	for _, row := range Rows(v) {
		if plain(row.Path) == path {
			return strings.TrimSuffix(row.Type+" "+row.Allowed, " ")
		}
	}
	if path == "" {
		return "TOML"
	}
	return "the keys " + siblings(v, append(key, ""))
}

// plain removes the marks of lists from a path.
func plain(path string) string { return strings.ReplaceAll(path, "[]", "") }
