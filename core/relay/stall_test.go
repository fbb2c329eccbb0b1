package relay_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/core/memory"
	"cranberryrail/core/relay"
	"cranberryrail/core/route"
	"cranberryrail/core/table"
	"cranberryrail/fake/script"
)

// TestSoundBodiesBesideStalledAnswers guards against the end of sound bodies, those of slow callers too, as the largest answers while many smaller ones use up the memory whose
// targets have stopped or send a byte at a time, or whose callers do not read.
func TestSoundBodiesBesideStalledAnswers(t *testing.T) {
	const limit, others, sound = 16 << 20, 512, 10
	part, whole := strings.Repeat("x", 20<<10), strings.Repeat("whole ", 40<<10)
	for name, target := range map[string]script.Dispatch{
		"target stops":                  script.Stalled(200, false, part),
		"target sends a byte at a time": dripping(part),
		"caller does not read":          complete(part),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := &unreadAnswers{pool: &memory.Pool{Bytes: limit}, target: target, leave: make(chan struct{})}
				var bodies sync.WaitGroup
				for range others {
					u.group.Go(func() { u.serve(t) })
				}
				time.Sleep(memory.StallTime)
				assert.Check(t, u.ended.Load() == 0, "%d ended although there is room", u.ended.Load())
				for _, takes := range []time.Duration{700 * time.Millisecond, 0} { // for a part, so that a body takes longer than StallTime
					for range sound {
						bodies.Go(func() {
							body, result := serveUntil(t.Context(), t, 1, table.Idempotent, takes, []script.Dispatch{complete(whole)}, func(f *fixture) { f.Memory = u.pool })
							assert.Check(t, result.Refused == nil && body == whole, "%d of %d bytes: %v", len(body), len(whole), result.Refused)
						})
					}
					time.Sleep(memory.StallTime + 100*time.Millisecond)
				}
				bodies.Wait()
				assert.Assert(t, u.ended.Load() > 0)
				close(u.leave)
				u.group.Wait()
			})
		})
	}
}

// dripping returns a target that sends a text and then a byte at a time.
func dripping(text string) script.Dispatch {
	return func(ctx context.Context, d relay.Dispatch) (*relay.Response, error) {
		response, err := script.Stalled(200, false, text)(ctx, d)
		left, first := response.Read, len(text)
		response.Read = func(p []byte) (int, error) {
			if first > 0 {
				n, err := left(p)
				first -= n
				return n, err
			}
			select {
			case <-time.After(100 * time.Millisecond):
				return copy(p, "x"), nil
			case <-ctx.Done():
				return 0, &relay.AttemptError{Kind: relay.Broken, Sent: true, Err: ctx.Err()}
			}
		}
		return response, err
	}
}

// TestMemoryIsNoFailureOfTheTarget guards against a sound target that is left out since its answers end for those of others, which use up the memory, and against one that
// has stopped within its answer and is not left out.
func TestMemoryIsNoFailureOfTheTarget(t *testing.T) {
	const limit, body = 1 << 20, 100 << 10
	for name, c := range map[string]struct {
		after time.Duration
		want  route.Outcome
	}{"sends": {time.Second, route.UsedUp}, "has stopped": {memory.StallTime, route.Failed}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				pool := &memory.Pool{Bytes: limit}
				f := newFixture(script.Stalled(200, false, strings.Repeat("x", body)))
				f.Memory = pool
				time.AfterFunc(c.after, func() { _ = pool.NewHolder(nil).Add(limit) }) // ends the answer
				f.serve(t.Context())
				assert.DeepEqual(t, f.outcomes, []route.Outcome{c.want})
			})
		})
	}
}
