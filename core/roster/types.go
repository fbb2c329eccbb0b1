// Package roster keeps the instance's view of other instances and of targets. The view is
// built from the platform's lagging list and from direct contact. It is a hint: no invariant
// depends on it.
package roster

import "time"

// State defines whether an instance or target takes new work.
type State string

// States of instances and targets.
const (
	// Live means that new work is taken.
	Live State = "live"
	// Leaving means that work in progress is finished and no new work is taken.
	Leaving State = "leaving"
)

// Kind is the kind of a target.
type Kind string

// Kinds of targets.
const (
	// ModelEngine generates tokens.
	ModelEngine Kind = "model"
	// PlainService executes calls, some of which are not idempotent.
	PlainService Kind = "service"
)

// Instance is one instance of the fleet as the platform lists it.
type Instance struct {
	ID           string `json:"id"`
	Zone         string `json:"zone"`
	CallerAddr   string `json:"caller_addr"`
	PeerAddr     string `json:"peer_addr"`
	OperatorAddr string `json:"operator_addr"`
	State        State  `json:"state"`
}

// Model is a model and version that an engine serves.
type Model struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

// Target is one model engine or plain service as the platform lists it.
type Target struct {
	ID string `json:"id"`
	// Incarnation changes when the target is replaced or restarted.
	Incarnation string `json:"incarnation"`
	Zone        string `json:"zone"`
	Kind        Kind   `json:"kind"`
	Addr        string `json:"addr"`
	State       State  `json:"state"`
	// Models are the models that an engine serves; empty for a plain service.
	Models []Model `json:"models,omitempty"`
	// Service is the name of a plain service, or of the group that an engine belongs to; empty
	// for an engine that is chosen by its models alone.
	Service string `json:"service,omitempty"`
	// Software is the version of the target's software, not of its models.
	Software string `json:"software,omitempty"`
	// Slots is the number of requests that may run concurrently; 0 if the list does not state it.
	Slots int `json:"slots,omitempty"`
	// FirstSeen is when this instance first saw an entry of the incarnation, and ColdUntil when the target is warm as its entry states; zero if it states that it is warm.
	// ColdUnknown is set if the entry does not state whether it is.
	FirstSeen   time.Time `json:"-"`
	ColdUntil   time.Time `json:"-"`
	ColdUnknown bool      `json:"-"`
}

// Members is the platform's list of instances and targets, which lags by some seconds.
type Members struct {
	Instances []Instance `json:"instances"`
	Targets   []Target   `json:"targets"`
}

// Load is the load that a target reports, which lags by some seconds.
type Load struct {
	Incarnation string `json:"incarnation"`
	State       State  `json:"state"`
	// Running and Waiting count requests; Capacity is the number that may run concurrently.
	Running  int `json:"running"`
	Waiting  int `json:"waiting"`
	Capacity int `json:"capacity"`
	// CachedPrefixes counts the prompt prefixes that the engine has cached.
	CachedPrefixes int `json:"cached_prefixes"`
	// Pace is how long work takes at the target's machine now, as a multiple of the usual time; 0 if it is not stated.
	Pace float64 `json:"pace,omitempty"`
	// RateLimit is the number of requests a second that the target takes from all instances together; nil without a limit.
	RateLimit *float64 `json:"rate_limit,omitempty"`
	// AgeMS is the age of the report in milliseconds when it was sent.
	AgeMS int64 `json:"age_ms"`
}
