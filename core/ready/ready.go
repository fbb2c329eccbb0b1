// Package ready decides for how long an instance reports that it is not ready after it refused requests that another instance can take.
package ready

import (
	"sync"
	"time"
)

// Defaults and parameters of Gate.
const (
	// DefaultHold spans several readiness checks of the platform.
	DefaultHold = 3 * time.Second
	// growth is the factor by which the hold grows with each overload that follows the end of the one before within forgetAfter.
	growth = 3
	// forgetAfter is how long an instance must be ready without an overload before the hold is Hold again.
	forgetAfter = 30 * time.Second
)

// Gate keeps an instance from being ready after refusals. A platform that assigns callers to instances by a hash may assign one whose load is many times what the
// link of a small machine carries. When the instance is ready again, that caller returns and overloads it again; so the hold grows, and the caller stays for longer
// with the next instance in its order, until it reaches one that can carry its load. Exported fields are set before the first call. It is safe for concurrent use.
type Gate struct {
	// Hold is the time after a refusal for which the instance is not ready, and MaxHold the longest one after overloads in series.
	Hold, MaxHold time.Duration
	// Now returns the current time; time.Now by default.
	Now func() time.Time

	mu sync.Mutex
	// until is when the instance is ready again. overloadedUntil is the same for overloads alone, and hold the present hold after one.
	until, overloadedUntil time.Time
	hold                   time.Duration
}

// String returns the name of the gate for logs.
func (g *Gate) String() string { return "readiness after refusals" }

func (g *Gate) now() time.Time {
	if g.Now == nil {
		return time.Now()
	}
	return g.Now()
}

func (g *Gate) baseHold() time.Duration {
	if g.Hold == 0 {
		return DefaultHold
	}
	return g.Hold
}

// Refused records that a request was refused that another instance may serve.
func (g *Gate) Refused() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.extend(g.now().Add(g.baseHold()))
}

// Overloaded records that a request was refused because the machine can't carry the load that the instance gets.
func (g *Gate) Overloaded() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now, base := g.now(), g.baseHold()
	switch {
	case g.hold == 0 || now.Sub(g.overloadedUntil) > forgetAfter:
		g.hold = base
	case now.After(g.overloadedUntil):
		g.hold = max(base, min(g.hold*growth, g.MaxHold))
	}
	g.overloadedUntil = now.Add(g.hold)
	g.extend(g.overloadedUntil)
}

// extend keeps the instance from being ready until a time. The lock is held.
func (g *Gate) extend(until time.Time) {
	if until.After(g.until) {
		g.until = until
	}
}

// Open reports whether the instance may be ready.
func (g *Gate) Open() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.now().Before(g.until)
}

// HeldFor returns the time until the instance may be ready; 0 if it may be now.
func (g *Gate) HeldFor() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(0, g.until.Sub(g.now()))
}
