package node

import (
	"context"
	"time"

	"cranberryrail/core/events"
	"cranberryrail/core/logs"
	"cranberryrail/core/poison"
	"cranberryrail/core/roster"
	"cranberryrail/core/tail"
)

// crashStream is the stream of reports of requests that crash targets, and crashItem the kind of its items.
const (
	crashStream = "crashes"
	crashItem   = "crash"
)

// abandonedInterval is the time between two checks of a target with abandoned requests. Each check opens a connection.
const abandonedInterval = time.Second

// crashRecord is the body of an item of the stream, and an element of a saved state.
type crashRecord struct {
	_     struct{} `cbor:",toarray"`
	Key   string
	Value []byte
}

// makeCrashes creates the tracker of requests that crash targets, the feed by which instances share its records, and the watcher of targets with
// abandoned requests.
func (n *Node) makeCrashes() {
	n.crashFeed = n.newFeed(crashStream)
	n.crashes = &poison.Tracker{Incarnation: n.Incarnation, OnChange: n.onQuarantineChanged, OnInvalid: n.recordInvalid(crashStream), Publish: func(r logs.Record) {
		n.crashFeed.Add(tail.NewItem(crashItem, crashRecord{Key: r.Key, Value: r.Value}))
	}}
	n.crashes.Default()
	n.abandoned = &poison.Watcher{HasEnded: n.hasCrashed, Interval: abandonedInterval}
	n.abandoned.Default()
	n.crashFeed.Apply = n.applyCrashes
	n.crashFeed.Save = func() ([]byte, error) {
		known := n.crashes.Records()
		saved := make([]crashRecord, 0, len(known))
		for _, r := range known {
			saved = append(saved, crashRecord{Key: r.Key, Value: r.Value})
		}
		return tail.Encode(saved)
	}
	n.crashFeed.Restore = func(_ int64, state []byte) error {
		var saved []crashRecord
		if err := tail.Decode(state, &saved); err != nil {
			return err
		}
		known := make([]logs.Record, 0, len(saved))
		for _, r := range saved {
			known = append(known, logs.Record{Key: r.Key, Value: r.Value})
		}
		n.crashes.Reset(known)
		return nil
	}
	n.crashFeed.Default()
}

// applyCrashes folds a batch of the stream. Items of a later build are skipped.
func (n *Node) applyCrashes(_ int64, b tail.Batch) error {
	for _, item := range b.Items {
		var r crashRecord
		if item.Kind != crashItem {
			continue
		}
		if err := tail.Decode(item.Body, &r); err != nil {
			n.recordInvalid(crashStream)("", err)
			continue
		}
		n.crashes.Apply([]logs.Record{{Key: r.Key, Value: r.Value}})
	}
	return nil
}

// recordInvalid returns a callback that logs a record of a stream, or an entry of the list, that is skipped since it can't be decoded.
func (n *Node) recordInvalid(topic string) func(key string, err error) {
	return func(key string, err error) {
		if i := n.invalid.Record(topic, key, err); i != nil {
			events.Log(n.Log, events.RecordUnreadable).Str("topic", topic).Str("key", i.Key).Int("suppressed", i.Suppressed).Str("error", i.Reason).Send()
		}
	}
}

// hasCrashed reports whether the process of a target has ended: its machine refuses connections.
func (n *Node) hasCrashed(ctx context.Context, t roster.Target) bool {
	crashed := n.target.RefusesConnections(context.WithoutCancel(ctx), t.Addr)
	if crashed {
		events.Log(n.Log, events.TargetCrashed).Str("target", t.ID).Send()
	}
	return crashed
}

// onQuarantineChanged logs that requests with a trait are no longer sent, or are sent again.
func (n *Node) onQuarantineChanged(trait poison.Trait, _ string, quarantined bool, crashes int) {
	event := events.Released
	if quarantined {
		event = events.Quarantined
	}
	events.Log(n.Log, event).Str("trait", string(trait)).Int("crashes", crashes).Send()
}
