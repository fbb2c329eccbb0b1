// Package route decides which target serves a request, whether a request may be
// retried, and whether an organisation may start one more request. It holds no
// sockets and never waits: a request is given a target or refused at once.
//
// Table chooses the target, Retries is the retry budget and Limits bounds the
// requests in flight. They are plain structs for one goroutine; Actor holds all
// three behind a mailbox and Client is its typed front.
package route

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"cranberryrail/core/roster"
)

// Policy names a way to choose among the candidates.
type Policy string

// Policies.
const (
	// Random chooses uniformly.
	Random Policy = "random"
	// LeastReported chooses the lowest load as last reported.
	LeastReported Policy = "least_reported"
	// LeastEstimated chooses the lowest load, corrected by what was dispatched and completed since.
	LeastEstimated Policy = "least_estimated"
	// PrefixBounded chooses by rendezvous hash of model and prefix with bounded load. A request
	// without a prefix is placed as by LeastEstimated.
	PrefixBounded Policy = "prefix_bounded"
)

// Defaults of Table.
const (
	// DefaultBound is the load that a target may have for the sake of a prefix, as a multiple
	// of the mean load.
	DefaultBound = 1.25
	// DefaultQueue is the number of waiting requests as a multiple of the capacity.
	DefaultQueue = 1.0
	// DefaultCapacity is assumed of a target that has not reported its own, in requests.
	DefaultCapacity = 8
)

// Bounds of what a Table remembers.
const (
	// ReportKept is the age at which a load report is no longer used.
	ReportKept = 10 * time.Second
	// LeavingKept is the number of leaving incarnations that are remembered.
	LeavingKept = 1024
	// SeenKept is the number of incarnations that are remembered of each target.
	SeenKept = 16
)

// TopPriority is the highest priority; the lowest is 0.
const TopPriority = 9

// Share gives a part of an organisation's traffic to the targets that it matches.
// Empty fields match every target.
type Share struct {
	Version string `json:"version,omitempty"`
	Zone    string `json:"zone,omitempty"`
	// Target is how the ids of the targets begin.
	Target string `json:"target,omitempty"`
	// Weight is the part relative to the other shares; a share of weight 0 is not used.
	Weight int `json:"weight"`
}

// Request describes what a target is chosen for.
type Request struct {
	Organisation string
	// Model and Version are set for an engine; an empty Version means any.
	Model   string
	Version string
	// Service is set for a call to a plain service.
	Service string
	// Prefix is the first bytes of the prompt; empty without affinity.
	Prefix string
	// Zone is preferred among targets of equal load.
	Zone string
	// Priority is from 0 to TopPriority.
	Priority int
	// Only restricts the choice to this incarnation of a target; nil for any.
	Only *roster.Target
	// Avoid holds the ids of targets that were tried; they are used only when there is no other.
	Avoid []string
	// Shares restrict and weigh the targets; empty means all alike.
	Shares []Share
}

// Choice is the target of one dispatch.
type Choice struct {
	Target roster.Target
	// Token names the dispatch for Done.
	Token int64
}

// Table is the view of the targets by which requests are placed. It is not safe for
// concurrent use. Exported fields are set before Default, which is called before
// the other methods.
type Table struct {
	Policy Policy
	// Bound is the multiple of the mean load up to which a prefix keeps its target.
	Bound float64
	// Queue is the number of requests that may wait at a target, as a multiple of its capacity.
	Queue float64
	// Capacity is assumed of a target that has not reported its own.
	Capacity int
	// Instances is the number of instances that place requests on the same targets, this one
	// included. It may be changed at any time.
	Instances int
	// Each is the most requests in flight from this instance to one target; 0 is no limit.
	Each int
	// Seed is the source of random choices.
	Seed uint64
	// Now is the clock.
	Now func() time.Time

	rand       *rand.Rand
	targets    []*target
	byModel    map[string][]*target
	byService  map[string][]*target
	leaving    *simplelru.LRU[string, struct{}]
	dispatches map[int64]dispatch
	lastToken  int64
	service    time.Duration
}

type target struct {
	roster.Target
	hash   uint64
	seen   []string
	load   load
	health health
}

type dispatch struct {
	target      *target
	incarnation string
	epoch       int
	at          time.Time
}

// String names the table for logs.
func (t *Table) String() string { return "routing table, policy " + string(t.Policy) }

