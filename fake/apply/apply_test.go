package apply_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/fake/apply"
)

func TestBenchReportsResults(t *testing.T) {
	var out strings.Builder
	b := &apply.Bench{Instances: []int{3}, Targets: 1, Changes: 10, Settle: time.Second, Idle: 2 * time.Second, Out: &out}
	b.Default()
	assert.NilError(t, b.Run(context.Background()))
	assert.Equal(t, strings.Count(out.String(), "\n"), 3)
	result := b.Results[0]
	assert.Assert(t, result.P50 > 0 && result.P99 <= result.Max && result.PlatformBytes > 0 && result.PeerBytes > 0,
		"%+v", result)
	t.Log(out.String())
}
