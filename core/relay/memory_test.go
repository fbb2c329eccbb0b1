package relay_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/core/memory"
	"cranberryrail/core/relay"
	"cranberryrail/core/table"
	"cranberryrail/fake/script"
)

// TestLargestAnswerMakesRoom guards against the end of an answer because those of other callers use up the memory, and against the end of a request whose
// target sent too much although another one answers.
func TestLargestAnswerMakesRoom(t *testing.T) {
	const callers, limit = 16, 1 << 20
	event, body := "data: "+strings.Repeat("x", limit/4), strings.Repeat("x", limit/6)
	sound := strings.Repeat("whole ", 2000)
	for name, form := range map[string]struct {
		kind  table.Kind
		large script.Dispatch
		other script.Dispatch
	}{
		"event":   {table.Streaming, script.Stalled(200, true, event), soundStream},
		"body":    {table.Idempotent, script.Stalled(200, false, body), script.Plain(200, sound, 0, 0)},
		"refusal": {table.Idempotent, script.Stalled(500, false, body), script.Plain(200, sound, 0, 0)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				pool := &memory.Pool{Bytes: limit}
				var group sync.WaitGroup
				var mu sync.Mutex
				ended := 0
				for range callers {
					group.Go(func() {
						_, result := serveUntil(t.Context(), t, 3, form.kind, 0, []script.Dispatch{form.large, form.other}, func(f *fixture) {
							f.Memory = pool
							f.OnAttemptFailed = func(_ relay.Dispatch, failed *relay.AttemptError) {
								mu.Lock()
								defer mu.Unlock()
								if errors.Is(failed, memory.ErrUsedUp) {
									ended++
								}
							}
						})
						assert.Check(t, result.Refused == nil && !result.Truncated && result.Status == 200, "%v", result.Refused)
					})
				}
				group.Wait()
				assert.Assert(t, ended >= callers-5 || form.kind == table.Idempotent && ended > 0, "%d attempts were ended", ended)
				assert.Assert(t, pool.HasRoom())
				assert.NilError(t, pool.NewHolder(nil).Add(limit)) // nothing is counted any more
			})
		})
	}
}

// TestUnreadAnswerMakesRoom guards against large answers that stay in memory because their callers don't read them, and against their end without a line in the log. The first
// callers arrive one after the other until a write is aborted, which shows how many answers have room, and the others together.
func TestUnreadAnswerMakesRoom(t *testing.T) {
	const callers, limit = 16, 1 << 20
	large := "data: " + strings.Repeat("x", limit/6) + "\n\n"
	for name, target := range map[string]script.Dispatch{"event": script.Stalled(200, true, large), "long body": script.Stalled(200, false, strings.Repeat("x", 256<<10))} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := &unreadAnswers{pool: &memory.Pool{Bytes: limit}, target: target, leave: make(chan struct{})}
				began := 0
				for ; u.aborted.Load() == 0 && began < callers; began++ {
					u.group.Go(func() { u.serve(t) })
					synctest.Wait()
				}
				room := began - 1
				assert.Check(t, room > 1 && u.aborted.Load() == 1 && u.ended.Load() == 1, "%d answers, %d writes and %d requests were ended", began, u.aborted.Load(), u.ended.Load())
				for range callers - began {
					u.group.Go(func() { u.serve(t) })
				}
				synctest.Wait()
				assert.Check(t, int(u.aborted.Load()) > room, "%d writes were aborted, the first %d unread ones end first", u.aborted.Load(), began)
				assert.Check(t, int(u.ended.Load()) == callers-room, "%d requests were ended, %d have room", u.ended.Load(), room)
				close(u.leave)
				u.group.Wait()
				assert.NilError(t, u.pool.NewHolder(nil).Add(limit))
				assert.Assert(t, !u.pool.HasRoom())
			})
		})
	}
}

// unreadAnswers are requests whose callers don't read.
type unreadAnswers struct {
	pool   *memory.Pool
	target script.Dispatch
	// leave is closed when the callers disconnect.
	leave          chan struct{}
	group          sync.WaitGroup
	aborted, ended atomic.Int64
}

