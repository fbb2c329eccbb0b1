package relay

import (
	"fmt"
	"net/http"
	"time"

	"cranberryrail/core/codes"
	"cranberryrail/core/roster"
)

// Part is a part of a prompt that other prompts may share.
type Part struct {
	ID     string
	Tokens int
}

// Prompt describes what a request asks of a model.
type Prompt struct {
	Model string
	// Tokens is the length of the prompt, and MaxOutput the most tokens of the answer.
	Tokens, MaxOutput int64
	// Parts are the parts of the prompt in order; the last one is the request's own.
	Parts []Part
}

// Request is one request of a caller.
type Request struct {
	// ID is the caller's id of this attempt.
	ID string
	// Method, Host, URI and Path are as the caller sent them; URI is the path with its query.
	Method, Host, URI, Path string
	// Header is what is passed on.
	Header http.Header
	Body   []byte
	// Key is the caller's key, empty without one.
	Key string
	// Prompt is nil for a request to a plain service.
	Prompt *Prompt
	// Arrived is when the request began, and Patience how long the caller waits from then on;
	// 0 when the caller did not say.
	Arrived  time.Time
	Patience time.Duration
}

// Dispatch is one attempt at a target.
type Dispatch struct {
	*Request
	Target       roster.Target
	Organisation string
	// Priority is from 0 to route.TopPriority, which goes first.
	Priority int
	// Left is the time that the target has for the request.
	Left time.Duration
	// FirstWait is the longest time to the head of the answer.
	FirstWait time.Duration
	// After is the id of the last event that is known, when a stream is resumed.
	After string
	// Once tells that the request must not be repeated, so that it is worth a connection that
	// is known to work.
	Once bool
}

// Answer is the answer of a target as it arrives.
type Answer struct {
	Reply
	Status int
	// Read reads the body; the error is io.EOF after a whole body and a *AttemptError otherwise.
	Read func(p []byte) (int, error)
	// Wait bounds the time of each further Read.
	Wait func(d time.Duration)
	// Close ends the exchange; a body that was not read to its end is broken off.
	Close func()
}

// Reply is what the head of a target's answer says.
type Reply struct {
	// Signed tells that the target signed the answer.
	Signed bool
	// NotRun is the target's word that it did not run the request.
	NotRun bool
	// Events tells that the body is a stream of events.
	Events bool
	// Load is the load that the target reports; nil without a report.
	Load *roster.Load
	// Header is what is passed on to the caller.
	Header http.Header
}

// Kind tells why an attempt failed.
type Kind string

// Kinds of failures.
const (
	// Unreached is a target to which no connection could be made.
	Unreached Kind = "unreached"
	// Broken is a connection that ended before the answer did.
	Broken Kind = "broken"
	// Silent is a target that sent nothing within the time.
	Silent Kind = "silent"
	// Garbled is an answer that is not valid, or belongs to another request.
	Garbled Kind = "garbled"
	// Left is a caller that is gone.
	Left Kind = "cancelled"
	// Shed is a target that refused the request because of its load.
	Shed Kind = "shed"
	// Moved is a target that is not the one that was expected.
	Moved Kind = "moved"
	// Errored is a target that ran the request and failed.
	Errored Kind = "errored"
)

// AttemptError is the failure of one attempt.
type AttemptError struct {
	Kind Kind
	// Sent tells that the target may have received the request.
	Sent bool
	Err  error
}

// Error implements the error interface.
func (f *AttemptError) Error() string {
	if f.Err == nil {
		return string(f.Kind)
	}
	return fmt.Sprintf("%s: %v", f.Kind, f.Err)
}

// Unwrap returns the cause.
func (f *AttemptError) Unwrap() error { return f.Err }

// Sink takes the answer for the caller.
type Sink struct {
	// Head is called once, before Write. A length below 0 means that it is not known.
	Head func(status int, header http.Header, length int64)
	// Write passes bytes on at once.
	Write func(p []byte) error
}

// Result is how a request ended.
type Result struct {
	Request *Request
	// Version is that of the configuration that the request was handled by.
	Version      int64
	Route        string
	Organisation string
	Service      string
	// Priority is that of the request, from 0 to route.TopPriority.
	Priority int
	// Target is the last target that the request was sent to.
	Target roster.Target
	// Attempts counts the dispatches, and Sent those that a target may have received.
	Attempts, Sent int
	// Status is what the caller got; 0 when its answer was cut off or it left.
	Status int
	// First is the time to the first byte of the answer.
	First time.Duration
	// Events counts the events that were passed on.
	Events int
	// Reserved and Spent are tokens.
	Reserved, Spent int64
	// Cut tells that an answer had begun and could not be completed.
	Cut bool
	// Gone tells that the caller left before the end.
	Gone bool
	// Refused is the refusal that the caller got; nil when it got a target's answer.
	Refused *codes.Error
	// Failed is the last failure of an attempt, if there was one.
	Failed *AttemptError
}
