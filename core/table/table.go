// Package table holds the configuration that requests are routed by: routes by host and
// path, services, and organisations with their keys and prepaid tokens.
package table

import (
	"slices"
	"strings"
	"time"
)

// Kind tells what a request of a route may be repeated.
type Kind string

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "non_idempotent"
	// Streaming requests are answered by a stream of events. They run at most once, unless the
	// route allows to resume them.
	Streaming Kind = "streaming"
)

// Share is the part of a route's requests that goes to a service.
type Share struct {
	Service string
	Weight  int
}

// Route says how the requests below a path prefix are handled.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// Objective is the time to the answer, or to the first event, that callers are promised.
	Objective time.Duration
	// Gap is the longest pause between two events that callers are promised; 0 for none.
	Gap time.Duration
	// Priority is the rank among routes; 0 goes first.
	Priority int
	Shares   []Share
	// MaxAttempts is the most targets that one request is sent to.
	MaxAttempts int
	// Anonymous requests need no key.
	Anonymous bool
	// Affinity tells that requests carry a prompt and profit from a target that has read it.
	Affinity bool
	// Resumable streams may be continued at another target.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Service is a group of targets that do the same work.
type Service struct {
	Name string
	// EventTokens is the most tokens in one event of a stream; 0 for a plain service.
	EventTokens int
	// Slots is how many requests an engine runs at once; 0 when unknown.
	Slots int
	// MaxConns is the most connections that one target takes from all callers.
	MaxConns int
}

// Organisation is a customer with its keys and its budget.
type Organisation struct {
	Name string
	Keys []string
	// Priority is the rank among organisations; 0 goes first.
	Priority int
	// Prepaid is the number of tokens that were paid for; Unlimited without a budget.
	Prepaid int64
}

// Unlimited is the budget of an organisation that is not bounded by one.
const Unlimited = int64(-1)

// Limits bounds what a caller may send.
type Limits struct {
	// BodyBytes is the largest body of a request.
	BodyBytes int64
}

// Config is one version of the configuration.
type Config struct {
	// Version only goes up.
	Version       int64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}

// Table is a configuration, indexed for look-ups. It does not change once it is made.
type Table struct {
	Config

	byHost    map[string][]*Route
	byKey     map[string]*Organisation
	byService map[string]*Service
}

// New indexes a configuration.
func New(c Config) *Table {
	t := &Table{Config: c, byHost: map[string][]*Route{}, byKey: map[string]*Organisation{}, byService: map[string]*Service{}}
	for i := range c.Routes {
		r := &c.Routes[i]
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

// Route returns the route with the longest prefix of the path at the host, nil for none.
func (t *Table) Route(host, path string) *Route {
	name, _, _ := strings.Cut(strings.ToLower(host), ":")
	for _, r := range t.byHost[name] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Organisation returns the organisation that holds a key, nil for none.
func (t *Table) Organisation(key string) *Organisation { return t.byKey[key] }

// Service returns a service by its name; an unknown one has no known properties.
func (t *Table) Service(name string) Service {
	if s := t.byService[name]; s != nil {
		return *s
	}
	return Service{Name: name}
}
