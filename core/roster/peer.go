package roster

import "time"

// Reach is the reachability of another instance.
type Reach string

// Values of Reach.
const (
	// Reachable means that the instance responded within ReachableFor.
	Reachable Reach = "reachable"
	// Unknown means that the instance was not called recently, or that a retry is due.
	Unknown Reach = "unknown"
	// Unreachable means that the instance did not respond and no retry is due yet.
	Unreachable Reach = "unreachable"
)

// PeerView is the state that an instance reports of itself.
type PeerView struct {
	InstanceID  string `json:"instance_id"`
	Incarnation string `json:"incarnation"`
	Zone        string `json:"zone"`
	PeerAddr    string `json:"peer_addr"`
	// ConfigVersion is the version of the configuration in force.
	ConfigVersion int64 `json:"config_version"`
	Stopping      bool  `json:"stopping"`
	// LogReached reports whether the instance recently reached the platform's log directly.
	LogReached bool `json:"log_reached"`
	// LeavingTargets are the incarnations of targets known to be leaving.
	LeavingTargets []string `json:"leaving_targets,omitempty"`
	// ConfigAgeMS is the time in milliseconds since the configuration of the instance was last known to be the newest.
	ConfigAgeMS int64 `json:"config_age_ms"`
	// Marks are hashes of folded streams, by which instances detect diverging folds.
	Marks []StreamMark `json:"marks,omitempty"`
}

// StreamMark is the hash of the results of folding a stream up to the end of a run of offsets.
type StreamMark struct {
	Stream string `json:"stream"`
	Run    int64  `json:"run"`
	Chain  uint64 `json:"chain"`
}

// Peer is the state of another instance as known to this one.
type Peer struct {
	PeerView
	// Listed is the state in the platform's list; empty if the instance is not listed.
	Listed State `json:"listed,omitempty"`
	Reach  Reach `json:"reach"`
	// ResponseAgeMS is the time in milliseconds since the instance last responded; -1 if it never did.
	ResponseAgeMS int64 `json:"heard_age_ms"`
}

// peerState is the state that a View keeps for one address.
type peerState struct {
	view   PeerView
	listed State
	seed   bool
	// respondedAt is when the instance last responded; receivedAt is when its view last arrived in another way.
	respondedAt, receivedAt time.Time
	failures                int
	retryAt                 time.Time
}

func (e *peerState) reach(now time.Time) Reach {
	switch {
	case e.failures == 0 && within(e.respondedAt, now, ReachableFor):
		return Reachable
	case now.Before(e.retryAt):
		return Unreachable
	default:
		return Unknown
	}
}

// isLive reports whether the instance is assumed to take new work, reachable or not.
func (e *peerState) isLive(now time.Time) bool {
	if e.view.Stopping || e.listed == Leaving {
		return false
	}
	return e.listed == Live || within(e.respondedAt, now, ReachableFor) || within(e.receivedAt, now, ReachableFor)
}

// isCallable reports whether the instance may be called now.
func (e *peerState) isCallable(now time.Time) bool {
	gone := e.listed == Leaving && e.view.Stopping
	return !gone && e.reach(now) != Unreachable
}

// callClass returns the class of the instance in the calling order, lowest first.
func (e *peerState) callClass(now time.Time) int {
	class := 0
	if e.reach(now) != Reachable {
		class++
	}
	if e.listed == Leaving || e.view.Stopping {
		class += 2
	}
	return class
}

func (e *peerState) peer(now time.Time) Peer {
	p := Peer{PeerView: e.view, Listed: e.listed, Reach: e.reach(now), ResponseAgeMS: -1}
	if !e.respondedAt.IsZero() {
		p.ResponseAgeMS = now.Sub(e.respondedAt).Milliseconds()
	}
	return p
}

func within(t, now time.Time, d time.Duration) bool { return !t.IsZero() && now.Sub(t) < d }
