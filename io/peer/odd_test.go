package peer_test

import (
	"context"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/io/peer"
)

// TestOddRepliesAreNoResponses guards against an odd reply of another instance that panics here, or that is taken for a complete response or for a request that
// was not sent.
func TestOddRepliesAreNoResponses(t *testing.T) {
	sound := peer.ForwardHead{Status: 200}
	for name, reply := range map[string]func(w peer.ForwardWriter) peer.ForwardEnd{
		"no status": func(w peer.ForwardWriter) peer.ForwardEnd {
			_ = w.Head(peer.ForwardHead{})
			return peer.ForwardEnd{Sent: true}
		},
		"an interim status": func(w peer.ForwardWriter) peer.ForwardEnd {
			_ = w.Head(peer.ForwardHead{Status: 101})
			return peer.ForwardEnd{Sent: true}
		},
		"a status of four digits": func(w peer.ForwardWriter) peer.ForwardEnd {
			_ = w.Head(peer.ForwardHead{Status: 2000})
			return peer.ForwardEnd{Sent: true}
		},
		"no head": func(w peer.ForwardWriter) peer.ForwardEnd {
			_, _ = w.Write([]byte("body"))
			return peer.ForwardEnd{Sent: true}
		},
		"an empty end only": func(peer.ForwardWriter) peer.ForwardEnd { return peer.ForwardEnd{} },
		"two heads": func(w peer.ForwardWriter) peer.ForwardEnd {
			_, _ = w.Head(sound), w.Head(sound)
			return peer.ForwardEnd{Sent: true}
		},
		"an empty end": func(w peer.ForwardWriter) peer.ForwardEnd {
			_ = w.Head(sound)
			_, _ = w.Write([]byte("part"))
			return peer.ForwardEnd{}
		},
	} {
		t.Run(name, func(t *testing.T) {
			n := startNode(t, "a", &clock{}, func(s *peer.Server) {
				s.Forward = func(_ context.Context, _ peer.Forward, w peer.ForwardWriter) peer.ForwardEnd { return reply(w) }
			})
			r, err := n.client.Forward(t.Context(), n.Addr(), peer.Forward{HeaderTimeout: time.Minute, Remaining: time.Minute})
			assert.NilError(t, err)
			defer r.Close()
			head, end, err := r.Head()
			if err == nil && head != nil {
				assert.Assert(t, head.Status == sound.Status)
				for err == nil {
					_, end, err = r.Read(make([]byte, 10))
				}
			}
			failed, isFailure := err.(*peer.ForwardError) //nolint:errorlint // Head and Read return it unwrapped
			assert.Assert(t, isFailure && failed.Sent, "%v", err)
			assert.Assert(t, end == nil && err != io.EOF) //nolint:errorlint // the same
		})
	}
}
