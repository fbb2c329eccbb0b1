package logs

import (
	"errors"
	"fmt"
	"sync"
)

// ErrNewEra is returned when the era of the log changed, so that state from before does not apply and the newest records
// must be read again.
var ErrNewEra = errors.New("the log was restored from an older copy")

// EraError reports a reply that can't be used, because it does not show the present era of the log. The outcome of the
// call is unknown.
type EraError struct {
	// Found is the era that the reply shows, as text; empty if it shows none.
	Found string
	// Current is the highest era that an earlier reply has shown.
	Current int64
}

// Error implements the error interface.
func (e *EraError) Error() string {
	if e.Found == "" {
		return fmt.Sprintf("the reply shows no era of the log; the present one is %d", e.Current)
	}
	return fmt.Sprintf("the reply shows the era %q of the log; the present one is %d", e.Found, e.Current)
}

// EraTracker tracks the highest era that the replies of the log have shown. It is safe for concurrent use. Exported
// fields are set before its first use.
type EraTracker struct {
	// OnNewEra is called when a reply shows a higher era than the replies before; optional.
	OnNewEra func(era int64)
	// OnInvalid is called with the first reply whose era is invalid; optional.
	OnInvalid func(err error)

	mu       sync.Mutex
	current  int64
	known    bool
	reported bool
}

// Current returns the highest era that a reply has shown, and whether one has shown any.
func (t *EraTracker) Current() (era int64, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current, t.known
}

// Record records the era of a reply, given its text and whether it is valid. It returns an *EraError if the reply
// can't be used, because its era is lower than that of an earlier reply, or invalid although that of an earlier one was
// valid. A log without eras shows none in any reply.
func (t *EraTracker) Record(era int64, valid bool, text string) error {
	t.mu.Lock()
	before, known := t.current, t.known
	var invalid *EraError
	if valid && era >= before {
		t.current, t.known = era, true
	} else if known || text != "" {
		invalid = &EraError{Found: text, Current: before}
	}
	report := invalid != nil && !t.reported
	t.reported = t.reported || report
	t.mu.Unlock()
	switch {
	case report && t.OnInvalid != nil:
		t.OnInvalid(invalid)
	case invalid == nil && known && era > before && t.OnNewEra != nil:
		t.OnNewEra(era)
	}
	if invalid != nil && known {
		return invalid
	}
	return nil
}
