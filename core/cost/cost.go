// Package cost estimates how much work a request is and how much work remains at each target, from what one instance
// observes. Model learns output lengths and speeds, and Ledger tracks the work at the targets. Both forget, since callers
// and targets change, and neither is safe for concurrent use.
package cost

import (
	"math"
	"time"
)

// DefaultDecay is the time constant with which observations are forgotten. Workloads and machines change within minutes.
const DefaultDecay = 30 * time.Second

// Part is a part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Request holds what is known of a request before it is sent.
type Request struct {
	Route, Organisation, Service, Model string
	// Prompt, MaxOutput and Hint are in tokens; Hint is the caller's estimate of the output, 0 if there is none. All are 0 for a plain service.
	Prompt, MaxOutput, Hint int64
	// Parts are the parts of the prompt in order. The last one is specific to the request.
	Parts []Part
	// Resumed is set if a part of the output was received before.
	Resumed bool
}

// IsPlain reports whether the request is for a plain service.
func (r *Request) IsPlain() bool { return r.Prompt <= 0 && r.MaxOutput <= 0 }

// Estimate is what a request is expected to need on a target of usual speed with an empty cache.
type Estimate struct {
	// Mean, P50 and P90 are of the number of output tokens.
	Mean, P50, P90 float64
	// Base is the time to the first event of an empty prompt, PerToken the time of one prompt token, and Step that of one output token, in ms.
	Base, PerToken, Step float64
	// Seen is the decayed number of observations of the service.
	Seen float64
	// paceEffect is the exponent of the reported pace, and batchEffect the slowdown for each other request.
	paceEffect, batchEffect float64
	// speedEffect is how far learned speeds of targets are trusted, from 0 to 1.
	speedEffect float64
}

// Decode returns the expected time from the first event to the last, in ms.
func (e *Estimate) Decode() float64 { return e.Step * e.Mean }

// Plan is the expected course of a request at one target.
type Plan struct {
	Request  *Request
	Estimate *Estimate
	Target   string
	// Tokens is the number of prompt tokens that the target has not cached.
	Tokens float64
	Wait   Wait
	// First and Total are the expected times to the first event and to the end, in ms, and Slot is the part of them until a slot is free.
	First, Total, Slot float64
}

// Outcome is the observed course of a request. First and Total are in ms. Output is the number of output tokens, 0 if it is unknown.
type Outcome struct {
	Plan
	First, Total float64
	Output       int64
}

// moments are decayed sums of pairs of values.
type moments struct {
	at                  time.Time
	n, x, y, xx, xy, yy float64
}

func (m *moments) decay(now time.Time, constant time.Duration) {
	if d := now.Sub(m.at); d > 0 {
		f := math.Exp(-d.Seconds() / constant.Seconds())
		m.n, m.x, m.y, m.xx, m.xy, m.yy = f*m.n, f*m.x, f*m.y, f*m.xx, f*m.xy, f*m.yy
		m.at = now
	}
}

func (m *moments) add(x, y float64) {
	m.n, m.x, m.y, m.xx, m.xy, m.yy = m.n+1, m.x+x, m.y+y, m.xx+x*x, m.xy+x*y, m.yy+y*y
}

// limit lets the sums count as at most n pairs.
func (m *moments) limit(n float64) {
	if m.n > n {
		f := n / m.n
		m.n, m.x, m.y, m.xx, m.xy, m.yy = f*m.n, f*m.x, f*m.y, f*m.xx, f*m.xy, f*m.yy
	}
}

// means returns the means of x and y, drawn towards priors that count as several observations.
func (m *moments) means(weight, priorX, priorY float64) (x, y float64) {
	return (m.x + weight*priorX) / (m.n + weight), (m.y + weight*priorY) / (m.n + weight)
}

// covariances returns the variance of x, the covariance and the variance of y.
func (m *moments) covariances() (xx, xy, yy float64) {
	if m.n < 1 {
		return 0, 0, 0
	}
	mx, my := m.x/m.n, m.y/m.n
	return max(m.xx/m.n-mx*mx, 0), m.xy/m.n - mx*my, max(m.yy/m.n-my*my, 0)
}

// slope returns the slope of y over x, drawn towards a prior that counts as several observations.
func (m *moments) slope(weight, prior float64) float64 {
	xx, xy, _ := m.covariances()
	if xx < minVariance {
		return prior
	}
	return (m.n*xy/xx + weight*prior) / (m.n + weight)
}

// minVariance is the variance below which values count as equal.
const minVariance = 1e-9
