package router

import (
	"syscall"
	"time"

	"cranberryrail/core/events"
	"cranberryrail/core/guard"
)

// Limits on callers and on what checks the readiness.
const (
	// headMemoryShare is the fraction of the memory that the heads of requests may use, and connMemoryShare the one that connections may. They are a part of
	// what the bodies and the answers leave.
	headMemoryShare = 0.0625
	connMemoryShare = 0.25
	// minHeadMemory has room for one request with as many fields as its size permits.
	minHeadMemory = 4 << 20
	// connBytes is the memory of a connection: its buffers for reading and writing and its stack.
	connBytes = 16 << 10
	// reservedDescriptors are left for listeners, the store, other instances and files. A connection of a caller needs up to one to a target besides its own,
	// so that callers may use half of the others.
	reservedDescriptors  = 64
	descriptorsPerCaller = 2
	// readyConns limits the connections to the listener for readiness checks, and readyHeadBytes the memory for their heads: those of some hundred checks.
	readyConns     = 32
	readyHeadBytes = 1 << 20
	// maxReadyHeader limits the head of a check, and readyIdleTimeout is how long a connection for checks stays idle.
	maxReadyHeader   = 32 << 10
	readyIdleTimeout = 2 * time.Minute
)

// newCallerGuard returns the guard of the listener for callers.
func (r *Router) newCallerGuard() *guard.Guard {
	s := r.Settings
	g := &guard.Guard{
		MaxConns: s.Caller.MaxConnections, MaxHeadBytes: int64(s.Caller.HeaderFields) * guard.FieldBytes, MaxBodyBytes: s.Memory.Bytes(bodyMemoryShare),
		Stall: s.Caller.StallS.Duration(), ReadLimit: s.Caller.ReadS.Duration(), OnClosed: r.Meter.CallerClosed,
	}
	if g.MaxConns == 0 {
		g.MaxConns = r.derivedConns()
	}
	if g.MaxHeadBytes == 0 {
		g.MaxHeadBytes = max(s.Memory.Bytes(headMemoryShare), minHeadMemory)
	}
	return g
}

// newReadyGuard returns the guard of the listener for readiness checks.
func (r *Router) newReadyGuard() *guard.Guard {
	s := r.Settings.Caller
	return &guard.Guard{MaxConns: readyConns, MaxHeadBytes: readyHeadBytes, Stall: s.StallS.Duration(), ReadLimit: s.ReadS.Duration(), OnClosed: r.Meter.CallerClosed}
}

// derivedConns returns the number of connections of callers for which there are descriptors and memory.
func (r *Router) derivedConns() int {
	conns := int(r.Settings.Memory.Bytes(connMemoryShare) / connBytes)
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		events.Log(r.Log, events.LimitUnknown).Err(err).Send()
		return conns
	}
	free := int(min(limit.Cur, 1<<20)) - reservedDescriptors - readyConns //nolint:gosec // bounded
	return max(min(conns, free/descriptorsPerCaller), 1)
}
