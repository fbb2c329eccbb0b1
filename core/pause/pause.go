// Package pause waits for a time or the end of a context.
package pause

import (
	"context"
	"time"
)

// For waits for a time, or until the context ends if that is sooner.
func For(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
