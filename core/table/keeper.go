package table

import (
	"sync"
	"sync/atomic"
)

// Keeper holds the table in force. Exported fields are set before the first call; it may
// be used by several goroutines.
type Keeper struct {
	// Applied is told of each table that comes into force; optional.
	Applied func(t *Table)

	mu      sync.Mutex
	current atomic.Pointer[Table]
}

// String names the keeper for logs.
func (k *Keeper) String() string { return "keeper of the routing table" }

// Current returns the table in force, nil before there is one.
func (k *Keeper) Current() *Table { return k.current.Load() }

// Apply puts a configuration in force and reports whether it did: one that is not newer
// than that in force changes nothing.
func (k *Keeper) Apply(c Config) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if before := k.current.Load(); before != nil && c.Version <= before.Version {
		return false
	}
	t := New(c)
	k.current.Store(t)
	if k.Applied != nil {
		k.Applied(t)
	}
	return true
}
