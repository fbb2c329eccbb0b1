package router

import (
	"fmt"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"cranberryrail/core/audit"
	"cranberryrail/core/events"
	"cranberryrail/core/logs"
	"cranberryrail/core/roster"
	"cranberryrail/core/table"
)

// followConfig returns the follower of the operators' configuration.
func (r *Router) followConfig() *logs.Follower {
	topic := r.Platform.ConfigTopic
	apply := func(records []logs.Record) {
		for _, record := range records {
			if record.Key == r.Platform.ConfigKey && len(record.Value) > 0 {
				r.applyConfig(record)
			}
		}
	}
	restored := false
	return &logs.Follower{
		Log: r.Store, Topic: topic, Wait: r.Settings.Store.ConfigWaitMS.Duration(),
		OnRestored: func() { restored = true },
		// Orders come before the configuration, with which the instance begins to serve.
		Reset: func(records []logs.Record) {
			r.orders.Reset(r.ordersIn(records, true), restored)
			restored = false
			r.applyOrders()
			apply(records)
		},
		Apply: func(records []logs.Record) {
			r.orders.Apply(r.ordersIn(records, false))
			r.applyOrders()
			apply(records)
		},
		OnOutage: r.topicUnreachable(topic), OnRecovery: r.topicRecovered(topic),
	}
}

// applyConfig decodes a configuration record and puts it in force unless it is older than the one in force.
func (r *Router) applyConfig(record logs.Record) {
	c, err := r.Platform.ParseConfig(record.Value)
	if err != nil {
		r.recordUnreadable(r.Platform.ConfigTopic)(record.Key, err)
		return
	}
	if t := r.table.Current(); t != nil && c.Version < t.Version {
		outdated := fmt.Errorf("version %d is lower than version %d, which is in force", c.Version, t.Version)
		if i := r.invalid.Record(r.Platform.ConfigTopic, record.Key, outdated); i != nil {
			logInvalid(events.Log(r.Log, events.ConfOutdated).Int64("version", c.Version), i)
		}
		return
	}
	r.invalid.Valid(r.Platform.ConfigTopic, record.Key)
	if r.table.Apply(c) {
		r.logFindings(c)
	}
}

// maxFindings is the number of findings that are logged for one version of the configuration, which may have any number.
const maxFindings = 20

// logFindings logs the findings about a configuration that came into force, errors first.
func (r *Router) logFindings(c table.Config) {
	findings := audit.Check(c)
	audit.Sort(findings)
	for i, f := range findings[:min(len(findings), maxFindings)] {
		line := events.Log(r.Log, events.ConfFinding).Int64("version", c.Version).Str("severity", string(f.Severity)).Str("key", f.Key).
			Str("finding", f.Message[:min(len(f.Message), maxFindingBytes)]).Str("effect", f.Effect[:min(len(f.Effect), maxFindingBytes)])
		if further := len(findings) - maxFindings; i == maxFindings-1 && further > 0 {
			line.Int("further", further)
		}
		line.Send()
	}
}

// maxFindingBytes limits what is quoted of a finding, since names of a configuration may have any length.
const maxFindingBytes = 300

// applyBudgets sets the budgets of a configuration before it comes into force. An organisation whose budget is not known is not limited.
func (r *Router) applyBudgets(t *table.Table) { r.budgetSync.SetOrganisations(t.Organisations) }

// configApplied updates targets and metrics, and logs the event, when a configuration came into force.
func (r *Router) configApplied(t *table.Table) {
	r.updateTargets(func(*roster.TargetList) bool { return true }) // routes may lead to other services
	r.configAppliedAt.Store(time.Now().UnixNano())
	r.Meter.ConfigVersion(t.Version)
	events.Log(r.Log, events.ConfApplied).Int64("version", t.Version).Int("routes", len(t.Routes)).
		Int("organisations", len(t.Organisations)).Send()
}

