package relay_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/core/codes"
	"cranberryrail/core/relay"
	"cranberryrail/core/roster"
	"cranberryrail/core/route"
	"cranberryrail/core/table"
	"cranberryrail/fake/builds"
	"cranberryrail/fake/memlog"
	"cranberryrail/fake/script"
)

// serveBy serves a request of a resumable stream, or of another kind, by targets of which the first that was not tried is chosen, for a caller that
// takes a while for each part. It returns the body.
func serveBy(t *testing.T, kind table.Kind, takes time.Duration, targets ...script.Dispatch) (string, relay.Result) {
	t.Helper()
	return serveWithRetries(t, 3, kind, takes, targets)
}

func serveWithRetries(t *testing.T, retries int, kind table.Kind, takes time.Duration, targets []script.Dispatch) (string, relay.Result) {
	t.Helper()
	return serveUntil(t.Context(), t, retries, kind, takes, targets, func(*fixture) {})
}

// serveUntil serves a request, until its context ends, by a server that the given function changes before.
func serveUntil(ctx context.Context, t *testing.T, retries int, kind table.Kind, takes time.Duration, targets []script.Dispatch, change func(*fixture)) (string, relay.Result) {
	t.Helper()
	f := newFixture(func(ctx context.Context, d relay.Dispatch) (*relay.Response, error) {
		return targets[d.Target.ID[0]-'0'](ctx, d)
	})
	config := table.New(table.Config{Routes: []table.Route{{
		Host: "h", Prefix: "/", Kind: kind, Resumable: kind != table.Idempotent, LatencyObjective: objective, GapObjective: gap, Timeout: 6 * time.Second, MaxAttempts: 3,
		Shares: []table.Share{{Service: "draft", Weight: 1}},
	}}})
	f.Table = func() *table.Table { return config }
	f.Retries.Slack = retries
	f.Pick = func(r route.Request) (route.Choice, error) {
		for i := range targets {
			if id := fmt.Sprint(i); !slices.Contains(r.Avoid, id) {
				return route.Choice{Target: roster.Target{ID: id, Software: "v1"}}, nil
			}
		}
		return route.Choice{}, codes.Refuse(codes.NoTarget, time.Second, "no other target")
	}
	change(f)
	var body strings.Builder
	result := f.Serve(ctx, &relay.Request{ID: "1", Host: "h", Path: "/x", Arrived: time.Now(), Timeout: 10 * time.Second}, relay.Sink{
		Head: func(int, http.Header, int64) {}, Write: func(p []byte) error {
			time.Sleep(takes)
			body.Write(p)
			return nil
		},
	})
	return body.String(), result
}

var soundStream = script.Stream{Parts: []script.Part{script.Until(0, 4), script.End}}.Dispatch

// TestSlowCallerStartsNoSuccessor guards against a second run, and a target counted as silent, because the caller reads slowly.
func TestSlowCallerStartsNoSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for range 8 {
			_, result := serveBy(t, table.Streaming, 4*gap, soundStream, soundStream)
			assert.Equal(t, result.Attempts, 1)
		}
	})
}

// TestRequestThatMustNotBeRepeatedHasNoSuccessor guards against a second run of a request whose route is not to be repeated but has the setting for
// resumed streams.
func TestRequestThatMustNotBeRepeatedHasNoSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, result := serveBy(t, "non_idempotent", 0, script.Stream{Parts: []script.Part{script.Until(time.Second, 4), script.End}}.Dispatch, soundStream)
		assert.Equal(t, result.Attempts, 1)
	})
}

// TestTwoSilentTargetsEndNoAnswer guards against an answer that ends although a third attempt is allowed, because the successor is silent for good.
func TestTwoSilentTargetsEndNoAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lost := script.Stream{Parts: []script.Part{script.Until(0, 2), script.Until(time.Hour, 4)}}.Dispatch
		_, result := serveBy(t, table.Streaming, 0, lost, script.Stream{Head: time.Hour}.Dispatch, soundStream)
		assert.Assert(t, !result.Truncated, "%v", result.Refused)
	})
}

