package trade

import (
	"context"
	"fmt"
	"io"
	"time"

	"cranberryrail/fake/usage"
)

// Slope measures what control of budgets costs an instance as the fleet grows, with the
// same load for each instance. The processor time includes the simulation itself.
// Exported fields are set before Run.
type Slope struct {
	// Seed decides on the load.
	Seed uint64
	// Length is the virtual time of each run.
	Length time.Duration
	// Instances are the sizes of the fleets.
	Instances []int
	// Out takes the table in Markdown.
	Out io.Writer
}

// String names the measurement for logs.
func (s *Slope) String() string {
	return fmt.Sprintf("slopes over fleets of %v instances", s.Instances)
}

// Default fills fields that were left empty.
func (s *Slope) Default() {
	if s.Length == 0 {
		s.Length = 10 * time.Minute
	}
	if s.Instances == nil {
		s.Instances = []int{4, 8, 16, 32}
	}
	if s.Out == nil {
		s.Out = io.Discard
	}
}

// Run measures one fleet after another and writes the table.
func (s *Slope) Run(ctx context.Context) error {
	_, err := fmt.Fprint(s.Out, "| instances | requests/s | appends/s | bytes/s per instance | core % per instance | false refusals % |\n",
		"| --: | --: | --: | --: | --: | --: |\n")
	for _, n := range s.Instances {
		if err != nil {
			return err
		}
		t := &Table{
			Seed: s.Seed, Length: s.Length, Instances: n, Rate: defaultRate * float64(n) / defaultInstances,
			Cases: Cases()[1:2], Scenarios: []Scenario{Calm},
		}
		t.Default()
		before := usage.ProcessorTime()
		if err := t.Run(ctx); err != nil {
			return err
		}
		spent := usage.ProcessorTime() - before
		f := t.Figures[0]
		_, err = fmt.Fprintf(s.Out, "| %d | %.0f | %.1f | %.0f | %.2f | %.2f |\n", n, t.Rate, f.AppendRate, f.ByteRate,
			100*spent.Seconds()/s.Length.Seconds()/float64(n), 100*f.FalseShare())
	}
	return err
}
