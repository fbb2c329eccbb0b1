package peer_test

import (
	"context"
	"errors"
	"runtime"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cranberryrail/io/peer"
)

// TestLastForwardedRepliesAreSent guards against replies to forwarded requests that lose their end because the server closes their connections when no
// forwarded request is in flight any more.
func TestLastForwardedRepliesAreSent(t *testing.T) {
	const rounds, requests = 50, 16
	for range rounds {
		release := make(chan struct{})
		s := &peer.Server{Listen: "127.0.0.1:0", Forward: func(context.Context, peer.Forward, peer.ForwardWriter) peer.ForwardEnd {
			<-release
			return peer.ForwardEnd{Sent: true}
		}}
		s.Default()
		ctx, cancel := context.WithCancel(t.Context())
		assert.NilError(t, s.Bind(ctx))
		var server, callers errgroup.Group
		server.Go(func() error { return s.Run(ctx) })
		client := &peer.Client{}
		client.Default()
		for range requests {
			callers.Go(func() error {
				reply, err := client.Forward(t.Context(), s.Addr(), peer.Forward{HeaderTimeout: time.Minute, Remaining: time.Minute})
				var failed *peer.ForwardError
				for errors.As(err, &failed) && !failed.Sent { // A busy machine exceeds the time for a connection.
					reply, err = client.Forward(t.Context(), s.Addr(), peer.Forward{HeaderTimeout: time.Minute, Remaining: time.Minute})
				}
				if err != nil {
					return err
				}
				defer reply.Close()
				_, _, err = reply.Head()
				return err
			})
		}
		await := func(n int64) {
			for s.Forwarding() != n {
				runtime.Gosched()
			}
		}
		await(requests)
		close(release)
		await(0)
		cancel()
		assert.NilError(t, callers.Wait())
		assert.NilError(t, server.Wait())
		assert.NilError(t, client.Close())
	}
}
