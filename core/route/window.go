package route

import (
	"sync"
	"time"
)

// Defaults of Window.
const (
	// DefaultWindow is the time over which repeats are weighed against requests.
	DefaultWindow = 10 * time.Second
	// DefaultSlack is the number of repeats in a window that an instance has besides those that
	// requests earn: the slack of a fleet, divided among more instances than it has today.
	DefaultSlack = 2
	// windowSlots is the number of parts that a window slides by.
	windowSlots = 20
	// earnedPart is the part of the fleet's ratio that is used, since requests and repeats of
	// instances fall into a window unevenly.
	earnedPart = 0.85
)

// Window is this instance's part of the retry budgets that all instances share, one for
// each service: in any window, repeats are at most Ratio times the requests that this
// instance took, and Slack. Exported fields are set before the first call; it may be used
// from any goroutine.
type Window struct {
	// Length is the length of the window.
	Length time.Duration
	// Ratio is the number of repeats that one request earns.
	Ratio float64
	// Slack is the number of repeats besides those that are earned.
	Slack int
	// Now is the clock.
	Now func() time.Time

	mu       sync.Mutex
	services map[string]*counts
}

// counts are the requests and repeats of one service, by parts of the window.
type counts struct {
	at       int64
	requests [windowSlots]int
	repeats  [windowSlots]int
}

// Default fills fields that were left empty.
func (w *Window) Default() {
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
	w.services = map[string]*counts{}
}

// Set changes the ratio and the slack.
func (w *Window) Set(ratio float64, slack int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Ratio, w.Slack = ratio, slack
}

// Took counts a request for a service.
func (w *Window) Took(service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.slide(service)
	c.requests[c.at%windowSlots]++
}

// Repeat counts a repeat if the budget of the service allows one, and reports whether it
// does.
func (w *Window) Repeat(service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.slide(service)
	if !w.allows(c) {
		return false
	}
	c.repeats[c.at%windowSlots]++
	return true
}

// Allows reports whether the budget of the service allows a repeat now.
func (w *Window) Allows(service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.allows(w.slide(service))
}

func (w *Window) allows(c *counts) bool {
	requests, repeats := 0, 0
	for i := range windowSlots {
		requests += c.requests[i]
		repeats += c.repeats[i]
	}
	return float64(repeats+1) <= earnedPart*w.Ratio*float64(requests)+float64(w.Slack)
}

// slide returns the counts of a service with what is older than the window forgotten.
func (w *Window) slide(service string) *counts {
	now := w.Now().UnixNano() / int64(w.Length/windowSlots)
	c := w.services[service]
	if c == nil {
		c = &counts{at: now}
		w.services[service] = c
	}
	for steps := 0; c.at < now && steps < windowSlots; steps++ {
		c.at++
		c.requests[c.at%windowSlots], c.repeats[c.at%windowSlots] = 0, 0
	}
	c.at = max(c.at, now)
	return c
}
