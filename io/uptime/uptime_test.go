package uptime_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/io/uptime"
)

func TestNowRunsOn(t *testing.T) {
	before := uptime.Now()
	time.Sleep(5 * time.Millisecond)
	passed := uptime.Now() - before
	assert.Assert(t, passed >= 5*time.Millisecond && passed < 5*time.Second, "%v", passed)
}

func TestBootStaysTheSame(t *testing.T) {
	first, err := uptime.Boot()
	assert.NilError(t, err)
	second, err := uptime.Boot()
	assert.NilError(t, err)
	assert.Assert(t, first != "")
	assert.Equal(t, first, second)
}
