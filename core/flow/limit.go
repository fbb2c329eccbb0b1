package flow

import "time"

// MaxDelay is the delay at the link from which on new requests are refused. It leaves room below the delays at which events of a stream count as late for what the
// requests in flight still send.
const MaxDelay = 60 * time.Millisecond

// leastShare is the share of MaxDelay that the least urgent requests may use, so that the more urgent ones find room on a link that does not carry all.
const leastShare = 0.5

// Limit returns the delay at the link from which on requests of an urgency from 0 to 1, the most urgent, are refused.
func Limit(urgency float64) time.Duration {
	return time.Duration((leastShare + (1-leastShare)*min(max(urgency, 0), 1)) * float64(MaxDelay))
}
