// Package rtsim compares the routing policies under the same seeded load. It is a discrete-event simulation of routers
// that send requests to engines with prefix caches, queues and delayed load reports. The routing decisions are made by
// core/route.
package rtsim

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"cranberryrail/core/route"
)

// Bench compares routing policies. The exported fields must be set before Run.
type Bench struct {
	// Seed makes the arrivals, service times and random choices reproducible.
	Seed uint64
	// Routers and Engines are the numbers of simulated instances and targets.
	Routers int
	Engines int
	// Slots is the number of requests that an engine runs concurrently, and the length of its queue.
	Slots int
	// Prefixes is the number of distinct prompt prefixes, which are drawn from a Zipf distribution.
	Prefixes int
	// CacheCapacity is the number of prefixes that an engine caches.
	CacheCapacity int
	// Lag is the interval between load reports, and the age of a report when it reaches the routers.
	Lag time.Duration
	// PrefillMiss and PrefillHit are the prefill times on a cache miss and on a cache hit.
	PrefillMiss time.Duration
	PrefillHit  time.Duration
	// Decode is the mean time to generate the remaining tokens, which is exponentially distributed.
	Decode time.Duration
	// Slowdown is the factor by which the slow engine is slower than the others.
	Slowdown float64
	// WarmUp is the simulated time before the measurement, Duration that of the measurement.
	WarmUp   time.Duration
	Duration time.Duration
	// Loads lists the offered loads, as multiples of the capacity with warm caches.
	Loads []float64
	// Bounds lists the values of the load bound c to compare for the policy PrefixBounded.
	Bounds []float64
	// Out receives the table of results in Markdown.
	Out io.Writer
}

// String describes the parameters in one line.
func (b *Bench) String() string {
	return fmt.Sprintf("seed %d, %d routers, %d engines of %d slots, %d prefixes, caches of %d, lag %s, prefill %s or %s, decode %s, %s measured after %s",
		b.Seed, b.Routers, b.Engines, b.Slots, b.Prefixes, b.CacheCapacity, b.Lag, b.PrefillMiss, b.PrefillHit, b.Decode, b.Duration, b.WarmUp)
}

// Default sets the defaults of unset fields.
func (b *Bench) Default() {
	setDefault(&b.Seed, 1)
	setDefault(&b.Routers, 8)
	setDefault(&b.Engines, 20)
	setDefault(&b.Slots, 8)
	setDefault(&b.Prefixes, 400)
	setDefault(&b.CacheCapacity, 30)
	setDefault(&b.Lag, time.Second)
	setDefault(&b.PrefillMiss, 400*time.Millisecond)
	setDefault(&b.PrefillHit, 40*time.Millisecond)
	setDefault(&b.Decode, 2*time.Second)
	setDefault(&b.Slowdown, 4)
	setDefault(&b.WarmUp, 30*time.Second)
	setDefault(&b.Duration, 3*time.Minute)
	if b.Loads == nil {
		b.Loads = []float64{0.5, 0.8, 1.0}
	}
	if b.Bounds == nil {
		b.Bounds = []float64{1, 1.1, 1.25, 1.5, 2, 3}
	}
	if b.Out == nil {
		b.Out = os.Stdout
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Result holds the results of one policy under one load.
type Result struct {
	Policy     route.Policy
	Bound      float64
	Load       float64
	SlowEngine bool
	// Offered and Refused count requests; TopPriorityOffered and TopPriorityRefused count those of priority 9.
	Offered            int
	Refused            int
	TopPriorityOffered int
	TopPriorityRefused int
	// Started counts requests that an engine started, Hits those whose prefix was in its cache.
	Started int
	Hits    int
	// P50, P95 and P99 are the times from the arrival of a request to its first token.
	P50 time.Duration
	P95 time.Duration
	P99 time.Duration
}

// Results simulates every policy under every load, without and with a slow engine.
func (b *Bench) Results(ctx context.Context) ([]Result, error) {
	b.Default()
	var results []Result
	for _, slow := range []bool{false, true} {
		for _, load := range b.Loads {
			for _, r := range b.variants() {
				if err := ctx.Err(); err != nil {
					return nil, fmt.Errorf("compare routing policies: %w", err)
				}
				r.Load, r.SlowEngine = load, slow
				newModel(b, &r).run()
				results = append(results, r)
			}
		}
	}
	return results, nil
}

func (b *Bench) variants() []Result {
	variants := make([]Result, 0, 3+len(b.Bounds))
	for _, p := range []route.Policy{route.Random, route.LeastReported, route.LeastEstimated} {
		variants = append(variants, Result{Policy: p})
	}
	for _, bound := range b.Bounds {
		variants = append(variants, Result{Policy: route.PrefixBounded, Bound: bound})
	}
	return variants
}

// Run simulates all variants and writes the table of results to Out.
func (b *Bench) Run(ctx context.Context) error {
	results, err := b.Results(ctx)
	if err != nil {
		return err
	}
	text := fmt.Sprintf("%s\n\n| slow engine | load | policy | c | prefix hits %% | p50 ms | p95 ms | p99 ms | refused %% | refused at priority 9 %% |\n"+
		"| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n", b)
	for _, r := range results {
		text += r.row()
	}
	if _, err := io.WriteString(b.Out, text); err != nil {
		return fmt.Errorf("write the table of routing policies: %w", err)
	}
	return nil
}

func (r *Result) row() string {
	slow, bound := "none", "-"
	if r.SlowEngine {
		slow = "one"
	}
	if r.Bound > 0 {
		bound = fmt.Sprint(r.Bound)
	}
	return fmt.Sprintf("| %s | %.1f | %s | %s | %.1f | %d | %d | %d | %.2f | %.2f |\n", slow, r.Load, r.Policy, bound,
		percent(r.Hits, r.Started), r.P50.Milliseconds(), r.P95.Milliseconds(), r.P99.Milliseconds(),
		percent(r.Refused, r.Offered), percent(r.TopPriorityRefused, r.TopPriorityOffered))
}

func percent(part, whole int) float64 { return 100 * float64(part) / float64(max(whole, 1)) }
