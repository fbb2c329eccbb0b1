package relay_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/core/relay"
)

// TestEarlyEndIsAttributed guards against a request that ended without a whole answer and of which the log does not show who ended it.
func TestEarlyEndIsAttributed(t *testing.T) {
	broken := &relay.AttemptError{Kind: relay.Broken, Sent: true, Err: io.ErrUnexpectedEOF}
	for name, c := range map[string]struct {
		// events are sent before last; nil waits for the end of the exchange.
		events int
		last   error
		head   error
		// leaves is when the caller disconnects; 0 for never.
		leaves time.Duration
		// gone is set if nothing can be written to the caller.
		gone bool
		want relay.Ender
	}{
		"whole":                          {events: 2, last: io.EOF},
		"not run":                        {head: &relay.AttemptError{Kind: relay.Unreachable, Err: errors.New("refused")}},
		"target breaks off its events":   {events: 2, last: broken, want: relay.ByTarget},
		"target breaks off before":       {head: broken, want: relay.ByTarget},
		"caller leaves beside events":    {events: 2, leaves: time.Second, want: relay.ByCaller},
		"caller leaves before the head":  {leaves: time.Second, want: relay.ByCaller},
		"caller can't be written to":     {events: 2, gone: true, want: relay.ByCaller},
		"time limit after the head":      {events: 2, want: relay.ByDeadline},
		"time limit before the head":     {want: relay.ByDeadline},
		"software version is unrecorded": {head: &relay.AttemptError{Kind: relay.Unrecorded, Sent: true, Err: errors.New("store")}, want: relay.ByProcess},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(func(ctx context.Context, _ relay.Dispatch) (*relay.Response, error) {
					if c.head != nil {
						return nil, c.head
					}
					sent := 0
					return &relay.Response{
						Status: http.StatusOK, ResponseHead: relay.ResponseHead{HasSignature: true, IsEventStream: true}, SetReadTimeout: func(time.Duration) {}, Close: func() {},
						Read: func(p []byte) (int, error) {
							if sent++; sent <= c.events {
								return copy(p, "data: a\n\n"), nil
							}
							if c.last == nil {
								<-ctx.Done()
								return 0, &relay.AttemptError{Kind: relay.Broken, Sent: true, Err: ctx.Err()}
							}
							return 0, c.last
						},
					}, nil
				})
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if c.leaves > 0 {
					time.AfterFunc(c.leaves, cancel)
				}
				req := &relay.Request{ID: "1", Host: "h", Path: "/x", Key: "key", Prompt: &relay.Prompt{Tokens: 100, MaxOutput: 50}, Arrived: time.Now(), Timeout: 4 * time.Second}
				result := f.Serve(ctx, req, relay.Sink{Head: func(int, http.Header, int64) {}, Write: func([]byte) error {
					if c.gone {
						return io.ErrClosedPipe
					}
					return nil
				}})
				assert.Equal(t, result.EndedBy, c.want)
				assert.Equal(t, result.TimeLimit, 4*time.Second)
			})
		})
	}
}
