// Package codes defines the numbered result codes that callers and operators receive, and the
// error type that carries them. The table in docs/CODES.md is generated from this package, and
// a test compares the two.
package codes

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Run states whether a target executed a refused or failed request.
type Run string

// Values of Run.
const (
	// NotRun means that no byte of the request reached a target that could execute it.
	NotRun Run = "not_run"
	// Unknown means that the request may or may not have been executed.
	Unknown Run = "unknown"
	// Ran means that the request was executed.
	Ran Run = "ran"
)

// Code is one numbered result code.
type Code struct {
	// Number is stable across releases; the first digit groups codes by subject.
	Number int
	// Name is the snake case name of the code.
	Name string
	// Status is the HTTP status that carries the code.
	Status int
	// Text describes the result in one sentence.
	Text string
}

// String returns the number and the name of the code.
func (c Code) String() string { return fmt.Sprintf("%d %s", c.Number, c.Name) }

// Error is a refusal or failure with its result code, whether the request was executed, and
// when it may be retried.
type Error struct {
	// Code is the numbered result code.
	Code Code
	// Run states whether the request was executed.
	Run Run
	// Detail describes the failed operation and how to fix the cause.
	Detail string
	// RetryAfter is the time after which a retry may succeed; 0 means that a retry of the same
	// request cannot succeed.
	RetryAfter time.Duration
	// Err is the cause, if any.
	Err error
}

// Error implements the error interface.
func (e *Error) Error() string {
	msg := fmt.Sprintf("%s: %s", e.Code, e.Detail)
	if e.Err != nil {
		msg += ": " + e.Err.Error()
	}
	return msg
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ByNumber returns the code with a number, and whether there is one.
func ByNumber(number int) (Code, bool) {
	i := slices.IndexFunc(All(), func(c Code) bool { return c.Number == number })
	if i < 0 {
		return Code{}, false
	}
	return All()[i], true
}

// Refuse returns an error for a request that was not executed.
func Refuse(c Code, retryAfter time.Duration, format string, args ...any) *Error {
	return &Error{Code: c, Run: NotRun, RetryAfter: retryAfter, Detail: fmt.Sprintf(format, args...)}
}

// From returns err as an *Error. It converts an error of another type, and nil, to Internal with the
// given Run; err becomes the cause, and Detail refers to the log of the instance.
func From(err error, run Run) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Code: Internal, Run: run, Detail: "unexpected failure; see the instance's log", Err: err}
}
