package httpd

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"syscall"

	"golang.org/x/sys/unix"

	"cranberryrail/core/pause"
)

const (
	// acceptTimeout is how long requests that have arrived may wait to be read at the end of the server: half of flushTimeout, since both are parts of the time for
	// the exit of the process. acceptChecks is how often it is checked meanwhile, and quietAccepts how often in a row none may wait.
	acceptTimeout = flushTimeout / 2
	acceptChecks  = 25
	quietAccepts  = 2
)

// awaitArrived waits until no request has arrived that was not read, or until acceptTimeout is over. Once http.Server.Shutdown is called, the listener resets the
// connections that are not accepted, and net/http closes those on which a request is read without an answer.
func (s *Server) awaitArrived(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	for quiet := 0; quiet < quietAccepts && ctx.Err() == nil; quiet++ {
		if s.hasArrived() {
			quiet = -1
		}
		pause.For(ctx, acceptTimeout/acceptChecks)
	}
}

// hasArrived reports whether a connection waits to be accepted, or has bytes that were not read.
func (s *Server) hasArrived() bool {
	s.mu.Lock()
	waiting := slices.Collect(maps.Keys(s.waiting))
	s.mu.Unlock()
	return isReadable(s.listener.(listener).Listener) || slices.ContainsFunc(waiting, func(c *conn) bool { return isReadable(c) })
}

// isReadable reports whether a listener or a connection has something to accept or to read.
func isReadable(c any) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	readable := false
	err = raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}} //nolint:gosec // descriptors are small
		n, err := unix.Poll(polled, 0)
		readable = err == nil && n > 0 && polled[0].Revents&unix.POLLIN != 0
	})
	return err == nil && readable
}

// acceptError is an error of Accept after which a server accepts again.
type acceptError struct{ error }

// Unwrap returns the cause.
func (e acceptError) Unwrap() error { return e.error }

// Timeout implements net.Error.
func (acceptError) Timeout() bool { return false }

// Temporary implements net.Error. Servers wait and accept again after such an error.
func (acceptError) Temporary() bool { return true }

// Retryable returns an error of Accept so that a server accepts again, unless the listener is closed. Linux reports there what befell one new connection, or that
// memory is short, which net does not count as temporary; a server would end, and with it the process.
func Retryable(err error) error {
	if err == nil || errors.Is(err, net.ErrClosed) {
		return err
	}
	return acceptError{err}
}