// followTargets returns the follower of the list of targets.
func (r *Router) followTargets() *logs.Follower {
	topic := r.Platform.TargetTopic
	onUnreachable, onRecovered := r.topicUnreachable(topic), r.topicRecovered(topic)
	return &logs.Follower{
		Log: r.Store, Topic: topic, Pause: r.listPause(),
		Reset: func(records []logs.Record) {
			ids := make([]string, 0, len(records))
			for _, record := range records {
				if len(record.Value) > 0 {
					ids = append(ids, record.Key)
				}
			}
			r.updateTargets(func(l *roster.TargetList) bool { return l.Retain(ids) })
			r.applyTargetRecords(records)
			r.targetsListed.Store(true)
			r.Meter.LogReached(true)
		},
		Apply: r.applyTargetRecords,
		// Targets write their entries again, as after an outage.
		OnRestored: func() {
			r.updateTargets(func(l *roster.TargetList) bool {
				l.RecordOutage()
				l.RecordRecovery()
				return false
			})
		},
		OnOutage: func(err error) {
			r.updateTargets(func(l *roster.TargetList) bool { l.RecordOutage(); return false })
			r.Meter.LogReached(false)
			onUnreachable(err)
		},
		OnRecovery: func(outage time.Duration) {
			r.updateTargets(func(l *roster.TargetList) bool { l.RecordRecovery(); return false })
			r.Meter.LogReached(true)
			onRecovered(outage)
		},
	}
}

// The list of targets is read with a pause of a quarter of the time within which a leaving target must get no more
// work, after outageNotice of it: the time in which the end of an outage of the log is noticed. Entries are written all the
// time, so that each read returns at once, and the pauses determine most of the calls to the log.
const (
	listPauseDivisor = 4
	outageNotice     = time.Second
)

// listPause returns the time between two reads of the list of targets.
func (r *Router) listPause() time.Duration {
	return max(r.Settings.Store.ListPauseMS.Duration(), (r.Settings.Target.LeaveMS.Duration()-outageNotice)/listPauseDivisor)
}

// applyTargetRecords applies records to the list of targets.
func (r *Router) applyTargetRecords(records []logs.Record) {
	r.updateTargets(func(l *roster.TargetList) bool {
		changed := false
		for _, record := range records {
			changed = r.applyTargetRecord(l, record) || changed
		}
		return changed
	})
}

// applyTargetRecord applies one record to the list of targets and reports whether the list changed.
func (r *Router) applyTargetRecord(l *roster.TargetList, record logs.Record) bool {
	if record.Key == "" {
		return false
	}
	if len(record.Value) == 0 {
		return l.Remove(record.Key)
	}
	e, err := r.Platform.ParseTarget(record.Key, record.Value)
	if err != nil {
		return l.PutInvalid(record.Key, err)
	}
	r.invalid.Valid(r.Platform.TargetTopic, record.Key)
	return l.Put(e)
}

// updateTargets updates the list of targets and, if it changed, sends it to the route actor.
func (r *Router) updateTargets(update func(l *roster.TargetList) bool) {
	r.listMu.Lock()
	defer r.listMu.Unlock()
	if update(r.list) {
		targets := r.list.Targets()
		routed := r.routedTargets(targets)
		r.origins.SetTargets(routed)
		r.setServices(routed)
		r.applyCold(targets)
		r.routeClient.SetTargets(targets, 0)
	}
}

// routedTargets returns the targets of services that a route leads to, or has led to: streams that began there may be resumed when one does so again.
// Entries of the list may name any number of other services, of which nothing is kept.
func (r *Router) routedTargets(targets []roster.Target) []roster.Target {
	t := r.table.Current()
	if t == nil {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(targets), func(target roster.Target) bool {
		if t.LeadsTo(target.Service) {
			r.routed[target.Service] = struct{}{}
		}
		_, routed := r.routed[target.Service]
		return !routed
	})
}

// RecordLogRestored logs that the log was restored from an older copy, and triggers that the budgets are read again.
func (r *Router) RecordLogRestored(era int64) {
	events.Log(r.Log, events.LogRestored).Int64("era", era).Send()
	r.budgetSync.ScheduleAll()
}

