// Package trade compares policies that size allowances: the same seeded load and
// faults for each, on a virtual clock, measured by an observer that knows everything.
package trade

import (
	"context"
	"fmt"
	"io"
	"time"

	"golang.org/x/sync/errgroup"

	"cranberryrail/core/ledger"
)

// Scenario names what goes wrong.
type Scenario string

// Scenarios. Faults begin at faultFrom and last faultFor.
const (
	Calm      Scenario = "calm"
	LogDown   Scenario = "log down 10 min"
	LogSlow   Scenario = "log slow, 2 s an append"
	Kills     Scenario = "an instance killed every 60 s"
	Parted    Scenario = "all parted 10 min, top-up in the middle"
	LowBudget Scenario = "a tenth of the budget left, log down 10 min, load on 3 instances"
	Exhausted Scenario = "budgets used up at 90% of the time"
)

// Scenarios lists all scenarios.
func Scenarios() []Scenario {
	return []Scenario{Calm, LogDown, LogSlow, Kills, Parted, LowBudget, Exhausted}
}

// Case is a policy to compare.
type Case struct {
	Name   string
	Policy ledger.Policy
	// Lending tells whether instances lend to each other.
	Lending bool
}

// Cases lists the policies that are compared by default.
func Cases() []Case {
	policy := func(kind ledger.PolicyKind) ledger.Policy {
		p := ledger.DefaultPolicy()
		p.Kind = kind
		return p
	}
	short := policy(ledger.Adaptive)
	short.Cover, short.Strand = 3*time.Minute, 0.01
	return []Case{
		{Name: "fixed", Policy: policy(ledger.Fixed), Lending: true},
		{Name: "adaptive", Policy: policy(ledger.Adaptive), Lending: true},
		{Name: "adaptive, short cover", Policy: short, Lending: true},
		{Name: "adaptive, no lending", Policy: policy(ledger.Adaptive)},
		{Name: "written ahead", Policy: policy(ledger.WrittenAhead), Lending: true},
	}
}

// Figures are what one run measured.
type Figures struct {
	Case     string
	Scenario Scenario
	// Requests, Granted and Refused count decisions; False counts refusals of requests that
	// unspent and unreserved tokens of the budget would have covered.
	Requests, Granted, Refused, False int64
	// Overspend is the most by which used tokens exceeded the paid ones.
	Overspend int64
	// StrandedShare is the share of the paid tokens held by ended incarnations at the end.
	StrandedShare float64
	// AppendRate is in records a second, ByteRate in bytes a second read and written by an
	// instance.
	AppendRate, ByteRate float64
	// P50 and P99 are the times that granted requests waited.
	P50, P99 time.Duration
}

// FalseShare returns the share of requests that were refused falsely.
func (f Figures) FalseShare() float64 { return share(f.False, f.Requests) }

func share(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Table measures cases in scenarios. Exported fields are set before Run.
type Table struct {
	// Seed decides on load and faults.
	Seed uint64
	// Length is the virtual time of each run.
	Length time.Duration
	// Rate is the mean number of requests a second.
	Rate float64
	// Instances is their number.
	Instances int
	// Cases and Scenarios are compared with each other.
	Cases     []Case
	Scenarios []Scenario
	// Out takes the table in Markdown.
	Out io.Writer
	// Figures are the results, once Run has returned.
	Figures []Figures
}

// String names the table for logs.
func (t *Table) String() string { return fmt.Sprintf("comparison of policies with seed %d", t.Seed) }

// Default fills fields that were left empty.
func (t *Table) Default() {
	if t.Length == 0 {
		t.Length = 30 * time.Minute
	}
	if t.Instances == 0 {
		t.Instances = defaultInstances
	}
	if t.Rate == 0 {
		t.Rate = defaultRate
	}
	if t.Cases == nil {
		t.Cases = Cases()
	}
	if t.Scenarios == nil {
		t.Scenarios = Scenarios()
	}
	if t.Out == nil {
		t.Out = io.Discard
	}
}

// runsAtOnce is the number of runs that go on side by side.
const runsAtOnce = 3

// Run measures all and writes the table.
func (t *Table) Run(ctx context.Context) error {
	t.Figures = make([]Figures, len(t.Cases)*len(t.Scenarios))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(runsAtOnce)
	for i, s := range t.Scenarios {
		for k, c := range t.Cases {
			g.Go(func() error {
				figures, err := newMarket(t, c, s).run(ctx)
				t.Figures[i*len(t.Cases)+k] = figures
				return err
			})
		}
	}
	if err := g.Wait(); err != nil {
		return fmt.Errorf("compare policies with seed %d: %w", t.Seed, err)
	}
	return t.write()
}

func (t *Table) write() error {
	_, err := fmt.Fprint(t.Out, "| scenario | policy | overspend | refused % | false refusals % | stranded % | appends/s | bytes/s per instance | wait p50 ms | wait p99 ms |\n",
		"| --- | --- | --: | --: | --: | --: | --: | --: | --: | --: |\n")
	for _, f := range t.Figures {
		if err != nil {
			break
		}
		_, err = fmt.Fprintf(t.Out, "| %s | %s | %d | %.2f | %.2f | %.2f | %.1f | %.0f | %.1f | %.1f |\n",
			f.Scenario, f.Case, f.Overspend, 100*share(f.Refused, f.Requests), 100*f.FalseShare(), 100*f.StrandedShare,
			f.AppendRate, f.ByteRate, millis(f.P50), millis(f.P99))
	}
	return err
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
