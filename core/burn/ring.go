package burn

import "time"

// cell counts the events of one objective.
type cell struct{ good, total uint32 }

// bucket counts the events of one span of time, by objective.
type bucket [objectives]cell

// ring keeps the buckets of the latest spans of time.
type ring struct {
	width   time.Duration
	buckets []bucket
	// last is the number of the latest bucket, counted from the epoch.
	last int64
}

func newRing(width, length time.Duration) ring {
	return ring{width: width, buckets: make([]bucket, length/width)}
}

// at returns the bucket of now. A clock that went back adds to the latest bucket.
func (r *ring) at(now time.Time) *bucket {
	r.advance(now)
	return &r.buckets[r.last%int64(len(r.buckets))]
}

// advance clears the buckets that now reuses.
func (r *ring) advance(now time.Time) {
	number, size := now.UnixNano()/int64(r.width), int64(len(r.buckets))
	for n := max(r.last+1, number-size+1); n <= number; n++ {
		r.buckets[n%size] = bucket{}
	}
	r.last = max(r.last, number)
}

// sum adds up the buckets of the last length, the one still being filled included.
func (r *ring) sum(now time.Time, length time.Duration) [objectives]Count {
	r.advance(now)
	var sum [objectives]Count
	size := int64(len(r.buckets))
	for n := max(0, r.last-int64(length/r.width)+1); n <= r.last; n++ {
		for i, c := range r.buckets[n%size] {
			sum[i] = sum[i].plus(c.count())
		}
	}
	return sum
}

// series adds up the buckets by steps that begin at multiples of step.
func (r *ring) series(now time.Time, step time.Duration) [objectives]Series {
	r.advance(now)
	perStep, size := int64(step/r.width), int64(len(r.buckets))
	oldest := max(0, r.last-size+1)
	first := oldest / perStep
	var all [objectives]Series
	for i := range all {
		all[i] = Series{
			FromUnix: first * int64(step/time.Second), StepSeconds: int64(step / time.Second),
			Counts: make([]Count, r.last/perStep-first+1),
		}
	}
	for n := oldest; n <= r.last; n++ {
		for i, c := range r.buckets[n%size] {
			step := &all[i].Counts[n/perStep-first]
			*step = step.plus(c.count())
		}
	}
	return all
}

func (c cell) count() Count { return Count{Good: int64(c.good), Total: int64(c.total)} }

func (c *cell) add(good bool) {
	c.total++
	if good {
		c.good++
	}
}
