// Package route selects the target of a request, and decides whether a request may be
// retried and whether an organisation may start another request. It performs no
// I/O and never blocks: a request is assigned a target or refused at once.
//
// Balancer selects the target, Retries is the retry budget and Limits bounds the
// requests in flight. They are plain structs for use by one goroutine; Actor serialises
// access to all three through its mailbox and Client is its typed API.
package route

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"cranberryrail/core/cost"
	"cranberryrail/core/rate"
	"cranberryrail/core/roster"
	"cranberryrail/core/zones"
)

// Policy selects how a target is chosen among the candidates.
type Policy string

// Policies.
const (
	// Random chooses uniformly at random.
	Random Policy = "random"
	// LeastReported chooses the target with the lowest load as last reported.
	LeastReported Policy = "least_reported"
	// LeastEstimated chooses the target with the lowest reported load, corrected by the dispatches and completions
	// since the report.
	LeastEstimated Policy = "least_estimated"
	// PrefixBounded chooses by rendezvous hashing of model and prefix with bounded loads. A request
	// without a prefix is placed as by LeastEstimated.
	PrefixBounded Policy = "prefix_bounded"
	// LeastWork chooses the target with the shortest expected time to the first event among a few random ones and the one that PrefixBounded
	// chooses. It chooses as PrefixBounded until enough was observed.
	LeastWork Policy = "least_work"
)

// Defaults of Balancer.
const (
	// DefaultBound is the load up to which requests with the same prefix are sent to one target, as a multiple
	// of the mean load.
	DefaultBound = 1.25
	// DefaultQueue is the length of a target's queue as a multiple of its capacity.
	DefaultQueue = 1.0
	// DefaultCapacity is the assumed capacity of a target that has not reported one, in requests.
	DefaultCapacity = 8
)

// Bounds of the state of a Balancer.
const (
	// ReportMaxAge is the age from which on a load report is no longer used.
	ReportMaxAge = 10 * time.Second
	// MaxLeavingIncarnations is the maximum number of leaving incarnations that are kept.
	MaxLeavingIncarnations = 1024
	// MaxSeenIncarnations is the maximum number of incarnations that are kept for each target.
	MaxSeenIncarnations = 16
)

// TopPriority is the highest priority; the lowest is 0.
const TopPriority = 9

// Share assigns a part of an organisation's traffic to the targets that it matches.
// Empty fields match every target.
type Share struct {
	Version string `json:"version,omitempty"`
	Zone    string `json:"zone,omitempty"`
	// Target is the prefix of the ids of the targets.
	Target string `json:"target,omitempty"`
	// Weight is relative to the other shares; a share of weight 0 is not used.
	Weight int `json:"weight"`
}

// Request describes the request that a target is chosen for.
type Request struct {
	Organisation string
	// Model and Version are set for an engine; an empty Version means any.
	Model   string
	Version string
	// Service is set for a call to a plain service.
	Service string
	// Software restricts the choice to targets with this software version; empty for any.
	Software string
	// Prefix identifies the beginning of the prompt, by its id or by its text, for prefix affinity; empty without
	// affinity.
	Prefix string
	// Zone is preferred among targets of equal load.
	Zone string
	// Priority ranges from 0 to TopPriority.
	Priority int
	// Only restricts the choice to this incarnation of a target; nil for any.
	Only *roster.Target
	// Avoid holds the ids of targets that were already tried; they are used only when there is no other.
	Avoid []string
	// Shares restrict and weight the targets; empty means all targets with equal weight.
	Shares []Share
	// Homes are the regions in which the request may be processed; nil for all.
	Homes zones.Homes
	// Work is what is known of the work of the request, for LeastWork; nil if nothing is.
	Work *cost.Request
}

// Choice is the target of one dispatch.
type Choice struct {
	Target roster.Target
	// DispatchID identifies the dispatch in Done.
	DispatchID int64
	// Expected is what LeastWork expects of the dispatch; nil with other policies.
	Expected *Expected
}

