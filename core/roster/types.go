// Package roster keeps the instance's view of other instances and of targets. The
// view comes from the platform's lagging list and from direct contact; it is a
// hint and nothing that must hold depends on it.
package roster

// State tells whether an instance or target takes new work.
type State string

// States of instances and targets.
const (
	// Live takes new work.
	Live State = "live"
	// Leaving finishes what it has and takes no new work.
	Leaving State = "leaving"
)

// Kind tells what a target is.
type Kind string

// Kinds of targets.
const (
	// ModelEngine generates tokens.
	ModelEngine Kind = "model"
	// PlainService answers calls, some of which are not idempotent.
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
	// Incarnation changes when the target was replaced or restarted.
	Incarnation string `json:"incarnation"`
	Zone        string `json:"zone"`
	Kind        Kind   `json:"kind"`
	Addr        string `json:"addr"`
	State       State  `json:"state"`
	// Models are what an engine serves; empty for a plain service.
	Models []Model `json:"models,omitempty"`
	// Service is the name of a plain service, or of the group that an engine belongs to; empty
	// for an engine that is chosen by its models alone.
	Service string `json:"service,omitempty"`
	// Slots is how many requests may run at once; 0 when the list does not tell.
	Slots int `json:"slots,omitempty"`
}

// Members is the platform's list, some seconds old.
type Members struct {
	Instances []Instance `json:"instances"`
	Targets   []Target   `json:"targets"`
}

// Load is what a target reports of itself, some seconds old.
type Load struct {
	Incarnation string `json:"incarnation"`
	State       State  `json:"state"`
	// Running and Waiting count requests; Capacity is how many may run at once.
	Running  int `json:"running"`
	Waiting  int `json:"waiting"`
	Capacity int `json:"capacity"`
	// CachedPrefixes counts prompt prefixes that the engine holds.
	CachedPrefixes int `json:"cached_prefixes"`
	// AgeMS is the age of the report in milliseconds when it was sent.
	AgeMS int64 `json:"age_ms"`
}
