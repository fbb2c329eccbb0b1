package roster

import "time"

// Reach tells what is known of the path to another instance.
type Reach string

// Values of Reach.
const (
	// Reachable is an instance that answered lately.
	Reachable Reach = "reachable"
	// Unknown is an instance that was not asked lately, or is to be tried again.
	Unknown Reach = "unknown"
	// Unreachable is an instance that did not answer and is not to be asked yet.
	Unreachable Reach = "unreachable"
)

// PeerView is what an instance says of itself.
type PeerView struct {
	InstanceID  string `json:"instance_id"`
	Incarnation string `json:"incarnation"`
	Zone        string `json:"zone"`
	PeerAddr    string `json:"peer_addr"`
	// ConfigVersion is the version of the configuration in force.
	ConfigVersion int64 `json:"config_version"`
	Stopping      bool  `json:"stopping"`
	// LogReached tells whether the instance reached the platform's log directly lately.
	LogReached bool `json:"log_reached"`
	// LeavingTargets are incarnations of targets known to leave.
	LeavingTargets []string `json:"leaving_targets,omitempty"`
	// ConfigAgeMS is the time in milliseconds since the head of the config stream was heard of.
	ConfigAgeMS int64 `json:"config_age_ms"`
	// Marks are hashes of folded streams, by which instances find that one folded differently.
	Marks []StreamMark `json:"marks,omitempty"`
}

// StreamMark is the hash of the results of a stream up to the end of a run of offsets.
type StreamMark struct {
	Stream string `json:"stream"`
	Run    int64  `json:"run"`
	Chain  uint64 `json:"chain"`
}

// Peer is another instance as this one knows it.
type Peer struct {
	PeerView
	// Listed is the state in the platform's list; empty when it is not listed.
	Listed State `json:"listed,omitempty"`
	Reach  Reach `json:"reach"`
	// HeardAgeMS is the time in milliseconds since the instance last answered; -1 when it never did.
	HeardAgeMS int64 `json:"heard_age_ms"`
}

// entry is what a View keeps of one address.
type entry struct {
	view   PeerView
	listed State
	seed   bool
	// heard is when the instance answered; told is when its view came in another way.
	heard, told time.Time
	failures    int
	retryAt     time.Time
}

func (e *entry) reach(now time.Time) Reach {
	switch {
	case e.failures == 0 && within(e.heard, now, ReachFor):
		return Reachable
	case now.Before(e.retryAt):
		return Unreachable
	default:
		return Unknown
	}
}

// live reports whether the instance is thought to take work, in reach or not.
func (e *entry) live(now time.Time) bool {
	if e.view.Stopping || e.listed == Leaving {
		return false
	}
	return e.listed == Live || within(e.heard, now, ReachFor) || within(e.told, now, ReachFor)
}

// askable reports whether it is of use to call the instance now.
func (e *entry) askable(now time.Time) bool {
	gone := e.listed == Leaving && e.view.Stopping
	return !gone && e.reach(now) != Unreachable
}

// order is the class by which instances are asked, the lowest first.
func (e *entry) order(now time.Time) int {
	class := 0
	if e.reach(now) != Reachable {
		class++
	}
	if e.listed == Leaving || e.view.Stopping {
		class += 2
	}
	return class
}

func (e *entry) peer(now time.Time) Peer {
	p := Peer{PeerView: e.view, Listed: e.listed, Reach: e.reach(now), HeardAgeMS: -1}
	if !e.heard.IsZero() {
		p.HeardAgeMS = now.Sub(e.heard).Milliseconds()
	}
	return p
}

func within(t, now time.Time, d time.Duration) bool { return !t.IsZero() && now.Sub(t) < d }
