package plat

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"cranberryrail/core/tail"
)

// CallError tells that a call to the platform failed.
type CallError struct {
	// Op says what was being done.
	Op string
	// URL is the address that was called.
	URL string
	// Status is the HTTP status of the reply; 0 when there was none.
	Status int
	// Body is the reply to a refused call.
	Body []byte
	// Err is the cause when there was no whole reply.
	Err error
}

// Error implements the error interface.
func (e *CallError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("%s: %v; %s", e.Op, e.Err, e.hint())
	}
	text := e.Body[:min(len(e.Body), maxErrorBytes)]
	return fmt.Sprintf("%s: %s answered status %d: %q; %s", e.Op, e.URL, e.Status, text, e.hint())
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// hint says what can be done about the failure.
func (e *CallError) hint() string {
	switch e.Status {
	case 0, http.StatusOK:
		return "check that the platform can be reached at this address"
	case http.StatusTooManyRequests:
		return "the platform's rate limit is used up: retry later, or append fewer and larger batches"
	case http.StatusServiceUnavailable:
		return "the platform has an outage: retry later"
	case http.StatusRequestEntityTooLarge:
		return "the record is too large for the platform: append smaller batches"
	default:
		return "check that the URL is that of the platform's service"
	}
}

// asTrimmedError returns err as a *tail.TrimmedError when it carries the platform's answer to a
// read of records that are no longer kept.
func asTrimmedError(err error, stream string, from int64) error {
	var call *CallError
	if !errors.As(err, &call) || call.Err != nil || call.Status != http.StatusGone {
		return err
	}
	var reply TrimmedReply
	if jsonErr := json.Unmarshal(call.Body, &reply); jsonErr != nil {
		call.Err = fmt.Errorf("decode the reply: %w", jsonErr)
		return call
	}
	return &tail.TrimmedError{Stream: stream, From: from, Earliest: reply.Earliest}
}
