package relay_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
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
				pool := &memory.Pool{Bytes: limit}
				leave := make(chan struct{})
				var group, bodies sync.WaitGroup
				var ended atomic.Int64
				for range others {
					group.Go(func() { serveUnread(t.Context(), target, pool, leave, func() { ended.Add(1) }) })
				}
				time.Sleep(memory.StallTime)
				assert.Check(t, ended.Load() == 0, "%d ended although there is room", ended.Load())
				for _, takes := range []time.Duration{700 * time.Millisecond, 0} { // for a part, so that a body takes longer than StallTime
					for range sound {
						bodies.Go(func() {
							body, result := serveUntil(t.Context(), t, 1, table.Idempotent, takes, []script.Dispatch{complete(whole)}, func(f *fixture) { f.Memory = pool })
							assert.Check(t, result.Refused == nil && body == whole, "%d of %d bytes: %v", len(body), len(whole), result.Refused)
						})
					}
					time.Sleep(memory.StallTime + 100*time.Millisecond)
				}
				bodies.Wait()
				assert.Assert(t, ended.Load() > 0)
				close(leave)
				group.Wait()
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

// serveUnread relays a request whose caller reads nothing until leave is closed. It calls onEnd if the attempt was ended to release memory.
func serveUnread(ctx context.Context, target script.Dispatch, pool *memory.Pool, leave chan struct{}, onEnd func()) {
	f := newFixture(target)
	f.Memory = pool
	abort := make(chan struct{})
	f.OnAttemptFailed = func(_ relay.Dispatch, failed *relay.AttemptError) {
		if errors.Is(failed, memory.ErrUsedUp) {
			onEnd()
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() {
		select {
		case <-leave:
			cancel()
		case <-ctx.Done():
		}
	})
	f.Serve(ctx, &relay.Request{ID: "1", Host: "h", Path: "/x", Key: "key", Arrived: time.Now(), Timeout: time.Hour}, relay.Sink{
		Head: func(int, http.Header, int64) {}, Abort: func() { close(abort) },
		Write: func([]byte) error {
			select {
			case <-abort:
			case <-leave:
			}
			return io.ErrClosedPipe
		},
	})
	cancel()
	group.Wait()
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
