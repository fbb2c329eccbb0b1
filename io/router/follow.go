package router

import (
	"time"

	"cranberryrail/core/events"
	"cranberryrail/core/logs"
	"cranberryrail/core/roster"
	"cranberryrail/core/table"
)

// followConfig follows the operators' configuration.
func (r *Router) followConfig() *logs.Follower {
	topic := r.Platform.ConfigTopic
	take := func(records []logs.Record) {
		for _, record := range records {
			if record.Key == r.Platform.ConfigKey && len(record.Value) > 0 {
				r.configure(record)
			}
		}
	}
	return &logs.Follower{
		Log: r.Store, Topic: topic, Wait: r.Settings.Store.ConfigWaitMS.Duration(),
		Reset: take, Apply: take, Lost: r.lost(topic), Back: r.back(topic),
	}
}

// configure puts a configuration in force.
func (r *Router) configure(record logs.Record) {
	c, err := r.Platform.Config(record.Value)
	if err != nil {
		r.unreadable(r.Platform.ConfigTopic)(record.Key, err)
		return
	}
	r.table.Apply(c)
}

// applied takes a configuration that came into force.
func (r *Router) applied(t *table.Table) {
	r.keeper.Pay(t.Organisations)
	r.configured.Store(time.Now().UnixNano())
	r.Meter.ConfigVersion(t.Version)
	events.Log(r.Log, events.ConfApplied).Int64("version", t.Version).Int("routes", len(t.Routes)).
		Int("organisations", len(t.Organisations)).Send()
}

// followTargets follows the list of targets.
func (r *Router) followTargets() *logs.Follower {
	topic := r.Platform.TargetTopic
	lost, back := r.lost(topic), r.back(topic)
	return &logs.Follower{
		Log: r.Store, Topic: topic, Pause: r.Settings.Store.ListPauseMS.Duration(),
		Reset: func(records []logs.Record) {
			ids := make([]string, 0, len(records))
			for _, record := range records {
				if len(record.Value) > 0 {
					ids = append(ids, record.Key)
				}
			}
			r.relist(func(l *roster.List) bool { return l.Missing(ids) })
			r.entries(records)
			r.listed.Store(true)
			r.Meter.LogReached(true)
		},
		Apply: r.entries,
		Lost: func(err error) {
			r.relist(func(l *roster.List) bool { l.Away(); return false })
			r.Meter.LogReached(false)
			lost(err)
		},
		Back: func(away time.Duration) {
			r.relist(func(l *roster.List) bool { l.Back(); return false })
			r.Meter.LogReached(true)
			back(away)
		},
	}
}

// entries takes records of the list of targets.
func (r *Router) entries(records []logs.Record) {
	r.relist(func(l *roster.List) bool {
		changed := false
		for _, record := range records {
			changed = r.entryOf(l, record) || changed
		}
		return changed
	})
}

// entryOf takes one record of the list of targets.
func (r *Router) entryOf(l *roster.List, record logs.Record) bool {
	if record.Key == "" {
		return false
	}
	if len(record.Value) == 0 {
		return l.Gone(record.Key)
	}
	e, err := r.Platform.Target(record.Key, record.Value)
	if err != nil {
		return l.Bad(record.Key, err)
	}
	return l.Put(e)
}

// relist changes the list of targets and passes on what became of it.
func (r *Router) relist(change func(l *roster.List) bool) {
	r.listMu.Lock()
	defer r.listMu.Unlock()
	if change(r.list) {
		r.picker.SetTargets(r.list.Targets(), 0)
	}
}

// expire removes targets that lapsed during an outage and did not come back.
func (r *Router) expire() { r.relist((*roster.List).Expire) }

// targetChanged logs a change of the list of targets.
func (r *Router) targetChanged(id string, c roster.Change, reason error) {
	switch c {
	case roster.Joined:
		events.Log(r.Log, events.TargetJoined).Str("target", id).Send()
	case roster.Drained:
		events.Log(r.Log, events.TargetLeaving).Str("target", id).Send()
	case roster.Removed:
		events.Log(r.Log, events.TargetRemoved).Str("target", id).Send()
	case roster.Invalid:
		events.Log(r.Log, events.TargetInvalid).Str("target", id).Err(reason).Send()
	}
}

// lost logs that a topic can't be read.
func (r *Router) lost(topic string) func(err error) {
	return func(err error) {
		r.lostTopics.Store(topic, time.Now())
		events.Log(r.Log, events.TopicLost).Str("topic", topic).Err(err).Send()
	}
}

// back logs that a topic is read again.
func (r *Router) back(topic string) func(away time.Duration) {
	return func(away time.Duration) {
		r.lostTopics.Delete(topic)
		events.Log(r.Log, events.TopicBack).Str("topic", topic).Dur("away", away).Send()
	}
}

// unreadable logs a record that can't be read.
func (r *Router) unreadable(topic string) func(key string, err error) {
	return func(key string, err error) {
		events.Log(r.Log, events.RecordUnreadable).Str("topic", topic).Str("key", key).Err(err).Send()
	}
}

// holdingChanged logs a draw or a return.
func (r *Router) holdingChanged(organisation string, tokens int64, landed bool) {
	b := r.book.Balance(organisation)
	events.Log(r.Log, events.HoldingChanged).Str("organisation", organisation).Int64("tokens", tokens).Bool("landed", landed).
		Int64("paid", b.Paid).Int64("granted", b.Granted).Int64("free", b.Free).Int64("reserved", b.Reserved).Send()
}

// unsettled logs a batch whose outcome can't be known any more.
func (r *Router) unsettled(sequence, tokens int64) {
	events.Log(r.Log, events.HoldingUnsettled).Int64("sequence", sequence).Int64("tokens", tokens).Send()
}

// inherited logs what an earlier process of this instance had promised not to spend yet.
func (r *Router) inherited(tokens map[string]int64, taken bool) {
	event := events.PromiseLapsed
	if taken {
		event = events.PromiseTaken
	}
	var sum int64
	for _, n := range tokens {
		sum += n
	}
	events.Log(r.Log, event).Int64("tokens", sum).Int("organisations", len(tokens)).Send()
}
