package table

import (
	"sync"
	"sync/atomic"
)

// Holder holds the table in force. Exported fields must be set before the first call; it is
// safe for concurrent use.
type Holder struct {
	// BeforeApply is called with each table before it comes into force; optional.
	BeforeApply func(t *Table)
	// OnApplied is called with each table that came into force; optional.
	OnApplied func(t *Table)

	mu      sync.Mutex
	current atomic.Pointer[Table]
}

// String returns the name of the holder for logs.
func (h *Holder) String() string { return "holder of the routing table" }

// Current returns the table in force, or nil if there is none yet.
func (h *Holder) Current() *Table { return h.current.Load() }

// Apply puts a configuration in force and reports whether it did. A configuration that is not newer
// than the one in force is ignored.
func (h *Holder) Apply(c Config) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if previous := h.current.Load(); previous != nil && c.Version <= previous.Version {
		return false
	}
	t := New(c)
	if h.BeforeApply != nil {
		h.BeforeApply(t)
	}
	h.current.Store(t)
	if h.OnApplied != nil {
		h.OnApplied(t)
	}
	return true
}
