package flow

import (
	"math"
	"time"
)

// Parameters of the correction of the estimate by the times that connections take.
const (
	// sampleWindow is the time over which connection times are compared, and minSamples the number of different peers that must have been slow in it: one of them
	// may be slow itself, or have lost a packet.
	sampleWindow = 300 * time.Millisecond
	minSamples   = 3
	// usualConnect is a connection time that does not show a queue at the link: several times that between availability zones.
	usualConnect = 15 * time.Millisecond
	// minUse is the share of the link's rate that must be in use for slow connections to be put down to the link.
	minUse = 0.25
	// useTime is the time constant of the measured use.
	useTime = time.Second
)

// sample is the time that a connection to a peer took.
type sample struct {
	addr     string
	at, took time.Duration
}

// Connected corrects the estimate by the time that opening a connection to an address took, or that passed until it was given up. What the meter does not see, such
// as retransmissions and what callers send that are refused, may fill the link; if connections to several peers are slow while the link is in use, data waits there.
func (m *Meter) Connected(addr string, took time.Duration) {
	if m.BytesPerSecond <= 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.drain()
	if m.firstSample.IsZero() {
		m.firstSample = now
	}
	at := now.Sub(m.firstSample)
	kept := m.samples[:0]
	for _, s := range m.samples {
		if at-s.at <= sampleWindow && s.addr != addr {
			kept = append(kept, s)
		}
	}
	m.samples = append(kept, sample{addr, at, took})
	if len(m.samples) < minSamples || m.use < minUse*m.BytesPerSecond {
		return
	}
	fastest := took
	for _, s := range m.samples {
		fastest = min(fastest, s.took)
	}
	if queued := fastest - usualConnect; queued > 0 {
		m.waiting = max(m.waiting, queued.Seconds()*m.BytesPerSecond)
	}
}

// measure adds bytes to the measured use of the link.
func (m *Meter) measure(bytes int, now time.Time) {
	if passed := now.Sub(m.measured); passed > 0 {
		m.use *= math.Exp(-passed.Seconds() / useTime.Seconds())
		m.measured = now
	}
	m.use += float64(bytes) / useTime.Seconds()
}
