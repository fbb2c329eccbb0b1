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
	// ProbeFirst is the wait after a failure of the direct path until it is tried again.
	ProbeFirst = 500 * time.Millisecond
	// ProbeLongest is the longest wait between two tries.
	ProbeLongest = 5 * time.Second
	// ProbeTimeout bounds one try.
	ProbeTimeout = time.Second
	// MaxReadPeers is the most instances that one read is tried through.
	MaxReadPeers = 2
)

// Path tells how the platform's log is reached.
type Path string

// Values of Path.
const (
	Direct  Path = "direct"
	Relayed Path = "relayed"
	// None means that neither the direct path nor another instance reaches the log.
	None Path = "none"
)

// NoPathError tells that the platform's log is reached neither directly nor through
// another instance.
type NoPathError struct {
	Stream string
	// Err joins what failed; nil when no other instance says that it reaches the log.
	Err error
}

// Error implements the error interface.
func (e *NoPathError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("stream %s: the log is out of reach and no other instance in reach reaches it; it is tried again", e.Stream)
	}
	return fmt.Sprintf("stream %s: the log is out of reach: %v", e.Stream, e.Err)
}

// Unwrap returns the cause.
func (e *NoPathError) Unwrap() error { return e.Err }

// Relay reaches the platform's log directly and, while that fails, through other
// instances. The paths differ in reach, never in meaning. Exported fields are set
// before the first call; a Relay may be used by several goroutines.
type Relay struct {
	// Direct is the platform's log.
	Direct tail.Log
	// Peers returns the instances that may be asked, the best first.
	Peers func() []roster.Peer
	// Client calls other instances.
	Client *Client
	// Failed is told of an instance that did not answer; optional.
	Failed func(addr string)
	// Changed is told when the path changed; optional.
	Changed func(p Path)
	// PathFailed tells whether an error of Direct shows that the path is broken rather than
	// that the platform refused.
	PathFailed func(err error) bool
	// Now returns the time.
	Now func() time.Time

	mu   sync.Mutex
	path Path
	// failures counts the tries of the direct path that failed since it last worked.
	failures int
	probeAt  time.Time
	// heads are the last known heads of streams, from where a try reads next to nothing.
	heads map[string]int64
}

// String names the relay for logs.
func (r *Relay) String() string { return "relay to the log" }

// Default fills fields that were left empty.
func (r *Relay) Default() {
	if r.Failed == nil {
		r.Failed = func(string) {}
	}
	if r.Changed == nil {
		r.Changed = func(Path) {}
	}
	if r.PathFailed == nil {
		r.PathFailed = pathFailed
	}
	if r.Now == nil {
		r.Now = time.Now
	}
	r.path = Direct
	r.heads = map[string]int64{}
}

// pathFailed is false for an answer of the platform that another path would not change.
func pathFailed(err error) bool {
	var trimmed *tail.TrimmedError
	var call *plat.CallError
	if errors.As(err, &call) {
		return call.Status < http.StatusBadRequest || call.Status >= http.StatusInternalServerError
	}
	return err != nil && !errors.As(err, &trimmed)
}

// Log returns the log over whichever path works.
func (r *Relay) Log() tail.Log { return tail.Log{Append: r.append, Read: r.read} }

// State returns how the log was reached last.
func (r *Relay) State() Path {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.path
}

// append goes over one path only: whether a failed append was written is open on every
// path. It leaves it to reads to try a direct path that failed.
func (r *Relay) append(ctx context.Context, stream string, data []byte) (int64, error) {
	if r.works() {
		offset, err := r.Direct.Append(ctx, stream, data)
		r.note(ctx, err)
		return offset, err
	}
	for _, p := range r.relays(1) {
		offset, err := r.Client.Append(ctx, p.PeerAddr, stream, data)
		r.notePeer(ctx, p, err)
		return offset, err
	}
	r.set(None)
	return 0, &NoPathError{Stream: stream}
}

func (r *Relay) read(ctx context.Context, stream string, from int64, wait time.Duration) (tail.Page, error) {
	var failed error
	if r.works() || r.try(ctx, stream, from) {
		page, err := r.Direct.Read(ctx, stream, from, wait)
		if r.note(ctx, err) {
			r.noteHead(stream, page.Head)
			return page, err
		}
		failed = err
	}
	for _, p := range r.relays(MaxReadPeers) {
		page, err := r.Client.Read(ctx, p.PeerAddr, stream, from, wait)
		if r.notePeer(ctx, p, err) {
			r.noteHead(stream, page.Head)
			return page, err
		}
		failed = errors.Join(failed, err)
	}
	if ctx.Err() == nil {
		r.set(None)
	}
	return tail.Page{}, &NoPathError{Stream: stream, Err: failed}
}

// relays returns up to n instances that say that they reach the log.
func (r *Relay) relays(n int) []roster.Peer {
	var relays []roster.Peer
	for _, p := range r.Peers() {
		if len(relays) < n && p.LogReached && p.Reach == roster.Reachable {
			relays = append(relays, p)
		}
	}
	return relays
}

// works reports whether the direct path is taken.
func (r *Relay) works() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failures == 0
}

// try reports whether the direct path works again, if a try is due. A try is a read that
// does not wait, so that a path that still hangs costs little.
func (r *Relay) try(ctx context.Context, stream string, from int64) bool {
	r.mu.Lock()
	due := !r.Now().Before(r.probeAt)
	if due {
		// Other calls do not try while this one does.
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
	return ctx.Err() == nil && r.settle(err, true)
}

func (r *Relay) noteHead(stream string, head int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heads[stream] = max(r.heads[stream], head)
}

// note takes in the outcome of a direct call and reports whether it is the answer.
func (r *Relay) note(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return true
	}
	return r.settle(err, false)
}

// settle closes or opens the direct path. A call that was under way when the path was
// found broken does not make the next try later; a failed try does.
func (r *Relay) settle(err error, tried bool) bool {
	works := !r.PathFailed(err)
	r.mu.Lock()
	switch {
	case works:
		r.failures = 0
	case tried || r.failures == 0:
		wait := ProbeFirst
		for range r.failures {
			wait = min(2*wait, ProbeLongest)
		}
		r.failures++
		r.probeAt = r.Now().Add(wait)
	}
	r.mu.Unlock()
	if works {
		r.set(Direct)
	}
	return works
}

// notePeer takes in the outcome of a relayed call and reports whether it is the answer.
func (r *Relay) notePeer(ctx context.Context, p roster.Peer, err error) bool {
	var call *CallError
	switch {
	case !errors.As(err, &call):
		r.set(Relayed)
		return true
	case ctx.Err() != nil:
		return true
	case call.Kind == NoReply:
		r.Failed(p.PeerAddr)
	}
	return false
}

// set notes the path of the last call. While the direct path is closed for calls, an
// older direct call does not change it back.
func (r *Relay) set(p Path) {
	r.mu.Lock()
	if p != Direct && r.failures == 0 {
		p = Direct
	}
	changed := p != r.path
	r.path = p
	r.mu.Unlock()
	if changed {
		r.Changed(p)
	}
}
