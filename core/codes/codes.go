// Package codes defines the numbered result codes that callers and operators
// receive, and the error type that carries them. The table in docs/CODES.md is
// held to this package by a test.
package codes

import (
	"errors"
	"fmt"
	"time"
)

// Run tells whether a refused or failed request was executed by a target.
type Run string

// The three statements that an answer makes about execution.
const (
	// NotRun states that no byte of the request reached a target that could execute it.
	NotRun Run = "not_run"
	// Unknown states that the request may or may not have been executed.
	Unknown Run = "unknown"
	// Ran states that the request was executed.
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
	// Text says in one sentence what happened.
	Text string
}

// String returns the number and the name of the code.
func (c Code) String() string { return fmt.Sprintf("%d %s", c.Number, c.Name) }

// Error is a refusal or failure with its code, whether the request ran, and
// when to come back.
type Error struct {
	// Code is the numbered result code.
	Code Code
	// Run states whether the request was executed.
	Run Run
	// Detail says what was being done and how to mend it.
	Detail string
	// RetryAfter is the time after which a retry may succeed; 0 means that a retry
	// of the same request can't succeed.
	RetryAfter time.Duration
	// Err is the cause, if there is one.
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

// Refuse returns an error for a request that was not executed.
func Refuse(c Code, retryAfter time.Duration, format string, args ...any) *Error {
	return &Error{Code: c, Run: NotRun, RetryAfter: retryAfter, Detail: fmt.Sprintf(format, args...)}
}

// From returns err as an *Error; an error of another type becomes Internal with
// the given statement about execution.
func From(err error, run Run) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Code: Internal, Run: run, Detail: "unexpected failure; see the instance's log", Err: err}
}
