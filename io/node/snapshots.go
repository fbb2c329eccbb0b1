package node

import (
	"context"
	"time"

	"cranberryrail/core/events"
	"cranberryrail/core/tail"
)

// writeSnapshots writes snapshots of all streams at fixed times, so that the state of a stream with few records
// outlives the retention period of the platform. The choice of the writing instance is only a hint, because two
// snapshots do no harm.
func (n *Node) writeSnapshots(ctx context.Context) error {
	interval := n.Settings.Ledger.SnapshotAgeMS.Duration()
	for {
		now := time.Now()
		timer := time.NewTimer(now.Truncate(interval).Add(interval).Sub(now))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
		for _, f := range n.feeds() {
			n.writeSnapshot(ctx, f)
		}
	}
}

// writeSnapshot writes a snapshot of a stream if this instance ranks first for it.
func (n *Node) writeSnapshot(ctx context.Context, f *tail.Feed) {
	if !f.Ready() || f.Next() == 0 || n.view.Rank("snapshot/"+f.Stream, time.Now()) > 0 {
		return
	}
	if err := f.WriteSnapshot(ctx); err != nil {
		n.snapshotFailed(f.Stream)(err)
	}
}

// snapshotFailed returns a function that logs that a snapshot of a stream could not be written.
func (n *Node) snapshotFailed(stream string) func(err error) {
	return func(err error) {
		events.Log(n.Log, events.SnapshotFailed).Str("stream", stream).Err(err).Send()
	}
}
