package platf

import (
	"fmt"
	"net/http"
)

// Faults are the faults that tests can inject. The zero value injects none.
type Faults struct {
	// Outage makes all log calls return 503, including reads that are already waiting.
	Outage bool `json:"outage"`
	// OutageList makes reads of the membership list return 503.
	OutageList bool `json:"outage_list"`
	// DelayMS is the delay in milliseconds before an append takes effect and receives its reply.
	DelayMS int64 `json:"delay_ms"`
	// DropReplyRatio is the fraction of appends that take effect but receive no reply.
	DropReplyRatio float64 `json:"drop_reply_ratio"`
	// LateAppendRatio is the fraction of appends that receive no reply and take effect after LateAppendMS milliseconds.
	LateAppendRatio float64 `json:"late_append_ratio"`
	LateAppendMS    int64   `json:"late_append_ms"`
	// Retention overrides the server's retention unless it is 0.
	Retention int `json:"retention"`
}

// FaultRangeError reports that a field of Faults has a value out of range.
type FaultRangeError struct {
	Field   string
	Allowed string
}

// Error implements the error interface.
func (e *FaultRangeError) Error() string {
	return fmt.Sprintf("fault field %s is out of range; set it to %s", e.Field, e.Allowed)
}

// Check returns a *FaultRangeError if a value is out of range.
func (f Faults) Check() error {
	switch {
	case f.DropReplyRatio < 0 || f.DropReplyRatio > 1:
		return &FaultRangeError{Field: "drop_reply_ratio", Allowed: "a number from 0 to 1"}
	case f.LateAppendRatio < 0 || f.LateAppendRatio > 1:
		return &FaultRangeError{Field: "late_append_ratio", Allowed: "a number from 0 to 1"}
	case f.DelayMS < 0:
		return &FaultRangeError{Field: "delay_ms", Allowed: "0 or more milliseconds"}
	case f.LateAppendMS < 0:
		return &FaultRangeError{Field: "late_append_ms", Allowed: "0 or more milliseconds"}
	case f.Retention < 0:
		return &FaultRangeError{Field: "retention", Allowed: "0 or more records"}
	default:
		return nil
	}
}

// SetFaults replaces the injected faults. The new values apply at once to waiting reads and to retained records.
func (s *Server) SetFaults(f Faults) error {
	if err := f.Check(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	for _, st := range s.streams {
		st.trim(s.retention())
		st.notifyReaders()
	}
	s.Log.Info().Interface("faults", f).Msg("fake platform: injected faults replaced")
	return nil
}

// Faults returns the faults that are currently injected.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// retention returns the number of records retained per stream; 0 retains all. The caller holds the mutex.
func (s *Server) retention() int {
	if s.faults.Retention > 0 {
		return s.faults.Retention
	}
	return s.Retention
}

// Counts holds the call counters of the server.
type Counts struct {
	Streams map[string]StreamCounts `json:"streams"`
	// ListReads counts the reads of the membership list.
	ListReads int64 `json:"list_reads"`
}

// Counts returns a copy of the current counters.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Counts{Streams: make(map[string]StreamCounts, len(s.streams)), ListReads: s.listReads}
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
