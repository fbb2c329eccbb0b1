package platf

import (
	"fmt"
	"net/http"
)

// Faults are what tests can switch on. The zero value is a platform in good order.
type Faults struct {
	// Outage lets all calls of the log answer 503, also reads that wait.
	Outage bool `json:"outage"`
	// OutageList lets the list answer 503.
	OutageList bool `json:"outage_list"`
	// DelayMS is the time in milliseconds until an append takes effect and is answered.
	DelayMS int64 `json:"delay_ms"`
	// DropReplyRatio is the share of appends that take effect and get no reply.
	DropReplyRatio float64 `json:"drop_reply_ratio"`
	// LateAppendRatio is the share of appends that get no reply and take effect after
	// LateAppendMS milliseconds.
	LateAppendRatio float64 `json:"late_append_ratio"`
	LateAppendMS    int64   `json:"late_append_ms"`
	// Retention replaces the server's retention unless it is 0.
	Retention int `json:"retention"`
}

// FaultError tells that a field of Faults has a value out of range.
type FaultError struct {
	Field string
	Want  string
}

// Error implements the error interface.
func (e *FaultError) Error() string {
	return fmt.Sprintf("fault field %s is out of range; give %s", e.Field, e.Want)
}

// Check returns a *FaultError for a value out of range.
func (f Faults) Check() error {
	switch {
	case f.DropReplyRatio < 0 || f.DropReplyRatio > 1:
		return &FaultError{Field: "drop_reply_ratio", Want: "a number from 0 to 1"}
	case f.LateAppendRatio < 0 || f.LateAppendRatio > 1:
		return &FaultError{Field: "late_append_ratio", Want: "a number from 0 to 1"}
	case f.DelayMS < 0:
		return &FaultError{Field: "delay_ms", Want: "milliseconds from 0 on"}
	case f.LateAppendMS < 0:
		return &FaultError{Field: "late_append_ms", Want: "milliseconds from 0 on"}
	case f.Retention < 0:
		return &FaultError{Field: "retention", Want: "a number of records from 0 on"}
	default:
		return nil
	}
}

// SetFaults replaces the faults. Waiting reads and kept records follow at once.
func (s *Server) SetFaults(f Faults) error {
	if err := f.Check(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	for _, st := range s.streams {
		st.trim(s.retention())
		st.wake()
	}
	s.Log.Info().Interface("faults", f).Msg("platform stand-in has new faults")
	return nil
}

// Faults returns the faults in force.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// retention returns the number of records kept of each stream. The mutex is held.
func (s *Server) retention() int {
	if s.faults.Retention > 0 {
		return s.faults.Retention
	}
	return s.Retention
}

// Counts counts the calls of the server.
type Counts struct {
	Streams map[string]StreamCounts `json:"streams"`
	// ListReads counts the reads of the list.
	ListReads int64 `json:"list_reads"`
}

// Counts returns what was counted so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Counts{Streams: make(map[string]StreamCounts, len(s.streams)), ListReads: s.reads}
	for name, st := range s.streams {
		c.Streams[name] = st.counts
	}
	return c
}

func (s *Server) handleFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Faults())
}

func (s *Server) handleSetFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !readJSON(w, r, &f) {
		return
	}
	if err := s.SetFaults(f); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Counts())
}
