// Package httpd provides the HTTP server with an own listener that the servers for callers, operators,
// metrics and the readiness probe share.
package httpd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"cranberryrail/core/guard"
	"cranberryrail/core/pause"
)

// Server listens on an address and serves until its context ends. Exported fields are set before
// Listen.
type Server struct {
	// Server is the net/http server with its handler and timeouts.
	http.Server
	// Clients names the clients of the server, and Setting the setting with its address; both are for logs and
	// errors.
	Clients, Setting string
	// Guard accounts for the connections; optional.
	Guard *guard.Guard
	// OnClose is called before Run closes connections with requests in flight; optional.
	OnClose func()

	listener net.Listener
	// mu protects waiting, which holds the connections on which no request was read since they were accepted or since the last response.
	mu      sync.Mutex
	waiting map[*conn]struct{}
}

// String returns the name of the server for logs.
func (s *Server) String() string { return "listener for " + s.Clients }

// Listen opens the listener. Address is valid afterwards.
func (s *Server) Listen(ctx context.Context, addr string) error {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", addr)
	if err != nil {
		return fmt.Errorf("open listener for %s; check setting %s: %w", s.Clients, s.Setting, err)
	}
	if s.Guard == nil {
		s.Guard = &guard.Guard{}
	}
	s.listener, s.ConnState, s.waiting = listener{l, s.Guard}, s.setState, map[*conn]struct{}{}
	return nil
}

// Address returns the listen address.
func (s *Server) Address() string { return s.listener.Addr().String() }

// flushTimeout is how long responses whose handlers have ended may take to be written when the server ends.
const flushTimeout = 100 * time.Millisecond

// quietChecks is how often in a row, over flushTimeout, no request may be in flight before the connections that are left are closed.
const quietChecks = 4

// Drain closes the listener and the idle connections and waits until no request is in flight. Then it closes the connections that are left: net/http waits
// for those on which no request, or only a part of its head, has arrived, and callers keep such connections open.
func (s *Server) Drain(ctx context.Context, inFlight func() int64) error {
	busy, cancel := context.WithCancel(ctx)
	var g errgroup.Group
	g.Go(func() error {
		defer cancel()
		for quiet := 0; quiet < quietChecks && busy.Err() == nil; quiet++ {
			pause.For(busy, flushTimeout/quietChecks)
			if inFlight() > 0 {
				quiet = -1
			}
		}
		return nil
	})
	err := s.Shutdown(busy)
	cancel()
	_ = g.Wait() // the function returns no error
	if err != nil && ctx.Err() == nil {
		return s.Close()
	}
	return err
}

// sweepInterval is how often connections are looked for whose clients do not read.
const sweepInterval = time.Second

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
		for ctx.Err() == nil {
			pause.For(ctx, sweepInterval)
			s.Guard.Sweep()
		}
		return nil
	})
	g.Go(func() error {
		<-ctx.Done()
		s.awaitArrived(context.WithoutCancel(ctx))
		flush, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
		defer cancel()
		if err := s.Shutdown(flush); err == nil || !errors.Is(err, context.DeadlineExceeded) {
			return err
		}
		if s.OnClose != nil {
			s.OnClose()
		}
		return s.Close()
	})
	return g.Wait()
}
