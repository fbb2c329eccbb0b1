package relay_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/core/codes"
	"cranberryrail/core/logs"
	"cranberryrail/core/origin"
	"cranberryrail/core/relay"
	"cranberryrail/core/roster"
	"cranberryrail/core/route"
	"cranberryrail/core/table"
	"cranberryrail/fake/builds"
	"cranberryrail/fake/memlog"
	"cranberryrail/fake/script"
)

// newOrigins returns a tracker that runs until the test ends, and whose store does not reply for a time.
func newOrigins(t *testing.T, silence time.Duration) *origin.Tracker {
	t.Helper()
	return newOriginsOver(t, memlog.SilentUntil((&memlog.Server{}).Log(), time.Now().Add(silence)))
}

// newOriginsOver returns a tracker that runs over a log until the test ends.
func newOriginsOver(t *testing.T, log logs.Log) *origin.Tracker {
	t.Helper()
	tracker, stop := builds.StartTracker(t.Context(), log, false)
	tracker.SetTargets([]roster.Target{{Service: "draft", Software: "v1"}})
	t.Cleanup(func() { assert.NilError(t, stop()) })
	return tracker
}

// TestSilentStoreEndsNoStream guards against a stream of a sound target that is given up, for another one that needs the same record, while the
// store is silent.
func TestSilentStoreEndsNoStream(t *testing.T) {
	long := script.Stream{Parts: []script.Part{script.Until(0, 4), script.Until(5*time.Millisecond, 500), script.End}}.Dispatch
	lost := script.Stream{Head: time.Hour}.Dispatch
	late := script.Stream{Parts: []script.Part{script.Until(time.Second, 4), script.End}}.Dispatch
	refuses := script.Stream{Refuse: true}.Dispatch
	for name, c := range map[string]struct {
		targets  []script.Dispatch
		silence  time.Duration
		attempts int
		caller   time.Duration // when the caller leaves, if it does
		refused  error         // the cause of the end of a request without an answer
	}{
		"one target":                       {[]script.Dispatch{soundStream}, 1500 * time.Millisecond, 1, 0, nil},
		"three targets":                    {[]script.Dispatch{soundStream, soundStream, soundStream}, 1500 * time.Millisecond, 1, 0, nil},
		"events pile up":                   {[]script.Dispatch{long, soundStream}, 3 * time.Second, 1, 0, nil},
		"the successor of a silent target": {[]script.Dispatch{lost, soundStream, soundStream}, 3 * time.Second, 2, 0, nil},
		"both targets answer":              {[]script.Dispatch{late, late}, 3 * time.Second, 2, 0, nil},
		"the successor refuses":            {[]script.Dispatch{late, refuses, soundStream}, 3 * time.Second, 3, 0, nil},
		"for good":                         {[]script.Dispatch{soundStream, soundStream}, time.Hour, 1, 0, origin.ErrNotRecorded},
		"the caller leaves":                {[]script.Dispatch{soundStream, soundStream}, time.Hour, 1, 2 * time.Second, context.Canceled},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				origins := newOrigins(t, c.silence)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if c.caller > 0 {
					time.AfterFunc(c.caller, cancel)
				}
				began := time.Now()
				body, result := serveUntil(ctx, t, 3, table.Streaming, 0, c.targets, func(f *fixture) { f.Origins = origins })
				took := time.Since(began)
				assert.Equal(t, result.Attempts, c.attempts)
				if c.refused == nil {
					assert.Assert(t, result.Refused == nil && !result.Truncated && result.Events >= 4, "%v", result.Refused)
					assert.Assert(t, result.TimeToFirstByte >= c.silence && took < c.silence+time.Second, "after %v", took)
					return
				}
				assert.Equal(t, body, "")
				assert.Equal(t, result.Refused.Run, codes.Unknown)
				assert.Assert(t, errors.Is(result.Refused, c.refused) || result.CallerGone, "%v", result.Refused)
				assert.Assert(t, c.caller == 0 || took == c.caller, "after %v", took)
			})
		})
	}
}

// TestSlowStoreEndsNoStream guards against streams of a sound target that are given up because the append of their record takes longer than usual.
func TestSlowStoreEndsNoStream(t *testing.T) {
	for _, took := range []time.Duration{300 * time.Millisecond, 500 * time.Millisecond, 700 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second} {
		t.Run(took.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				origins := newOriginsOver(t, memlog.Slow((&memlog.Server{}).Log(), took, true))
				_, result := serveUntil(t.Context(), t, 3, table.Streaming, 0, []script.Dispatch{soundStream, soundStream}, func(f *fixture) { f.Origins = origins })
				assert.Assert(t, result.Refused == nil && !result.Truncated && result.Events >= 4, "%v", result.Refused)
				assert.Assert(t, result.TimeToFirstByte >= took && result.TimeToFirstByte < took+100*time.Millisecond, "after %v", result.TimeToFirstByte)
				assert.Equal(t, result.Attempts, 1)
			})
		})
	}
}

// TestDetourWaitsForRecord guards against a stream by way of another instance that is cut by its time limit while its first event waits for its record.
func TestDetourWaitsForRecord(t *testing.T) {
	pauses := script.Stream{Parts: []script.Part{script.Until(0, 4), script.Until(200*time.Millisecond, 60), script.End}}
	for _, silence := range []time.Duration{700 * time.Millisecond, 900 * time.Millisecond, 1500 * time.Millisecond} {
		t.Run(silence.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				origins := newOrigins(t, silence)
				body, result := serveUntil(t.Context(), t, 3, table.Streaming, 0, nil, func(f *fixture) {
					f.Origins = origins
					f.NeedsDetour = func(string, int) bool { return true }
					f.DispatchBy = func(ctx context.Context, d relay.Dispatch, _ route.Request) (*relay.Response, error) {
						return pauses.Forwarded(ctx, d, roster.Target{ID: "0", Software: "v1"})
					}
				})
				assert.Assert(t, result.Refused == nil && !result.Truncated && result.Events == 60, "%v", result.Refused)
				assert.Assert(t, result.TimeToFirstByte >= silence && len(body) > 0, "after %v", result.TimeToFirstByte)
				assert.Equal(t, result.Attempts, 1)
			})
		})
	}
}