// TestErrorOfSuccessorEndsNoAnswer guards against the error of a successor that is taken for the answer of a target that is only silent.
func TestErrorOfSuccessorEndsNoAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		body, _ := serveBy(t, table.Idempotent, 0, script.Plain(200, "answer", 2*time.Second, 0), script.Plain(500, "error", 0, 0))
		assert.Equal(t, body, "answer")
	})
}

// TestSilentBodyOfSuccessorEndsNoAnswer guards against an answer that is not taken because another target is silent in its body.
func TestSilentBodyOfSuccessorEndsNoAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		body, _ := serveBy(t, table.Idempotent, 0, script.Plain(200, "answer", 2*time.Second, 0), script.Plain(200, "other", 0, time.Hour))
		assert.Equal(t, body, "answer")
		assert.Assert(t, time.Since(began) < 3*time.Second)
	})
}

// TestRetryThatWasNotUsedIsKept guards against a stream that is broken off because the retry of a successor that reached no target is taken twice.
func TestRetryThatWasNotUsedIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		breaks := func(ctx context.Context, d relay.Dispatch) (*relay.Response, error) {
			ctx, cancel := context.WithTimeout(ctx, time.Second)
			context.AfterFunc(ctx, cancel)
			return script.Stream{Parts: []script.Part{script.Until(0, 2), script.Until(time.Hour, 4)}}.Dispatch(ctx, d)
		}
		unreached := func(context.Context, relay.Dispatch) (*relay.Response, error) {
			return nil, &relay.AttemptError{Kind: relay.Unreachable, Err: errors.New("no connection")}
		}
		targets := []script.Dispatch{breaks, unreached, unreached, unreached, unreached, soundStream}
		_, result := serveWithRetries(t, 1, table.Streaming, 0, targets)
		assert.Assert(t, !result.Truncated, "%v, %s", result.Refused, result.RetryDenied)
	})
}

// TestStalledProcessReadsBeforeItRepeats guards against second runs, and sound targets counted as silent, after this process stood still for a second.
func TestStalledProcessReadsBeforeItRepeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		backlog := func(ctx context.Context, d relay.Dispatch) (*relay.Response, error) {
			time.Sleep(3*objective + time.Second/4)
			return soundStream(ctx, d)
		}
		_, result := serveUntil(t.Context(), t, 3, table.Streaming, 0, []script.Dispatch{backlog, soundStream}, func(f *fixture) {
			f.Now = func() time.Time {
				if now := time.Now(); now.Sub(began) < objective {
					return now
				}
				return time.Now().Add(time.Second)
			}
		})
		assert.Equal(t, result.Attempts, 1)
	})
}

// TestSilentHelperEndsNoStream guards against a request for a resumable stream, sent by way of another instance, that waits for it until its time limit
// although every target has the same software version.
func TestSilentHelperEndsNoStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		origins, stop := builds.StartTracker(t.Context(), (&memlog.Server{}).Log(), true)
		defer func() { assert.NilError(t, stop()) }()
		origins.SetTargets([]roster.Target{{Service: "draft", Software: "v1"}})
		synctest.Wait()
		var asked atomic.Int64
		helpers := []script.Dispatch{script.Stream{Head: time.Hour}.Dispatch, func(ctx context.Context, d relay.Dispatch) (*relay.Response, error) {
			return script.Stream{Parts: []script.Part{script.Until(0, 4), script.End}}.Forwarded(ctx, d, roster.Target{ID: "1", Software: "v1"})
		}}
		_, result := serveUntil(t.Context(), t, 3, table.Streaming, 0, nil, func(f *fixture) {
			f.Origins, f.NeedsDetour = origins, func(string, int) bool { return true }
			f.DispatchBy = func(ctx context.Context, d relay.Dispatch, choice route.Request) (*relay.Response, error) {
				assert.Check(t, choice.Software == "v1")
				return helpers[asked.Add(1)-1](ctx, d)
			}
		})
		assert.Assert(t, result.Refused == nil && result.Events == 4 && result.Attempts == 2, "%v, %s", result.Refused, result.RetryDenied)
		assert.Equal(t, result.Software, "v1")
	})
}
