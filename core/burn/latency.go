package burn

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Parameters of the histograms: bounds in microseconds, precision and period.
const (
	minUS             = 1_000
	maxUS             = 120_000_000
	significantDigits = 1
	latencyPeriod     = time.Hour
)

// Percentiles of the summaries.
const (
	p50 = 50
	p95 = 95
	p99 = 99
)

// LatencyBucket counts the measurements in one histogram bucket.
type LatencyBucket struct {
	// US is the lower bound of the bucket in microseconds.
	US    int64 `json:"us"`
	Count int64 `json:"count"`
}

// Latency summarises the latencies measured in the current and the previous hour, to one significant digit. The buckets
// allow summaries of several instances to be merged.
type Latency struct {
	P50US   int64           `json:"p50_us"`
	P95US   int64           `json:"p95_us"`
	P99US   int64           `json:"p99_us"`
	Buckets []LatencyBucket `json:"bars,omitempty"`
}

// merged returns the summary of the measurements of both.
func (l Latency) merged(other Latency) Latency {
	h := newHistogram()
	for _, b := range slices.Concat(l.Buckets, other.Buckets) {
		_ = h.RecordValues(clamp(b.US), b.Count)
	}
	return summarise(h)
}

func summarise(h *hdrhistogram.Histogram) Latency {
	l := Latency{P50US: h.ValueAtPercentile(p50), P95US: h.ValueAtPercentile(p95), P99US: h.ValueAtPercentile(p99)}
	for _, b := range h.Distribution() {
		if b.Count > 0 {
			l.Buckets = append(l.Buckets, LatencyBucket{US: b.From, Count: b.Count})
		}
	}
	return l
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(minUS, maxUS, significantDigits) }

func clamp(us int64) int64 { return min(max(us, 0), maxUS) }

// rollingHistogram is a histogram of the current and the previous period.
type rollingHistogram struct {
	period            int64
	current, previous *hdrhistogram.Histogram
}

func (r *rollingHistogram) record(now time.Time, d time.Duration) {
	r.rotate(now)
	if r.current == nil {
		r.current = newHistogram()
	}
	_ = r.current.RecordValue(clamp(d.Microseconds())) // can't fail: the value is clamped to the bounds
}

// rotate discards the measurements that are older than the previous period.
func (r *rollingHistogram) rotate(now time.Time) {
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

func (r *rollingHistogram) latency(now time.Time) Latency {
	r.rotate(now)
	h := newHistogram()
	for _, part := range []*hdrhistogram.Histogram{r.previous, r.current} {
		if part != nil {
			h.Merge(part)
		}
	}
	return summarise(h)
}
