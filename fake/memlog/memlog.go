// Package memlog implements a fake of the platform's log in memory, which can inject faults: refused calls, appends
// whose replies are lost, appends that are applied late, and truncated history.
package memlog

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"cranberryrail/core/logs"
)

// Fault is the fault that is injected into one call.
type Fault string

// Faults of a call.
const (
	// None performs the call.
	None Fault = ""
	// Refuse does not perform the call and returns a *logs.RefusedError.
	Refuse Fault = "refuse"
	// LoseRequest does not perform the call and returns an error that leaves the outcome unknown.
	LoseRequest Fault = "lose"
	// LoseReply performs an append and returns an error that leaves the outcome unknown.
	LoseReply Fault = "lose_reply"
	// Late returns such an error and performs the append at the next ApplyLate, unless the end of the log has moved by
	// then.
	Late Fault = "late"
)

// errNoAnswer reports a call without a reply, whose outcome is unknown.
var errNoAnswer = errors.New("no reply from the log")

// pageSize is the maximum number of keys on a page of the newest records.
const pageSize = 3

// pollInterval is the time between two checks for records by a waiting read.
const pollInterval = 2 * time.Millisecond

// Server is the fake log. Its zero value is ready to use; its methods are safe for concurrent use.
type Server struct {
	// Era is the era of the log, which replies show; 0 for a log without eras. It is set before the first call.
	Era int64

	mu         sync.Mutex
	faultFor   func(call string) Fault
	partitions map[string]*partition
	lateWrites []func()
}

type partition struct {
	first   int64
	records []logs.Record
	newest  map[string]logs.Record
}

func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

// String describes the server for logs.
func (s *Server) String() string { return "fake of the platform's log" }

// Log returns the interface of a client of the log, which knows the eras that its replies have shown.
func (s *Server) Log() logs.Log {
	c := &client{server: s}
	return logs.Log{Append: c.append, Read: c.read, Newest: c.newest, Era: c.eras.Current}
}

// SetFault sets the function that selects the fault of each call by its name (append, read or newest); nil disables
// faults.
func (s *Server) SetFault(faultFor func(call string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultFor = faultFor
}

// ApplyLate performs the appends that Late has delayed.
func (s *Server) ApplyLate() {
	s.mu.Lock()
	late := s.lateWrites
	s.lateWrites = nil
	s.mu.Unlock()
	for _, do := range late {
		do()
	}
}

// Truncate truncates the history of all partitions; the newest record of each key is retained.
func (s *Server) Truncate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.partitions {
		p.first, p.records = p.end(), nil
	}
}

// Put appends one record without checking the expected end.
func (s *Server) Put(topic string, part int, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, part)
	p.put(key, value)
}

// Value returns the newest value of a key, or nil when there is none.
func (s *Server) Value(topic string, part int, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.partition(topic, part).newest[key].Value
}

func (s *Server) partition(topic string, part int) *partition {
	if s.partitions == nil {
		s.partitions = map[string]*partition{}
	}
	name := fmt.Sprintf("%s/%d", topic, part)
	p := s.partitions[name]
	if p == nil {
		p = &partition{newest: map[string]logs.Record{}}
		s.partitions[name] = p
	}
	return p
}

func (p *partition) put(key string, value []byte) {
	r := logs.Record{Offset: p.end(), Key: key, Value: value}
	p.records = append(p.records, r)
	if len(value) == 0 {
		delete(p.newest, key)
		return
	}
	p.newest[key] = r
}

// decideFault returns the fault of a call, and the error of a call that is not performed.
func (s *Server) decideFault(call string) (Fault, error) {
	s.mu.Lock()
	faultFor := s.faultFor
	s.mu.Unlock()
	if faultFor == nil {
		return None, nil
	}
	f := faultFor(call)
	switch f {
	case Refuse:
		return f, &logs.RefusedError{Status: http.StatusServiceUnavailable, Reason: "injected fault"}
	case LoseRequest:
		return f, errNoAnswer
	default:
		return f, nil
	}
}

func (s *Server) append(ctx context.Context, topic string, part int, at int64, records []logs.Record) (int64, error) {
	f, err := s.decideFault("append")
	if err != nil {
		return 0, err
	}
	if f == Late {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.lateWrites = append(s.lateWrites, func() { _, _ = s.write(topic, part, at, records) })
		return 0, errNoAnswer
	}
	end, err := s.write(topic, part, at, records)
	if f == LoseReply {
		return 0, errNoAnswer
	}
	return end, errors.Join(err, ctx.Err())
}

func (s *Server) write(topic string, part int, at int64, records []logs.Record) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, part)
	if at != logs.AnyOffset && p.end() != at {
		return 0, &logs.ConflictError{End: p.end()}
	}
	for _, r := range records {
		p.put(r.Key, r.Value)
	}
	return p.end(), nil
}

func (s *Server) read(ctx context.Context, topic string, part int, from int64, wait time.Duration) ([]logs.Record, int64, error) {
	if f, err := s.decideFault("read"); err != nil || f != None {
		return nil, 0, errors.Join(err, errNoAnswer)
	}
	deadline := time.Now().Add(wait)
	for {
		records, end, err := s.recordsFrom(topic, part, from)
		if err != nil || len(records) > 0 || !time.Now().Before(deadline) {
			return records, end, err
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}

func (s *Server) recordsFrom(topic string, part int, from int64) ([]logs.Record, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, part)
	if from < p.first || from > p.end() {
		return nil, 0, &logs.GoneError{First: p.first}
	}
	if from == p.end() {
		return nil, p.end(), nil
	}
	return slices.Clone(p.records[from-p.first:]), p.end(), nil
}

func (s *Server) readNewest(_ context.Context, topic string, part int, after string) (logs.Page, error) {
	if f, err := s.decideFault("newest"); err != nil || f != None {
		return logs.Page{}, errors.Join(err, errNoAnswer)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, part)
	page := logs.Page{End: p.end(), Era: s.Era}
	for key, r := range p.newest {
		if key > after {
			page.Records = append(page.Records, r)
		}
	}
	slices.SortFunc(page.Records, func(a, b logs.Record) int { return cmp.Compare(a.Key, b.Key) })
	if len(page.Records) > pageSize {
		page.Records, page.More = page.Records[:pageSize], true
	}
	return page, nil
}

// Before returns a log that calls the function before each call, and makes the call only if that returns no error.
func Before(l logs.Log, call func(ctx context.Context) error) logs.Log {
	return logs.Log{
		Era: l.Era,
		Append: func(ctx context.Context, topic string, part int, at int64, records []logs.Record) (int64, error) {
			if err := call(ctx); err != nil {
				return 0, err
			}
			return l.Append(ctx, topic, part, at, records)
		},
		Read: func(ctx context.Context, topic string, part int, from int64, wait time.Duration) ([]logs.Record, int64, error) {
			if err := call(ctx); err != nil {
				return nil, 0, err
			}
			return l.Read(ctx, topic, part, from, wait)
		},
		Newest: func(ctx context.Context, topic string, part int, after string) (logs.Page, error) {
			if err := call(ctx); err != nil {
				return logs.Page{}, err
			}
			return l.Newest(ctx, topic, part, after)
		},
	}
}

// SilentUntil returns a log that replies to no call before a time.
func SilentUntil(l logs.Log, replies time.Time) logs.Log {
	return Before(l, func(ctx context.Context) error {
		select {
		case <-time.After(time.Until(replies)):
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	})
}
