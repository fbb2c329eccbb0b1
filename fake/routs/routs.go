// Package routs compares the routing policies on one seeded load. It is a discrete-event
// model of routers that place requests on engines with prefix caches, queues and load
// reports that lag; the decisions are those of core/route.
package routs

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"cranberryrail/core/route"
)

// Bench compares policies. Exported fields are set before Run.
type Bench struct {
	// Seed makes the arrivals, service times and choices repeatable.
	Seed uint64
	// Routers and Engines are the numbers of instances and targets.
	Routers int
	Engines int
	// Slots is the number of requests that an engine runs at once; as many may wait.
	Slots int
	// Prefixes is the number of prompt prefixes, drawn by a Zipf distribution.
	Prefixes int
	// Cache is the number of prefixes that an engine keeps.
	Cache int
	// Lag is the time between two load reports, and the age of a report when it arrives.
	Lag time.Duration
	// PrefillMiss and PrefillHit are the times to the first token without and with the prefix in the cache.
	PrefillMiss time.Duration
	PrefillHit  time.Duration
	// Decode is the mean time to generate the rest; it is distributed exponentially.
	Decode time.Duration
	// Slowdown is the factor by which the slow engine is slower.
	Slowdown float64
	// WarmUp is left out of the figures; Length is measured.
	WarmUp time.Duration
	Length time.Duration
	// Loads are the offered loads as multiples of the capacity with warm caches.
	Loads []float64
	// Bounds are the values of the constant c that are compared for PrefixBounded.
	Bounds []float64
	// Out receives the table in Markdown.
	Out io.Writer
}

// String describes the bench in one line.
func (b *Bench) String() string {
	return fmt.Sprintf("seed %d, %d routers, %d engines of %d slots, %d prefixes, caches of %d, lag %s, prefill %s or %s, decode %s, %s measured after %s",
		b.Seed, b.Routers, b.Engines, b.Slots, b.Prefixes, b.Cache, b.Lag, b.PrefillMiss, b.PrefillHit, b.Decode, b.Length, b.WarmUp)
}

// Default fills fields that were left empty.
func (b *Bench) Default() {
	fill(&b.Seed, 1)
	fill(&b.Routers, 8)
	fill(&b.Engines, 20)
	fill(&b.Slots, 8)
	fill(&b.Prefixes, 400)
	fill(&b.Cache, 30)
	fill(&b.Lag, time.Second)
	fill(&b.PrefillMiss, 400*time.Millisecond)
	fill(&b.PrefillHit, 40*time.Millisecond)
	fill(&b.Decode, 2*time.Second)
	fill(&b.Slowdown, 4)
	fill(&b.WarmUp, 30*time.Second)
	fill(&b.Length, 3*time.Minute)
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

func fill[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Result holds the figures of one policy under one load.
type Result struct {
	Policy  route.Policy
	Bound   float64
	Load    float64
	SlowOne bool
	// Offered and Refused count requests; Urgent and UrgentRefused those of priority 9.
	Offered       int
	Refused       int
	Urgent        int
	UrgentRefused int
	// Started counts requests that an engine began, Hits those whose prefix was in its cache.
	Started int
	Hits    int
	// P50, P95 and P99 are times from the arrival to the first token.
	P50 time.Duration
	P95 time.Duration
	P99 time.Duration
}

// Results runs every policy under every load, without and with a slow engine.
func (b *Bench) Results(ctx context.Context) ([]Result, error) {
	b.Default()
	var results []Result
	for _, slow := range []bool{false, true} {
		for _, load := range b.Loads {
			for _, r := range b.variants() {
				if err := ctx.Err(); err != nil {
					return nil, fmt.Errorf("compare routing policies: %w", err)
				}
				r.Load, r.SlowOne = load, slow
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

// Run writes the table of all results to Out.
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
	if r.SlowOne {
		slow = "one"
	}
	if r.Bound > 0 {
		bound = fmt.Sprint(r.Bound)
	}
	return fmt.Sprintf("| %s | %.1f | %s | %s | %.1f | %d | %d | %d | %.2f | %.2f |\n", slow, r.Load, r.Policy, bound,
		percent(r.Hits, r.Started), r.P50.Milliseconds(), r.P95.Milliseconds(), r.P99.Milliseconds(),
		percent(r.Refused, r.Offered), percent(r.UrgentRefused, r.Urgent))
}

func percent(part, whole int) float64 { return 100 * float64(part) / float64(max(whole, 1)) }
