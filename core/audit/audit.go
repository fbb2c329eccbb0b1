// Package audit checks a configuration for entries that are wrong, contradictory or without effect, and compares two
// configurations. It reports and never refuses: a configuration with findings still comes into force.
//
// Keys of findings are paths of table.Config in snake case, such as routes[3].shares[0].weight. The adapter of a format
// translates them to the keys of that format. Messages quote names, but never keys of callers.
package audit

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"cranberryrail/core/table"
)

// Severity is the severity of a finding.
type Severity string

// Severities of findings.
const (
	// Error means that requests are not handled as the entry states.
	Error Severity = "error"
	// Warning means that the entry has no effect or is unusual.
	Warning Severity = "warning"
)

// Finding is one problem of a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	// Key is the path of the key.
	Key string `json:"key"`
	// Line is the line of the key in the source, starting at 1; 0 if there is no source.
	Line int `json:"line,omitempty"`
	// Message states the problem, and Effect what follows from it.
	Message string `json:"message"`
	Effect  string `json:"effect,omitempty"`
}

// String formats the finding as one line.
func (f Finding) String() string {
	text := fmt.Sprintf("%s: %s: %s", f.Severity, f.Key, f.Message)
	if f.Effect != "" {
		text += "; " + f.Effect
	}
	return text
}

// Errors returns the number of findings that are errors.
func Errors(findings []Finding) int {
	n := 0
	for _, f := range findings {
		if f.Severity == Error {
			n++
		}
	}
	return n
}

// maxRank is the highest rank, which is the least important; more ranks are not distinguished.
const maxRank = 9

// report collects findings.
type report struct{ findings []Finding }

// String returns the name of the report for logs.
func (r *report) String() string { return "report of findings" }

func (r *report) add(s Severity, key, message, effect string) {
	r.findings = append(r.findings, Finding{Severity: s, Key: key, Message: message, Effect: effect})
}

// Check returns the findings about a configuration, in its order of routes, services, organisations and limits. It takes
// time in proportion to the size of the configuration.
func Check(c table.Config) []Finding {
	r := &report{}
	r.checkRoutes(c)
	r.checkServices(c)
	r.checkOrganisations(c)
	if c.Limits.BodyBytes <= 0 {
		r.add(Warning, "limits.body_bytes", "the maximum size of a body is absent or not positive",
			"only the setting of the instance limits bodies")
	}
	return r.findings
}

// checkName reports a name that is missing or that an earlier entry has.
func (r *report) checkName(first map[string]int, list string, i int, name, effect string) {
	key := fmt.Sprintf("%s[%d].name", list, i)
	if name == "" {
		r.add(Error, key, "the name is missing", "log lines and reports do not identify the entry")
		return
	}
	if earlier, ok := first[name]; ok {
		r.add(Error, key, fmt.Sprintf("the name %q is also that of entry %d", name, earlier), effect)
		return
	}
	first[name] = i
}

// checkRank reports a rank that is out of range.
func (r *report) checkRank(key string, rank int) {
	if rank < 0 || rank > maxRank {
		r.add(Error, key, fmt.Sprintf("the rank %d is out of range; allowed: 0 to %d", rank, maxRank), "the nearest rank in use applies")
	}
}

func (r *report) checkRoutes(c table.Config) {
	services := map[string]struct{}{}
	for _, s := range c.Services {
		services[s.Name] = struct{}{}
	}
	names := map[string]int{}
	paths := map[[2]string]int{}
	for i := range c.Routes {
		route := &c.Routes[i]
		key := fmt.Sprintf("routes[%d]", i)
		r.checkName(names, "routes", i, route.Name, "log lines and reports do not tell the routes apart")
		r.checkPath(key, route)
		path := [2]string{strings.ToLower(route.Host), route.Prefix}
		if earlier, ok := paths[path]; ok {
			r.add(Error, key, fmt.Sprintf("the route %q never matches: route %q (entry %d) has the same host and prefix", route.Name, c.Routes[earlier].Name, earlier),
				"its requests are handled by the earlier route")
		} else {
			paths[path] = i
		}
		r.checkShares(key, route, services)
		r.checkTimes(key, route)
		r.checkAttempts(key, route)
		r.checkRank(key+".rank", route.Rank)
		r.checkHomes(key, route.Homes)
	}
}

