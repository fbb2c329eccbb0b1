package route

import (
	"time"

	"cranberryrail/core/codes"
)

// Defaults of Limits and Retries.
const (
	// DefaultGlobal is the number of requests that an instance has in flight.
	DefaultGlobal = 1024
	// DefaultReserveParts is the part of the global limit that is kept besides it for
	// organisations below their fair share.
	DefaultReserveParts = 8
	// DefaultRetryRatio is the number of retries that a request earns.
	DefaultRetryRatio = 0.1
	// DefaultRetryMin is the number of retries that an organisation starts with.
	DefaultRetryMin = 10
	// EnterRetry is the time to come back that is stated when a limit is reached.
	EnterRetry = 500 * time.Millisecond
)

// Limits bounds the requests in flight, of each organisation and of the instance. It is
// not safe for concurrent use.
type Limits struct {
	// Global is the number of requests in flight from which on only organisations below their
	// fair share enter.
	Global int
	// Reserve is how many may enter beyond Global.
	Reserve int

	inFlight map[string]int
	total    int
}

// Default fills fields that were left empty.
func (l *Limits) Default() {
	if l.Global == 0 {
		l.Global = DefaultGlobal
	}
	if l.Reserve == 0 {
		l.Reserve = max(1, l.Global/DefaultReserveParts)
	}
	if l.inFlight == nil {
		l.inFlight = map[string]int{}
	}
}

// Enter counts a request of the organisation until Leave, or refuses it. A limit of 0
// means that the organisation has none of its own.
func (l *Limits) Enter(org string, limit int) error {
	n := l.inFlight[org]
	if limit > 0 && n >= limit {
		return codes.Refuse(codes.TooManyInFlight, EnterRetry,
			"organisation %q has %d requests in flight and may have %d; finish some or raise the template's limit", org, n, limit)
	}
	if l.total >= l.Global && (n >= l.fairShare(org) || l.total >= l.Global+l.Reserve) {
		return codes.Refuse(codes.TooManyInFlight, EnterRetry,
			"the instance has %d requests in flight, %d of them of organisation %q; come back later", l.total, n, org)
	}
	l.inFlight[org] = n + 1
	l.total++
	return nil
}

// Leave ends a request that entered.
func (l *Limits) Leave(org string) {
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

// fairShare is the global limit divided among the organisations with requests, org included.
func (l *Limits) fairShare(org string) int {
	active := len(l.inFlight)
	if l.inFlight[org] == 0 {
		active++
	}
	return max(1, l.Global/active)
}

// Retries is the retry budget of each organisation: a token bucket that requests fill and
// retries empty. Over any time an organisation gets at most Min retries and Ratio times its
// requests. It is not safe for concurrent use.
type Retries struct {
	// Ratio is the number of retries that one request earns.
	Ratio float64
	// Min is the number that an organisation starts with, and the most that it can save.
	Min int

	spent map[string]float64
}

// Default fills fields that were left empty.
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

// Spend takes one retry from the organisation's budget and reports whether there was one.
func (r *Retries) Spend(org string) bool {
	if r.spent[org]+1 > float64(r.Min) {
		return false
	}
	r.spent[org]++
	return true
}

// Earn adds what one request earns.
func (r *Retries) Earn(org string) {
	left := r.spent[org] - r.Ratio
	if left <= 0 {
		delete(r.spent, org)
		return
	}
	r.spent[org] = left
}
