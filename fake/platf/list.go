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

// memberList is a version of the membership list. Its slices are immutable.
type memberList struct {
	validFrom time.Time
	members   roster.Members
}

// EditMembers changes the membership list; GET /v1/members returns the change after ListLag. The edit function
// receives a copy whose slices it may modify. It must not call the server, whose mutex is held.
func (s *Server) EditMembers(edit func(m *roster.Members)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.currentMembers()
	m.Instances = slices.Clone(m.Instances)
	m.Targets = slices.Clone(m.Targets)
	edit(&m)
	s.memberLists = append(s.memberLists, memberList{validFrom: s.Now(), members: m})
}

// SetInstance adds an instance to the membership list or replaces the one with the same id.
func (s *Server) SetInstance(i roster.Instance) {
	s.EditMembers(func(m *roster.Members) { m.Instances = append(withoutInstance(m.Instances, i.ID), i) })
}

// DeleteInstance removes an instance from the membership list.
func (s *Server) DeleteInstance(id string) {
	s.EditMembers(func(m *roster.Members) { m.Instances = withoutInstance(m.Instances, id) })
}

// SetTarget adds a target to the membership list or replaces the one with the same id.
func (s *Server) SetTarget(t roster.Target) {
	s.EditMembers(func(m *roster.Members) { m.Targets = append(withoutTarget(m.Targets, t.ID), t) })
}

// DeleteTarget removes a target from the membership list.
func (s *Server) DeleteTarget(id string) {
	s.EditMembers(func(m *roster.Members) { m.Targets = withoutTarget(m.Targets, id) })
}

func withoutInstance(list []roster.Instance, id string) []roster.Instance {
	return slices.DeleteFunc(list, func(i roster.Instance) bool { return i.ID == id })
}

func withoutTarget(list []roster.Target, id string) []roster.Target {
	return slices.DeleteFunc(list, func(t roster.Target) bool { return t.ID == id })
}

// currentMembers returns the newest version of the membership list. The caller holds the mutex.
func (s *Server) currentMembers() roster.Members {
	if len(s.memberLists) == 0 {
		return roster.Members{Instances: []roster.Instance{}, Targets: []roster.Target{}}
	}
	return s.memberLists[len(s.memberLists)-1].members
}

// laggedMembers returns the membership list as it was ListLag ago and drops older versions. The caller holds the
// mutex.
func (s *Server) laggedMembers() roster.Members {
	validAt := s.Now().Add(-s.ListLag)
	if len(s.memberLists) == 0 || s.memberLists[0].validFrom.After(validAt) {
		return roster.Members{Instances: []roster.Instance{}, Targets: []roster.Target{}}
	}
	for len(s.memberLists) > 1 && !s.memberLists[1].validFrom.After(validAt) {
		s.memberLists = s.memberLists[1:]
	}
	return s.memberLists[0].members
}

func (s *Server) handleMembers(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.listReads++
	outage, members := s.faults.OutageList, s.laggedMembers()
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
	_, _ = w.Write(data) // fails only if the client has disconnected
}

func (s *Server) handleCurrentMembers(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	members := s.currentMembers()
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