func (r *report) checkPath(key string, route *table.Route) {
	switch {
	case route.Host == "":
		r.add(Error, key+".host", "the host is empty", "only requests without a host match the route")
	case strings.Contains(route.Host, ":"):
		r.add(Error, key+".host", fmt.Sprintf("the host %q has a port", route.Host), "the route never matches, since ports of requests are ignored")
	}
	switch prefix := route.Prefix; {
	case prefix == "":
		r.add(Error, key+".prefix", "the prefix is empty", "the route matches every path of its host")
	case !strings.HasPrefix(prefix, "/"):
		r.add(Error, key+".prefix", fmt.Sprintf("the prefix %q does not begin with a slash", prefix), "the route never matches")
	case !strings.HasSuffix(prefix, "/"):
		r.add(Error, key+".prefix", fmt.Sprintf("the prefix %q does not end with a slash", prefix), fmt.Sprintf("the route also matches paths such as %s", prefix+"x"))
	}
	switch route.Kind {
	case table.Idempotent, table.NonIdempotent, table.Streaming:
	default:
		r.add(Error, key+".kind", fmt.Sprintf("the kind %q is unknown; allowed: %s, %s, %s", route.Kind, table.Idempotent, table.NonIdempotent, table.Streaming),
			"requests run at most once")
	}
}

func (r *report) checkShares(key string, route *table.Route, services map[string]struct{}) {
	usable := false
	seen := map[string]struct{}{}
	for j, s := range route.Shares {
		share := fmt.Sprintf("%s.shares[%d]", key, j)
		if _, ok := services[s.Service]; !ok {
			r.add(Error, share+".service", fmt.Sprintf("the service %q is not defined", s.Service), "it is handled as a plain service")
		}
		if _, ok := seen[s.Service]; ok {
			r.add(Warning, share+".service", fmt.Sprintf("the service %q has two shares", s.Service), "the weights are added")
		}
		seen[s.Service] = struct{}{}
		if s.Weight <= 0 {
			r.add(Warning, share+".weight", fmt.Sprintf("the weight of service %q is 0 or negative", s.Service), "the service gets no requests of the route")
		}
		usable = usable || s.Weight > 0
	}
	if !usable {
		r.add(Error, key+".shares", "no service has a positive weight", "all requests of the route are refused")
	}
}

func (r *report) checkTimes(key string, route *table.Route) {
	if route.Timeout <= 0 {
		return // the timeout of the caller or a default applies
	}
	if route.Timeout < route.LatencyObjective {
		r.add(Error, key+".timeout", fmt.Sprintf("the timeout of %v is below the latency objective of %v", route.Timeout, route.LatencyObjective),
			"requests end before the objective is missed")
	}
	if route.GapObjective > route.Timeout {
		r.add(Error, key+".gap_objective", fmt.Sprintf("the objective of %v between events is above the timeout of %v", route.GapObjective, route.Timeout),
			"streams end before the objective is missed")
	}
}

// onlyAfterRejection is the effect of attempts of requests that run at most once.
const onlyAfterRejection = "a request that may have run is not sent again; further attempts only follow the statement of a target that it did not run the request"

