package chaos_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/fake/chaos"
)

func TestShortRunServesDuringFaults(t *testing.T) {
	r := &chaos.Run{Seed: 1, Duration: 5 * time.Second, Slack: time.Minute}
	r.Default()
	assert.NilError(t, r.Run(context.Background()))
	rep := r.Report()
	assert.Assert(t, rep.Faults > 0 && rep.Whole > 0 && rep.Answered > 0, "%+v", rep)
	t.Logf("%+v", rep)
}
