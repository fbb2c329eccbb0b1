package platf

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"cranberryrail/io/plat"
)

// Limits of log calls.
const (
	// MaxRecordBytes is the maximum size of a record.
	MaxRecordBytes = 8 << 20
	// DefaultPage is the page size of a read without the parameter max, in records.
	DefaultPage = 500
	// MaxPage is the maximum page size, in records.
	MaxPage = 5000
	// MaxWait is the maximum time that a read waits for new records.
	MaxWait = 30 * time.Second
)

// appendOutcome is how the server handles an append.
type appendOutcome string

const (
	answered     appendOutcome = "answered"
	refused      appendOutcome = "refused"
	rateLimited  appendOutcome = "limited"
	replyDropped appendOutcome = "dropped" // takes effect, but receives no reply
	lateAppend   appendOutcome = "put_off" // takes effect after LateAppendMS and receives no reply
)

// Appending returns the number of append calls in progress, including those whose client has disconnected.
func (s *Server) Appending() int64 { return s.appending.Load() }

func (s *Server) handleAppend(w http.ResponseWriter, r *http.Request) {
	s.appending.Add(1)
	defer s.appending.Add(-1)
	name := r.PathValue("stream")
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxRecordBytes))
	if err != nil {
		status := http.StatusBadRequest
		if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
			status = http.StatusRequestEntityTooLarge
		}
		writeError(w, status, "read record from request body: "+err.Error())
		return
	}
	outcome, faults := s.drawOutcome(name)
	switch outcome {
	case refused:
		writeError(w, http.StatusServiceUnavailable, "outage")
		return
	case rateLimited:
		writeError(w, http.StatusTooManyRequests, "append rate limit exceeded; retry later")
		return
	case lateAppend:
		s.appendLate(name, data, time.Duration(faults.LateAppendMS)*time.Millisecond)
		panic(http.ErrAbortHandler)
	}
	// The append takes effect after the delay even if the client has disconnected.
	if !s.sleep(time.Duration(faults.DelayMS) * time.Millisecond) {
		panic(http.ErrAbortHandler)
	}
	offset := s.append(name, data)
	if outcome == replyDropped {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, plat.AppendReply{Offset: offset})
}

// drawOutcome determines the outcome of an append and counts it. It draws injected faults at random.
func (s *Server) drawOutcome(name string) (appendOutcome, Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := &s.stream(name).counts
	switch faults := s.faults; {
	case faults.Outage:
		counts.Refused++
		return refused, faults
	case !s.limiter.AllowN(s.Now(), 1):
		counts.Limited++
		return rateLimited, faults
	case s.rand.Float64() < faults.LateAppendRatio:
		counts.LateAppends++
		return lateAppend, faults
	case s.rand.Float64() < faults.DropReplyRatio:
		counts.RepliesDropped++
		return replyDropped, faults
	default:
		return answered, faults
	}
}

func (s *Server) append(name string, data []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	offset := st.add(data)
	st.trim(s.retention())
	return offset
}

// appendLate appends a record after the delay unless the server stops first.
func (s *Server) appendLate(name string, data []byte, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	s.lateAppends.Go(func() error {
		if s.sleep(delay) {
			s.append(name, data)
		}
		return nil
	})
}

// sleep waits for d. It returns false as soon as the server stops.
func (s *Server) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-s.stop:
		return false
	case <-timer.C:
		return true
	}
}

// stream returns the named stream and creates it if it does not exist. The caller holds the mutex.
func (s *Server) stream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = newStream()
		s.streams[name] = st
	}
	return st
}

// readQuery holds the parameters of a read.
type readQuery struct {
	from int64
	max  int
	wait time.Duration
}

func parseReadQuery(values url.Values) (readQuery, error) {
	q := readQuery{max: DefaultPage}
	for key, set := range map[string]func(int64){
		"from":    func(n int64) { q.from = n },
		"max":     func(n int64) { q.max = int(min(n, MaxPage)) },
		"wait_ms": func(n int64) { q.wait = time.Duration(min(n, MaxWait.Milliseconds())) * time.Millisecond },
	} {
		if !values.Has(key) {
			continue
		}
		n, err := strconv.ParseInt(values.Get(key), 10, 64)
		if err != nil || n < 0 {
			return readQuery{}, fmt.Errorf("query parameter %s has the invalid value %q; send an integer of 0 or more", key, values.Get(key))
		}
		set(n)
	}
	return q, nil
}

func (s *Server) handleRead(w http.ResponseWriter, r *http.Request) {
	q, err := parseReadQuery(r.URL.Query())
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	timer := time.NewTimer(q.wait)
	defer timer.Stop()
	noWait := q.wait == 0
	for {
		status, reply, changed := s.read(r.PathValue("stream"), q, noWait)
		if status != 0 {
			writeJSON(w, status, reply)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			noWait = true
		case <-s.stop:
			noWait = true
		case <-r.Context().Done():
			return
		}
	}
}

// read returns the status and body of the reply. If there is no record and noWait is false, it returns status 0 and a
// channel that is closed at the next change of the stream. With noWait it returns an empty page instead.
func (s *Server) read(name string, q readQuery, noWait bool) (int, any, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	if s.faults.Outage {
		st.counts.Refused++
		return http.StatusServiceUnavailable, plat.ErrorReply{Error: "outage"}, nil
	}
	if q.from < st.earliest {
		return http.StatusGone, plat.TrimmedReply{Earliest: st.earliest, Head: st.head()}, nil
	}
	reply := st.readPage(q.from, q.max)
	if len(reply.Records) == 0 && !noWait {
		return 0, nil, st.changed
	}
	st.countRead(reply)
	return http.StatusOK, reply, nil
}
