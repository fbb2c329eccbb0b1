package node

import (
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"cranberryrail/core/codes"
	"cranberryrail/core/conf"
	"cranberryrail/core/roster"
	"cranberryrail/core/serve"
	"cranberryrail/io/front"
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

// TestOnlyCutAnswersAreLoggedAsCut guards against a line about a stream that was cut for each failed attempt, also of answers that were resumed or never
// begun, and none for the answer that was cut.
func TestOnlyCutAnswersAreLoggedAsCut(t *testing.T) {
	lines := &strings.Builder{}
	n := &Node{Log: zerolog.New(lines)}
	n.config.apply(&conf.Fold{})
	n.makeMeters()
	for _, kind := range []serve.Kind{serve.Refused, serve.Full, "truncated", serve.Silent} {
		n.onAttemptFailed(roster.Target{}, serve.Call{}, &serve.AttemptError{Kind: kind})
	}
	n.onServed(front.Outcome{Err: &codes.Error{Code: codes.AnswerCut}, CallerGone: true})
	n.onServed(front.Outcome{Err: &codes.Error{Code: codes.TargetFailed}})
	assert.Equal(t, strings.Count(lines.String(), `"stream_cut"`), 0, "%s", lines)
	n.onServed(front.Outcome{Err: &codes.Error{Code: codes.AnswerCut}})
	assert.Equal(t, strings.Count(lines.String(), `"stream_cut"`), 1, "%s", lines)
}
