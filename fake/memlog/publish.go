package memlog

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"cranberryrail/core/logs"
)

// Publish adds n records to an outbox over an empty log, one every interval, and runs the outbox until a time after the last. The keys are the numbers of the records.
// It returns the keys in the order in which they were acknowledged, how long after it was added each was, and the keys in the log.
func Publish(ctx context.Context, l logs.Log, n int, interval, after time.Duration) (acknowledged []string, took []time.Duration, stored []string, err error) {
	began := time.Now()
	o := &logs.Outbox{Log: l, Topic: "t", OnAppended: func(records []logs.Record) {
		for _, r := range records {
			took = append(took, time.Since(began)-time.Duration(len(acknowledged))*interval)
			acknowledged = append(acknowledged, r.Key)
		}
	}}
	o.Default()
	running, cancel := context.WithCancel(ctx)
	defer cancel()
	var g errgroup.Group
	g.Go(func() error { return o.Run(running) })
	for i := range n {
		o.Add(logs.Record{Key: fmt.Sprint(i), Value: []byte("v")})
		time.Sleep(interval)
	}
	time.Sleep(after)
	cancel()
	if err := g.Wait(); err != nil {
		return nil, nil, nil, err
	}
	records, _, err := l.Read(ctx, "t", 0, 0, 0)
	for _, r := range records {
		stored = append(stored, r.Key)
	}
	return acknowledged, took, stored, err
}
