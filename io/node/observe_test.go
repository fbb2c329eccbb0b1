package node

import (
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// TestReadyAgainIsLogged guards against an instance that is ready again, for example after it fetched the state of a trimmed stream, and logged last that it is not.
func TestReadyAgainIsLogged(t *testing.T) {
	lines := &strings.Builder{}
	n := &Node{Log: zerolog.New(lines)}
	for _, step := range []struct {
		was, is bool
		event   string
	}{{true, true, ""}, {true, false, `"not_ready"`}, {false, false, ""}, {false, true, `"ready"`}} {
		lines.Reset()
		n.logReadiness(step.was, step.is)
		assert.Assert(t, strings.Contains(lines.String(), step.event) && (step.event == "") == (lines.Len() == 0), "%+v: %s", step, lines)
	}
}
