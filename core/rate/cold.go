package rate

import "time"

// coldReserve is the share of the burst of a cold target that is not used, for instances that do not agree on the holders of its limit yet.
const coldReserve = 0.2

// Cold is the limit of a target that has just started, or has become cold again.
type Cold struct {
	Incarnation string
	// PerSecond is the number of requests a second that the target bears, and Burst the number that may exceed it in any second.
	PerSecond, Burst float64
	// Until is when the target is warm.
	Until time.Time
}

// coldLimit is the limit of a cold target. It is divided among its holders as the rate limits that targets name, but is known from the list of targets, so that
// it is not published.
type coldLimit struct {
	limit

	burst float64
	until time.Time
}

// newColdLimit returns the limit of a cold target. In any second, all holders together send at most PerSecond and the burst that is not reserved. If the burst is
// smaller than PerSecond, half of both is the rate, so that there are holders.
func (t *Tracker) newColdLimit(c Cold) *coldLimit {
	l := &coldLimit{limit: limit{perSecond: min(c.PerSecond, (c.PerSecond+c.Burst)/2)}}
	l.burst = (c.PerSecond + c.Burst - l.perSecond) * (1 - coldReserve)
	l.share = shareOf(l.perSecond, l.burst, hash(c.Incarnation), t.Instance, t.fleet)
	l.start(t.Now())
	return l
}

// SetCold replaces the cold targets. Limits of targets that remain cold are kept.
func (t *Tracker) SetCold(targets []Cold) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := make(map[uint64]*coldLimit, len(targets))
	for _, c := range targets {
		id := hash(c.Incarnation)
		l := t.cold[id]
		if l == nil {
			l = t.newColdLimit(c)
		}
		l.until = c.Until
		next[id] = l
	}
	t.cold = next
}

// resizeCold applies a change of the fleet to the limits of cold targets.
func (t *Tracker) resizeCold(now time.Time) {
	for target, l := range t.cold {
		l.resize(shareOf(l.perSecond, l.burst, target, t.Instance, t.fleet), now)
	}
}

// coldLimit returns the limit of a cold target; nil if the target is warm.
func (t *Tracker) coldLimit(incarnation string, now time.Time) *coldLimit {
	if len(t.cold) == 0 {
		return nil
	}
	if l := t.cold[hash(incarnation)]; l != nil && now.Before(l.until) {
		return l
	}
	return nil
}

// IsCold reports whether an incarnation of a target is cold.
func (t *Tracker) IsCold(incarnation string) bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.coldLimit(incarnation, t.Now()) != nil
}

// Colds returns the number of cold targets.
func (t *Tracker) Colds() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, n := t.Now(), 0
	for _, l := range t.cold {
		if now.Before(l.until) {
			n++
		}
	}
	return n
}

// wait returns the time until this instance may send a request within a limit.
func (t *Tracker) wait(l *limit, now time.Time) time.Duration {
	if !l.share.holder {
		return time.Duration(float64(time.Second) / max(l.perSecond, minPerSecond))
	}
	return max(l.due().Sub(now), t.settledAt.Sub(now), 0)
}

// waitCold returns the time until this instance may send a request to a target that may be cold.
func (t *Tracker) waitCold(incarnation string, now time.Time) time.Duration {
	l := t.coldLimit(incarnation, now)
	if l == nil {
		return 0
	}
	return min(t.wait(&l.limit, now), l.until.Sub(now))
}
