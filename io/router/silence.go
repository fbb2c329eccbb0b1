package router

import (
	"sync"
	"time"

	"cranberryrail/core/relay"
)

// silenceTimer calls a function once a target has sent nothing for a time. If this process stood still, it waits as long again, at most the same time, for
// what the target has sent meanwhile. Exported fields are set before Start.
type silenceTimer struct {
	Bound    time.Duration
	OnSilent func()
	// Now returns the current time.
	Now func() time.Time

	mu sync.Mutex
	// timer is nil once OnSilent is called or the timer was stopped, and due is when it fires.
	timer *time.Timer
	due   time.Time
}

// String returns the name of the timer for logs.
func (s *silenceTimer) String() string { return "timer of a silent target" }

// Start starts the timer. Stop must be called.
func (s *silenceTimer) Start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.due = s.Now().Add(s.Bound)
	s.timer = time.AfterFunc(s.Bound, func() {
		if s.isDue() {
			s.OnSilent()
		}
	})
}

// isDue reports whether the target counts as silent, and starts the timer again if it may have sent something.
func (s *silenceTimer) isDue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer == nil {
		return false
	}
	now := s.Now()
	if late := now.Sub(s.due); late > relay.StallTolerance {
		wait := min(late, s.Bound)
		s.due = now.Add(wait)
		s.timer.Reset(wait)
		return false
	}
	s.timer = nil
	return true
}

// Stop stops the timer.
func (s *silenceTimer) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
}
