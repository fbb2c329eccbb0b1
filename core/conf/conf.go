// Package conf implements the published configuration: the template of each organisation, and the fold of the
// configuration stream that determines which template is in force.
//
// Updates use optimistic concurrency control: a change carries the version that it is based on and is accepted only
// while that version is current, so that of two concurrent changes one is refused. A version is the number of records
// in the stream up to and including the one that carried the change; it is therefore never 0 and only increases.
package conf

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"cranberryrail/core/conf/field"
)

// Fault is one validation error of a template.
type Fault = field.Fault

// FaultError lists all validation errors of a template.
type FaultError = field.FaultError

// Policy is the strategy by which an instance obtains its allowance from a budget.
type Policy string

// Allowance policies.
const (
	// Fixed draws chunks of a fixed size.
	Fixed Policy = "fixed"
	// Adaptive draws in proportion to the observed usage and the remaining budget.
	Adaptive Policy = "adaptive"
	// WrittenAhead writes each reservation to the log before the request is dispatched.
	WrittenAhead Policy = "written_ahead"
)

// AnyVersion matches every version when it appears in a list of versions.
const AnyVersion = "*"

// MainBudget is the name of the default budget, which is used by a template that lists no budgets.
const MainBudget = "main"

// Template is the configuration of one organisation.
type Template struct {
	Organisation   string     `toml:"organisation" json:"organisation" allowed:"[a-z0-9-]{1,64}" doc:"Name of the organisation."`
	KeysSHA256     []string   `toml:"keys_sha256" json:"keys_sha256" allowed:"[0-9a-f]{64}" doc:"Hex SHA-256 of a key that callers present."`
	Priority       int        `toml:"priority" json:"priority" default:"5" allowed:"0..9" doc:"Priority of requests that name none; 9 goes first."`
	MaxInFlight    int        `toml:"max_in_flight" json:"max_in_flight" unit:"requests" default:"64" allowed:"1..100000" doc:"Most requests in flight at one instance."`
	MaxTokensLimit int        `toml:"max_tokens_limit" json:"max_tokens_limit" unit:"tokens" default:"8192" allowed:"1..10000000" doc:"Largest max_tokens that a request may ask for."`
	Models         []Model    `toml:"models" json:"models"`
	Services       []string   `toml:"services" json:"services" allowed:"[a-z0-9-]{1,64}" doc:"Plain service that the organisation may call."`
	Shares         []Share    `toml:"shares" json:"shares"`
	Budgets        []Budget   `toml:"budgets" json:"budgets"`
	Allowance      Allowance  `toml:"allowance" json:"allowance"`
	Objectives     Objectives `toml:"objectives" json:"objectives"`
}

// Model is a model that the organisation may use, with the allowed versions.
type Model struct {
	Model    string   `toml:"model" json:"model" allowed:"[A-Za-z0-9._/-]{1,128}" doc:"Model that the organisation may reach."`
	Versions []string `toml:"versions" json:"versions" allowed:"\\*|[A-Za-z0-9._-]{1,64}" doc:"Version that it may reach; * is any, and stands for an empty list."`
}

// Share is the traffic weight of the targets whose id begins with Target.
type Share struct {
	Target string `toml:"target" json:"target" allowed:"[A-Za-z0-9._-]{1,128}" doc:"Beginning of the ids of the targets that share this weight."`
	Weight int    `toml:"weight" json:"weight" allowed:"1..1000" doc:"Part of the traffic in proportion to the other weights."`
}

// Budget is a prepaid budget of the organisation.
type Budget struct {
	Name string `toml:"name" json:"name" allowed:"[a-z0-9-]{1,64}" doc:"Name of a prepaid budget; main when none is given."`
}

// Allowance configures how instances draw from the budgets.
type Allowance struct {
	Policy       Policy  `toml:"policy" json:"policy" default:"adaptive" allowed:"fixed|adaptive|written_ahead" doc:"How an instance obtains its allowance."`
	CoverSeconds int     `toml:"cover_seconds" json:"cover_seconds" unit:"s" default:"900" allowed:"0..86400" doc:"How long an allowance is to last without the log."`
	ChunkTokens  int64   `toml:"chunk_tokens" json:"chunk_tokens" unit:"tokens" default:"20000" allowed:"1..1000000000" doc:"Size of a fixed draw, and the least adaptive one."`
	StrandRatio  float64 `toml:"strand_ratio" json:"strand_ratio" default:"0.05" allowed:"0.0001..1" doc:"Part of what was paid that may be lost with instances that ended without a return; allowances shrink as it is neared."`
}

