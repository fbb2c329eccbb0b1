package crash

import (
	"fmt"
	"time"
)

// Report is the outcome of a run, by the users' rules. A request counts only at an instance that was in touch: neither it nor the
// log was disturbed for Contact.
type Report struct {
	// Crashes and Arrivals are the targets that crashed under crashing requests, and the crashing requests that reached
	// targets.
	Crashes, Arrivals int
	// Late are the arrivals later than Contact after the fifth crash, or the third if the crashing requests are the same. More than three break
	// the rule.
	Late int
	// Sound are the sound requests later than twice Contact after the third crash, and First those whose first attempt was
	// answered; the users' rule begins with the fifth crash. SoundBefore and FirstBefore are those from before the first crash.
	Sound, First, SoundBefore, FirstBefore int
}

// Numbers of crashes after which a part must be known, and after which sound requests must be served again.
const (
	knownAfter     = 5
	knownAfterSame = 3
	servedAfter    = 3
)

// String returns the figures of the report.
func (r Report) String() string {
	return fmt.Sprintf("%d crashes, %d arrivals, %d late; %d of %d sound requests at the first attempt, %d of %d before", r.Crashes, r.Arrivals, r.Late, r.First, r.Sound, r.FirstBefore, r.SoundBefore)
}

// inTouch reports whether an instance is in touch at a time.
func (r *Run) inTouch(instance int, at time.Duration) bool {
	for _, w := range r.LogAway {
		if w.overlaps(at, Contact) {
			return false
		}
	}
	for _, w := range r.Parted {
		if instance%2 == 1 && w.overlaps(at, Contact) {
			return false
		}
	}
	for _, restart := range r.Restarts {
		if instance%2 == 0 && at >= restart && at < restart+Contact {
			return false
		}
	}
	return true
}

// report returns what the run has seen.
func (r *Run) report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := Report{Crashes: len(r.crashes), Arrivals: len(r.arrivals)}
	begin, served := r.AllCrash, r.AllCrash
	if n := min(len(r.crashes), servedAfter); n > 0 {
		begin, served = r.crashes[0], r.crashes[n-1]
	}
	if begin == 0 {
		return out
	}
	known := knownAfter
	if r.Same {
		known = knownAfterSame
	}
	for _, a := range r.arrivals {
		if len(r.crashes) >= known && a.at > r.crashes[known-1]+Contact && r.inTouch(a.instance, a.at) {
			out.Late++
		}
	}
	for _, s := range r.sound {
		switch {
		case !r.inTouch(s.instance, s.at):
		case s.at < begin-Contact/3:
			out.SoundBefore++
			out.FirstBefore += count(s.first)
		case s.at > served+2*Contact && s.at < r.Length-time.Second:
			out.Sound++
			out.First += count(s.first)
		}
	}
	return out
}

func count(counted bool) int {
	if counted {
		return 1
	}
	return 0
}
