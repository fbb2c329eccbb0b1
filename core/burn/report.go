package burn

import (
	"encoding/json"
	"math"
	"time"
)

// Objective names what is measured.
type Objective string

// The objectives.
const (
	FirstToken    Objective = "first_token"
	TokenGap      Objective = "token_gap"
	Availability  Objective = "availability"
	FalseRefusals Objective = "false_refusals"
)

// Positions of the objectives within a bucket.
const (
	firstToken = iota
	tokenGap
	availability
	falseRefusals
	objectives
)

// Objectives lists all objectives in the order of a report.
func Objectives() []Objective {
	return []Objective{FirstToken, TokenGap, Availability, FalseRefusals}
}

// Alert tells how fast an error budget is used up.
type Alert string

// States of alert.
const (
	// OK is below every threshold.
	OK Alert = "ok"
	// SlowBurn exceeds the threshold of the longest pair of windows.
	SlowBurn Alert = "slow_burn"
	// FastBurn exceeds the threshold of a shorter pair of windows.
	FastBurn Alert = "fast_burn"
)

// Span names a window.
type Span string

// The windows.
const (
	FiveMinutes   Span = "5m"
	ThirtyMinutes Span = "30m"
	OneHour       Span = "1h"
	SixHours      Span = "6h"
	ThreeDays     Span = "3d"
)

// span is a window and the ring that counts it.
type span struct {
	name   Span
	length time.Duration
	ring   func(r *record) *ring
}

var spans = []span{
	{FiveMinutes, 5 * time.Minute, func(r *record) *ring { return &r.fine }},
	{ThirtyMinutes, 30 * time.Minute, func(r *record) *ring { return &r.middle }},
	{OneHour, time.Hour, func(r *record) *ring { return &r.middle }},
	{SixHours, 6 * time.Hour, func(r *record) *ring { return &r.coarse }},
	{ThreeDays, 72 * time.Hour, func(r *record) *ring { return &r.coarse }},
}

// rule raises an alert when the burn rates of both windows reach a threshold.
type rule struct {
	long, short Span
	threshold   float64
	alert       Alert
}

var rules = []rule{
	{OneHour, FiveMinutes, 14.4, FastBurn},
	{SixHours, ThirtyMinutes, 6, FastBurn},
	{ThreeDays, SixHours, 1, SlowBurn},
}

// Count counts events.
type Count struct {
	Good  int64
	Total int64
}

// MarshalJSON writes the pair [good, total].
func (c Count) MarshalJSON() ([]byte, error) { return json.Marshal([2]int64{c.Good, c.Total}) }

// UnmarshalJSON reads what MarshalJSON wrote.
func (c *Count) UnmarshalJSON(data []byte) error {
	var pair [2]int64
	err := json.Unmarshal(data, &pair)
	c.Good, c.Total = pair[0], pair[1]
	return err
}

func (c Count) plus(other Count) Count {
	return Count{Good: c.Good + other.Good, Total: c.Total + other.Total}
}

// ratioSteps is the number of steps per 1 that ratios are rounded to, so that a rate
// which equals a threshold also compares as equal.
const ratioSteps = 1e6

func round(ratio float64) float64 { return math.Round(ratio*ratioSteps) / ratioSteps }

// BurnRate returns the part of bad events in relation to the part that the target
// allows: at 1 the error budget lasts exactly as long as its window.
func (c Count) BurnRate(target float64) float64 {
	if c.Total == 0 || target >= 1 {
		return 0
	}
	return round(float64(c.Total-c.Good) / float64(c.Total) / (1 - target))
}

// Window is the count of one window.
type Window struct {
	Window Span `json:"window"`
	// Count is [good, total].
	Count    Count   `json:"count"`
	BurnRate float64 `json:"burn_rate"`
}

// Series counts events by steps of equal length.
type Series struct {
	// FromUnix is when the first step began, in seconds.
	FromUnix    int64 `json:"from_unix"`
	StepSeconds int64 `json:"step_seconds"`
	// Counts are [good, total] by step.
	Counts []Count `json:"counts"`
}

// Level is how one objective of an organisation is kept.
type Level struct {
	Objective   Objective `json:"objective"`
	TargetRatio float64   `json:"target_ratio"`
	Windows     []Window  `json:"windows"`
	// BudgetLeftRatio is the part of the longest window's error budget that is left;
	// it is negative when more was used.
	BudgetLeftRatio float64 `json:"budget_left_ratio"`
	Alert           Alert   `json:"alert"`
	Series          Series  `json:"series"`
}

// Organisation is how the objectives of one organisation are kept.
type Organisation struct {
	Organisation string  `json:"organisation"`
	Levels       []Level `json:"levels"`
	FirstToken   Latency `json:"first_token"`
	TokenGap     Latency `json:"token_gap"`
}

// InstanceReport is the counts of one instance.
type InstanceReport struct {
	Instance string `json:"instance"`
	// Since is when the instance began to count; what it replaced is not counted.
	Since time.Time `json:"since"`
	At    time.Time `json:"at"`
	// Missing says why there are no counts; empty when there are.
	Missing       string         `json:"missing,omitempty"`
	Organisations []Organisation `json:"organisations"`
}

// InstanceSeen is an instance whose counts a report has, or lacks.
type InstanceSeen struct {
	Instance string    `json:"instance"`
	Since    time.Time `json:"since"`
	At       time.Time `json:"at"`
	// Missing says why its counts are lacking; empty when they are not.
	Missing string `json:"missing,omitempty"`
}

// Report is the counts of all instances.
type Report struct {
	// At is the time of the latest counts.
	At            time.Time      `json:"at"`
	Instances     []InstanceSeen `json:"instances"`
	Organisations []Organisation `json:"organisations"`
}

// Missing returns the instances whose counts are lacking.
func (r Report) Missing() []InstanceSeen {
	var missing []InstanceSeen
	for _, i := range r.Instances {
		if i.Missing != "" {
			missing = append(missing, i)
		}
	}
	return missing
}

// Window returns the count of a window; it is empty when the level lacks the window.
func (l *Level) Window(name Span) Window {
	for _, w := range l.Windows {
		if w.Window == name {
			return w
		}
	}
	return Window{Window: name}
}

// judge computes what follows from the counts.
func (l *Level) judge() {
	for i := range l.Windows {
		l.Windows[i].BurnRate = l.Windows[i].Count.BurnRate(l.TargetRatio)
	}
	l.BudgetLeftRatio = round(1 - l.Window(ThreeDays).BurnRate)
	l.Alert = OK
	for _, r := range rules {
		if l.Window(r.long).BurnRate >= r.threshold && l.Window(r.short).BurnRate >= r.threshold {
			l.Alert = r.alert
			return
		}
	}
}
