package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/core/codes"
	"cranberryrail/core/relay"
	"cranberryrail/core/roster"
	"cranberryrail/core/route"
	"cranberryrail/core/table"
	"cranberryrail/fake/script"
)

// gap is the objective for the pause between two events.
const gap = 100 * time.Millisecond

// TestSilentTargetEndsNoAnswer guards against an answer that is broken off because its target is silent for a while, although no other target goes on
// with it.
func TestSilentTargetEndsNoAnswer(t *testing.T) {
	sound := []script.Part{script.Until(0, 4), script.End}
	pause := func(d time.Duration) script.Stream {
		return script.Stream{Parts: []script.Part{script.Until(0, 2), script.Until(d, 4), script.End}}
	}
	gone := script.Stream{Parts: []script.Part{script.Until(0, 2), script.Until(time.Hour, 4)}}
	for name, c := range map[string]struct {
		targets []script.Stream
		retries int
		// within bounds the time to the end of the answer, if it is set.
		within time.Duration
	}{
		"the retry window is used up":                 {[]script.Stream{pause(time.Second), {Parts: sound}}, 0, 0},
		"no other target":                             {[]script.Stream{pause(time.Second)}, 3, 0},
		"the other target refuses":                    {[]script.Stream{pause(time.Second), {Refuse: true}}, 3, 0},
		"the other target is silent too":              {[]script.Stream{pause(time.Second), {Parts: []script.Part{script.Until(2*time.Second, 4), script.End}}}, 3, 1500 * time.Millisecond},
		"the other target goes on":                    {[]script.Stream{gone, {Parts: sound}}, 3, 500 * time.Millisecond},
		"the other target goes on after a while":      {[]script.Stream{gone, {Parts: []script.Part{script.Until(time.Second, 4), script.End}}}, 3, 1500 * time.Millisecond},
		"the target goes on, then the other one":      {[]script.Stream{{Parts: []script.Part{script.Until(0, 2), script.Until(time.Second, 3), script.Until(time.Hour, 4)}}, {Parts: []script.Part{script.Until(900*time.Millisecond, 4), script.End}}}, 3, 3 * time.Second},
		"a late head and no retry":                    {[]script.Stream{{Head: 2 * time.Second, Parts: sound}, {Parts: sound}}, 0, 0},
		"a late head, the other target refuses":       {[]script.Stream{{Head: 2 * time.Second, Parts: sound}, {Refuse: true}}, 3, 0},
		"a late head, the other target is sound":      {[]script.Stream{{Head: 5 * time.Second, Parts: sound}, {Parts: sound}}, 3, 1500 * time.Millisecond},
		"silent before the first event, none follows": {[]script.Stream{{Parts: []script.Part{script.Until(time.Second, 4), script.End}}, {Refuse: true}}, 3, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(func(ctx context.Context, d relay.Dispatch) (*relay.Response, error) {
					var i int
					_, _ = fmt.Sscan(d.Target.ID, &i)
					return c.targets[i].Dispatch(ctx, d)
				})
				config := table.New(table.Config{Routes: []table.Route{{
					Host: "h", Prefix: "/", Kind: table.Streaming, Resumable: true, LatencyObjective: objective, GapObjective: gap, Timeout: 6 * time.Second, MaxAttempts: 3,
					Shares: []table.Share{{Service: "draft", Weight: 1}},
				}}})
				f.Table = func() *table.Table { return config }
				f.Retries.Slack = c.retries
				f.Pick = func(r route.Request) (route.Choice, error) {
					for i := range c.targets {
						if id := fmt.Sprint(i); !strings.Contains(strings.Join(r.Avoid, ","), id) {
							return route.Choice{Target: roster.Target{ID: id}}, nil
						}
					}
					return route.Choice{}, codes.Refuse(codes.NoTarget, time.Second, "no other target")
				}
				var body strings.Builder
				started := time.Now()
				req := &relay.Request{ID: "1", Host: "h", Path: "/x", Arrived: started, Timeout: 10 * time.Second}
				result := f.Serve(t.Context(), req, relay.Sink{Head: func(int, http.Header, int64) {}, Write: func(p []byte) error {
					body.Write(p)
					return nil
				}})
				assert.Equal(t, body.String(), script.EventText(1)+script.EventText(2)+script.EventText(3)+script.EventText(4))
				assert.Assert(t, !result.Truncated && result.Refused == nil, "%+v", result.Refused)
				assert.Assert(t, c.within == 0 || time.Since(started) <= c.within, "after %v", time.Since(started))
				assert.Assert(t, result.Attempts <= 3)
			})
		})
	}
}

