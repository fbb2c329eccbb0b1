package engine

import "math/rand/v2"

// never is the position of a fault that does not hit a stream.
const never = -1

// Faults are what goes wrong at the engine. Ratios are shares of the attempts, from 0 to 1; each
// attempt is hit independently, also when it resumes another. Faults are fixed when an attempt arrives.
type Faults struct {
	// StallAfter is the number of tokens of an attempt after which the stream goes silent for
	// good; -1 is off.
	StallAfter int `json:"stall_after"`
	// StallRatio is the share of attempts that StallAfter applies to; 1 when left out.
	StallRatio float64 `json:"stall_ratio"`
	// Silent accepts connections and never answers.
	Silent bool `json:"silent"`
	// CrossRatio sends a frame with the id of another request.
	CrossRatio float64 `json:"cross_ratio"`
	// TruncateRatio ends the stream cleanly before the final frame.
	TruncateRatio float64 `json:"truncate_ratio"`
	// DoubleRatio sends a token twice.
	DoubleRatio float64 `json:"double_ratio"`
	// GapRatio leaves out a token.
	GapRatio float64 `json:"gap_ratio"`
	// FailRatio answers 500.
	FailRatio float64 `json:"fail_ratio"`
	// Leaving refuses new work; what runs goes on.
	Leaving bool `json:"leaving"`
	// SlowMS is added to the time of each token, in milliseconds.
	SlowMS int `json:"slow_ms"`
}

// NoFaults returns the faults of an engine that has none.
func NoFaults() Faults { return Faults{StallAfter: never, StallRatio: 1} }

// faultPlan holds the positions at which the faults hit one attempt.
type faultPlan struct {
	fail                                 bool
	stall, cross, truncate, double, skip int
}

// plan draws what happens to an attempt that starts at position from of an answer of total tokens.
func (f Faults) plan(r *rand.Rand, from, total int) faultPlan {
	p := faultPlan{
		fail:     r.Float64() < f.FailRatio,
		stall:    never,
		cross:    drawPosition(r, f.CrossRatio, from, total+1),
		truncate: drawPosition(r, f.TruncateRatio, from, total+1),
		double:   drawPosition(r, f.DoubleRatio, from, total),
		skip:     drawPosition(r, f.GapRatio, from, total),
	}
	if f.StallAfter >= 0 && r.Float64() < f.StallRatio {
		p.stall = from + f.StallAfter
	}
	return p
}

// drawPosition returns a position from the half-open range, or never.
func drawPosition(r *rand.Rand, ratio float64, from, end int) int {
	hit, where := r.Float64() < ratio, r.Float64()
	if !hit || end <= from {
		return never
	}
	return from + int(where*float64(end-from))
}
