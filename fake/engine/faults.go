package engine

import "math/rand/v2"

// never is the position of a fault that does not affect an attempt.
const never = -1

// Faults are the faults that the engine injects. Ratios are shares of the attempts, from 0 to 1; faults are drawn
// independently for each attempt, including one that resumes another, when the attempt arrives.
type Faults struct {
	// StallAfter is the number of tokens of an attempt after which the stream stalls permanently; -1 disables it.
	StallAfter int `json:"stall_after"`
	// StallRatio is the share of attempts that StallAfter applies to; 1 when omitted.
	StallRatio float64 `json:"stall_ratio"`
	// Silent accepts connections and never responds.
	Silent bool `json:"silent"`
	// CrossRatio is the share of attempts that receive a frame with the ID of another request.
	CrossRatio float64 `json:"cross_ratio"`
	// TruncateRatio is the share of attempts whose stream ends cleanly before the final frame, half of them inside an event.
	TruncateRatio float64 `json:"truncate_ratio"`
	// UnframedRatio is the share of attempts whose stream has no chunks and ends with its connection.
	UnframedRatio float64 `json:"unframed_ratio"`
	// EndlessRatio is the share of attempts whose stream continues with bytes that are no frame, without end.
	EndlessRatio float64 `json:"endless_ratio"`
	// DoubleRatio is the share of attempts in which a token is sent twice.
	DoubleRatio float64 `json:"double_ratio"`
	// GapRatio is the share of attempts in which a token is omitted.
	GapRatio float64 `json:"gap_ratio"`
	// FailRatio is the share of attempts that fail with status 500.
	FailRatio float64 `json:"fail_ratio"`
	// Leaving refuses new requests; admitted requests continue.
	Leaving bool `json:"leaving"`
	// CrashDelayMS is the time from the start of the run to the crash, in milliseconds. The engine crashes even if the caller has disconnected.
	CrashDelayMS int `json:"crash_delay_ms"`
	// RateLimit is the limit on requests a second that load reports name; 0 for none. It is not enforced.
	RateLimit float64 `json:"rate_limit"`
	// CrashPrompt is a prompt that crashes the engine when it begins to run it; empty for none.
	CrashPrompt string `json:"crash_prompt"`
	// SlowMS is the additional delay of each token, in milliseconds.
	SlowMS int `json:"slow_ms"`
}

// NoFaults returns the Faults value that disables all faults.
func NoFaults() Faults { return Faults{StallAfter: never, StallRatio: 1} }

// faultPlan holds the positions in the answer at which faults are injected into one attempt.
type faultPlan struct {
	fail, partial, unframed                       bool
	stall, cross, truncate, double, skip, endless int
}

// plan draws the faults of an attempt that starts at position from in an answer of total tokens.
func (f Faults) plan(r *rand.Rand, from, total int) faultPlan {
	p := faultPlan{
		fail:     r.Float64() < f.FailRatio,
		stall:    never,
		cross:    drawPosition(r, f.CrossRatio, from, total+1),
		truncate: drawPosition(r, f.TruncateRatio, from, total+1),
		double:   drawPosition(r, f.DoubleRatio, from, total),
		skip:     drawPosition(r, f.GapRatio, from, total),
	}
	p.partial, p.unframed = r.IntN(2) == 0, r.Float64() < f.UnframedRatio
	p.endless = drawPosition(r, f.EndlessRatio, from, total+1)
	if f.StallAfter >= 0 && r.Float64() < f.StallRatio {
		p.stall = from + f.StallAfter
	}
	return p
}

// drawPosition returns a random position in [from, end) with probability ratio, and never otherwise.
func drawPosition(r *rand.Rand, ratio float64, from, end int) int {
	hit, where := r.Float64() < ratio, r.Float64()
	if !hit || end <= from {
		return never
	}
	return from + int(where*float64(end-from))
}
