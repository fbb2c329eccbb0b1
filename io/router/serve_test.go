package router

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"cranberryrail/core/codes"
	"cranberryrail/core/relay"
	"cranberryrail/core/roster"
	"cranberryrail/core/table"
	"cranberryrail/io/peer"
)

// TestFailureOfHelperIsNotTheCallers guards against callers whose connection is closed without an answer, because the instance that their request went by way of
// could not pass the response on.
func TestFailureOfHelperIsNotTheCallers(t *testing.T) {
	assert.Equal(t, endError(&peer.ForwardEnd{Failure: string(relay.Cancelled), Sent: true}).Kind, relay.Broken)
}

// TestOddEndOfHelperIsNoStatement guards against an end of another instance whose kind of failure is that of a refusal, or no kind, and that is taken for the
// statement that the request did not run.
func TestOddEndOfHelperIsNoStatement(t *testing.T) {
	for _, failure := range []relay.Kind{"", "other", relay.Shed, relay.Misdirected, relay.Errored, relay.Unrecorded} {
		failed := endError(&peer.ForwardEnd{Failure: string(failure)})
		assert.Assert(t, failed.Kind == relay.Broken && failed.Sent, "%s: %v", failure, failed)
	}
}

// TestPanicInAForwardedRequestEndsOnlyIt guards against a process that ends with all its connections, because a request that it sends for another instance panics.
func TestPanicInAForwardedRequestEndsOnlyIt(t *testing.T) {
	r, _ := start(t, settings, "")
	r.running.Store(true)
	r.Platform.BuildHeader = func(relay.Dispatch) http.Header { panic("header") }
	r.routeClient.SetTargets([]roster.Target{{ID: "t", Service: "s", Incarnation: "t@1", State: roster.Live}}, 0)
	end := r.serveForward(t.Context(), peer.Forward{Service: "s", Remaining: time.Second}, peer.ForwardWriter{})
	assert.DeepEqual(t, end, peer.ForwardEnd{Failure: string(relay.Invalid), Sent: true, Detail: "the exchange panicked", TargetID: "t", Incarnation: "t@1"})
	assert.Equal(t, r.forwarded.Load(), int64(0))
}

// TestBodiesOfOtherInstancesShareTheMemory guards against a process that runs out of memory, because many instances that are cut off send it long requests at once.
func TestBodiesOfOtherInstancesShareTheMemory(t *testing.T) {
	const limit = 1 << 20
	for name, c := range map[string]struct {
		bytes, expected int
	}{
		"room for two":    {limit / 2, 2},
		"room for three":  {limit / 3, 3},
		"no room for one": {limit + 1, 0},
		"no body":         {0, 8},
	} {
		t.Run(name, func(t *testing.T) {
			r, _ := start(t, settings, "")
			r.running.Store(true)
			r.entry.Guard.MaxBodyBytes = limit
			taken, refused := 0, 0
			forward := func(left int) {
				if left <= 0 {
					return
				}
				end := r.serveForward(t.Context(), peer.Forward{Service: "s", Remaining: time.Second, Body: make([]byte, c.bytes)}, peer.ForwardWriter{})
				if end.Code == codes.TooManyInFlight.Number && !end.Sent {
					refused++
				}
			}
			r.Platform.BuildHeader = func(relay.Dispatch) http.Header {
				taken++
				forward(8 - taken - refused) // while this one is in flight
				panic("ends the exchange")
			}
			r.routeClient.SetTargets([]roster.Target{{ID: "t", Service: "s", Incarnation: "t@1", State: roster.Live}}, 0)
			forward(8)
			assert.Equal(t, taken, c.expected)
			assert.Equal(t, refused, min(1, 8-c.expected))
			r.entry.Guard.MaxBodyBytes = int64(c.bytes) // nothing is counted any more
			forward(1)
			assert.Assert(t, taken > c.expected)
		})
	}
}

