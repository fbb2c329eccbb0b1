// Package policy compares the policies that size allowances. Every policy is simulated on a virtual clock under the
// same seeded load and faults, and measured by an observer with global state.
package policy

import (
	"context"
	"fmt"
	"io"
	"time"

	"golang.org/x/sync/errgroup"

	"cranberryrail/core/ledger"
)

// Scenario is the load and faults of a simulation.
type Scenario string

// Scenarios. Outages and partitions begin at faultStart and last faultDuration.
const (
	Calm        Scenario = "calm"
	LogDown     Scenario = "log down 10 min"
	LogSlow     Scenario = "log slow, 2 s per append"
	Kills       Scenario = "an instance killed every 60 s"
	Partitioned Scenario = "all partitioned 10 min, top-up in the middle"
	LowBudget   Scenario = "a tenth of the budget left, log down 10 min, load on 3 instances"
	Exhausted   Scenario = "budgets used up at 90% of the time"
)

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	return []Scenario{Calm, LogDown, LogSlow, Kills, Partitioned, LowBudget, Exhausted}
}

// Case is an allowance policy to compare.
type Case struct {
	Name   string
	Policy ledger.Policy
	// Lending enables loans of tokens between instances.
	Lending bool
}

// Cases returns the policies that are compared by default.
func Cases() []Case {
	policy := func(kind ledger.PolicyKind) ledger.Policy {
		p := ledger.DefaultPolicy()
		p.Kind = kind
		return p
	}
	short := policy(ledger.Adaptive)
	short.Cover, short.StrandRatio = 3*time.Minute, 0.01
	return []Case{
		{Name: "fixed", Policy: policy(ledger.Fixed), Lending: true},
		{Name: "adaptive", Policy: policy(ledger.Adaptive), Lending: true},
		{Name: "adaptive, short cover", Policy: short, Lending: true},
		{Name: "adaptive, no lending", Policy: policy(ledger.Adaptive)},
		{Name: "written ahead", Policy: policy(ledger.WrittenAhead), Lending: true},
	}
}

// Result holds the measurements of one run.
type Result struct {
	Case     string
	Scenario Scenario
	// Requests, Granted and Refused count decisions. FalseRefusals counts the refusals of requests that the unspent and
	// unreserved tokens of the budget would have covered.
	Requests, Granted, Refused, FalseRefusals int64
	// Overspend is the largest amount by which the used tokens of a budget exceeded its paid tokens.
	Overspend int64
	// StrandedRatio is the fraction of the paid tokens that terminated incarnations hold at the end.
	StrandedRatio float64
	// AppendRate is the number of records per second that all instances append. ByteRate is the number of bytes per
	// second that one instance reads and writes.
	AppendRate, ByteRate float64
	// P50 and P99 are percentiles of the wait time of granted requests.
	P50, P99 time.Duration
}

// FalseRefusalRatio returns the fraction of requests that were refused although the budget covered them.
func (r Result) FalseRefusalRatio() float64 { return ratio(r.FalseRefusals, r.Requests) }

func ratio(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Comparison runs all cases in all scenarios. The exported fields must be set before Run.
type Comparison struct {
	// Seed seeds the load and the faults.
	Seed uint64
	// Duration is the virtual time of each run.
	Duration time.Duration
	// Rate is the mean number of requests per second.
	Rate float64
	// Instances is the number of instances.
	Instances int
	// Cases and Scenarios are the policies and scenarios to combine; every case runs in every scenario.
	Cases     []Case
	Scenarios []Scenario
	// Out receives the table of results in Markdown.
	Out io.Writer
	// Results holds the results after Run has returned.
	Results []Result
}

// String identifies the comparison in error messages.
func (c *Comparison) String() string {
	return fmt.Sprintf("comparison of policies with seed %d", c.Seed)
}

// Default sets the defaults of unset fields.
func (c *Comparison) Default() {
	if c.Duration == 0 {
		c.Duration = 30 * time.Minute
	}
	if c.Instances == 0 {
		c.Instances = defaultInstances
	}
	if c.Rate == 0 {
		c.Rate = defaultRate
	}
	if c.Cases == nil {
		c.Cases = Cases()
	}
	if c.Scenarios == nil {
		c.Scenarios = Scenarios()
	}
	if c.Out == nil {
		c.Out = io.Discard
	}
}

// maxConcurrentRuns is the maximum number of simulations that run concurrently.
const maxConcurrentRuns = 3

// Run simulates all cases in all scenarios, sets Results and writes the table of results to Out.
func (c *Comparison) Run(ctx context.Context) error {
	c.Results = make([]Result, len(c.Cases)*len(c.Scenarios))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxConcurrentRuns)
	for i, s := range c.Scenarios {
		for k, policyCase := range c.Cases {
			g.Go(func() error {
				result, err := newModel(c, policyCase, s).run(ctx)
				c.Results[i*len(c.Cases)+k] = result
				return err
			})
		}
	}
	if err := g.Wait(); err != nil {
		return fmt.Errorf("compare policies with seed %d: %w", c.Seed, err)
	}
	return c.writeTable()
}

func (c *Comparison) writeTable() error {
	_, err := fmt.Fprint(c.Out, "| scenario | policy | overspend | refused % | false refusals % | stranded % | appends/s | bytes/s per instance | wait p50 ms | wait p99 ms |\n",
		"| --- | --- | --: | --: | --: | --: | --: | --: | --: | --: |\n")
	for _, r := range c.Results {
		if err != nil {
			break
		}
		_, err = fmt.Fprintf(c.Out, "| %s | %s | %d | %.2f | %.2f | %.2f | %.1f | %.0f | %.1f | %.1f |\n",
			r.Scenario, r.Case, r.Overspend, 100*ratio(r.Refused, r.Requests), 100*r.FalseRefusalRatio(), 100*r.StrandedRatio,
			r.AppendRate, r.ByteRate, millis(r.P50), millis(r.P99))
	}
	return err
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
