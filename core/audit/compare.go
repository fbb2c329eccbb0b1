package audit

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"cranberryrail/core/table"
)

// Difference is the kind of a change.
type Difference string

// Kinds of changes.
const (
	Added   Difference = "added"
	Removed Difference = "removed"
	Moved   Difference = "moved"
	Changed Difference = "changed"
)

// Change is one difference between two configurations.
type Change struct {
	Difference Difference `json:"difference"`
	// Key is the path of the key, in the earlier configuration if the entry was removed.
	Key string `json:"key"`
	// Line is the line of the key in its source, starting at 1; 0 if there is no source.
	Line int `json:"line,omitempty"`
	// Name is the name of the entry.
	Name string `json:"name,omitempty"`
	// Before and After are the values of a changed key, and the positions of a moved entry.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
	// Effect is the effect on callers.
	Effect string `json:"effect"`
}

// String formats the change as one line.
func (c Change) String() string {
	text := fmt.Sprintf("%s: %s", c.Difference, c.Key)
	if c.Name != "" {
		text += fmt.Sprintf(" (%q)", c.Name)
	}
	if c.Before != "" || c.After != "" {
		text += fmt.Sprintf(": %s -> %s", c.Before, c.After)
	}
	return text + "; " + c.Effect
}

// attribute is one key of an entry. The effect may depend on the values before and after.
type attribute[T any] struct {
	key string
	// value returns a comparable value.
	value  func(e *T) any
	effect func(before, after *T) string
}

// list is one of the lists of a configuration.
type list[T any] struct {
	key string
	// name returns the name of an entry, which identifies it in both configurations.
	name func(e *T) string
	// attributes are the keys with one value that are compared.
	attributes []attribute[T]
	// added, removed and moved are the effects of such changes.
	added, removed func(e *T) string
	moved          string
}

// always returns an effect that does not depend on the values.
func always[T any](text string) func(_, _ *T) string { return func(_, _ *T) string { return text } }

// Compare returns the changes from a configuration to a later one.
func Compare(before, after table.Config) []Change {
	var changes []Change
	changes = compareLists(changes, routes(), before.Routes, after.Routes)
	changes = compareLists(changes, services(), before.Services, after.Services)
	changes = compareLists(changes, organisations(), before.Organisations, after.Organisations)
	changes = append(changes, movedKeys(before.Organisations, after.Organisations)...)
	if before.Limits != after.Limits {
		changes = append(changes, Change{
			Difference: Changed, Key: "limits.body_bytes", Before: describe(before.Limits.BodyBytes), After: describe(after.Limits.BodyBytes),
			Effect: "requests with a larger body are refused; 0 leaves the limit to the settings",
		})
	}
	return changes
}

// CheckVersion returns a finding if a configuration would not replace the one in force.
func CheckVersion(inForce, c table.Config, changes []Change) []Finding {
	const effect = "instances ignore the configuration"
	switch {
	case c.Version < inForce.Version:
		return []Finding{{Severity: Error, Key: "version", Message: fmt.Sprintf("the version %d is lower than version %d, which is in force", c.Version, inForce.Version), Effect: effect}}
	case c.Version == inForce.Version && len(changes) > 0:
		return []Finding{{Severity: Error, Key: "version", Message: fmt.Sprintf("the version %d is in force with another content", c.Version), Effect: effect}}
	default:
		return nil
	}
}

// description is a value that is not quoted.
type description string

// describe formats a value for a change.
func describe(v any) string {
	switch v := v.(type) {
	case string:
		return fmt.Sprintf("%q", v)
	case table.Kind:
		return fmt.Sprintf("%q", string(v))
	case time.Duration:
		return v.String()
	default:
		return fmt.Sprint(v)
	}
}

// identity identifies an entry by its name and the number of earlier entries with the same name.
type identity struct {
	name   string
	repeat int
}

// positions returns the identities of the entries in order, and the position of each.
func positions[T any](entries []T, name func(e *T) string) ([]identity, map[identity]int) {
	repeats := map[string]int{}
	ids := make([]identity, 0, len(entries))
	at := make(map[identity]int, len(entries))
	for i := range entries {
		n := name(&entries[i])
		id := identity{n, repeats[n]}
		repeats[n]++
		ids = append(ids, id)
		at[id] = i
	}
	return ids, at
}

