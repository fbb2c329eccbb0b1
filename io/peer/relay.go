package peer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"cranberryrail/core/roster"
	"cranberryrail/core/tail"
	"cranberryrail/io/plat"
)

// Limits of the relay.
const (
	// ProbeInitialWait is the wait after a failure of the direct path before the first probe.
	ProbeInitialWait = 500 * time.Millisecond
	// ProbeMaxWait is the maximum wait between two probes.
	ProbeMaxWait = 5 * time.Second
	// ProbeTimeout bounds one probe.
	ProbeTimeout = time.Second
	// MaxReadPeers is the maximum number of instances through which one read is tried.
	MaxReadPeers = 2
)

// Path is the path over which the platform's log is accessed.
type Path string

// Values of Path.
const (
	Direct  Path = "direct"
	Relayed Path = "relayed"
	// NoPath means that the log is unreachable, both directly and through other instances.
	NoPath Path = "none"
)

// NoPathError reports that the platform's log is unreachable, both directly and through other instances.
type NoPathError struct {
	Stream string
	// Err joins the errors of the paths that were tried; it is nil if none was tried.
	Err error
}

// Error implements the error interface.
func (e *NoPathError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("stream %s: the log is unreachable and no reachable instance can relay to it; it will be retried", e.Stream)
	}
	return fmt.Sprintf("stream %s: the log is unreachable: %v", e.Stream, e.Err)
}

// Unwrap returns the cause.
func (e *NoPathError) Unwrap() error { return e.Err }

// Relay accesses the platform's log directly and fails over to other instances while the direct path fails. All paths
// have the same semantics. Exported fields must be set before Default. It is safe for concurrent use.
type Relay struct {
	// Direct accesses the platform's log directly.
	Direct tail.Log
	// Peers returns the instances that may relay, in order of preference.
	Peers func() []roster.Peer
	// Client calls other instances.
	Client *Client
	// OnPeerFailed is called with the address of an instance that did not reply; optional.
	OnPeerFailed func(addr string)
	// OnPathChanged is called when the path changed; optional.
	OnPathChanged func(p Path)
	// IsPathFailure reports whether an error of Direct shows a broken path rather than a refusal by the platform;
	// optional.
	IsPathFailure func(err error) bool
	// Now returns the time.
	Now func() time.Time

	mu   sync.Mutex
	path Path
	// directFailures counts the failures of the direct path since its last success: the first one and those of probes.
	directFailures int
	probeAt        time.Time
	// heads holds the last known head of each stream. A probe reads from there, so that it transfers little data.
	heads map[string]int64
}

// String returns the name of the relay for logs.
func (r *Relay) String() string { return "relay to the log" }

// Default sets the defaults of empty fields.
func (r *Relay) Default() {
	if r.OnPeerFailed == nil {
		r.OnPeerFailed = func(string) {}
	}
	if r.OnPathChanged == nil {
		r.OnPathChanged = func(Path) {}
	}
	if r.IsPathFailure == nil {
		r.IsPathFailure = isPathFailure
	}
	if r.Now == nil {
		r.Now = time.Now
	}
	r.path = Direct
	r.heads = map[string]int64{}
}

// isPathFailure returns false for responses of the platform that would be the same over another path.
func isPathFailure(err error) bool {
	var trimmed *tail.TrimmedError
	var call *plat.CallError
	if errors.As(err, &call) {
		return call.Status < http.StatusBadRequest || call.Status >= http.StatusInternalServerError
	}
	return err != nil && !errors.As(err, &trimmed)
}

// Log returns a log that uses the path that is currently available.
func (r *Relay) Log() tail.Log { return tail.Log{Append: r.append, Read: r.read} }

// CurrentPath returns the path of the last call.
func (r *Relay) CurrentPath() Path {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.path
}

// append uses one path only, because it is unknown whether a failed append was written, whichever path it took. It does
// not probe a failed direct path; reads do.
func (r *Relay) append(ctx context.Context, stream string, data []byte) (int64, error) {
	if r.directAvailable() {
		offset, err := r.Direct.Append(ctx, stream, data)
		r.recordDirect(ctx, err)
		return offset, err
	}
	for _, p := range r.relayPeers(1) {
		offset, err := r.Client.Append(ctx, p.PeerAddr, stream, data)
		r.recordRelayed(ctx, p, err)
		return offset, err
	}
	r.setPath(NoPath)
	return 0, &NoPathError{Stream: stream}
}

