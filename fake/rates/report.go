package rates

import (
	"fmt"
	"time"
)

// Figures of the users' rule: when it begins to hold, the window in which requests are counted, and how long after it has forwarded the limit an
// instance is bound by it.
const (
	Contact       = 3 * time.Second
	CountedWindow = 4 * time.Second
	Notice        = 500 * time.Millisecond
)

// Report is the outcome of a run, by the users' rule.
type Report struct {
	// Arrivals are all requests that reached the target, and Limited those while the limit was named.
	Arrivals, Limited int
	// Most is the largest number of requests in a window, of instances that were bound and in touch, and Allowed what the rule allows there.
	Most    int
	Allowed float64
	// Rate is the mean rate from Contact after the limit was named until it changed or ended, and RateAfter the rate from Contact after its end.
	Rate, RateAfter float64
}

// Allowed returns how many requests the users' rule allows in a window.
func Allowed(perSecond float64) float64 { return 1.5*perSecond*CountedWindow.Seconds() + 5 }

// String returns the figures of the report.
func (r Report) String() string {
	return fmt.Sprintf("%d requests, %d with the limit, at most %d in %v of %.1f allowed, %.2f a second, %.2f after it", r.Arrivals, r.Limited, r.Most, CountedWindow, r.Allowed, r.Rate, r.RateAfter)
}

// bound reports whether a request counts by the users' rule.
func (r *Run) bound(a arrival) bool {
	told, known := r.told[a.instance]
	if !known || a.at < told+Notice || a.at < r.From+Contact || r.named(a.at) == nil {
		return false
	}
	for _, restart := range r.Restarts {
		if a.instance%2 == 0 && a.instance < r.Instances && a.at >= restart && a.at < restart+Contact {
			return false
		}
	}
	return true
}

// allowedFrom returns what the rule allows in the window from a time on: by the largest limit that was in force within it.
func (r *Run) allowedFrom(at time.Duration) float64 {
	limit := r.Limit
	if r.Changed > 0 && at >= r.ChangeAt+Contact {
		limit = r.Changed
	} else if r.Changed > 0 && at+CountedWindow >= r.ChangeAt {
		limit = max(limit, r.Changed)
	}
	return Allowed(limit)
}

// rate returns the requests a second from one time to another.
func (r *Run) rate(from, to time.Duration) float64 {
	n := 0
	for _, a := range r.arrivals {
		if a.at >= from && a.at < to {
			n++
		}
	}
	return float64(n) / (to - from).Seconds()
}

// report returns what the run has seen.
func (r *Run) report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := Report{Arrivals: len(r.arrivals), Allowed: Allowed(r.Limit)}
	var counted []arrival
	for _, a := range r.arrivals {
		if r.named(a.at) != nil {
			report.Limited++
		}
		if r.bound(a) {
			counted = append(counted, a)
		}
	}
	worst := 0.0
	for i, first := range counted {
		n := 0
		for _, a := range counted[i:] {
			if a.at < first.at+CountedWindow {
				n++
			}
		}
		if allowed := r.allowedFrom(first.at); float64(n)/allowed > worst {
			worst, report.Most, report.Allowed = float64(n)/allowed, n, allowed
		}
	}
	end := r.Length
	if r.To > 0 {
		end = r.To
		report.RateAfter = r.rate(r.To+Contact, r.Length)
	}
	if r.Changed > 0 {
		end = min(end, r.ChangeAt)
	}
	report.Rate = r.rate(r.From+Contact, end)
	return report
}
