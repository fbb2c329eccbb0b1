package router

import (
	"net/http"
	"time"

	"cranberryrail/core/events"
	"cranberryrail/core/logs"
	"cranberryrail/core/rate"
	"cranberryrail/core/relay"
	"cranberryrail/core/roster"
)

// rateWait is the longest time that a read waits for a rate limit, and ratePause the time between two reads: limits change seldom.
const (
	rateWait  = crashWait
	ratePause = crashPause
)

// initRates creates the components that enforce the rate limits of targets.
func (r *Router) initRates() {
	topic := r.Platform.RateTopic
	r.rateReports = &logs.Outbox{Log: r.Store, Topic: topic, OnError: func(err error) {
		events.Log(r.Log, events.RatesDelayed).Err(err).Send()
	}}
	r.rateReports.Default()
	r.rates = &rate.Tracker{Instance: r.Settings.Instance.ID, Publish: r.rateReports.Add, Pending: r.rateReports.Pending, OnChange: r.rateLimitChanged, OnInvalid: r.recordUnreadable(topic)}
	r.rates.Default()
	r.rateTopic = &logs.Follower{
		Log: r.Store, Topic: topic, Wait: rateWait, Pause: ratePause, Apply: r.rates.Apply,
		Reset: func(records []logs.Record) {
			r.rates.Reset(records)
			r.ratesRead.Store(true)
		},
		OnRestored: r.rates.Republish,
		OnOutage:   r.topicUnreachable(topic), OnRecovery: r.topicRecovered(topic),
	}
}

// rateLimitChanged logs that a rate limit is named, changes or ends.
func (r *Router) rateLimitChanged(target string, perSecond float64, limited bool) {
	if !limited {
		events.Log(r.Log, events.RateLimitEnded).Str("target", target).Send()
		return
	}
	events.Log(r.Log, events.RateLimitNamed).Str("target", target).Float64("per_second", perSecond).Send()
}

// expireRates removes the limits of targets that are no longer listed, and updates the metric.
func (r *Router) expireRates() {
	r.Meter.RateLimits(len(r.rates.Limits()))
	r.listMu.Lock()
	listed := r.list.Targets()
	r.listMu.Unlock()
	r.rates.Expire(listed)
}

// observeRate applies the rate limit that a response names. It ignores responses of other targets, and responses without a limit that are unsigned or
// have a malformed header.
func (r *Router) observeRate(t roster.Target, response *relay.Response, sentAt time.Time) {
	shown := response.RateLimit != nil || response.HasSignature && response.Ignored == nil
	if shown && response.Status != http.StatusMisdirectedRequest {
		r.rates.Observe(t, response.RateLimit, sentAt)
	}
}