// Default fills fields that were left empty.
func (t *Table) Default() {
	if t.Policy == "" {
		t.Policy = PrefixBounded
	}
	if t.Bound == 0 {
		t.Bound = DefaultBound
	}
	t.Bound = max(t.Bound, 1) // below 1 no target might be under its bound
	if t.Queue == 0 {
		t.Queue = DefaultQueue
	}
	if t.Capacity == 0 {
		t.Capacity = DefaultCapacity
	}
	t.Instances = max(t.Instances, 1)
	if t.Now == nil {
		t.Now = time.Now
	}
	if t.rand == nil {
		t.rand = rand.New(rand.NewPCG(t.Seed, 0))
		t.leaving, _ = simplelru.NewLRU[string, struct{}](LeavingKept, nil)
		t.dispatches = map[int64]dispatch{}
		t.service = firstService
	}
}

// SetTargets takes the platform's list, which may be some seconds old. Load and health
// of targets that stay are kept.
func (t *Table) SetTargets(list []roster.Target) {
	next := make([]*target, 0, len(list))
	for _, listed := range list {
		known := t.find(listed.ID)
		if known == nil {
			known = &target{Target: listed, hash: xxhash.Sum64String(listed.ID), seen: []string{listed.Incarnation}}
		}
		if listed.State == roster.Leaving {
			t.Leaving(listed.Incarnation)
		}
		t.adopt(known, listed.Incarnation)
		listed.Incarnation = known.Incarnation
		known.Target = listed
		t.leaving.Get(known.Incarnation) // keeps the mark of a listed target from being evicted
		next = append(next, known)
	}
	slices.SortFunc(next, func(a, b *target) int { return strings.Compare(a.ID, b.ID) })
	t.targets = next
	t.index()
}

// index groups the targets by the models and services that they serve, so that a choice
// looks at those alone.
func (t *Table) index() {
	t.byModel, t.byService = map[string][]*target{}, map[string][]*target{}
	for _, c := range t.targets {
		if c.Service != "" {
			t.byService[c.Service] = append(t.byService[c.Service], c)
		}
		for i, m := range c.Models {
			listed := slices.ContainsFunc(c.Models[:i], func(before roster.Model) bool { return before.Model == m.Model })
			if !listed {
				t.byModel[m.Model] = append(t.byModel[m.Model], c)
			}
		}
	}
}

// Report takes a target's own load report, received at now.
func (t *Table) Report(id string, l roster.Load, now time.Time) {
	if l.State == roster.Leaving {
		t.Leaving(l.Incarnation)
	}
	known := t.find(id)
	if known == nil {
		return
	}
	if l.Incarnation != "" {
		t.adopt(known, l.Incarnation)
		if known.Incarnation != l.Incarnation {
			return
		}
	}
	known.load.report(l, now)
}

// Leaving marks an incarnation as leaving, whichever channel told of it. The mark is
// not taken back; only another incarnation of the target takes new work.
func (t *Table) Leaving(incarnation string) {
	if incarnation != "" {
		t.leaving.Add(incarnation, struct{}{})
	}
}

// LeavingIncarnations returns the marked incarnations in ascending order, to be told to peers.
func (t *Table) LeavingIncarnations() []string {
	return slices.Sorted(slices.Values(t.leaving.Keys()))
}

// Done takes the outcome of a dispatch. A token that is not in flight is ignored.
func (t *Table) Done(token int64, o Outcome) {
	d, ok := t.dispatches[token]
	if !ok {
		return
	}
	delete(t.dispatches, token)
	now := t.Now()
	if o == OK {
		t.service += (now.Sub(d.at) - t.service) / serviceWeight
	}
	if d.incarnation != d.target.Incarnation {
		return
	}
	d.target.load.completed(now, o)
	d.target.health.outcome(now, o, d.epoch)
}

// adopt takes another incarnation of a target. One that was seen before does not come
// back: it is from a list or a report that is out of date.
func (t *Table) adopt(known *target, incarnation string) {
	if incarnation == known.Incarnation {
		return
	}
	if slices.Contains(known.seen, incarnation) {
		return
	}
	known.seen = append(known.seen, incarnation)
	known.seen = known.seen[max(0, len(known.seen)-SeenKept):]
	known.Incarnation = incarnation
	known.load = load{}
	known.health = health{}
}

func (t *Table) find(id string) *target {
	for _, known := range t.targets {
		if known.ID == id {
			return known
		}
	}
	return nil
}
