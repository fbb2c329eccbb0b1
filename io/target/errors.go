package target

import (
	"context"
	"errors"
	"fmt"
)

// Kind tells why an exchange with a target failed.
type Kind string

// Kinds of failures.
const (
	// Refused: no connection could be made, so nothing was sent.
	Refused Kind = "refused"
	// Leaving: the target takes no new work and has not run the request.
	Leaving Kind = "leaving"
	// Full: the engine has no place for the request.
	Full Kind = "full"
	// UnknownModel: the engine does not serve the model and version.
	UnknownModel Kind = "unknown_model"
	// Failed: the target answered an error or something that breaks the protocol, or the connection broke.
	Failed Kind = "failed"
	// Silent: nothing came within the time limit.
	Silent Kind = "silent"
	// Crossed: a frame belongs to another request or attempt.
	Crossed Kind = "crossed"
	// Gap: a frame is missing.
	Gap Kind = "gap"
	// Doubled: a frame came again.
	Doubled Kind = "doubled"
	// Truncated: the answer ended before its end.
	Truncated Kind = "truncated"
	// Cancelled: the caller's context ended.
	Cancelled Kind = "cancelled"
)

// breaksConn reports whether the failure makes the connections to the target suspect.
func (k Kind) breaksConn() bool {
	switch k {
	case Failed, Silent, Crossed, Gap, Doubled, Truncated:
		return true
	}
	return false
}

// Error is the failure of an exchange with a target.
type Error struct {
	// Kind is the cause.
	Kind Kind
	// Addr is the address of the target.
	Addr string
	// Position is the position from which a stream can be resumed.
	Position int
	// Sent is false only if certainly no byte of the request was written.
	Sent bool
	// NotRun is true only if the request certainly did not run: nothing was sent, or the target said so.
	NotRun bool
	// Err says what was being done.
	Err error
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("target %s: %s at position %d (sent %t): %v", e.Addr, e.Kind, e.Position, e.Sent, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

var (
	errSilent     = errors.New("nothing came within the time limit; the connection is given up")
	errSecondDial = errors.New("a call has one connection only")
)

// dialError marks the failure to make a connection.
type dialError struct{ err error }

func (e *dialError) Error() string { return e.err.Error() }
func (e *dialError) Unwrap() error { return e.err }

// kindOf classifies an error of the transport under a context whose cause may be errSilent. A
// deadline of the caller that passed is silence too.
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

// failure builds the error of an exchange that the transport gave up.
func failure(ctx context.Context, addr string, sent bool, err error) *Error {
	return &Error{Kind: kindOf(ctx, err), Addr: addr, Sent: sent, NotRun: !sent, Err: err}
}
