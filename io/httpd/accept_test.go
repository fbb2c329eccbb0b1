package httpd

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
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
			group.Go(func() error { return s.Serve(listener{&failingListener{Listener: l, err: failure}}) })
			resp, err := http.Get("http://" + l.Addr().String())
			if assert.Check(t, err) {
				assert.NilError(t, resp.Body.Close())
			}
			assert.NilError(t, s.Close())
			assert.Assert(t, errors.Is(group.Wait(), http.ErrServerClosed))
		})
	}
}
