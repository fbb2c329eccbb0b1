package router

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"cranberryrail/core/events"
	"cranberryrail/core/logs"
	"cranberryrail/core/poison"
	"cranberryrail/core/relay"
	"cranberryrail/core/roster"
	"cranberryrail/io/conns"
)

// crashWait is the longest time that a read waits for a report of a crash. Reports are rare, and a read that waits
// is repeated when another topic shows an outage of the log.
const crashWait = 20 * time.Second

// crashPause is the time between two reads. Many instances report the crash of one target, and each report ends the waiting reads of
// all instances.
const crashPause = 100 * time.Millisecond

// initCrashes creates the components that keep requests from targets if requests like them have crashed some.
func (r *Router) initCrashes() {
	topic := r.Platform.CrashTopic
	r.crashReports = &logs.Outbox{Log: r.Store, Topic: topic, OnError: func(err error) {
		events.Log(r.Log, events.ReportsDelayed).Err(err).Send()
	}}
	r.crashReports.Default()
	r.crashes = &poison.Tracker{Incarnation: r.Incarnation, Publish: r.crashReports.Add, Pending: r.crashReports.Pending, OnChange: r.quarantineChanged, OnInvalid: r.recordUnreadable(topic)}
	r.crashes.Default()
	r.abandoned = &poison.Watcher{HasEnded: r.hasEnded}
	r.abandoned.Default()
	r.crashTopic = &logs.Follower{
		Log: r.Store, Topic: topic, Wait: crashWait, Pause: crashPause, Apply: r.crashes.Apply,
		Reset: func(records []logs.Record) {
			r.crashes.Reset(records)
			r.crashesRead.Store(true)
		},
		OnRestored: r.crashes.Republish,
		OnOutage:   r.topicUnreachable(topic), OnRecovery: r.topicRecovered(topic),
	}
}

// quarantineChanged logs that requests with a trait are no longer sent, or are sent again.
func (r *Router) quarantineChanged(trait poison.Trait, part string, quarantined bool, crashes int) {
	event := events.Released
	if quarantined {
		event = events.Quarantined
	}
	line := events.Log(r.Log, event).Str("trait", string(trait)).Int("crashes", crashes)
	if part != "" {
		line.Str("part", part)
	}
	line.Send()
}

// hasCrashed reports whether the process of a target has ended: its machine refuses connections, or can't be reached. A
// connection that succeeds is used for a later request.
func (r *Router) hasCrashed(ctx context.Context, t roster.Target) bool {
	crashed, _, _ := r.crashChecks.Do(t.Incarnation, func() (any, error) {
		err := r.conns.Connect(context.WithoutCancel(ctx), &conns.Request{PoolKey: t.Incarnation, Addr: t.Addr})
		return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.EHOSTUNREACH), nil
	})
	return crashed == true
}

// hasEnded reports whether a target with abandoned requests has crashed. It opens a connection only if the pool has none. The end of a target that was
// leaving, or is no longer listed, is not a crash.
func (r *Router) hasEnded(ctx context.Context, t roster.Target) bool {
	err := r.conns.Check(ctx, &conns.Request{PoolKey: t.Incarnation, Addr: t.Addr})
	refused := errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.EHOSTUNREACH)
	if !refused || !r.isLive(t.Incarnation) {
		return false
	}
	events.Log(r.Log, events.AbandonedCrashed).Str("target", t.ID).Send()
	return true
}

// isLive reports whether an incarnation of a target is listed and not leaving.
func (r *Router) isLive(incarnation string) bool {
	r.listMu.Lock()
	defer r.listMu.Unlock()
	return slices.ContainsFunc(r.list.Targets(), func(t roster.Target) bool { return t.Incarnation == incarnation && t.State == roster.Live })
}

// targetCrashed logs a target that crashed during an attempt.
func (r *Router) targetCrashed(d relay.Dispatch, f *relay.AttemptError) {
	line := events.Log(r.Log, events.TargetCrashed).Str("target", d.Target.ID).Str("request", loggedID(d.ID)).Int("events", f.Events).
		Str("trait", string(f.Trait)).Int("series", f.Series).Bool("probe", f.Probe)
	if parts := d.Prompt.SharedParts(); len(parts) > 0 {
		line.Strs("parts", parts)
	}
	line.Send()
}