// serve relays one request, and checks who ended it, by whether a write was aborted.
func (u *unreadAnswers) serve(t *testing.T) {
	wants := map[bool]relay.Ender{true: relay.ByProcess, false: relay.ByTarget}
	f := newFixture(u.target)
	f.Memory = u.pool
	abort, isAborted := make(chan struct{}), false
	result := f.Serve(t.Context(), &relay.Request{ID: "1", Host: "h", Path: "/x", Key: "key", Arrived: time.Now()}, relay.Sink{
		Head: func(int, http.Header, int64) {}, Abort: func() { isAborted = true; close(abort) },
		Write: func([]byte) error {
			select {
			case <-abort:
				u.aborted.Add(1)
			case <-u.leave:
			}
			return io.ErrClosedPipe
		},
	})
	if result.Refused != nil && errors.Is(result.Refused.Err, memory.ErrUsedUp) {
		u.ended.Add(1)
		assert.Check(t, result.EndedBy == wants[isAborted], "ended by %q", result.EndedBy)
	}
}

// TestAnswerEndedBeforeItsWriteIsReplaced guards against an answer without one of its events, or a connection that is closed without an answer, because the memory for an
// answer was taken back when it was about to be forwarded.
func TestAnswerEndedBeforeItsWriteIsReplaced(t *testing.T) {
	const limit, size, last = 1 << 20, 16 << 10, 4
	text := func(from, to int) (events string) {
		for i := from; i <= to; i++ {
			events += fmt.Sprintf("id: %d\ndata: %s\n\n", i, strings.Repeat("x", size))
		}
		return events
	}
	for name, c := range map[string]struct {
		kind table.Kind
		// before is the number of events before the target is silent.
		before int
	}{"first event": {table.Streaming, 0}, "later event": {table.Streaming, 2}, "body": {table.Idempotent, 0}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				pool := &memory.Pool{Bytes: limit}
				exhaust := func() {
					others := pool.NewHolder(nil) // ends the attempt that is about to be forwarded
					assert.Check(t, others.Add(limit) == nil)
					others.Release()
				}
				silent := func(ctx context.Context, d relay.Dispatch) (*relay.Response, error) {
					context.AfterFunc(ctx, exhaust)
					if c.before == 0 {
						<-ctx.Done()
						time.Sleep(time.Millisecond) // until exhaust has run
						return nil, ctx.Err()
					}
					response, err := script.Stalled(200, true, text(1, c.before))(ctx, d)
					response.Close = func() { time.Sleep(time.Millisecond) }
					return response, err
				}
				answer := func(_ context.Context, d relay.Dispatch) (*relay.Response, error) {
					after, _ := strconv.Atoi(d.LastEventID) // 0 without one
					return &relay.Response{
						Status: 200, ResponseHead: relay.ResponseHead{HasSignature: true, IsEventStream: c.kind == table.Streaming}, Close: func() {},
						SetReadTimeout: func(time.Duration) {}, Read: strings.NewReader(text(after+1, last)).Read,
					}, nil
				}
				body, result := serveUntil(t.Context(), t, 3, c.kind, 0, []script.Dispatch{silent, answer, answer}, func(f *fixture) { f.Memory = pool })
				assert.Assert(t, result.Refused == nil && !result.Truncated, "%v", result.Refused)
				assert.Assert(t, body == text(1, last), "%d bytes", len(body))
				assert.Equal(t, result.Attempts, 3)
			})
		})
	}
}

// TestBodyTakesItsSize guards against a body that takes half as much memory again as it may have, so that fewer sound ones have room.
func TestBodyTakesItsSize(t *testing.T) {
	const limit = 256 << 10
	text := strings.Repeat("x", limit-1)
	body, result := serveUntil(t.Context(), t, 1, table.Idempotent, 0, []script.Dispatch{complete(text)}, func(f *fixture) { f.Memory = &memory.Pool{Bytes: limit} })
	assert.Assert(t, result.Refused == nil && body == text, "%d of %d bytes: %v", len(body), len(text), result.Refused)
}

// complete returns a target with a whole body that is no stream.
func complete(text string) script.Dispatch {
	return func(context.Context, relay.Dispatch) (*relay.Response, error) {
		return &relay.Response{
			Status: 200, ResponseHead: relay.ResponseHead{HasSignature: true}, Close: func() {}, SetReadTimeout: func(time.Duration) {}, Read: strings.NewReader(text).Read,
		}, nil
	}
}