// Balancer holds the state of the targets that requests are assigned to. It is not safe for
// concurrent use. Exported fields must be set before Default, which must be called before
// the other methods.
type Balancer struct {
	Policy Policy
	// Bound is the load up to which a prefix keeps its target, as a multiple of the mean load.
	Bound float64
	// Queue is the number of requests that may wait at a target, as a multiple of its capacity.
	Queue float64
	// Capacity is the assumed capacity of a target that has not reported one.
	Capacity int
	// Instances is the number of instances that place requests on the same targets, this one
	// included. It may be changed at any time.
	Instances int
	// MaxInFlightPerTarget is the maximum number of requests in flight from this instance to one target; 0 means no
	// limit.
	MaxInFlightPerTarget int
	// Regions maps availability zones to regions, for requests with homes.
	Regions zones.Regions
	// Rates decides when a request may be sent to a target that has named a rate limit, or is cold; optional.
	// PacedOnly restricts LeastWork to requests for which a target has stated its pace; others are placed as by PrefixBounded.
	PacedOnly bool
	// Sample is the number of random targets that LeastWork compares.
	Sample int
	// Rates decides when a request may be sent to a target that has named a rate limit; optional.
	Rates *rate.Tracker
	// Seed seeds the random number generator.
	Seed uint64
	// Now returns the current time.
	Now func() time.Time

	rand      *rand.Rand
	targets   []*target
	byModel   map[string][]*target
	byService map[string][]*target
	// evacuated holds the zones whose targets get no new request.
	evacuated       map[string]struct{}
	leaving         *simplelru.LRU[string, struct{}]
	dispatches      map[int64]dispatch
	lastDispatchID  int64
	meanServiceTime time.Duration
	// costs and work are set with LeastWork.
	costs *cost.Model
	work  *cost.Ledger
	// occupied is the fraction of slots in use by service and model.
	occupied map[string]float64
	// own and fleet are the hashes of the ids of this and of all instances that share brittle targets.
	own   uint64
	fleet []uint64
	// settledAt is when all others know of this instance if it joined the fleet; zero if it did not.
	settledAt time.Time
}

type target struct {
	roster.Target
	hash             uint64
	seenIncarnations []string
	load             load
	health           health
	brittle          brittleness
	// rank is the rank of this instance among all for a brittle target, once ranked is set.
	rank   int
	ranked bool
	// pausedUntil is until when the target wants no requests from this instance.
	pausedUntil time.Time
}

type dispatch struct {
	target      *target
	incarnation string
	epoch       int
	at          time.Time
	// course is set with LeastWork.
	course *course
}

// String returns the name of the balancer for logs.
func (b *Balancer) String() string { return "load balancer, policy " + string(b.Policy) }

// Default sets the defaults of empty fields.
func (b *Balancer) Default() {
	if b.Policy == "" {
		b.Policy = PrefixBounded
	}
	if b.Bound == 0 {
		b.Bound = DefaultBound
	}
	b.Bound = max(b.Bound, 1) // With a bound below 1, every target may be at its bound.
	if b.Queue == 0 {
		b.Queue = DefaultQueue
	}
	if b.Capacity == 0 {
		b.Capacity = DefaultCapacity
	}
	b.Instances = max(b.Instances, 1)
	if b.Now == nil {
		b.Now = time.Now
	}
	b.initWork()
	if b.rand == nil {
		b.rand = rand.New(rand.NewPCG(b.Seed, 0))
		b.leaving, _ = simplelru.NewLRU[string, struct{}](MaxLeavingIncarnations, nil)
		b.dispatches = map[int64]dispatch{}
		b.meanServiceTime = initialServiceTime
	}
}

// SetTargets replaces the targets by the platform's list, which may be some seconds old. Load and health
// of targets that remain are kept.
func (b *Balancer) SetTargets(list []roster.Target) {
	next := make([]*target, 0, len(list))
	for _, listed := range list {
		entry := b.targetByID(listed.ID)
		if entry == nil {
			entry = &target{Target: listed, hash: xxhash.Sum64String(listed.ID), seenIncarnations: []string{listed.Incarnation}}
		}
		if listed.State == roster.Leaving {
			b.MarkLeaving(listed.Incarnation)
		}
		b.setIncarnation(entry, listed.Incarnation)
		listed.Incarnation = entry.Incarnation
		entry.Target = listed
		// Get marks the incarnation as recently used, so that the mark of a listed target is not evicted.
		b.leaving.Get(entry.Incarnation)
		next = append(next, entry)
	}
	slices.SortFunc(next, func(a, b *target) int { return strings.Compare(a.ID, b.ID) })
	b.targets = next
	b.buildIndex()
	clear(b.occupied)
}