func compareLists[T any](changes []Change, l list[T], before, after []T) []Change {
	beforeIDs, beforeAt := positions(before, l.name)
	afterIDs, afterAt := positions(after, l.name)
	for i, id := range beforeIDs {
		if _, kept := afterAt[id]; !kept {
			changes = append(changes, Change{Difference: Removed, Key: fmt.Sprintf("%s[%d]", l.key, i), Name: id.name, Effect: l.removed(&before[i])})
		}
	}
	stays := inOrder(afterIDs, beforeAt)
	for i, id := range afterIDs {
		key := fmt.Sprintf("%s[%d]", l.key, i)
		was, kept := beforeAt[id]
		if !kept {
			changes = append(changes, Change{Difference: Added, Key: key, Name: id.name, Effect: l.added(&after[i])})
			continue
		}
		if !stays[i] {
			changes = append(changes, Change{Difference: Moved, Key: key, Name: id.name, Before: fmt.Sprint(was), After: fmt.Sprint(i), Effect: l.moved})
		}
		for _, a := range l.attributes {
			if from, to := a.value(&before[was]), a.value(&after[i]); from != to {
				changes = append(changes, Change{Difference: Changed, Key: key + "." + a.key, Name: id.name, Before: describe(from), After: describe(to), Effect: a.effect(&before[was], &after[i])})
			}
		}
	}
	return changes
}

// inOrder reports which entries are part of a longest sequence that has the same order before and after. The others were moved.
func inOrder(after []identity, before map[identity]int) map[int]bool {
	// ends holds the indexes of the entries that end the increasing sequences of each length, and previous the entry before each.
	var ends []int
	previous := make([]int, len(after))
	for i, id := range after {
		was, kept := before[id]
		if !kept {
			continue
		}
		n := sort.Search(len(ends), func(n int) bool { return before[after[ends[n]]] >= was })
		previous[i] = -1
		if n > 0 {
			previous[i] = ends[n-1]
		}
		if n == len(ends) {
			ends = append(ends, i)
		} else {
			ends[n] = i
		}
	}
	stays := map[int]bool{}
	if len(ends) > 0 {
		for i := ends[len(ends)-1]; i >= 0; i = previous[i] {
			stays[i] = true
		}
	}
	return stays
}

// movedKeys returns the keys of callers that were added, removed or moved to another organisation. It doesn't quote them.
func movedKeys(before, after []table.Organisation) []Change {
	owner := func(organisations []table.Organisation) map[string]string {
		owners := map[string]string{}
		for i := range organisations {
			for _, k := range organisations[i].Keys {
				owners[k] = organisations[i].Name
			}
		}
		return owners
	}
	was, is := owner(before), owner(after)
	var changes []Change
	for i := range before {
		for j, k := range before[i].Keys {
			if _, kept := is[k]; !kept {
				changes = append(changes, Change{
					Difference: Removed, Key: fmt.Sprintf("organisations[%d].keys[%d]", i, j), Name: before[i].Name, Effect: "requests with the key are refused, except on anonymous routes",
				})
			}
		}
	}
	for i := range after {
		for j, k := range after[i].Keys {
			c := Change{Key: fmt.Sprintf("organisations[%d].keys[%d]", i, j), Name: after[i].Name}
			earlier, known := was[k]
			switch {
			case !known:
				c.Difference, c.Effect = Added, fmt.Sprintf("requests with the key are billed to organisation %q", is[k])
			case earlier != is[k] && is[k] == after[i].Name:
				c.Difference, c.Before, c.After = Moved, describe(earlier), describe(is[k])
				c.Effect = fmt.Sprintf("requests with the key are billed to organisation %q instead of %q", is[k], earlier)
			default:
				continue
			}
			changes = append(changes, c)
		}
	}
	return changes
}

func routes() list[table.Route] {
	type route = table.Route
	return list[route]{
		key:  "routes",
		name: func(r *route) string { return r.Name },
		added: func(r *route) string {
			return fmt.Sprintf("requests to %s%s are handled by the route", r.Host, r.Prefix)
		},
		removed: func(r *route) string {
			return fmt.Sprintf("requests to %s%s are handled by a route with a shorter prefix or refused", r.Host, r.Prefix)
		},
		moved: "none, unless another route has the same host and prefix",
		attributes: []attribute[route]{
			{"host", func(r *route) any { return r.Host }, pathEffect},
			{"prefix", func(r *route) any { return r.Prefix }, pathEffect},
			{"kind", func(r *route) any { return r.Kind }, repeatEffect},
			{"timeout", func(r *route) any { return r.Timeout }, func(a, b *route) string {
				return longer(b.Timeout, a.Timeout, b.Timeout == 0, "requests may wait longer", "requests end earlier")
			}},
			{"latency_objective", func(r *route) any { return r.LatencyObjective }, func(a, b *route) string {
				return longer(b.LatencyObjective, a.LatencyObjective, false, "silent targets are noticed later", "silent targets are noticed earlier")
			}},
			{"gap_objective", func(r *route) any { return r.GapObjective }, func(a, b *route) string {
				return longer(b.GapObjective, a.GapObjective, b.GapObjective == 0, "longer pauses of streams are accepted", "streams with long pauses are continued at other targets earlier")
			}},
			{"rank", func(r *route) any { return r.Rank }, always[route]("the priority of requests changes; 0 is the most important")},
			{"shares", func(r *route) any { return describeShares(r.Shares) }, always[route]("requests are distributed in these proportions")},
			{"max_attempts", func(r *route) any { return r.MaxAttempts }, func(a, b *route) string {
				return longer(b.MaxAttempts, a.MaxAttempts, false, "failed requests may be tried at more targets", "failed requests are tried at fewer targets")
			}},
			{"anonymous", func(r *route) any { return r.Anonymous }, func(_, b *route) string {
				return pick(b.Anonymous, "requests without a key are accepted", "requests without a key are refused")
			}},
			{"affinity", func(r *route) any { return r.Affinity }, func(_, b *route) string {
				return pick(b.Affinity, "targets that have read a prompt are preferred", "targets are chosen regardless of prompts they have read")
			}},
			{"resumable", func(r *route) any { return r.Resumable }, repeatEffect},
			{"homes", func(r *route) any { return describeHomes(r.Homes) }, always[route]("requests are processed in these regions only")},
		},
	}
}

