package router

import (
	"cranberryrail/core/events"
	"cranberryrail/core/origin"
	"cranberryrail/io/opts"
)

// initOrigins creates the component that knows which software version of a service began a stream.
func (r *Router) initOrigins() {
	s := r.Settings
	r.targetTopic = r.followTargets()
	r.origins = &origin.Tracker{
		Log: r.Store, StreamTopic: r.Platform.StreamTopic, StateTopic: r.Platform.VersionTopic, Parts: s.Budget.Shards,
		NewFleet: s.Budget.Fleet == opts.NewFleet, Life: s.Stream.LifeS.Duration(), Settle: s.Stream.SettleS.Duration(),
		AwaitTargets: r.targetTopic.AwaitRead, OnState: r.versionsChanged, OnInvalid: r.recordUnreadable(r.Platform.StreamTopic),
		OnError: func(err error) { events.Log(r.Log, events.OriginsDelayed).Err(err).Send() },
	}
	r.origins.Default()
}

// versionsChanged logs how the streams of a service are known.
func (r *Router) versionsChanged(s origin.State) {
	line := events.Log(r.Log, events.VersionsChanged).Str("service", s.Service).Str("mode", string(s.Mode))
	if s.Version != "" {
		line.Str("software", s.Version)
	}
	if len(s.Versions) > 0 {
		line.Strs("versions", s.Versions)
	}
	line.Send()
}
