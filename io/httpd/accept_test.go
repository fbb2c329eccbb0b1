package httpd

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cranberryrail/core/guard"
)

// failingListener fails once with an error.
type failingListener struct {
	net.Listener
	once sync.Once
	err  error
}

func (l *failingListener) Accept() (c net.Conn, err error) {
	l.once.Do(func() { err = l.err })
	if err != nil {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
	}
	return l.Listener.Accept()
}

// TestErrorOfAcceptEndsNoServer guards against a process that ends because one connection could not be accepted.
func TestErrorOfAcceptEndsNoServer(t *testing.T) {
	for _, failure := range []error{syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EHOSTUNREACH, syscall.EPERM, syscall.EMFILE} {
		t.Run(failure.Error(), func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			s := &http.Server{Handler: http.NotFoundHandler()}
			var group errgroup.Group
			group.Go(func() error { return s.Serve(listener{&failingListener{Listener: l, err: failure}, &guard.Guard{}}) })
			resp, err := http.Get("http://" + l.Addr().String())
			if assert.Check(t, err) {
				assert.NilError(t, resp.Body.Close())
			}
			assert.NilError(t, s.Close())
			assert.Assert(t, errors.Is(group.Wait(), http.ErrServerClosed))
		})
	}
}

// TestAcceptedConnectionsAreServedAtTheEnd guards against requests that are reset without an answer at a planned stop, because the machine has accepted their
// connections and the process, which is slow, has not.
func TestAcceptedConnectionsAreServedAtTheEnd(t *testing.T) {
	const callers = 8
	s, accepting, resume := &Server{}, make(chan struct{}), make(chan struct{})
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Connection", "close") })
	s.ConnContext = sync.OnceValue(func() func(context.Context, net.Conn) context.Context {
		first := true
		return func(ctx context.Context, _ net.Conn) context.Context { // called before the next connection is accepted
			if first {
				first = false
				close(accepting)
				<-resume
			}
			return ctx
		}
	})()
	ctx, cancel := context.WithCancel(t.Context())
	assert.NilError(t, s.Listen(ctx, "127.0.0.1:0"))
	var server, group errgroup.Group
	server.Go(func() error { return s.Run(ctx) })
	var sent sync.WaitGroup
	sent.Add(callers)
	for range callers {
		group.Go(func() error {
			c, err := net.Dial("tcp", s.Address())
			if err != nil {
				return err
			}
			defer c.Close()
			_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			sent.Done()
			if err != nil {
				return err
			}
			_, err = http.ReadResponse(bufio.NewReader(c), nil)
			return err
		})
	}
	<-accepting
	sent.Wait()
	cancel()
	time.Sleep(acceptTimeout / 50)
	close(resume)
	assert.NilError(t, group.Wait())
	assert.NilError(t, server.Wait())
}
