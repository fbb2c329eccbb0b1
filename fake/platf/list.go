package platf

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"cranberryrail/core/roster"
)

// datedList is the list from a time on. Its slices are not changed any more.
type datedList struct {
	at      time.Time
	members roster.Members
}

// EditMembers changes the list; GET /v1/members shows it after ListLag. The edit gets
// a copy whose slices it may change; it must not call the server.
func (s *Server) EditMembers(edit func(m *roster.Members)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.current()
	m.Instances = slices.Clone(m.Instances)
	m.Targets = slices.Clone(m.Targets)
	edit(&m)
	s.lists = append(s.lists, datedList{at: s.Now(), members: m})
}

// SetInstance adds an instance to the list or replaces the one with the same id.
func (s *Server) SetInstance(i roster.Instance) {
	s.EditMembers(func(m *roster.Members) { m.Instances = append(withoutInstance(m.Instances, i.ID), i) })
}

// DeleteInstance takes an instance off the list.
func (s *Server) DeleteInstance(id string) {
	s.EditMembers(func(m *roster.Members) { m.Instances = withoutInstance(m.Instances, id) })
}

// SetTarget adds a target to the list or replaces the one with the same id.
func (s *Server) SetTarget(t roster.Target) {
	s.EditMembers(func(m *roster.Members) { m.Targets = append(withoutTarget(m.Targets, t.ID), t) })
}

// DeleteTarget takes a target off the list.
func (s *Server) DeleteTarget(id string) {
	s.EditMembers(func(m *roster.Members) { m.Targets = withoutTarget(m.Targets, id) })
}

func withoutInstance(list []roster.Instance, id string) []roster.Instance {
	return slices.DeleteFunc(list, func(i roster.Instance) bool { return i.ID == id })
}

func withoutTarget(list []roster.Target, id string) []roster.Target {
	return slices.DeleteFunc(list, func(t roster.Target) bool { return t.ID == id })
}

// current returns the newest list. The mutex is held.
func (s *Server) current() roster.Members {
	if len(s.lists) == 0 {
		return roster.Members{Instances: []roster.Instance{}, Targets: []roster.Target{}}
	}
	return s.lists[len(s.lists)-1].members
}

// lagging returns the list as it was ListLag ago and forgets older ones. The mutex is
// held.
func (s *Server) lagging() roster.Members {
	shown := s.Now().Add(-s.ListLag)
	if len(s.lists) == 0 || s.lists[0].at.After(shown) {
		return roster.Members{Instances: []roster.Instance{}, Targets: []roster.Target{}}
	}
	for len(s.lists) > 1 && !s.lists[1].at.After(shown) {
		s.lists = s.lists[1:]
	}
	return s.lists[0].members
}

func (s *Server) handleMembers(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.reads++
	outage, members := s.faults.OutageList, s.lagging()
	s.mu.Unlock()
	if outage {
		writeError(w, http.StatusServiceUnavailable, "outage")
		return
	}
	data, err := json.Marshal(members)
	if err != nil {
		writeError(w, http.StatusInternalServerError, err.Error())
		return
	}
	etag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(data), 16))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data) // the caller has left when this fails
}

func (s *Server) handleCurrentMembers(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	members := s.current()
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, members)
}

func (s *Server) handleSetMembers(w http.ResponseWriter, r *http.Request) {
	members := roster.Members{Instances: []roster.Instance{}, Targets: []roster.Target{}}
	if !readJSON(w, r, &members) {
		return
	}
	s.EditMembers(func(m *roster.Members) { *m = members })
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleSetInstance(w http.ResponseWriter, r *http.Request) {
	var i roster.Instance
	if !readJSON(w, r, &i) {
		return
	}
	i.ID = r.PathValue("id")
	s.SetInstance(i)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleDeleteInstance(w http.ResponseWriter, r *http.Request) {
	s.DeleteInstance(r.PathValue("id"))
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleSetTarget(w http.ResponseWriter, r *http.Request) {
	var t roster.Target
	if !readJSON(w, r, &t) {
		return
	}
	t.ID = r.PathValue("id")
	s.SetTarget(t)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleDeleteTarget(w http.ResponseWriter, r *http.Request) {
	s.DeleteTarget(r.PathValue("id"))
	w.WriteHeader(http.StatusNoContent)
}