func pathEffect(before, after *table.Route) string {
	return fmt.Sprintf("the route handles requests to %s%s and no longer those to %s%s", after.Host, after.Prefix, before.Host, before.Prefix)
}

func repeatEffect(_, after *table.Route) string {
	return pick(after.Retryable(), "requests may run more than once", "requests run at most once")
}

func services() list[table.Service] {
	type service = table.Service
	return list[service]{
		key:     "services",
		name:    func(s *service) string { return s.Name },
		added:   func(*service) string { return "none, unless a route names the service" },
		removed: func(*service) string { return "none, unless a route names the service" },
		moved:   "none",
		attributes: []attribute[service]{
			{"event_tokens", func(s *service) any { return s.EventTokens }, always[service]("another number of tokens is billed for each event of a stream")},
			{"slots", func(s *service) any { return s.Slots }, always[service]("none; targets state their slots")},
			{"max_conns", func(s *service) any { return s.MaxConns }, always[service]("targets accept another number of connections")},
			{"cold_start", func(s *service) any { return s.ColdStart }, always[service]("targets that do not state how long they are cold count as cold for another time after a start")},
			{"cold_per_second", func(s *service) any { return s.ColdPerSecond }, func(a, b *service) string {
				return longer(b.ColdPerSecond, a.ColdPerSecond, b.ColdPerSecond == 0, "cold targets get more requests", "cold targets get fewer requests")
			}},
		},
	}
}

func organisations() list[table.Organisation] {
	type organisation = table.Organisation
	return list[organisation]{
		key:   "organisations",
		name:  func(o *organisation) string { return o.Name },
		added: func(*organisation) string { return "requests with its keys are accepted" },
		removed: func(*organisation) string {
			return "requests with its keys are refused, except on anonymous routes"
		},
		moved: "none, unless another organisation has the same key",
		attributes: []attribute[organisation]{
			{"rank", func(o *organisation) any { return o.Rank }, always[organisation]("the priority of its requests changes; 0 is the most important")},
			{"prepaid", func(o *organisation) any { return describePrepaid(o.Prepaid) }, func(a, b *organisation) string {
				return longer(b.Prepaid, a.Prepaid, b.Prepaid == table.Unlimited, "the organisation may spend more tokens", "the organisation may spend fewer tokens; it is refused if it has spent them")
			}},
			{"homes", func(o *organisation) any { return describeHomes(o.Homes) }, always[organisation]("its requests are processed in these regions only")},
		},
	}
}

// describeHomes formats the regions of a route or an organisation.
func describeHomes(homes []string) any {
	if len(homes) == 0 {
		return description("all")
	}
	sorted := slices.Clone(homes)
	slices.Sort(sorted)
	return description(fmt.Sprint(sorted))
}

// describePrepaid formats a budget.
func describePrepaid(tokens int64) any {
	if tokens == table.Unlimited {
		return description("unlimited")
	}
	return tokens
}

// describeShares formats the shares of a route, in the order of their services.
func describeShares(shares []table.Share) description {
	parts := make([]string, 0, len(shares))
	total := 0
	for _, s := range shares {
		total += s.Weight
	}
	for _, s := range shares {
		parts = append(parts, fmt.Sprintf("%s %.4g%%", s.Service, 100*float64(s.Weight)/float64(max(total, 1))))
	}
	slices.Sort(parts)
	return description(fmt.Sprint(parts))
}

// longer returns the first text if the value after is greater than before or unlimited, otherwise the second.
func longer[V int | int64 | float64 | time.Duration](after, before V, unlimited bool, more, less string) string {
	return pick(after > before || unlimited, more, less)
}

func pick(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}
