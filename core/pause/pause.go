// Package pause provides a sleep that ends early when its context does.
package pause

import (
	"context"
	"time"
)

// For waits for d or until the context ends, whichever is sooner.
func For(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
