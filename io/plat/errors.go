package plat

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"cranberryrail/core/tail"
)

// CallError reports a failed call to the platform.
type CallError struct {
	// Op names the operation.
	Op string
	// URL is the URL of the call.
	URL string
	// Status is the HTTP status of the reply; 0 if there was none.
	Status int
	// Body is the body of a reply with a status other than 200.
	Body []byte
	// Err is the cause if no complete and valid reply was received.
	Err error
}

// Error implements the error interface.
func (e *CallError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("%s: %v; %s", e.Op, e.Err, e.hint())
	}
	text := e.Body[:min(len(e.Body), maxErrorBytes)]
	return fmt.Sprintf("%s: %s returned status %d: %q; %s", e.Op, e.URL, e.Status, text, e.hint())
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// hint returns advice on how to resolve the failure.
func (e *CallError) hint() string {
	switch e.Status {
	case 0, http.StatusOK:
		return "check that the platform is reachable at this address"
	case http.StatusTooManyRequests:
		return "the platform's rate limit is exceeded: retry later, or append fewer and larger batches"
	case http.StatusServiceUnavailable:
		return "the platform is unavailable: retry later"
	case http.StatusRequestEntityTooLarge:
		return "the record exceeds the platform's size limit: append smaller batches"
	default:
		return "check that the URL is the URL of the platform's service"
	}
}

// asTrimmedError converts err to a *tail.TrimmedError if it contains the platform's reply to a read of
// records that are no longer retained. It returns other errors unchanged.
func asTrimmedError(err error, stream string, from int64) error {
	var call *CallError
	if !errors.As(err, &call) || call.Err != nil || call.Status != http.StatusGone {
		return err
	}
	var reply TrimmedReply
	if jsonErr := json.Unmarshal(call.Body, &reply); jsonErr != nil {
		call.Err = fmt.Errorf("decode reply: %w", jsonErr)
		return call
	}
	return &tail.TrimmedError{Stream: stream, From: from, Earliest: reply.Earliest}
}
