// Package simul provides the components that the randomised simulations share: a scheduler
// with a virtual clock, a log with injected faults, and incarnations of instances that read
// and write the log as tail.Feed does, all within one goroutine.
package simul

import (
	"container/heap"
	"fmt"
	"time"
)

// Scheduler is a discrete-event scheduler with a virtual clock.
type Scheduler struct {
	now    time.Time
	seq    int64
	events eventHeap
}

// event is a scheduled function; seq orders events that are due at the same time.
type event struct {
	at  time.Time
	seq int64
	run func()
}

type eventHeap []event

func (q eventHeap) Len() int      { return len(q) }
func (q eventHeap) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q eventHeap) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}

// Push implements heap.Interface.
func (q *eventHeap) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventHeap) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}

// NewScheduler returns a scheduler whose clock starts at a fixed time.
func NewScheduler() *Scheduler { return &Scheduler{now: time.Unix(1_000_000, 0)} }

// Now returns the virtual time.
func (s *Scheduler) Now() time.Time { return s.now }

// After schedules a function to run after a delay; a negative delay counts as 0.
func (s *Scheduler) After(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now.Add(max(d, 0)), seq: s.seq, run: run})
}

// Step runs the next event and reports whether there was one.
func (s *Scheduler) Step() bool {
	if len(s.events) == 0 {
		return false
	}
	e := heap.Pop(&s.events).(event)
	s.now = e.at
	e.run()
	return true
}

// ViolationError reports a violated invariant, with the seed and the step that reproduce it.
type ViolationError struct {
	Seed   uint64
	Step   int64
	Detail string
}

// Error implements the error interface.
func (e *ViolationError) Error() string {
	return fmt.Sprintf("seed %d, step %d: %s", e.Seed, e.Step, e.Detail)
}
