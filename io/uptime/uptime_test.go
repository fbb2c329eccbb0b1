package uptime_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/io/uptime"
)

func TestNowAdvances(t *testing.T) {
	before := uptime.Now()
	time.Sleep(5 * time.Millisecond)
	elapsed := uptime.Now() - before
	assert.Assert(t, elapsed >= 5*time.Millisecond && elapsed < 5*time.Second, "%v", elapsed)
}

func TestBootIDIsStable(t *testing.T) {
	first, err := uptime.BootID()
	assert.NilError(t, err)
	second, err := uptime.BootID()
	assert.NilError(t, err)
	assert.Assert(t, first != "")
	assert.Equal(t, first, second)
}
