package route

import (
	"sync"
	"time"
)

// Defaults of RetryWindow.
const (
	// DefaultWindow is the period over which retries are limited to a ratio of the requests.
	DefaultWindow = 10 * time.Second
	// DefaultSlack is the number of retries per window that an instance has in addition to those allowed by the ratio:
	// the slack of a fleet, divided by more instances than the fleet has today.
	DefaultSlack = 2
	// windowBuckets is the number of buckets of the sliding window.
	windowBuckets = 20
	// ratioFactor is the fraction of the fleet's ratio that an instance uses, because requests and retries of
	// the instances are spread unevenly over a window.
	ratioFactor = 0.85
)

// RetryWindow is this instance's part of the retry budgets that all instances share, one for
// each service: in any window, retries are at most ratioFactor times Ratio times the requests
// that this instance received, plus Slack. Exported fields must be set before the first call.
// It is safe for concurrent use.
type RetryWindow struct {
	Length time.Duration
	// Ratio is the number of retries that one request allows.
	Ratio float64
	// Slack is the number of retries in addition to those allowed by Ratio.
	Slack int
	// Now returns the current time.
	Now func() time.Time

	mu       sync.Mutex
	services map[string]*serviceCounts
}

// serviceCounts are the requests and retries of one service by bucket of the window.
type serviceCounts struct {
	bucket   int64
	requests [windowBuckets]int
	retries  [windowBuckets]int
}

// Default sets the defaults of empty fields.
func (w *RetryWindow) Default() {
	if w.Length == 0 {
		w.Length = DefaultWindow
	}
	if w.Ratio == 0 {
		w.Ratio = DefaultRetryRatio
	}
	if w.Slack == 0 {
		w.Slack = DefaultSlack
	}
	if w.Now == nil {
		w.Now = time.Now
	}
	w.services = map[string]*serviceCounts{}
}

// Set changes the ratio and the slack.
func (w *RetryWindow) Set(ratio float64, slack int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Ratio, w.Slack = ratio, slack
}

// CountRequest counts a request to a service.
func (w *RetryWindow) CountRequest(service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.advance(service)
	c.requests[c.bucket%windowBuckets]++
}

// TryRetry counts a retry if the budget of the service allows one, and reports whether it
// does.
func (w *RetryWindow) TryRetry(service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.advance(service)
	if !w.allows(c) {
		return false
	}
	c.retries[c.bucket%windowBuckets]++
	return true
}

// AllowsRetry reports whether the budget of the service allows a retry now.
func (w *RetryWindow) AllowsRetry(service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.allows(w.advance(service))
}

func (w *RetryWindow) allows(c *serviceCounts) bool {
	requests, retries := 0, 0
	for i := range windowBuckets {
		requests += c.requests[i]
		retries += c.retries[i]
	}
	return float64(retries+1) <= ratioFactor*w.Ratio*float64(requests)+float64(w.Slack)
}

// advance moves the window of a service to the current time, clears the expired buckets and returns the counts.
func (w *RetryWindow) advance(service string) *serviceCounts {
	now := w.Now().UnixNano() / int64(w.Length/windowBuckets)
	c := w.services[service]
	if c == nil {
		c = &serviceCounts{bucket: now}
		w.services[service] = c
	}
	for steps := 0; c.bucket < now && steps < windowBuckets; steps++ {
		c.bucket++
		c.requests[c.bucket%windowBuckets], c.retries[c.bucket%windowBuckets] = 0, 0
	}
	c.bucket = max(c.bucket, now)
	return c
}