func (r *Relay) read(ctx context.Context, stream string, from int64, wait time.Duration) (tail.Page, error) {
	var failed error
	if r.directAvailable() || r.probeDirect(ctx, stream, from) {
		page, err := r.Direct.Read(ctx, stream, from, wait)
		if r.recordDirect(ctx, err) {
			r.recordHead(stream, page.Head)
			return page, err
		}
		failed = err
	}
	for _, p := range r.relayPeers(MaxReadPeers) {
		page, err := r.Client.Read(ctx, p.PeerAddr, stream, from, wait)
		if r.recordRelayed(ctx, p, err) {
			r.recordHead(stream, page.Head)
			return page, err
		}
		failed = errors.Join(failed, err)
	}
	if ctx.Err() == nil {
		r.setPath(NoPath)
	}
	return tail.Page{}, &NoPathError{Stream: stream, Err: failed}
}

// relayPeers returns up to n reachable instances that report that they reach the log.
func (r *Relay) relayPeers(n int) []roster.Peer {
	var relays []roster.Peer
	for _, p := range r.Peers() {
		if len(relays) < n && p.LogReached && p.Reach == roster.Reachable {
			relays = append(relays, p)
		}
	}
	return relays
}

// directAvailable reports whether calls use the direct path.
func (r *Relay) directAvailable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.directFailures == 0
}

// probeDirect probes the direct path if a probe is due and reports whether it succeeded. The probe is a read that does
// not wait for records, so that a path that still hangs delays the caller by at most ProbeTimeout.
func (r *Relay) probeDirect(ctx context.Context, stream string, from int64) bool {
	r.mu.Lock()
	due := !r.Now().Before(r.probeAt)
	if due {
		// No other call probes during this probe.
		r.probeAt = r.Now().Add(2 * ProbeTimeout)
	}
	from = max(from, r.heads[stream])
	r.mu.Unlock()
	if !due {
		return false
	}
	bounded, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	_, err := r.Direct.Read(bounded, stream, from, 0)
	return ctx.Err() == nil && r.updateDirect(err, true)
}

func (r *Relay) recordHead(stream string, head int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heads[stream] = max(r.heads[stream], head)
}

// recordDirect records the outcome of a direct call and reports whether it is final, so that no other path is tried.
func (r *Relay) recordDirect(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return true
	}
	return r.updateDirect(err, false)
}

// updateDirect marks the direct path as available or failed and reports whether it is available. A failed probe
// increases the wait before the next probe; a failed call that was in flight when the path was marked does not.
func (r *Relay) updateDirect(err error, probed bool) bool {
	available := !r.IsPathFailure(err)
	r.mu.Lock()
	switch {
	case available:
		r.directFailures = 0
	case probed || r.directFailures == 0:
		wait := ProbeInitialWait
		for range r.directFailures {
			wait = min(2*wait, ProbeMaxWait)
		}
		r.directFailures++
		r.probeAt = r.Now().Add(wait)
	}
	r.mu.Unlock()
	if available {
		r.setPath(Direct)
	}
	return available
}

// recordRelayed records the outcome of a relayed call and reports whether it is final, so that no other path is tried.
func (r *Relay) recordRelayed(ctx context.Context, p roster.Peer, err error) bool {
	var call *CallError
	switch {
	case !errors.As(err, &call):
		r.setPath(Relayed)
		return true
	case ctx.Err() != nil:
		return true
	case call.Kind == NoReply:
		r.OnPeerFailed(p.PeerAddr)
	}
	return false
}

// setPath records the path of the last call. While the direct path is available, an older call that used another path
// does not change it.
func (r *Relay) setPath(p Path) {
	r.mu.Lock()
	if p != Direct && r.directFailures == 0 {
		p = Direct
	}
	changed := p != r.path
	r.path = p
	r.mu.Unlock()
	if changed {
		r.OnPathChanged(p)
	}
}
