package burn

import "time"

// counter counts the events of one objective.
type counter struct{ good, total uint32 }

// bucket counts the events of one time slot by objective.
type bucket [objectiveCount]counter

// ring is a ring buffer of the buckets of the most recent time slots.
type ring struct {
	width   time.Duration
	buckets []bucket
	// latest is the number of the latest bucket since the Unix epoch.
	latest int64
}

func newRing(width, length time.Duration) ring {
	return ring{width: width, buckets: make([]bucket, length/width)}
}

// bucketAt returns the bucket for now. If the clock was set back, it returns the latest bucket.
func (r *ring) bucketAt(now time.Time) *bucket {
	r.advance(now)
	return &r.buckets[r.latest%int64(len(r.buckets))]
}

// advance clears the buckets that are reused by the slots up to now.
func (r *ring) advance(now time.Time) {
	number, size := now.UnixNano()/int64(r.width), int64(len(r.buckets))
	for n := max(r.latest+1, number-size+1); n <= number; n++ {
		r.buckets[n%size] = bucket{}
	}
	r.latest = max(r.latest, number)
}

// sum adds up the buckets of the most recent length of time, including the current one.
func (r *ring) sum(now time.Time, length time.Duration) [objectiveCount]Count {
	r.advance(now)
	var sum [objectiveCount]Count
	size := int64(len(r.buckets))
	for n := max(0, r.latest-int64(length/r.width)+1); n <= r.latest; n++ {
		for i, c := range r.buckets[n%size] {
			sum[i] = sum[i].plus(c.count())
		}
	}
	return sum
}

// series groups the buckets into steps that are aligned to multiples of step.
func (r *ring) series(now time.Time, step time.Duration) [objectiveCount]Series {
	r.advance(now)
	perStep, size := int64(step/r.width), int64(len(r.buckets))
	oldest := max(0, r.latest-size+1)
	first := oldest / perStep
	var all [objectiveCount]Series
	for i := range all {
		all[i] = Series{
			FromUnix: first * int64(step/time.Second), StepSeconds: int64(step / time.Second),
			Counts: make([]Count, r.latest/perStep-first+1),
		}
	}
	for n := oldest; n <= r.latest; n++ {
		for i, c := range r.buckets[n%size] {
			step := &all[i].Counts[n/perStep-first]
			*step = step.plus(c.count())
		}
	}
	return all
}

func (c counter) count() Count { return Count{Good: int64(c.good), Total: int64(c.total)} }

func (c *counter) add(good bool) {
	c.total++
	if good {
		c.good++
	}
}
