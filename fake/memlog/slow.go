package memlog

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"cranberryrail/core/logs"
)

// maxAppendWait is how long an append of Slow waits for those before it, or else it is refused, as in the platform's store.
const maxAppendWait = 2 * time.Second

// Slow returns a log whose appends take a time each. If inTurn is set, those to a partition are performed one after the other, as in the
// platform's store. An append whose caller has left is performed as well.
func Slow(l logs.Log, took time.Duration, inTurn bool) logs.Log {
	var mu sync.Mutex
	free := map[string]time.Time{}
	slow := l
	slow.Append = func(ctx context.Context, topic string, part int, at int64, records []logs.Record) (int64, error) {
		name := fmt.Sprintf("%s/%d", topic, part)
		mu.Lock()
		wait := max(0, time.Until(free[name]))
		if !inTurn {
			wait = 0
		}
		if wait > maxAppendWait {
			mu.Unlock()
			return 0, &logs.RefusedError{Status: http.StatusServiceUnavailable, Reason: "too many appends wait"}
		}
		free[name] = time.Now().Add(wait + took)
		mu.Unlock()
		var end int64
		var err error
		done := make(chan struct{})
		time.AfterFunc(wait+took, func() {
			end, err = l.Append(context.WithoutCancel(ctx), topic, part, at, records)
			close(done)
		})
		select {
		case <-done:
			return end, err
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
	return slow
}

// LoseUntil returns a log in which calls that begin before a time are never answered.
func LoseUntil(l logs.Log, replies time.Time) logs.Log {
	return Before(l, func(ctx context.Context) error {
		if time.Now().Before(replies) {
			<-ctx.Done()
		}
		return ctx.Err()
	})
}
