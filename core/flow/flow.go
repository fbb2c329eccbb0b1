// Package flow estimates how long data waits at the network link of the machine.
package flow

import (
	"sync"
	"time"
)

// Meter models a link as a queue that is emptied at the link's rate. It is safe for concurrent use. Exported fields are
// set before the first call.
type Meter struct {
	// BytesPerSecond is the rate of the link; 0 if it is unknown, and then nothing waits.
	BytesPerSecond float64
	// Now returns the current time; time.Now by default.
	Now func() time.Time

	mu      sync.Mutex
	waiting float64
	updated time.Time
}

// String returns the name of the meter for logs.
func (m *Meter) String() string { return "meter of the machine's link" }

// Add records that bytes are handed to the link.
func (m *Meter) Add(bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.drain()
	m.waiting += float64(bytes)
}

// Delay returns how long the next byte waits until it is sent.
func (m *Meter) Delay() time.Duration {
	if m.BytesPerSecond <= 0 {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.drain()
	return time.Duration(m.waiting / m.BytesPerSecond * float64(time.Second))
}

// drain removes what was sent since the last update.
func (m *Meter) drain() {
	now := time.Now()
	if m.Now != nil {
		now = m.Now()
	}
	if passed := now.Sub(m.updated); passed > 0 {
		m.waiting = max(0, m.waiting-passed.Seconds()*m.BytesPerSecond)
		m.updated = now
	}
}