// buildIndex groups the targets by the models and services that they serve, so that Pick
// considers only those.
func (b *Balancer) buildIndex() {
	b.byModel, b.byService = map[string][]*target{}, map[string][]*target{}
	for _, c := range b.targets {
		if c.Service != "" {
			b.byService[c.Service] = append(b.byService[c.Service], c)
		}
		for i, m := range c.Models {
			indexed := slices.ContainsFunc(c.Models[:i], func(earlier roster.Model) bool { return earlier.Model == m.Model })
			if !indexed {
				b.byModel[m.Model] = append(b.byModel[m.Model], c)
			}
		}
	}
}

// Report applies the load report of a target, received at now.
func (b *Balancer) Report(id string, l roster.Load, now time.Time) {
	if l.State == roster.Leaving {
		b.MarkLeaving(l.Incarnation)
	}
	entry := b.targetByID(id)
	if entry == nil {
		return
	}
	if l.Incarnation != "" {
		b.setIncarnation(entry, l.Incarnation)
		if entry.Incarnation != l.Incarnation {
			return
		}
	}
	entry.load.applyReport(l, now)
	if b.work != nil {
		b.work.Report(id, entry.Service, l)
	}
}

// MarkLeaving marks an incarnation as leaving, whichever channel reported it. The mark is
// permanent; only another incarnation of the target receives new work.
func (b *Balancer) MarkLeaving(incarnation string) {
	if incarnation != "" {
		b.leaving.Add(incarnation, struct{}{})
	}
}

// Pause excludes an incarnation of a target from the choice for a time, at the target's own request. A
// shorter pause does not end an earlier one.
func (b *Balancer) Pause(id, incarnation string, pause time.Duration) {
	entry := b.targetByID(id)
	if entry == nil || entry.Incarnation != incarnation {
		return
	}
	if until := b.Now().Add(pause); until.After(entry.pausedUntil) {
		entry.pausedUntil = until
	}
}

// Readmit ends the ejections of all targets of a service, after this instance had no path to any of them.
func (b *Balancer) Readmit(service string) {
	for _, c := range b.byService[service] {
		c.health = health{epoch: c.health.epoch + 1}
	}
}

// LeavingIncarnations returns the incarnations that are marked as leaving in ascending order, to be sent to peers.
func (b *Balancer) LeavingIncarnations() []string {
	return slices.Sorted(slices.Values(b.leaving.Keys()))
}

// Done records the outcome of a dispatch. The id of a dispatch that is not in flight is ignored.
func (b *Balancer) Done(dispatchID int64, o Outcome) {
	d, ok := b.dispatches[dispatchID]
	if !ok {
		return
	}
	delete(b.dispatches, dispatchID)
	now := b.Now()
	b.endWork(dispatchID, d, o, now)
	if o == OK {
		b.meanServiceTime += (now.Sub(d.at) - b.meanServiceTime) / serviceTimeDivisor
	}
	if d.incarnation != d.target.Incarnation {
		return
	}
	d.target.load.recordCompletion(now, o)
	d.target.health.recordOutcome(now, o, d.epoch)
	switch o {
	case Shed:
		b.pauseBrittle(d.target)
	case OK:
		b.endBrittle(d.target, now)
	}
}

// Silent records that the target of a dispatch has sent nothing for long. The dispatch goes on.
func (b *Balancer) Silent(dispatchID int64) {
	if d, ok := b.dispatches[dispatchID]; ok && d.incarnation == d.target.Incarnation {
		d.target.health.recordOutcome(b.Now(), Silent, d.epoch)
	}
}

// setIncarnation sets the incarnation of a target and resets its load and health. An incarnation that was seen before
// is ignored: it comes from an outdated list or report.
func (b *Balancer) setIncarnation(entry *target, incarnation string) {
	if incarnation == entry.Incarnation {
		return
	}
	if slices.Contains(entry.seenIncarnations, incarnation) {
		return
	}
	entry.seenIncarnations = append(entry.seenIncarnations, incarnation)
	entry.seenIncarnations = entry.seenIncarnations[max(0, len(entry.seenIncarnations)-MaxSeenIncarnations):]
	entry.Incarnation = incarnation
	entry.load = load{}
	entry.health = health{}
	entry.brittle = brittleness{}
	entry.pausedUntil = time.Time{}
	b.forgetWork(entry.ID)
}

func (b *Balancer) targetByID(id string) *target {
	for _, entry := range b.targets {
		if entry.ID == id {
			return entry
		}
	}
	return nil
}
