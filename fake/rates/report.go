package rates

import (
	"fmt"
	"time"
)

// Parameters of the users' rule.
const (
	// Contact is the time from the first response with the limit until the rule applies, CountedWindow the window in which requests are
	// counted, and Notice the time from an instance's first forwarded response with the limit until its requests count.
	Contact       = 3 * time.Second
	CountedWindow = 4 * time.Second
	Notice        = 500 * time.Millisecond
)

// Report is the outcome of a run, by the users' rule.
type Report struct {
	// Arrivals are all requests that reached the target, and Limited those while the limit was named.
	Arrivals, Limited int
	// Most is the largest number of counted requests in a window, and Allowed the number that the rule allows in it.
	Most    int
	Allowed float64
	// Rate is the mean number of requests a second from Contact after the limit was first named until it changed or ended, and RateAfter that from
	// Contact after its end.
	Rate, RateAfter float64
}

// Allowed returns how many requests the users' rule allows in a window.
func Allowed(perSecond float64) float64 { return 1.5*perSecond*CountedWindow.Seconds() + 5 }

// String returns the figures of the report.
func (r Report) String() string {
	return fmt.Sprintf("%d requests, %d with the limit, at most %d in %v of %.1f allowed, %.2f a second, %.2f after it", r.Arrivals, r.Limited, r.Most, CountedWindow, r.Allowed, r.Rate, r.RateAfter)
}

// counts reports whether the rule counts a request.
func (r *Run) counts(a arrival) bool {
	forwardedAt, known := r.forwardedAt[a.instance]
	if !known || a.at < forwardedAt+Notice || a.at < r.From+Contact || r.limitAt(a.at) == nil {
		return false
	}
	for _, restart := range r.Restarts {
		if a.instance%2 == 0 && a.instance < r.Instances && a.at >= restart && a.at < restart+Contact {
			return false
		}
	}
	return true
}

// allowedFrom returns the number of requests that the rule allows in the window that begins at a time. If the limit changes in it, the larger one
// applies.
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

// report evaluates the run.
func (r *Run) report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := Report{Arrivals: len(r.arrivals), Allowed: Allowed(r.Limit)}
	var counted []arrival
	for _, a := range r.arrivals {
		if r.limitAt(a.at) != nil {
			report.Limited++
		}
		if r.counts(a) {
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
