package burn

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the histograms: microseconds, at one significant digit.
const (
	leastUS       = 1_000
	mostUS        = 120_000_000
	digits        = 1
	latencyPeriod = time.Hour
)

// Quantiles of the summaries, in per cent.
const (
	median = 50
	high   = 95
	top    = 99
)

// Bar counts the measurements of about one value.
type Bar struct {
	// US is the value in microseconds.
	US    int64 `json:"us"`
	Count int64 `json:"count"`
}

// Latency summarises the times measured in this hour and the last one, to one
// significant digit. The bars carry what a merge needs.
type Latency struct {
	P50US int64 `json:"p50_us"`
	P95US int64 `json:"p95_us"`
	P99US int64 `json:"p99_us"`
	Bars  []Bar `json:"bars,omitempty"`
}

// merged returns the summary of both.
func (l Latency) merged(other Latency) Latency {
	h := newHistogram()
	for _, b := range slices.Concat(l.Bars, other.Bars) {
		_ = h.RecordValues(clamp(b.US), b.Count)
	}
	return summarise(h)
}

func summarise(h *hdrhistogram.Histogram) Latency {
	l := Latency{P50US: h.ValueAtPercentile(median), P95US: h.ValueAtPercentile(high), P99US: h.ValueAtPercentile(top)}
	for _, b := range h.Distribution() {
		if b.Count > 0 {
			l.Bars = append(l.Bars, Bar{US: b.From, Count: b.Count})
		}
	}
	return l
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(leastUS, mostUS, digits) }

func clamp(us int64) int64 { return min(max(us, 0), mostUS) }

// recent is a histogram of the current and the previous period.
type recent struct {
	period            int64
	current, previous *hdrhistogram.Histogram
}

func (r *recent) record(now time.Time, d time.Duration) {
	r.rotate(now)
	if r.current == nil {
		r.current = newHistogram()
	}
	_ = r.current.RecordValue(clamp(d.Microseconds())) // clamped into the bounds
}

// rotate forgets what was measured before the previous period.
func (r *recent) rotate(now time.Time) {
	period := now.UnixNano() / int64(latencyPeriod)
	switch {
	case period <= r.period:
		return
	case period == r.period+1:
		r.previous, r.current = r.current, nil
	default:
		r.previous, r.current = nil, nil
	}
	r.period = period
}

func (r *recent) latency(now time.Time) Latency {
	r.rotate(now)
	h := newHistogram()
	for _, part := range []*hdrhistogram.Histogram{r.previous, r.current} {
		if part != nil {
			h.Merge(part)
		}
	}
	return summarise(h)
}
