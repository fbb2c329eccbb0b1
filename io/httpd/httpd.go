// Package httpd is the HTTP listener that the edges towards callers and operators have
// in common.
package httpd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"

	"golang.org/x/sync/errgroup"
)

// Server listens on an address and serves until its context ends. Exported fields are
// set before Listen.
type Server struct {
	// Server is the server of the library, with its handler and time-outs.
	http.Server
	// Whom names who is served, and Setting the setting that holds the address.
	Whom, Setting string

	listener net.Listener
}

// String names the server for logs.
func (s *Server) String() string { return "listener for " + s.Whom }

// Listen opens the listener; Addr is known afterwards.
func (s *Server) Listen(ctx context.Context, addr string) error {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", addr)
	if err != nil {
		return fmt.Errorf("listen for %s; change %s: %w", s.Whom, s.Setting, err)
	}
	s.listener = l
	return nil
}

// Address returns the address that is listened on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Run serves until the context ends. Requests in flight are then cut off; Shutdown before
// lets them finish.
func (s *Server) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		if err := s.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve %s: %w", s.Whom, err)
		}
		return nil
	})
	g.Go(func() error {
		<-ctx.Done()
		return s.Close()
	})
	return g.Wait()
}
