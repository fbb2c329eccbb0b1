package tail_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"cranberryrail/core/tail"
)

// sliceLog is an in-memory log of one stream.
type sliceLog struct {
	mu      sync.Mutex
	entries []tail.Record
}

func (l *sliceLog) append(_ context.Context, _ string, data []byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	offset := int64(len(l.entries))
	l.entries = append(l.entries, tail.Record{Offset: offset, Data: data})
	return offset, nil
}

func (l *sliceLog) read(_ context.Context, _ string, from int64, _ time.Duration) (tail.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	head := int64(len(l.entries))
	return tail.Page{Records: l.entries[min(from, head):head:head], Head: head}, nil
}

// A Feed needs a log, a fold function, and functions that save and restore the folded state. An
// added item takes effect when Fold receives it; a successful append alone does not apply it.
func ExampleFeed() {
	ctx, stop := context.WithCancel(context.Background())
	log, total := &sliceLog{}, 0
	feed := &tail.Feed{
		Log:    tail.Log{Append: log.append, Read: log.read},
		Stream: "sums", Incarnation: "incarnation-1",
		Apply: func(_ int64, b tail.Batch) error {
			for _, item := range b.Items {
				var n int
				if err := tail.Decode(item.Body, &n); err != nil {
					return err
				}
				total += n
			}
			if total == 42 {
				stop()
			}
			return nil
		},
		Save:    func() ([]byte, error) { return tail.Encode(total) },
		Restore: func(_ int64, state []byte) error { return tail.Decode(state, &total) },
	}
	feed.Default()
	var g errgroup.Group
	g.Go(func() error { return feed.Run(ctx) })
	feed.Add(tail.NewItem("add", 40), tail.NewItem("add", 2))
	fmt.Println(g.Wait(), total)
	// Output: <nil> 42
}
