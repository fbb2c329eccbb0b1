//go:build review

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// appendTime is how long a partition takes for one append, as the site's sheet states.
const appendTime = 2 * time.Millisecond

// logRecord is one record of a partition. Key and value are set in keyed topics, which are the only ones that are used.
type logRecord struct {
	key   string
	value []byte
	at    time.Time
}

// logPart is one partition of a topic. Nothing expires within a run.
type logPart struct {
	mu      sync.Mutex
	records []logRecord
	changed chan struct{}
}

// storeMode is how the store treats calls.
type storeMode string

// Modes of the store.
const (
	storeUp     storeMode = "up"
	storeSilent storeMode = "silent" // no call is executed or answered, as of a store that is down
)

// store is the platform's store: its log with conditional appends, and the newest record of each key.
type store struct {
	rec  *recorder
	addr string

	mu    sync.Mutex
	mode  storeMode
	era   int64
	parts map[string]*logPart
}

func newStore(rec *recorder) *store {
	return &store{rec: rec, mode: storeUp, parts: map[string]*logPart{}}
}

// start listens on a free port of the loopback address.
func (s *store) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.addr = l.Addr().String()
	go func() { _ = http.Serve(l, s) }()
	return nil
}

func (s *store) setMode(m storeMode) {
	s.mu.Lock()
	s.mode = m
	s.mu.Unlock()
	s.rec.printf("store %s", m)
}

func (s *store) state() (storeMode, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode, s.era
}

func (s *store) part(topic, part string) *logPart {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := topic + "/" + part
	p := s.parts[name]
	if p == nil {
		p = &logPart{changed: make(chan struct{})}
		s.parts[name] = p
	}
	return p
}

// restore replaces all partitions by a copy of the given age, and raises the era.
func (s *store) restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	cut, lost := time.Now().Add(-age), 0
	for _, p := range s.parts {
		p.mu.Lock()
		n := len(p.records)
		for n > 0 && p.records[n-1].at.After(cut) {
			n--
		}
		lost += len(p.records) - n
		p.records = p.records[:n:n]
		p.notify()
		p.mu.Unlock()
	}
	s.rec.printf("store restored from a copy of %v; era %d; %d records lost", age, s.era, lost)
}

func (p *logPart) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// put appends one record, as the operator and the runners do.
func (s *store) put(topic, key string, value []byte) {
	p := s.part(topic, "0")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.records = append(p.records, logRecord{key, value, time.Now()})
	p.notify()
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	mode, era := s.state()
	if err != nil || mode == storeSilent {
		<-r.Context().Done()
		return
	}
	q := r.URL.Query()
	p := s.part(q.Get("topic"), q.Get("part"))
	w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
	switch r.URL.Path {
	case "/api/log-append":
		s.serveAppend(w, p, q.Get("topic"), q.Get("at"), body, era)
	case "/api/log-read":
		s.serveRead(w, r, p)
	case "/api/log-newest":
		s.serveNewest(w, p, q.Get("after"))
	default:
		http.NotFound(w, r)
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) serveAppend(w http.ResponseWriter, p *logPart, topic, at string, body []byte, era int64) {
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	records, err := decodeRecords(body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	time.Sleep(appendTime)
	if mode, now := s.state(); mode != storeUp || now != era {
		w.WriteHeader(http.StatusServiceUnavailable) // nothing was done
		return
	}
	end := int64(len(p.records))
	if at != "" && at != strconv.FormatInt(end, 10) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]int64{"end": end})
		return
	}
	p.records = append(p.records, records...)
	p.notify()
	writeJSON(w, http.StatusOK, map[string]int64{"offset": end, "end": int64(len(p.records))})
}

// decodeRecords decodes records of a keyed topic: a length of 4 bytes, then the length of the key, the key and the value.
func decodeRecords(body []byte) ([]logRecord, error) {
	var records []logRecord
	for len(body) > 0 {
		if len(body) < 4 || len(body)-4 < int(binary.BigEndian.Uint32(body)) {
			return nil, io.ErrUnexpectedEOF
		}
		n := int(binary.BigEndian.Uint32(body))
		data := body[4 : 4+n]
		body = body[4+n:]
		if n < 1 || n < 1+int(data[0]) {
			return nil, io.ErrUnexpectedEOF
		}
		k := int(data[0])
		records = append(records, logRecord{string(data[1 : 1+k]), slices.Clone(data[1+k:]), time.Now()})
	}
	return records, nil
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, p *logPart) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := wait > 0; ; {
		p.mu.Lock()
		end, changed := int64(len(p.records)), p.changed
		if from > end {
			p.mu.Unlock()
			writeJSON(w, http.StatusGone, map[string]int64{"first": 0})
			return
		}
		if from < end || !waiting {
			data := binary.BigEndian.AppendUint64(nil, uint64(end))
			data = binary.BigEndian.AppendUint64(data, 0)
			for _, record := range p.records[from:] {
				data = binary.BigEndian.AppendUint32(data, uint32(1+len(record.key)+len(record.value)))
				data = append(append(append(data, byte(len(record.key))), record.key...), record.value...)
			}
			p.mu.Unlock()
			_, era := s.state()
			w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
			_, _ = w.Write(data)
			return
		}
		p.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
		if mode, _ := s.state(); mode == storeSilent {
			<-r.Context().Done()
			return
		}
	}
}

// pageRecords is the number of records of one page.
const pageRecords = 500

func (s *store) serveNewest(w http.ResponseWriter, p *logPart, after string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	p.mu.Lock()
	newest := map[string]item{}
	for i, r := range p.records {
		newest[r.key] = item{r.key, base64.StdEncoding.EncodeToString(r.value), int64(i)}
		if len(r.value) == 0 {
			delete(newest, r.key)
		}
	}
	end := int64(len(p.records))
	p.mu.Unlock()
	items := []item{}
	for _, i := range newest {
		if i.Key > after {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	truncated := len(items) > pageRecords
	writeJSON(w, http.StatusOK, map[string]any{"items": items[:min(len(items), pageRecords)], "truncated": truncated, "end": end})
}

// budgets returns the newest records of the budgets, for the record of the run.
func (s *store) budgets() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := map[string]string{}
	for name, p := range s.parts {
		if !strings.HasPrefix(name, "keyed.budgets/") {
			continue
		}
		p.mu.Lock()
		for _, r := range p.records {
			newest[r.key] = string(r.value)
		}
		p.mu.Unlock()
	}
	var lines []string
	for key, value := range newest {
		if !strings.HasPrefix(key, "instance/") {
			lines = append(lines, fmt.Sprintf("%s %s", key, value))
		}
	}
	slices.Sort(lines)
	return strings.Join(lines, "; ")
}
