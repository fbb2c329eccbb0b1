package httpd_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cranberryrail/io/httpd"
)

// TestHalfClosedClientGetsItsAnswer guards against an answer that is cut because its client has ended its sending direction.
func TestHalfClosedClientGetsItsAnswer(t *testing.T) {
	for _, gap := range []time.Duration{0, 20 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond} {
		t.Run(gap.String(), func(t *testing.T) {
			t.Parallel()
			s := &httpd.Server{Clients: "tests"}
			s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				for i := 0; i < 4 && r.Context().Err() == nil; i++ {
					_, err := fmt.Fprintf(w, "data: %d\n\n", i)
					assert.Check(t, err == nil && http.NewResponseController(w).Flush() == nil)
					time.Sleep(gap)
				}
			})
			ctx, cancel := context.WithCancel(t.Context())
			assert.NilError(t, s.Listen(ctx, "127.0.0.1:0"))
			var g errgroup.Group
			g.Go(func() error { return s.Run(ctx) })
			client, err := net.Dial("tcp", s.Address())
			assert.NilError(t, err)
			defer client.Close()
			_, err = io.WriteString(client, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			assert.NilError(t, err)
			reader := bufio.NewReader(client)
			resp, err := http.ReadResponse(reader, nil)
			assert.NilError(t, err)
			defer resp.Body.Close()
			assert.NilError(t, client.(*net.TCPConn).CloseWrite())
			body, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(body), "data: 0\n\ndata: 1\n\ndata: 2\n\ndata: 3\n\n")
			assert.NilError(t, client.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
			_, err = reader.ReadByte()
			assert.ErrorIs(t, err, io.EOF, "the connection stays open")
			cancel()
			assert.NilError(t, g.Wait())
		})
	}
}
