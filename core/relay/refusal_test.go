package relay_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/core/codes"
	"cranberryrail/core/relay"
	"cranberryrail/core/roster"
	"cranberryrail/core/table"
	"cranberryrail/fake/script"
)

// lost is a target whose answer is lost, although it may have run the request.
func lost(context.Context, relay.Dispatch) (*relay.Response, error) {
	return nil, &relay.AttemptError{Kind: relay.Broken, Sent: true, Err: errors.New("the connection was reset")}
}

// TestRefusalOfOneTargetIsNoneOfAnother guards against a refusal of one target that is forwarded, and promises that the request did not run, although another
// target may have run it.
func TestRefusalOfOneTargetIsNoneOfAnother(t *testing.T) {
	late := script.Plain(http.StatusOK, "answer", 2*time.Second, 0)
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		refuses := script.Plain(status, "no", 0, 0)
		for name, c := range map[string]struct {
			targets []script.Dispatch
			status  int
		}{
			"lost, then refused":       {[]script.Dispatch{lost, refuses, refuses}, http.StatusBadGateway},
			"refused, then lost":       {[]script.Dispatch{script.Plain(http.StatusServiceUnavailable, "no", 0, 0), lost, lost}, http.StatusBadGateway},
			"refused, then an error":   {[]script.Dispatch{script.Plain(http.StatusServiceUnavailable, "no", 0, 0), script.Plain(http.StatusInternalServerError, "error", 0, 0), refuses}, http.StatusInternalServerError},
			"refused while one is run": {[]script.Dispatch{late, refuses, refuses}, http.StatusOK},
			"refused only":             {[]script.Dispatch{refuses, refuses, refuses}, status},
		} {
			t.Run(http.StatusText(status)+", "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					_, result := serveBy(t, table.Idempotent, 0, c.targets...)
					assert.Equal(t, result.Status, c.status)
					assert.Assert(t, result.Refused == nil || result.Refused.Run == codes.Unknown)
				})
			})
		}
	}
}

// TestUnframedResponseOfCrashedTargetIsNotComplete guards against a truncated response that reaches its caller as complete, because the end of the connection ends it
// and the target had crashed.
func TestUnframedResponseOfCrashedTargetIsNotComplete(t *testing.T) {
	unframed := func(text string, stream bool) script.Dispatch {
		return func(context.Context, relay.Dispatch) (*relay.Response, error) {
			return &relay.Response{
				Status: http.StatusOK, Unframed: true, ResponseHead: relay.ResponseHead{HasSignature: true, IsEventStream: stream}, Close: func() {},
				SetReadTimeout: func(time.Duration) {}, Read: script.Read(text, 1<<10, io.EOF),
			}, nil
		}
	}
	for name, target := range map[string]script.Dispatch{
		"short": unframed("part", false), "long": unframed(strings.Repeat("x", 1<<20), false), "stream": unframed(script.EventText(1), true),
	} {
		for _, crashed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, crashed %t", name, crashed), func(t *testing.T) {
				_, result := serveUntil(t.Context(), t, 0, table.Streaming, 0, []script.Dispatch{target}, func(f *fixture) {
					f.HasCrashed = func(context.Context, roster.Target) bool { return crashed }
				})
				assert.Equal(t, result.Refused != nil, crashed, "%v", result.Refused)
				assert.Equal(t, result.Truncated, crashed && name != "short")
			})
		}
	}
}
