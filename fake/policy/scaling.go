package policy

import (
	"context"
	"fmt"
	"io"
	"time"

	"cranberryrail/fake/usage"
)

// Scaling measures the cost of budget control per instance as the fleet grows, with a constant load per instance. The
// CPU time includes that of the simulation. The exported fields must be set before Run.
type Scaling struct {
	// Seed seeds the load.
	Seed uint64
	// Duration is the virtual duration of each run.
	Duration time.Duration
	// Instances lists the fleet sizes to measure.
	Instances []int
	// Out receives the table of results in Markdown.
	Out io.Writer
}

// String identifies the measurement in error messages.
func (s *Scaling) String() string {
	return fmt.Sprintf("cost of budget control in fleets of %v instances", s.Instances)
}

// Default sets the defaults of unset fields.
func (s *Scaling) Default() {
	if s.Duration == 0 {
		s.Duration = 10 * time.Minute
	}
	if s.Instances == nil {
		s.Instances = []int{4, 8, 16, 32}
	}
	if s.Out == nil {
		s.Out = io.Discard
	}
}

// Run measures the fleets one after another and writes the table of results to Out.
func (s *Scaling) Run(ctx context.Context) error {
	_, err := fmt.Fprint(s.Out, "| instances | requests/s | appends/s | bytes/s per instance | core % per instance | false refusals % |\n",
		"| --: | --: | --: | --: | --: | --: |\n")
	for _, n := range s.Instances {
		if err != nil {
			return err
		}
		t := &Comparison{
			Seed: s.Seed, Duration: s.Duration, Instances: n, Rate: defaultRate * float64(n) / defaultInstances,
			Cases: Cases()[1:2], Scenarios: []Scenario{Calm},
		}
		t.Default()
		cpuBefore := usage.CPUTime()
		if err := t.Run(ctx); err != nil {
			return err
		}
		cpuTime := usage.CPUTime() - cpuBefore
		result := t.Results[0]
		_, err = fmt.Fprintf(s.Out, "| %d | %.0f | %.1f | %.0f | %.2f | %.2f |\n", n, t.Rate, result.AppendRate,
			result.ByteRate,
			100*cpuTime.Seconds()/s.Duration.Seconds()/float64(n), 100*result.FalseRefusalRatio())
	}
	return err
}
