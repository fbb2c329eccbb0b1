package target

import (
	"context"
	"errors"
	"fmt"
)

// Kind is the kind of failure of a request to a target.
type Kind string

// Kinds of failures.
const (
	// Refused: no connection was established, so nothing was sent.
	Refused Kind = "refused"
	// Leaving: the target accepts no new requests and has not run this one.
	Leaving Kind = "leaving"
	// Full: the engine has no capacity for the request.
	Full Kind = "full"
	// UnknownModel: the engine does not serve the model and version.
	UnknownModel Kind = "unknown_model"
	// Failed: the target returned an error or violated the protocol, or the connection broke.
	Failed Kind = "failed"
	// Silent: the target sent nothing within the timeout.
	Silent Kind = "silent"
	// Crossed: a frame belongs to another request or attempt.
	Crossed Kind = "crossed"
	// Gap: a frame is missing.
	Gap Kind = "gap"
	// Doubled: a frame was received twice.
	Doubled Kind = "doubled"
	// Truncated: the response ended before it was complete.
	Truncated Kind = "truncated"
	// Cancelled: the caller's context was cancelled.
	Cancelled Kind = "cancelled"
)

// invalidatesConns reports whether the connections to the target may be unusable after the failure.
func (k Kind) invalidatesConns() bool {
	switch k {
	case Failed, Silent, Crossed, Gap, Doubled, Truncated:
		return true
	}
	return false
}

// Error is the error of a failed request to a target.
type Error struct {
	// Kind is the kind of failure.
	Kind Kind
	// Addr is the address of the target.
	Addr string
	// Position is the position from which a stream can be resumed.
	Position int
	// Sent is false only if certainly no byte of the request was written.
	Sent bool
	// NotRun is true only if the request certainly did not run: nothing was sent, or the target reported that.
	NotRun bool
	// Err is the cause, with the operation that failed.
	Err error
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("target %s: %s at position %d (sent %t): %v", e.Addr, e.Kind, e.Position, e.Sent, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

var (
	errSilent     = errors.New("the target sent nothing within the timeout; its connection is closed")
	errSecondDial = errors.New("a call must not use a second connection")
)

// dialError marks a failure to establish a connection.
type dialError struct{ err error }

func (e *dialError) Error() string { return e.err.Error() }
func (e *dialError) Unwrap() error { return e.err }

// kindOf returns the kind of an error of the transport; the cause of the context may be errSilent. A deadline of the
// caller that has passed counts as Silent too.
func kindOf(ctx context.Context, err error) Kind {
	var dial *dialError
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errSilent), errors.Is(cause, context.DeadlineExceeded):
		return Silent
	case ctx.Err() != nil:
		return Cancelled
	case errors.As(err, &dial):
		return Refused
	}
	return Failed
}

// transportError returns the error of a request that failed in the transport.
func transportError(ctx context.Context, addr string, sent bool, err error) *Error {
	return &Error{Kind: kindOf(ctx, err), Addr: addr, Sent: sent, NotRun: !sent, Err: err}
}
