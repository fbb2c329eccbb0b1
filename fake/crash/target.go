package crash

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"time"

	"cranberryrail/core/pause"
	"cranberryrail/core/relay"
	"cranberryrail/core/roster"
	"cranberryrail/core/route"
)

var (
	errDown    = errors.New("connection refused")
	errCrashed = errors.New("unexpected EOF")
)

// never is a duration that is longer than any run.
const never = 1000 * time.Hour

// restartTime is the time from a crash to the next start.
const restartTime = 2 * time.Second

// view returns the target as it is listed.
func (t *target) view() (roster.Target, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := fmt.Sprintf("t%d-%d", t.number, t.starts)
	return roster.Target{ID: id, Incarnation: id, Addr: fmt.Sprint(t.number)}, t.up
}

// pick chooses a target at random, including one that has just crashed.
func (r *Run) pick(req route.Request) (route.Choice, error) {
	for range 10 {
		t, up := r.targets[r.number(r.Targets)].view()
		if !slices.Contains(req.Avoid, t.ID) && (up || r.chance() < 0.3) {
			return route.Choice{Target: t}, nil
		}
	}
	return route.Choice{}, errDown
}

func (r *Run) targetAt(t roster.Target) *target {
	for _, at := range r.targets {
		if fmt.Sprint(at.number) == t.Addr {
			return at
		}
	}
	return nil
}

// hasCrashed reports whether the incarnation of a target has ended.
func (r *Run) hasCrashed(t roster.Target) bool {
	current, up := r.targetAt(t).view()
	return !up || current.Incarnation != t.Incarnation
}

// crash ends a target and starts it again.
func (r *Run) crash(ctx context.Context, t *target) error {
	t.mu.Lock()
	if !t.up {
		t.mu.Unlock()
		return nil
	}
	t.up = false
	close(t.crashed)
	t.mu.Unlock()
	pause.For(ctx, restartTime+time.Duration(r.chance()*float64(restartTime)))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.starts, t.up, t.crashed = t.starts+1, true, make(chan struct{})
	return nil
}

// dispatch sends a request to a target.
func (r *Run) dispatch(ctx context.Context, instance int, d relay.Dispatch) (*relay.Response, error) {
	t := r.targetAt(d.Target)
	t.mu.Lock()
	up, crashed := t.up && d.Target.Incarnation == fmt.Sprintf("t%d-%d", t.number, t.starts), t.crashed
	t.mu.Unlock()
	if !up {
		return nil, &relay.AttemptError{Kind: relay.Unreachable, Err: errDown}
	}
	bad := d.Key == crashingKey
	if bad {
		r.mu.Lock()
		r.arrivals = append(r.arrivals, arrival{r.now(), instance})
		r.mu.Unlock()
	}
	if r.Rejects > 0 && r.chance() < r.Rejects {
		return &relay.Response{Status: 503, ResponseHead: relay.ResponseHead{NotRun: true}, Close: func() {}}, nil
	}
	queued := -math.Log(1-r.chance()) * float64(queueTime)
	if !bad {
		err := r.await(ctx, crashed, queued)
		return r.stream(ctx, crashed), err
	}
	r.restarts.Go(func() error { return r.runCrashing(context.WithoutCancel(ctx), t, crashed, queued) })
	return nil, r.await(ctx, crashed, float64(never))
}

// runCrashing crashes the target after a crashing request was queued there for a number of nanoseconds, even if its caller has disconnected.
func (r *Run) runCrashing(ctx context.Context, t *target, crashed <-chan struct{}, queued float64) error {
	if r.await(ctx, crashed, queued) != nil {
		return nil
	}
	r.mu.Lock()
	r.crashes = append(r.crashes, r.now())
	r.mu.Unlock()
	return r.crash(ctx, t)
}

// await waits for a number of nanoseconds. It fails if the target crashes or the request ends.
func (r *Run) await(ctx context.Context, crashed <-chan struct{}, d float64) error {
	select {
	case <-time.After(time.Duration(d)):
		return nil
	case <-crashed:
		return &relay.AttemptError{Kind: relay.Broken, Sent: true, Err: errCrashed}
	case <-ctx.Done():
		return &relay.AttemptError{Kind: relay.Broken, Sent: true, Err: ctx.Err()}
	}
}

// stream returns the response of a target.
func (r *Run) stream(ctx context.Context, crashed <-chan struct{}) *relay.Response {
	n := 0
	return &relay.Response{
		Status: 200, ResponseHead: relay.ResponseHead{HasSignature: true, IsEventStream: true},
		Read: func(p []byte) (int, error) {
			if n == events {
				return 0, io.EOF
			}
			n++
			if err := r.await(ctx, crashed, float64(eventGap)); err != nil {
				return 0, err
			}
			return copy(p, "data: x\n\n"), nil
		},
		SetReadTimeout: func(time.Duration) {}, Close: func() {},
	}
}
