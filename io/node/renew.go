package node

import (
	"context"
	"time"

	"cranberryrail/core/events"
	"cranberryrail/core/tail"
)

// renew writes snapshots of all streams at fixed times, so that a stream on which little
// happens outlives the time for which the platform keeps records. The instances agree on
// who writes only as a hint: two snapshots do no harm.
func (n *Node) renew(ctx context.Context) error {
	age := n.Settings.Ledger.SnapshotAgeMS.Duration()
	for {
		now := time.Now()
		timer := time.NewTimer(now.Truncate(age).Add(age).Sub(now))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
		for _, f := range n.feeds() {
			n.renewStream(ctx, f)
		}
	}
}

// renewStream writes a snapshot when this instance is the one to do so.
func (n *Node) renewStream(ctx context.Context, f *tail.Feed) {
	if !f.Ready() || f.Next() == 0 || n.view.Rank("snapshot/"+f.Stream, time.Now()) > 0 {
		return
	}
	if err := f.WriteSnapshot(ctx); err != nil {
		events.Log(n.Log, events.SnapshotFailed).Str("stream", f.Stream).Err(err).Send()
	}
}
