package burn

import (
	"encoding/json"
	"math"
	"time"
)

// Objective is the name of a service-level objective.
type Objective string

// The objectives.
const (
	FirstToken    Objective = "first_token"
	TokenGap      Objective = "token_gap"
	Availability  Objective = "availability"
	FalseRefusals Objective = "false_refusals"
)

// Indexes of the objectives within a bucket.
const (
	firstToken = iota
	tokenGap
	availability
	falseRefusals
	objectiveCount
)

// Objectives lists all objectives in the order in which reports list them.
func Objectives() []Objective {
	return []Objective{FirstToken, TokenGap, Availability, FalseRefusals}
}

// Alert is the severity at which an error budget is consumed.
type Alert string

// Alert states.
const (
	// OK means that no threshold is reached.
	OK Alert = "ok"
	// SlowBurn means that the threshold of the longest pair of windows is reached.
	SlowBurn Alert = "slow_burn"
	// FastBurn means that the threshold of a shorter pair of windows is reached.
	FastBurn Alert = "fast_burn"
)

// WindowName is the name of a window.
type WindowName string

// The windows.
const (
	FiveMinutes   WindowName = "5m"
	ThirtyMinutes WindowName = "30m"
	OneHour       WindowName = "1h"
	SixHours      WindowName = "6h"
	ThreeDays     WindowName = "3d"
)

// windowSpec defines a window and the ring that holds its counts.
type windowSpec struct {
	name   WindowName
	length time.Duration
	ring   func(r *organisationCounts) *ring
}

var windowSpecs = []windowSpec{
	{FiveMinutes, 5 * time.Minute, func(r *organisationCounts) *ring { return &r.fine }},
	{ThirtyMinutes, 30 * time.Minute, func(r *organisationCounts) *ring { return &r.middle }},
	{OneHour, time.Hour, func(r *organisationCounts) *ring { return &r.middle }},
	{SixHours, 6 * time.Hour, func(r *organisationCounts) *ring { return &r.coarse }},
	{ThreeDays, 72 * time.Hour, func(r *organisationCounts) *ring { return &r.coarse }},
}

// alertRule raises an alert when the burn rates of both windows reach a threshold.
type alertRule struct {
	long, short WindowName
	threshold   float64
	alert       Alert
}

var alertRules = []alertRule{
	{OneHour, FiveMinutes, 14.4, FastBurn},
	{SixHours, ThirtyMinutes, 6, FastBurn},
	{ThreeDays, SixHours, 1, SlowBurn},
}

// Count is the number of good events and of all events.
type Count struct {
	Good  int64
	Total int64
}

// MarshalJSON encodes the count as the pair [good, total].
func (c Count) MarshalJSON() ([]byte, error) { return json.Marshal([2]int64{c.Good, c.Total}) }

// UnmarshalJSON decodes the pair [good, total].
func (c *Count) UnmarshalJSON(data []byte) error {
	var pair [2]int64
	err := json.Unmarshal(data, &pair)
	c.Good, c.Total = pair[0], pair[1]
	return err
}

func (c Count) plus(other Count) Count {
	return Count{Good: c.Good + other.Good, Total: c.Total + other.Total}
}

// ratioPrecision is the number of steps per unit to which ratios are rounded, so that a rate that equals a threshold
// also compares as equal.
const ratioPrecision = 1e6

func round(ratio float64) float64 { return math.Round(ratio*ratioPrecision) / ratioPrecision }

// BurnRate returns the ratio of bad events divided by the ratio that the target allows: at a rate of 1 the error budget
// lasts exactly as long as its window.
func (c Count) BurnRate(target float64) float64 {
	if c.Total == 0 || target >= 1 {
		return 0
	}
	return round(float64(c.Total-c.Good) / float64(c.Total) / (1 - target))
}

// Window is the count of one window.
type Window struct {
	Window WindowName `json:"window"`
	// Count is [good, total].
	Count    Count   `json:"count"`
	BurnRate float64 `json:"burn_rate"`
}

// Series is a time series of counts with a fixed step.
type Series struct {
	// FromUnix is the start of the first step, in Unix seconds.
	FromUnix    int64 `json:"from_unix"`
	StepSeconds int64 `json:"step_seconds"`
	// Counts has one pair [good, total] per step.
	Counts []Count `json:"counts"`
}

// Level is the service level of an organisation for one objective.
type Level struct {
	Objective   Objective `json:"objective"`
	TargetRatio float64   `json:"target_ratio"`
	Windows     []Window  `json:"windows"`
	// BudgetLeftRatio is the remaining part of the error budget of the longest window; it is negative if the budget is
	// exceeded.
	BudgetLeftRatio float64 `json:"budget_left_ratio"`
	Alert           Alert   `json:"alert"`
	Series          Series  `json:"series"`
}

// Organisation holds the service levels and latencies of one organisation.
type Organisation struct {
	Organisation string  `json:"organisation"`
	Levels       []Level `json:"levels"`
	FirstToken   Latency `json:"first_token"`
	TokenGap     Latency `json:"token_gap"`
}

// InstanceReport holds the counts of one instance.
type InstanceReport struct {
	Instance string `json:"instance"`
	// Since is the time at which the instance started to count; counts of its predecessor are not included.
	Since time.Time `json:"since"`
	At    time.Time `json:"at"`
	// Missing is the reason why there are no counts; it is empty if there are.
	Missing       string         `json:"missing,omitempty"`
	Organisations []Organisation `json:"organisations"`
}

// InstanceStatus states whether a report includes the counts of an instance.
type InstanceStatus struct {
	Instance string    `json:"instance"`
	Since    time.Time `json:"since"`
	At       time.Time `json:"at"`
	// Missing is the reason why the counts are missing; it is empty if they are included.
	Missing string `json:"missing,omitempty"`
}

// Report holds the counts of all instances.
type Report struct {
	// At is the time of the latest counts.
	At            time.Time        `json:"at"`
	Instances     []InstanceStatus `json:"instances"`
	Organisations []Organisation   `json:"organisations"`
}

// Missing returns the instances whose counts are missing.
func (r Report) Missing() []InstanceStatus {
	var missing []InstanceStatus
	for _, i := range r.Instances {
		if i.Missing != "" {
			missing = append(missing, i)
		}
	}
	return missing
}

// Window returns the window with this name; its count is zero if the level has no such window.
func (l *Level) Window(name WindowName) Window {
	for _, w := range l.Windows {
		if w.Window == name {
			return w
		}
	}
	return Window{Window: name}
}

// evaluate computes the burn rates, the remaining budget and the alert from the counts.
func (l *Level) evaluate() {
	for i := range l.Windows {
		l.Windows[i].BurnRate = l.Windows[i].Count.BurnRate(l.TargetRatio)
	}
	l.BudgetLeftRatio = round(1 - l.Window(ThreeDays).BurnRate)
	l.Alert = OK
	for _, r := range alertRules {
		if l.Window(r.long).BurnRate >= r.threshold && l.Window(r.short).BurnRate >= r.threshold {
			l.Alert = r.alert
			return
		}
	}
}
