package audit

import (
	"maps"
	"regexp"
	"slices"
	"strings"

	"cranberryrail/core/conf"
)

// CheckTemplate returns the findings about a valid template of an organisation, with the lines of its keys.
func CheckTemplate(t conf.Template, lines Lines) []Finding {
	r := &report{}
	if len(t.KeysSHA256) == 0 {
		r.add(Warning, "keys_sha256", "the organisation has no keys", "it can't send requests")
	}
	if len(t.Models) == 0 && len(t.Services) == 0 {
		r.add(Warning, "models", "the organisation has neither models nor services", "all its requests are refused")
	}
	for i := range r.findings {
		r.findings[i].Line = lines.Of(r.findings[i].Key)
	}
	Sort(r.findings)
	return r.findings
}

// dottedIndex matches an index of a list in a dotted path.
var dottedIndex = regexp.MustCompile(`\.(\d+)`)

// CompareTemplates returns the changes between the values of two templates by dotted path, with the lines of the later one; removed keys have none.
func CompareTemplates(before, after map[string]string, lines Lines) []Change {
	paths := maps.Clone(before)
	maps.Copy(paths, after)
	var changes []Change
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		from, had := before[path]
		to, has := after[path]
		if had && has && from == to {
			continue
		}
		key := dottedIndex.ReplaceAllString(path, "[$1]")
		c := Change{Difference: Changed, Key: key, Line: lines.Of(key), Before: from, After: to, Effect: templateEffect(path)}
		switch {
		case !had:
			c.Difference = Added
		case !has:
			c.Difference, c.Line = Removed, 1
		}
		if strings.HasPrefix(path, "keys_sha256") {
			c.Before, c.After = "", ""
		}
		changes = append(changes, c)
	}
	return changes
}

// templateEffect returns the effect on callers of a change of a key, by the beginning of its dotted path.
func templateEffect(path string) string {
	section, rest, _ := strings.Cut(path, ".")
	switch section {
	case "organisation":
		return "the template is that of another organisation"
	case "keys_sha256":
		return "requests are accepted with other keys"
	case "priority":
		return "requests that name no priority get the new one; 9 goes first"
	case "max_in_flight":
		return "another number of requests is in flight at once; further ones are refused"
	case "max_tokens_limit":
		return "requests that ask for more tokens are refused"
	case "models", "services":
		return "requests for models or services that are not listed are refused"
	case "shares":
		return "requests are distributed over the targets in other proportions"
	case "budgets":
		return "requests that name a budget that is not listed are refused"
	case "allowance":
		return "instances hold another number of tokens (" + rest + "); fewer requests are refused during outages the more they hold"
	default:
		return "none; reports measure against other objectives"
	}
}