// TestPanicInAnExchangeEndsOnlyItsAttempt guards against a process that ends because an exchange with a target, which has a goroutine of its own, panics.
func TestPanicInAnExchangeEndsOnlyItsAttempt(t *testing.T) {
	for name, response := range map[string]*relay.Response{
		"no response": nil,
		"its events": {
			Status: http.StatusOK, ResponseHead: relay.ResponseHead{HasSignature: true, IsEventStream: true}, SetReadTimeout: func(time.Duration) {}, Close: func() {},
			Read: func([]byte) (int, error) { panic("read") },
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(func(context.Context, relay.Dispatch) (*relay.Response, error) { return response, nil })
			panics := 0
			f.OnPanic = func(any) { panics++ }
			result := f.serve(t.Context())
			assert.Equal(t, result.Refused.Run, codes.Unknown)
			assert.Equal(t, panics, 1)
		})
	}
}

// TestAnswerGoesOnUntilItsTimeLimit guards against streams that are broken off before the time limit of their route, as all of a route are when a change of the
// configuration shortens it.
func TestAnswerGoesOnUntilItsTimeLimit(t *testing.T) {
	const limit, hold = time.Second, 250 * time.Millisecond // hold is how much longer an instance may hold a request
	for name, c := range map[string]struct {
		last  time.Duration
		whole bool
	}{"the last event comes just before the limit": {limit - time.Millisecond, true}, "the stream is longer": {time.Hour, false}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				target := script.Stream{Parts: []script.Part{script.Until(0, 1), script.Until(c.last, 2), script.End}}
				f := newFixture(target.Dispatch)
				config := table.New(table.Config{Routes: []table.Route{{Host: "h", Prefix: "/", Kind: table.Streaming, Timeout: limit, MaxAttempts: 1, Shares: []table.Share{{Service: "draft", Weight: 1}}}}})
				f.Table = func() *table.Table { return config }
				started := time.Now()
				result := f.serve(t.Context())
				assert.Equal(t, result.Truncated, !c.whole)
				took := time.Since(started)
				assert.Assert(t, c.whole || took >= limit && took <= limit+hold, "after %v", took)
			})
		})
	}
}

// TestAnswerThatBeginsAtTheDeadline guards against streams that begin as the deadline passes, and are broken off at once instead of refused.
func TestAnswerThatBeginsAtTheDeadline(t *testing.T) {
	const limit = time.Second
	for range 100 {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(script.Stream{Parts: []script.Part{script.Until(limit-15*time.Millisecond, 1), script.Until(time.Hour, 2)}}.Dispatch)
			started, answered := time.Now(), false
			req := &relay.Request{ID: "1", Host: "h", Path: "/x", Key: "key", Arrived: started, Timeout: limit}
			result := f.Serve(t.Context(), req, relay.Sink{Head: func(int, http.Header, int64) { answered = true }, Write: func([]byte) error { return nil }})
			assert.Assert(t, !answered && !result.Truncated && !result.CallerGone || time.Since(started) >= limit, "after %v", time.Since(started))
		})
	}
}

// TestPanicInARequestLeavesNothingBehind guards against tokens that stay reserved, a target that counts as busy and an exchange that never ends, after the handler of a
// request panicked, which ends only this request.
func TestPanicInARequestLeavesNothingBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { // fails if a goroutine is left
		f := newFixture(script.Stream{Parts: []script.Part{script.Until(0, 4), script.Until(time.Hour, 5)}}.Dispatch)
		func() {
			defer func() { assert.Equal(t, recover(), "head") }()
			req := &relay.Request{ID: "1", Host: "h", Path: "/x", Key: "key", Prompt: &relay.Prompt{Tokens: 100, MaxOutput: 50}, Arrived: time.Now(), Timeout: 10 * time.Second}
			f.Serve(t.Context(), req, relay.Sink{Head: func(int, http.Header, int64) { panic("head") }})
		}()
		assert.Equal(t, f.spent, int64(100))
		assert.Equal(t, len(f.outcomes), 1)
	})
}

// TestStalledCallerEndsWithItsTimeLimit guards against a stream that never ends, with its tokens and its exchange, because the caller stopped reading and its machine
// keeps the connection open.
func TestStalledCallerEndsWithItsTimeLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(script.Stream{Parts: []script.Part{script.Until(0, 2), script.Until(time.Hour, 3)}}.Dispatch)
		aborted := make(chan struct{})
		req := &relay.Request{ID: "1", Host: "h", Path: "/x", Key: "key", Arrived: time.Now(), Timeout: time.Second}
		result := f.Serve(t.Context(), req, relay.Sink{
			Head: func(int, http.Header, int64) {}, Abort: sync.OnceFunc(func() { close(aborted) }),
			Write: func([]byte) error {
				select {
				case <-aborted:
				case <-time.After(time.Hour):
				}
				return context.DeadlineExceeded
			},
		})
		assert.Assert(t, time.Since(req.Arrived) < 5*time.Second, "after %v", time.Since(req.Arrived))
		assert.Assert(t, result.Truncated && result.EndedBy == relay.ByDeadline, "%s", result.EndedBy)
	})
}
