// Package httpd provides the HTTP server with an own listener that the servers for callers, operators,
// metrics and the readiness probe share.
package httpd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
)

// Server listens on an address and serves until its context ends. Exported fields are set before
// Listen.
type Server struct {
	// Server is the net/http server with its handler and timeouts.
	http.Server
	// Clients names the clients of the server, and Setting the setting with its address; both are for logs and
	// errors.
	Clients, Setting string

	listener net.Listener
}

// String returns the name of the server for logs.
func (s *Server) String() string { return "listener for " + s.Clients }

// Listen opens the listener. Address is valid afterwards.
func (s *Server) Listen(ctx context.Context, addr string) error {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", addr)
	if err != nil {
		return fmt.Errorf("open listener for %s; check setting %s: %w", s.Clients, s.Setting, err)
	}
	s.listener = l
	return nil
}

// Address returns the listen address.
func (s *Server) Address() string { return s.listener.Addr().String() }

// flushTimeout is how long responses whose handlers have ended may take to be written when the server ends.
const flushTimeout = 100 * time.Millisecond

// Run serves until the context ends, and then closes all connections once the responses whose handlers have ended are
// written. Call Shutdown first to let requests in flight finish.
func (s *Server) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		if err := s.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve %s: %w", s.Clients, err)
		}
		return nil
	})
	g.Go(func() error {
		<-ctx.Done()
		flush, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
		defer cancel()
		if err := s.Shutdown(flush); err == nil || !errors.Is(err, context.DeadlineExceeded) {
			return err
		}
		return s.Close()
	})
	return g.Wait()
}