func (r *report) checkAttempts(key string, route *table.Route) {
	switch {
	case route.MaxAttempts < 0:
		r.add(Error, key+".max_attempts", fmt.Sprintf("%d attempts are below 1", route.MaxAttempts), "one attempt is made")
	case route.MaxAttempts == 0:
		r.add(Warning, key+".max_attempts", "the number of attempts is absent or below 1", "one attempt is made")
	case route.MaxAttempts > 1 && route.Kind == table.NonIdempotent:
		r.add(Warning, key+".max_attempts", fmt.Sprintf("%d attempts of a route of kind %s", route.MaxAttempts, route.Kind), onlyAfterRejection)
	case route.MaxAttempts > 1 && route.Kind == table.Streaming && !route.Resumable:
		r.add(Warning, key+".max_attempts", fmt.Sprintf("%d attempts of streams that can't be resumed", route.MaxAttempts), onlyAfterRejection)
	}
	if route.Resumable && route.Kind != table.Streaming {
		r.add(Warning, key+".resumable", fmt.Sprintf("a route of kind %q has no streams to resume", route.Kind), "the key has no effect")
	}
}

func (r *report) checkServices(c table.Config) {
	used := map[string]struct{}{}
	for i := range c.Routes {
		for _, s := range c.Routes[i].Shares {
			used[s.Service] = struct{}{}
		}
	}
	names := map[string]int{}
	for i, s := range c.Services {
		key := fmt.Sprintf("services[%d]", i)
		r.checkName(names, "services", i, s.Name, "the last of the entries applies")
		if _, ok := used[s.Name]; !ok {
			r.add(Warning, key, fmt.Sprintf("no route names the service %q", s.Name), "its targets get no requests")
		}
		engine := s.EventTokens > 0
		if engine && s.Slots <= 0 {
			r.add(Warning, key+".slots", "the number of slots of an engine is absent or not positive", "the instance only knows what targets state")
		}
		if s.EventTokens >= table.MaxEventTokens {
			r.add(Error, key+".event_tokens", "the number of tokens in an event of an engine is absent or not positive", "streams are billed at their maximum")
		}
		if engine && s.MaxConns > 0 && s.Slots > s.MaxConns {
			r.add(Warning, key+".max_conns", fmt.Sprintf("fewer connections (%d) than slots (%d)", s.MaxConns, s.Slots), "targets refuse connections while they have free slots")
		}
		r.checkCold(key, &c.Services[i])
	}
}

func (r *report) checkOrganisations(c table.Config) {
	names := map[string]int{}
	owners := map[string]int{}
	for i := range c.Organisations {
		o := &c.Organisations[i]
		key := fmt.Sprintf("organisations[%d]", i)
		r.checkName(names, "organisations", i, o.Name, "the entries share one budget")
		if len(o.Keys) == 0 {
			r.add(Warning, key+".keys", fmt.Sprintf("the organisation %q has no keys", o.Name), "it can't send requests")
		}
		for j, k := range o.Keys {
			r.checkCallerKey(c, owners, fmt.Sprintf("%s.keys[%d]", key, j), i, k)
		}
		if o.Prepaid <= 0 && o.Prepaid != table.Unlimited {
			r.add(Warning, key+".prepaid", fmt.Sprintf("the budget of organisation %q is 0 or negative", o.Name), "its requests that need tokens are refused")
		}
		r.checkRank(key+".rank", o.Rank)
		r.checkHomes(key, o.Homes)
	}
	r.checkHomesTogether(c)
}

// checkCallerKey reports a key that is empty or that another entry has. It doesn't quote the key.
func (r *report) checkCallerKey(c table.Config, owners map[string]int, key string, i int, k string) {
	earlier, ok := owners[k]
	switch {
	case k == "":
		r.add(Error, key, "the key is empty", "no request matches it")
		return
	case ok && earlier == i:
		r.add(Warning, key, "the organisation has the key twice", "none")
	case ok:
		r.add(Error, key, fmt.Sprintf("organisation %q has the same key", c.Organisations[earlier].Name),
			fmt.Sprintf("requests with the key are billed to organisation %q", c.Organisations[i].Name))
	}
	owners[k] = i
}

// Sort orders findings by line and severity; findings of one line and severity keep their order.
func Sort(findings []Finding) {
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Severity, b.Severity))
	})
}
