package route

import (
	"time"

	"cranberryrail/core/codes"
)

// Defaults of Limits and Retries.
const (
	// DefaultGlobal is the default limit of requests in flight on an instance.
	DefaultGlobal = 1024
	// DefaultReserveDivisor is the divisor of the global limit that gives the reserve on top of it for organisations
	// below their fair share.
	DefaultReserveDivisor = 8
	// DefaultRetryRatio is the number of retries that one request adds to the budget.
	DefaultRetryRatio = 0.1
	// DefaultRetryMin is the number of retries that an organisation starts with.
	DefaultRetryMin = 10
	// LimitRetryAfter is the retry-after time of a request that is refused because a limit is reached.
	LimitRetryAfter = 500 * time.Millisecond
)

// Limits bounds the requests in flight of each organisation and of the instance. It is
// not safe for concurrent use.
type Limits struct {
	// Global is the number of requests in flight from which on only requests of organisations below their fair share
	// are admitted.
	Global int
	// Reserve is the number of requests that may be admitted beyond Global.
	Reserve int

	inFlight map[string]int
	total    int
}

// Default sets the defaults of empty fields.
func (l *Limits) Default() {
	if l.Global == 0 {
		l.Global = DefaultGlobal
	}
	if l.Reserve == 0 {
		l.Reserve = max(1, l.Global/DefaultReserveDivisor)
	}
	if l.inFlight == nil {
		l.inFlight = map[string]int{}
	}
}

// Acquire admits a request of the organisation and counts it until Release, or returns an error when a limit is
// reached. A limit of 0 means that the organisation has no limit of its own.
func (l *Limits) Acquire(org string, limit int) error {
	n := l.inFlight[org]
	if limit > 0 && n >= limit {
		return codes.Refuse(codes.TooManyInFlight, LimitRetryAfter,
			"organisation %q has %d requests in flight, the limit is %d; wait for some to finish or raise the template's limit", org, n, limit)
	}
	if l.total >= l.Global && (n >= l.fairShare(org) || l.total >= l.Global+l.Reserve) {
		return codes.Refuse(codes.TooManyInFlight, LimitRetryAfter,
			"the instance has %d requests in flight, %d of them of organisation %q; retry later", l.total, n, org)
	}
	l.inFlight[org] = n + 1
	l.total++
	return nil
}

// Release ends an admitted request.
func (l *Limits) Release(org string) {
	n := l.inFlight[org]
	if n == 0 {
		return
	}
	l.total--
	l.inFlight[org] = n - 1
	if n == 1 {
		delete(l.inFlight, org)
	}
}

// fairShare returns the global limit divided by the number of organisations with requests in flight, org included.
func (l *Limits) fairShare(org string) int {
	active := len(l.inFlight)
	if l.inFlight[org] == 0 {
		active++
	}
	return max(1, l.Global/active)
}

// Retries is the retry budget of each organisation: a token bucket that requests fill and
// retries drain. Over any period an organisation gets at most Min retries plus Ratio times its
// requests. It is not safe for concurrent use.
type Retries struct {
	// Ratio is the number of retries that one request adds to the budget.
	Ratio float64
	// Min is the number of retries that an organisation starts with, and the most that it can accumulate.
	Min int

	spent map[string]float64
}

// Default sets the defaults of empty fields.
func (r *Retries) Default() {
	if r.Ratio == 0 {
		r.Ratio = DefaultRetryRatio
	}
	if r.Min == 0 {
		r.Min = DefaultRetryMin
	}
	if r.spent == nil {
		r.spent = map[string]float64{}
	}
}

// Withdraw takes one retry from the organisation's budget and reports whether one was available.
func (r *Retries) Withdraw(org string) bool {
	if r.spent[org]+1 > float64(r.Min) {
		return false
	}
	r.spent[org]++
	return true
}

// Deposit adds the retries of one request to the organisation's budget.
func (r *Retries) Deposit(org string) {
	remaining := r.spent[org] - r.Ratio
	if remaining <= 0 {
		delete(r.spent, org)
		return
	}
	r.spent[org] = remaining
}
