package loads

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"cranberryrail/core/logs"
)

// Limits and latency of the platform's log, as its users publish them.
const (
	writesPerSecond = 4000
	readsPerSecond  = 16_000
	// callDelay is the duration of a call, and appendDelay the additional time of an append, of which a
	// partition processes one at a time.
	callDelay   = 5 * time.Millisecond
	appendDelay = 2 * time.Millisecond
)

// store is the platform's log with its limits: a partition processes its appends one at a time, calls beyond
// a rate are refused, and no call is answered while the instances are parted from it.
type store struct {
	fleet *fleet

	mu sync.Mutex
	// next is when each partition can process its next append.
	next map[string]time.Time
	// second is the second that reads and writes are counted for.
	second        int64
	reads, writes int
}

// log returns the log as an instance reaches it.
func (s *store) log(instance int) logs.Log {
	inner := s.fleet.log.Log()
	return logs.Log{
		Era: inner.Era,
		Append: func(ctx context.Context, topic string, part int, at int64, records []logs.Record) (int64, error) {
			if err := s.begin(ctx, instance, &s.writes, writesPerSecond); err != nil {
				return 0, err
			}
			s.awaitPartition(fmt.Sprint(topic, part))
			end, err := inner.Append(ctx, topic, part, at, records)
			s.countAppend(err)
			return end, err
		},
		Read: func(ctx context.Context, topic string, part int, from int64, _ time.Duration) ([]logs.Record, int64, error) {
			if err := s.begin(ctx, instance, &s.reads, readsPerSecond); err != nil {
				return nil, 0, err
			}
			return inner.Read(ctx, topic, part, from, 0)
		},
		Newest: func(ctx context.Context, topic string, part int, after string) (logs.Page, error) {
			if err := s.begin(ctx, instance, &s.reads, readsPerSecond); err != nil {
				return logs.Page{}, err
			}
			return inner.Newest(ctx, topic, part, after)
		},
	}
}

// begin waits for the duration of a call. It returns an error if the call exceeds the rate or gets no reply.
func (s *store) begin(ctx context.Context, instance int, count *int, limit int) error {
	if s.fleet.parted(instance) {
		<-ctx.Done()
		return ctx.Err()
	}
	tooMany := s.countCall(count, limit)
	time.Sleep(callDelay)
	if tooMany {
		return &logs.RefusedError{Status: http.StatusTooManyRequests, Reason: "too many calls"}
	}
	return nil
}

// countCall counts a call and reports whether it exceeds the limit.
func (s *store) countCall(count *int, limit int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now().Unix(); now != s.second {
		s.second, s.reads, s.writes = now, 0, 0
	}
	*count++
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	s.fleet.report.Calls++
	if *count > limit {
		s.fleet.report.TooMany++
	}
	return *count > limit
}

// awaitPartition waits until a partition has processed an append, after those before it.
func (s *store) awaitPartition(name string) {
	s.mu.Lock()
	done := time.Now()
	if next := s.next[name]; next.After(done) {
		done = next
	}
	done = done.Add(appendDelay)
	s.next[name] = done
	s.mu.Unlock()
	time.Sleep(time.Until(done))
}

func (s *store) countAppend(err error) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	s.fleet.report.Appends++
	var conflict *logs.ConflictError
	if errors.As(err, &conflict) {
		s.fleet.report.Conflicts++
	}
}
