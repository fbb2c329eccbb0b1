package httpd

import (
	"errors"
	"net"
)

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
