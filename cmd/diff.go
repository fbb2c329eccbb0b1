package cmd

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"cranberryrail/core/conf"
)

// diff returns the values that differ between a template and another one in TOML, as lines that begin with "- " or
// "+ ". The second template is empty when the organisation is removed. Each value has the dotted path that the
// subcommand set accepts.
func diff(from conf.Template, to string) ([]string, error) {
	before, err := valuesByPath(from)
	if err != nil {
		return nil, err
	}
	after := map[string]string{}
	if to != "" {
		t, err := conf.Parse([]byte(to))
		if err != nil {
			return nil, err
		}
		if after, err = valuesByPath(t); err != nil {
			return nil, err
		}
	}
	paths := maps.Clone(before)
	maps.Copy(paths, after)
	var out []string
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		old, had := before[path]
		value, has := after[path]
		if had && old != value {
			out = append(out, "- "+path+" = "+old)
		}
		if has && old != value {
			out = append(out, "+ "+path+" = "+value)
		}
	}
	return out, nil
}

// valuesByPath returns the values of a template, keyed by dotted path.
func valuesByPath(t conf.Template) (map[string]string, error) {
	data, err := t.Encode()
	if err != nil {
		return nil, err
	}
	var tree map[string]any
	if err := toml.Unmarshal(data, &tree); err != nil {
		return nil, fmt.Errorf("decode template of %s: %w", t.Organisation, err)
	}
	out := map[string]string{}
	flatten(out, "", tree)
	return out, nil
}

func flatten(out map[string]string, path string, node any) {
	switch n := node.(type) {
	case map[string]any:
		for key, child := range n {
			flatten(out, strings.TrimPrefix(path+"."+key, "."), child)
		}
	case []any:
		for i, child := range n {
			flatten(out, fmt.Sprintf("%s.%d", path, i), child)
		}
	case string:
		out[path] = fmt.Sprintf("%q", n)
	default:
		out[path] = fmt.Sprint(n)
	}
}
