package entry_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cranberryrail/core/guard"
	"cranberryrail/core/relay"
	"cranberryrail/io/entry"
)

// TestEndsByThisProcessAreReported guards against requests that a panic, or the end of a stop, ends without a line in the log.
func TestEndsByThisProcessAreReported(t *testing.T) {
	type ways struct{ panics, stops, leaves bool }
	for name, c := range map[string]struct {
		ways
		want relay.Ender
	}{
		"panic": {ways{panics: true}, relay.ByProcess}, "stop": {ways{stops: true}, relay.ByProcess}, "caller": {ways{leaves: true}, relay.ByCaller},
	} {
		t.Run(name, func(t *testing.T) {
			serving, ended := make(chan struct{}), make(chan relay.Result, 1)
			s := &entry.Server{
				MaxBodyBytes: 1000, Guard: &guard.Guard{MaxBodyBytes: 1000}, SetRefusalHeaders: func(http.Header, string, time.Duration) {}, OnPanic: func(any) {},
				ParseRequest: func(*http.Request) (*relay.Request, error) { return &relay.Request{ID: "1"}, nil },
				MaxTime:      func(*relay.Request) time.Duration { return time.Minute },
				OnEnd:        func(r relay.Result, _ time.Duration) { ended <- r },
				Serve: func(ctx context.Context, req *relay.Request, sink relay.Sink) relay.Result {
					sink.Head(http.StatusOK, nil, -1)
					assert.Check(t, sink.Write([]byte("part")) == nil)
					close(serving)
					if c.panics {
						panic("a fault of the program")
					}
					<-ctx.Done()
					return relay.Result{Request: req, CallerGone: true, Truncated: true, EndedBy: relay.ByCaller}
				},
			}
			ctx, cancel := context.WithCancel(t.Context())
			assert.NilError(t, s.Listen(ctx, "127.0.0.1:0"))
			var g errgroup.Group
			g.Go(func() error { return s.Run(ctx) })
			conn, err := net.Dial("tcp", s.Addr())
			assert.NilError(t, err)
			defer conn.Close()
			_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
			assert.NilError(t, err)
			<-serving
			if c.leaves {
				assert.NilError(t, conn.Close())
			}
			if c.stops {
				cancel()
				assert.NilError(t, g.Wait())
				assert.Equal(t, len(ended), 1, "the server ended before its requests did")
			}
			result := <-ended
			assert.Equal(t, result.EndedBy, c.want)
			assert.Equal(t, result.Request.ID, "1")
			cancel()
			assert.NilError(t, g.Wait())
		})
	}
}