// Objectives are the service-level objectives that the burn report measures against.
type Objectives struct {
	FirstTokenMS      int     `toml:"first_token_ms" json:"first_token_ms" unit:"ms" default:"990" allowed:"1..600000" doc:"Longest time to the first token."`
	TokenGapMS        int     `toml:"token_gap_ms" json:"token_gap_ms" unit:"ms" default:"28" allowed:"1..600000" doc:"Longest mean time between tokens."`
	TargetRatio       float64 `toml:"target_ratio" json:"target_ratio" default:"0.95" allowed:"0..0.999999" doc:"Part of the answers that keep both times."`
	AvailabilityRatio float64 `toml:"availability_ratio" json:"availability_ratio" default:"0.999" allowed:"0..0.999999" doc:"Part of the requests that are answered whole."`
	FalseRefusalRatio float64 `toml:"false_refusal_ratio" json:"false_refusal_ratio" default:"0.999" allowed:"0..0.999999" doc:"Part of the requests that are not refused while the budget covers them."`
}

// Parse decodes a template, applies the defaults and validates every value. The error is a *FaultError.
func Parse(data []byte) (Template, error) {
	var t Template
	if err := field.Parse("template", data, &t, t.finish); err != nil {
		return Template{}, err
	}
	return t, nil
}

// finish sets the defaults of lists and returns a fault for each duplicate name.
func (t *Template) finish() []Fault {
	if len(t.Budgets) == 0 {
		t.Budgets = []Budget{{Name: MainBudget}}
	}
	models := make([]string, 0, len(t.Models))
	budgets := make([]string, 0, len(t.Budgets))
	shares := make([]string, 0, len(t.Shares))
	for i, m := range t.Models {
		if len(m.Versions) == 0 {
			t.Models[i].Versions = []string{AnyVersion}
		}
		models = append(models, m.Model)
	}
	for _, b := range t.Budgets {
		budgets = append(budgets, b.Name)
	}
	for _, s := range t.Shares {
		shares = append(shares, s.Target)
	}
	return slices.Concat(
		duplicates("keys_sha256[%d]", t.KeysSHA256),
		duplicates("models[%d].model", models),
		duplicates("services[%d]", t.Services),
		duplicates("shares[%d].target", shares),
		duplicates("budgets[%d].name", budgets),
	)
}

func duplicates(path string, names []string) []Fault {
	var faults []Fault
	for i, name := range names {
		if slices.Contains(names[:i], name) {
			faults = append(faults, Fault{
				Path:    fmt.Sprintf(path, i),
				Problem: fmt.Sprintf("%q stands twice", name),
				Allowed: "each name once",
			})
		}
	}
	return faults
}

// Encode returns the template as TOML, with every parameter included.
func (t Template) Encode() ([]byte, error) {
	data, err := toml.Marshal(t)
	if err != nil {
		return nil, fmt.Errorf("encode template of %s: %w", t.Organisation, err)
	}
	return data, nil
}

// Set returns a copy of the template with one parameter changed. The path is dotted, with a list index as one
// element ("shares.0.weight"); value is a TOML value or an unquoted string. The error is a *FaultError when the path
// or value is not allowed.
func (t Template) Set(path, value string) (Template, error) {
	data, err := t.Encode()
	if err != nil {
		return Template{}, err
	}
	var tree map[string]any
	if err := toml.Unmarshal(data, &tree); err != nil {
		return Template{}, fmt.Errorf("decode encoded template of %s: %w", t.Organisation, err)
	}
	if !setAt(tree, strings.Split(path, "."), value) {
		return Template{}, &FaultError{What: "template", Faults: []Fault{{
			Path: path, Problem: "unknown parameter", Allowed: "the path of a parameter that the template has",
		}}}
	}
	if data, err = toml.Marshal(tree); err != nil {
		return Template{}, fmt.Errorf("encode template of %s: %w", t.Organisation, err)
	}
	changed, err := Parse(data)
	var faults *FaultError
	if errors.As(err, &faults) {
		for i := range faults.Faults {
			faults.Faults[i].Line = 0
		}
	}
	return changed, err
}

// setAt replaces the value at the path below node, which must not be empty, and reports whether the path exists. The
// text is parsed as a TOML value. It is used as a string if it is not valid TOML, or would replace a string by a value
// of another type.
func setAt(node any, path []string, value string) bool {
	var child any
	var assign func(any)
	switch n := node.(type) {
	case map[string]any:
		old, ok := n[path[0]]
		if !ok {
			return false
		}
		child, assign = old, func(v any) { n[path[0]] = v }
	case []any:
		i, err := strconv.Atoi(path[0])
		if err != nil || i < 0 || i >= len(n) {
			return false
		}
		child, assign = n[i], func(v any) { n[i] = v }
	default:
		return false
	}
	if len(path) > 1 {
		return setAt(child, path[1:], value)
	}
	assign(parseValue(child, value))
	return true
}

// parseValue parses the TOML value that replaces old; text that is not valid TOML is taken as an unquoted string.
func parseValue(old any, value string) any {
	var doc map[string]any
	err := toml.Unmarshal([]byte("v = "+value), &doc)
	if err != nil || len(doc) != 1 {
		return value
	}
	_, wasString := old.(string)
	_, isString := doc["v"].(string)
	if wasString && !isString {
		return value
	}
	return doc["v"]
}
