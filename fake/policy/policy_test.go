package policy_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/fake/policy"
)

// TestComparisonNeverOverspends checks that no policy overspends while instances are killed.
func TestComparisonNeverOverspends(t *testing.T) {
	var out strings.Builder
	comparison := &policy.Comparison{Seed: 1, Duration: 90 * time.Second, Out: &out, Scenarios: []policy.Scenario{policy.Kills}}
	comparison.Default()
	assert.NilError(t, comparison.Run(context.Background()))
	assert.Equal(t, strings.Count(out.String(), "\n"), 2+len(comparison.Results))
	for _, result := range comparison.Results {
		assert.Equal(t, result.Overspend, int64(0), "%s, %s", result.Case, result.Scenario)
		assert.Assert(t, result.Granted > 200, "%s, %s", result.Case, result.Scenario)
	}
}

func TestScalingPrintsRowPerFleetSize(t *testing.T) {
	var out strings.Builder
	scaling := &policy.Scaling{Seed: 1, Duration: 60 * time.Second, Instances: []int{2, 4}, Out: &out}
	scaling.Default()
	assert.NilError(t, scaling.Run(context.Background()))
	assert.Equal(t, strings.Count(out.String(), "\n"), 2+len(scaling.Instances))
}
