// Package table holds the configuration that requests are routed by: routes by host and
// path, services, and organisations with their keys and prepaid tokens.
package table

import (
	"slices"
	"strings"
	"time"
)

// Kind determines whether requests of a route may be retried.
type Kind string

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "non_idempotent"
	// Streaming requests receive a stream of events as response. They run at most once, unless the
	// route is resumable.
	Streaming Kind = "streaming"
)

// Share is the part of a route's requests that is sent to a service.
type Share struct {
	Service string
	Weight  int
}

// Route defines how the requests below a path prefix are handled.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may wait.
	Timeout time.Duration
	// LatencyObjective is the latency objective for the response, or for the first event of a stream.
	LatencyObjective time.Duration
	// GapObjective is the objective for the longest pause between two events; 0 for none.
	GapObjective time.Duration
	// Rank is the position among the routes; 0 is the most important.
	Rank   int
	Shares []Share
	// MaxAttempts is the maximum number of targets that one request is sent to.
	MaxAttempts int
	// Anonymous permits requests without a key.
	Anonymous bool
	// Affinity indicates that requests carry a prompt and benefit from a target that has already processed it.
	Affinity bool
	// Resumable permits resuming streams at another target.
	Resumable bool
	// Homes are the regions in which requests may be processed; empty for all.
	Homes []string
}

// Includes reports whether requests of the route may go to a service.
func (r *Route) Includes(service string) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service && s.Weight > 0 })
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Service is a group of interchangeable targets.
type Service struct {
	Name string
	// EventTokens is the maximum number of tokens in one event of a stream; 0 for a plain service.
	EventTokens int
	// Slots is the number of requests that an engine runs concurrently; 0 when unknown.
	Slots int
	// MaxConns is the maximum number of connections that one target accepts from all callers.
	MaxConns int
	// ColdStart is how long a target is cold after its start, and ColdPerSecond the number of requests a second that a cold one bears; 0 without a limit.
	ColdStart     time.Duration
	ColdPerSecond float64
}

// Organisation is a customer with its keys and its budget.
type Organisation struct {
	Name string
	Keys []string
	// Rank is the position among the organisations; 0 is the most important.
	Rank int
	// Prepaid is the number of prepaid tokens; Unlimited without a budget.
	Prepaid int64
	// Homes are the regions in which requests may be processed; empty for all.
	Homes []string
}

// Unlimited is the budget of an organisation without a limit.
const Unlimited = int64(-1)

// Limits bounds what a caller may send.
type Limits struct {
	// BodyBytes is the maximum size of a request body.
	BodyBytes int64
}

// Config is one version of the configuration.
type Config struct {
	// Version increases monotonically.
	Version       int64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}

// Table is an immutable configuration that is indexed for lookups.
type Table struct {
	Config

	byHost    map[string][]*Route
	byKey     map[string]*Organisation
	byService map[string]*Service
	// routed holds the services that a route may lead to.
	routed map[string]struct{}
}

// New returns the indexed table of a configuration.
func New(c Config) *Table {
	t := &Table{Config: c, byHost: map[string][]*Route{}, byKey: map[string]*Organisation{}, byService: map[string]*Service{}, routed: map[string]struct{}{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		for _, s := range r.Shares {
			t.routed[s.Service] = struct{}{}
		}
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range c.Organisations {
		o := &c.Organisations[i]
		for _, key := range o.Keys {
			t.byKey[key] = o
		}
	}
	for i := range c.Services {
		t.byService[c.Services[i].Name] = &c.Services[i]
	}
	return t
}

// Route returns the route of the host with the longest matching path prefix, or nil if there is none.
func (t *Table) Route(host, path string) *Route {
	name, _, _ := strings.Cut(strings.ToLower(host), ":")
	for _, r := range t.byHost[name] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// LeadsTo reports whether a route may lead to a service.
func (t *Table) LeadsTo(service string) bool {
	_, ok := t.routed[service]
	return ok
}

// Organisation returns the organisation that a key belongs to, or nil if there is none.
func (t *Table) Organisation(key string) *Organisation { return t.byKey[key] }

// Service returns a service by name. For an unknown one, only the name is set.
func (t *Table) Service(name string) Service {
	if s := t.byService[name]; s != nil {
		return *s
	}
	return Service{Name: name}
}
