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
	// MaxRecordBytes is the size of the largest record.
	MaxRecordBytes = 8 << 20
	// DefaultPage is the number of records in a page when the read names none.
	DefaultPage = 500
	// MaxPage is the largest number of records in a page.
	MaxPage = 5000
	// MaxWait is the longest wait of a read.
	MaxWait = 30 * time.Second
)

// fate is what happens to an append.
type fate string

const (
	answered fate = "answered"
	refused  fate = "refused"
	limited  fate = "limited"
	dropped  fate = "dropped" // takes effect without a reply
	putOff   fate = "put_off" // takes effect later, without a reply
)

func (s *Server) handleAppend(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("stream")
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxRecordBytes))
	if err != nil {
		status := http.StatusBadRequest
		if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
			status = http.StatusRequestEntityTooLarge
		}
		writeError(w, status, "read the record: "+err.Error())
		return
	}
	fate, faults := s.decide(name)
	switch fate {
	case refused:
		writeError(w, http.StatusServiceUnavailable, "outage")
		return
	case limited:
		writeError(w, http.StatusTooManyRequests, "rate limit")
		return
	case putOff:
		s.appendLater(name, data, time.Duration(faults.LateAppendMS)*time.Millisecond)
		panic(http.ErrAbortHandler)
	}
	// The append takes effect after the delay, also when the caller has left.
	if !s.sleep(time.Duration(faults.DelayMS) * time.Millisecond) {
		panic(http.ErrAbortHandler)
	}
	offset := s.append(name, data)
	if fate == dropped {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, plat.AppendReply{Offset: offset})
}

// decide draws what happens to an append, and counts it.
func (s *Server) decide(name string) (fate, Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := &s.stream(name).counts
	switch f := s.faults; {
	case f.Outage:
		counts.Refused++
		return refused, f
	case !s.limiter.AllowN(s.Now(), 1):
		counts.Limited++
		return limited, f
	case s.rand.Float64() < f.LateAppendRatio:
		counts.LateAppends++
		return putOff, f
	case s.rand.Float64() < f.DropReplyRatio:
		counts.RepliesDropped++
		return dropped, f
	default:
		return answered, f
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

// appendLater lets an append take effect after the delay unless the server stops first.
func (s *Server) appendLater(name string, data []byte, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	s.late.Go(func() error {
		if s.sleep(delay) {
			s.append(name, data)
		}
		return nil
	})
}

// sleep waits and reports false when the server stopped meanwhile.
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

// stream returns the stream of the name. The mutex is held.
func (s *Server) stream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = newStream()
		s.streams[name] = st
	}
	return st
}

// readQuery is what a read asks for.
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
			return readQuery{}, fmt.Errorf("parameter %s is %q; give a number from 0 on", key, values.Get(key))
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
	last := q.wait == 0
	for {
		status, reply, changed := s.read(r.PathValue("stream"), q, last)
		if status != 0 {
			writeJSON(w, status, reply)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			last = true
		case <-s.stop:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

// read returns the status and body of the answer, or the status 0 and a channel that is
// closed at the next change. The last try of a read is answered also when it finds no
// record.
func (s *Server) read(name string, q readQuery, last bool) (int, any, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	if s.faults.Outage {
		st.counts.Refused++
		return http.StatusServiceUnavailable, plat.ErrorReply{Error: "outage"}, nil
	}
	if q.from < st.first {
		return http.StatusGone, plat.TrimmedReply{Earliest: st.first, Head: st.head()}, nil
	}
	reply := st.page(q.from, q.max)
	if len(reply.Records) == 0 && !last {
		return 0, nil, st.changed
	}
	st.countRead(reply)
	return http.StatusOK, reply, nil
}
