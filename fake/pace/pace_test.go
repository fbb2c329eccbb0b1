package pace_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/fake/pace"
)

func TestTable(t *testing.T) {
	var out strings.Builder
	b := &pace.Bench{Instances: []int{3}, Targets: 1, Changes: 10, Settle: time.Second, Idle: 2 * time.Second, Out: &out}
	b.Default()
	assert.NilError(t, b.Run(context.Background()))
	assert.Equal(t, strings.Count(out.String(), "\n"), 3)
	f := b.Figures[0]
	assert.Assert(t, f.P50 > 0 && f.P99 <= f.Longest && f.PlatformBytes > 0 && f.PeerBytes > 0, "%+v", f)
	t.Log(out.String())
}