// RecordInvalidEra logs a reply of the log that shows no valid era.
func (r *Router) RecordInvalidEra(err error) { events.Log(r.Log, events.EraInvalid).Err(err).Send() }

// expireTargets removes targets whose entries expired during an outage and were not renewed.
func (r *Router) expireTargets() { r.updateTargets((*roster.TargetList).Expire) }

// targetChanged logs a change of a target in the list.
func (r *Router) targetChanged(id string, c roster.Change, reason error) {
	switch c {
	case roster.Joined:
		events.Log(r.Log, events.TargetJoined).Str("target", id).Send()
	case roster.Drained:
		events.Log(r.Log, events.TargetLeaving).Str("target", id).Send()
	case roster.Removed:
		events.Log(r.Log, events.TargetRemoved).Str("target", id).Send()
	case roster.Invalid:
		if i := r.invalid.Record(r.Platform.TargetTopic, id, reason); i != nil {
			logInvalid(events.Log(r.Log, events.TargetInvalid).Str("target", i.Key), i)
		}
	}
}

// refreshTopics restarts the long reads. Their connections may be lost too when another topic becomes unreachable.
func (r *Router) refreshTopics() {
	r.crashTopic.Refresh()
	r.rateTopic.Refresh()
}

// topicUnreachable returns a callback that logs that the topic can't be read.
func (r *Router) topicUnreachable(topic string) func(err error) {
	return func(err error) {
		r.unreachableTopics.Store(topic, time.Now())
		r.refreshTopics()
		events.Log(r.Log, events.TopicLost).Str("topic", topic).Err(err).Send()
	}
}

// topicRecovered returns a callback that logs that the topic can be read again.
func (r *Router) topicRecovered(topic string) func(outage time.Duration) {
	return func(outage time.Duration) {
		r.unreachableTopics.Delete(topic)
		r.refreshTopics()
		events.Log(r.Log, events.TopicBack).Str("topic", topic).Dur("away", outage).Send()
	}
}

// recordUnreadable returns a callback that logs a record of the topic that can't be decoded.
func (r *Router) recordUnreadable(topic string) func(key string, err error) {
	return func(key string, err error) {
		if i := r.invalid.Record(topic, key, err); i != nil {
			logInvalid(events.Log(r.Log, events.RecordUnreadable).Str("topic", topic).Str("key", i.Key), i)
		}
	}
}

// logInvalid adds the reason to the line of an invalid record, and writes it.
func logInvalid(line *zerolog.Event, i *events.InvalidRecord) {
	if i.Suppressed > 0 {
		line.Int("suppressed", i.Suppressed)
	}
	line.Str(zerolog.ErrorFieldName, i.Reason).Send()
}

// holdingChanged logs a draw or a return.
func (r *Router) holdingChanged(organisation string, tokens int64, committed bool) {
	b := r.budgets.Balance(organisation)
	events.Log(r.Log, events.HoldingChanged).Str("organisation", organisation).Int64("tokens", tokens).Bool("landed", committed).
		Int64("paid", b.Paid).Int64("granted", b.Granted).Int64("free", b.Free).Int64("reserved", b.Reserved).Send()
}

// batchUnsettled logs a batch whose outcome can no longer be determined.
func (r *Router) batchUnsettled(sequence, tokens int64) {
	events.Log(r.Log, events.HoldingUnsettled).Int64("sequence", sequence).Int64("tokens", tokens).Send()
}

// promisesInherited logs the tokens that an earlier process of this instance had promised not to spend yet.
func (r *Router) promisesInherited(tokens map[string]int64, taken bool) {
	event := events.PromiseLapsed
	if taken {
		event = events.PromiseTaken
	}
	var total int64
	for _, n := range tokens {
		total += n
	}
	if !taken {
		r.Meter.Lapsed(total)
	}
	events.Log(r.Log, event).Int64("tokens", total).Int("organisations", len(tokens)).Send()
}
