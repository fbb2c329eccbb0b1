package demo_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"cranberryrail/fake/demo"
	"cranberryrail/fake/platf"
)

// limit is what the README states at most for the demo.
const limit = 40 * time.Second

func run(t *testing.T, d *demo.Demo) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	d.Platform.Seed, d.Platform.Log = 1, zerolog.Nop()
	d.Default()
	return d.Run(ctx)
}

// TestDemoEnds guards against a demo that waits for what is not promised, or does not show it.
func TestDemoEnds(t *testing.T) {
	var out bytes.Buffer
	assert.NilError(t, run(t, &demo.Demo{Out: &out, Platform: &platf.Server{}}), &out)
	for _, text := range []string{"killed an instance", "it ran 1 time, with 1 distinct answer; refused before: ", "held by the killed", "lagoon-travel", "steppe-fitness"} {
		assert.Assert(t, strings.Contains(out.String(), text), "%q not found in:\n%s", text, &out)
	}
}

// outageAt starts an outage of the log when a text is printed.
type outageAt struct {
	text     string
	platform *platf.Server
}

func (o outageAt) Write(line []byte) (int, error) {
	if strings.Contains(string(line), o.text) {
		return len(line), o.platform.SetFaults(platf.Faults{Outage: true})
	}
	return len(line), nil
}

// TestDemoNamesTheStep guards against a demo that does not end, or ends without a word on what it waits for.
func TestDemoNamesTheStep(t *testing.T) {
	for _, c := range []struct{ at, want string }{
		{"started a fake platform", `step "set up": wait for the publication of the template of lagoon-travel: `},
		{"sending 30 requests", `step "exhaust a budget": wait for the second top-up of steppe-fitness: `},
		{"killed an instance", `step "kill an instance": wait for the fleet: instance-`},
	} {
		t.Run(c.at, func(t *testing.T) {
			t.Parallel()
			platform := &platf.Server{}
			err := run(t, &demo.Demo{Out: outageAt{text: c.at, platform: platform}, Platform: platform, StepTimeout: 6 * time.Second})
			assert.ErrorContains(t, err, c.want)
		})
	}
}