// TestFailedRequestIsNoSuccessfulAttempt guards against a request of which all attempts failed and that counts as an attempt that succeeded too.
func TestFailedRequestIsNoSuccessfulAttempt(t *testing.T) {
	r, _ := start(t, settings, "")
	for i, refused := range []*codes.Error{codes.Refuse(codes.TargetFailed, 0, ""), nil} {
		r.attemptFailed(relay.Dispatch{Request: &relay.Request{}}, &relay.AttemptError{Kind: relay.Broken})
		r.requestEnded(relay.Result{Attempts: i + 1, Refused: refused}, 0)
	}
	assert.NilError(t, r.Meter.Close())
	w := httptest.NewRecorder()
	r.Meter.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", http.NoBody))
	for outcome, want := range map[string]int{"ok": 1, "broken": 2} {
		assert.Assert(t, strings.Contains(w.Body.String(), fmt.Sprintf("cranberryrail_attempts_total{outcome=%q} %d\n", outcome, want)), w.Body.String())
	}
}

// TestCauseOfRefusalIsLogged guards against refusals that refer to the log of the instance, which lacks their cause.
func TestCauseOfRefusalIsLogged(t *testing.T) {
	lines := &strings.Builder{}
	r, _ := start(t, settings, "")
	r.Log = zerolog.New(lines)
	r.requestEnded(relay.Result{Request: &relay.Request{ID: "r1", Key: "secret", Header: http.Header{"Authorization": {"secret"}}, Body: []byte("secret")}, Refused: codes.From(io.ErrNoProgress, codes.NotRun)}, 0)
	assert.Assert(t, strings.Contains(lines.String(), `"error":"`+io.ErrNoProgress.Error()), lines.String())
	assert.Assert(t, !strings.Contains(lines.String(), "secret"), lines.String())
}

// TestEarlyEndIsLoggedAndCounted guards against an answer that ended before its end and whose line does not show who ended it, how long before its time limit and beside
// which configuration.
func TestEarlyEndIsLoggedAndCounted(t *testing.T) {
	lines := &strings.Builder{}
	r, _ := start(t, settings, "")
	r.table.Apply(table.Config{Version: 8})
	r.Log = zerolog.New(lines)
	r.configAppliedAt.Store(time.Now().Add(-time.Minute).UnixNano())
	r.requestEnded(relay.Result{
		Request: &relay.Request{ID: "r1"}, Version: 7, Target: roster.Target{ID: "t1"}, EndedBy: relay.ByTarget, TimeLimit: time.Second, TimeToFirstByte: 100 * time.Millisecond,
		Truncated: true, LastFailure: &relay.AttemptError{Kind: relay.Broken, Err: io.ErrUnexpectedEOF}, Refused: codes.From(io.ErrNoProgress, codes.Ran),
	}, 300*time.Millisecond)
	r.requestEnded(relay.Result{Request: &relay.Request{ID: "r2"}}, 0)
	assert.Equal(t, strings.Count(lines.String(), "answer_ended_early"), 1)
	field := `"request":"r1","target":"t1","by":"target","failure":"broken","cause":"unexpected EOF","left":700,"since_head":200,"version":7,"config":8,"config_age":6000`
	assert.Assert(t, strings.Contains(lines.String(), field), lines.String())
	assert.NilError(t, r.Meter.Close())
	w := httptest.NewRecorder()
	r.Meter.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", http.NoBody))
	assert.Assert(t, strings.Contains(w.Body.String(), `cranberryrail_answers_ended_early_total{by="target",kind="broken"} 1`+"\n"), w.Body.String())
}

// TestLongIDsAreNotLogged guards against lines of any length, of which few have room, since callers choose the ids of their requests.
func TestLongIDsAreNotLogged(t *testing.T) {
	const longest = 1 << 10
	lines := &strings.Builder{}
	r, _ := start(t, settings, "")
	r.Log = zerolog.New(lines)
	long := strings.Repeat("x", 30<<10)
	req, failed := &relay.Request{ID: long, LastEventID: "1", Resumes: long}, &relay.AttemptError{Kind: relay.Broken, Crashed: true, Err: io.ErrUnexpectedEOF}
	r.attemptFailed(relay.Dispatch{Request: req}, failed)
	r.requestEnded(relay.Result{Request: req, Events: 1, EndedBy: relay.ByTarget, LastFailure: failed, Refused: codes.From(io.ErrNoProgress, codes.Ran)}, 0)
	ended := strings.Split(strings.TrimSpace(lines.String()), "\n")
	assert.Assert(t, len(ended) >= 4, lines.Len())
	for _, line := range ended {
		assert.Check(t, len(line) <= longest, "%d bytes: %.200s", len(line), line)
	}
}
