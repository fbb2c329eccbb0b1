package events

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// Bounds of what is logged of invalid records. Another writer may write any number of them, any number of times.
const (
	// maxInvalid is the number of invalid records that are remembered, and maxInvalidPerMinute how many are logged in a minute.
	maxInvalid          = 1024
	maxInvalidPerMinute = 60
	// maxReasonBytes and maxKeyBytes limit what is quoted of a record.
	maxReasonBytes = 200
	maxKeyBytes    = 255
)

// Invalid decides which invalid records are logged: each once, until its reason changes or it was valid. It is safe for concurrent use. Exported fields
// are set before Default.
type Invalid struct {
	// Now returns the current time.
	Now func() time.Time

	mu sync.Mutex
	// reasons holds the reasons that were logged last, by topic and key.
	reasons *lru.Cache[invalidKey, string]
	// minuteFrom is when the present minute began, logged the number of records logged in it, and suppressed that of those that were not, since the last
	// that was.
	minuteFrom         time.Time
	logged, suppressed int
}

type invalidKey struct{ topic, key string }

// String returns the name of the component for logs.
func (i *Invalid) String() string { return "limit of invalid records in the log" }

// Default sets unset fields to their defaults.
func (i *Invalid) Default() {
	if i.Now == nil {
		i.Now = time.Now
	}
	i.reasons, _ = lru.New[invalidKey, string](maxInvalid) // fails only for a size below 1
}

// InvalidRecord is what is logged of an invalid record.
type InvalidRecord struct {
	// Key and Reason are shortened if they are long.
	Key, Reason string
	// Suppressed is the number of records that were not logged since the last that was, because of their number.
	Suppressed int
}

// Record records an invalid record, and returns what to log of it; nil if nothing is to be logged.
func (i *Invalid) Record(topic, key string, reason error) *InvalidRecord {
	text := reason.Error()
	r := &InvalidRecord{Key: key[:min(len(key), maxKeyBytes)], Reason: text[:min(len(text), maxReasonBytes)]}
	id := invalidKey{topic, r.Key}
	i.mu.Lock()
	defer i.mu.Unlock()
	if known, ok := i.reasons.Get(id); ok && known == r.Reason {
		return nil
	}
	now := i.Now()
	if now.Sub(i.minuteFrom) >= time.Minute {
		i.minuteFrom, i.logged = now, 0
	}
	if i.logged >= maxInvalidPerMinute {
		i.suppressed++
		return nil
	}
	i.logged++
	i.reasons.Add(id, r.Reason)
	r.Suppressed, i.suppressed = i.suppressed, 0
	return r
}

// Valid records that a record is valid again.
func (i *Invalid) Valid(topic, key string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.reasons.Len() > 0 {
		i.reasons.Remove(invalidKey{topic, key})
	}
}
