package field

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Fault is one validation error of a document.
type Fault struct {
	// Path is the dotted path of the key; it is empty if the document is not valid TOML.
	Path string `json:"path"`
	// Line is the line number, starting at 1; it is 0 if only the path is known.
	Line int `json:"line,omitempty"`
	// Problem describes the error.
	Problem string `json:"problem"`
	// Allowed describes the allowed values.
	Allowed string `json:"allowed"`
	// UnknownKey is set if the only problem is that the key is not known; the rest of the document was decoded.
	UnknownKey bool `json:"-"`
}

// String formats the fault as one line.
func (f Fault) String() string {
	where := f.Path
	if f.Line > 0 {
		where = strings.TrimSpace(fmt.Sprintf("%s (line %d)", where, f.Line))
	}
	return fmt.Sprintf("%s: %s; allowed: %s", where, f.Problem, f.Allowed)
}

// FaultError lists all faults of a document.
type FaultError struct {
	// What is the name of the document.
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

// Parse sets the defaults of the struct that v points to, decodes the TOML data into it, calls finish and validates
// every value. If a value can't be decoded, it stops after decoding. The finish function, which must not be nil, sets
// defaults that tags can't express and returns the faults that involve several keys. The error is a *FaultError.
func Parse(what string, data []byte, v any, finish func() []Fault) error {
	setDefaults(v)
	faults, decoded := decode(data, v)
	if decoded {
		faults = append(faults, finish()...)
		faults = append(faults, checkAllowed(v)...)
	}
	if len(faults) > 0 {
		return &FaultError{What: what, Faults: faults}
	}
	return nil
}

// wrongType begins the error of a value of a wrong type.
const wrongType = "cannot decode TOML "

// decode decodes data into v and reports whether all known keys were decoded.
func decode(data []byte, v any) ([]Fault, bool) {
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	err := dec.Decode(v)
	var unknownKeys *toml.StrictMissingError
	var decodeErr *toml.DecodeError
	switch {
	case err == nil:
		return nil, true
	case errors.As(err, &unknownKeys):
		faults := make([]Fault, 0, len(unknownKeys.Errors))
		for _, e := range unknownKeys.Errors {
			fault := newFault(&e, "unknown key", siblingKeys(v, e.Key()))
			fault.UnknownKey = true
			faults = append(faults, fault)
		}
		return faults, true
	case errors.As(err, &decodeErr):
		problem := strings.TrimPrefix(decodeErr.Error(), "toml: ")
		if strings.HasPrefix(problem, wrongType) {
			problem, _, _ = strings.Cut(problem, " into ") // a type and a field of Go follow
		}
		return []Fault{newFault(decodeErr, problem, expectedValue(v, decodeErr.Key()))}, false
	default:
		return []Fault{{Problem: err.Error(), Allowed: "TOML"}}, false
	}
}

func newFault(e *toml.DecodeError, problem, allowed string) Fault {
	line, _ := e.Position()
	return Fault{Path: strings.Join(e.Key(), "."), Line: line, Problem: problem, Allowed: allowed}
}

// siblingKeys lists the known keys of the table that contains the key.
func siblingKeys(v any, key toml.Key) string {
	parent := ""
	if len(key) > 1 {
		parent = strings.Join(key[:len(key)-1], ".") + "."
	}
	var names []string
	for _, spec := range KeySpecs(v) {
		rest, ok := strings.CutPrefix(withoutListMarks(spec.Path), parent)
		name, _, _ := strings.Cut(rest, ".")
		if ok && (len(names) == 0 || names[len(names)-1] != name) {
			names = append(names, name)
		}
	}
	return strings.Join(names, ", ")
}

// expectedValue describes the allowed values of a key.
func expectedValue(v any, key toml.Key) string {
	path := strings.Join(key, ".")
	for _, spec := range KeySpecs(v) {
		if withoutListMarks(spec.Path) == path {
			return strings.TrimSuffix(spec.Type+" "+spec.Allowed, " ")
		}
	}
	if path == "" {
		return "TOML"
	}
	return "the keys " + siblingKeys(v, append(key, ""))
}

// withoutListMarks removes the list markers "[]" from a path.
func withoutListMarks(path string) string { return strings.ReplaceAll(path, "[]", "") }
