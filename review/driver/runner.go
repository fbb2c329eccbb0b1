//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// stride is the number of tokens in one event, and eventPause the time between two events.
	stride     = 7
	eventPause = 4 * time.Millisecond
	// beatInterval is the time between two reports of a runner to the store.
	beatInterval = 1200 * time.Millisecond
)

// runner is a sound model runner: it streams events and registers itself in the store.
type runner struct {
	id, service, zone, addr string
	born                    int64
	rec                     *recorder
	store                   *store
}

func startRunner(rec *recorder, s *store, id, service, zone string) (*runner, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{id: id, service: service, zone: zone, addr: l.Addr().String(), born: time.Now().UnixMilli(), rec: rec, store: s}
	go func() { _ = http.Serve(l, r) }()
	go r.beat()
	return r, nil
}

// beat writes the entry of the runner to the store, again and again.
func (r *runner) beat() {
	for sequence := 1; ; sequence++ {
		if mode, _ := r.store.state(); mode == storeUp {
			entry, err := json.Marshal(map[string]any{
				"service": r.service, "address": r.addr, "zone": r.zone, "version": "v1", "slots": 64, "state": "ready", "cold_remaining_ms": 0,
				"stage": "prefill_decode", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "sequence": sequence, "born": r.born,
			})
			if err != nil {
				panic(err)
			}
			r.store.put("keyed.servers", r.id, entry)
		}
		time.Sleep(beatInterval)
	}
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	h := w.Header()
	h.Set("Cranberryrail-Runner-Load", "1,0,64")
	switch req.URL.Path {
	case "/health":
		h.Set("Cranberryrail-Runner-Id", r.id)
		return
	case "/api/report":
		writeJSON(w, http.StatusOK, map[string]any{"stage": "prefill_decode", "busy": false, "sequence": 1, "queued": 0, "active": 1, "kv_used": 0, "kv_total": 90000, "handles": 0, "born": r.born})
		return
	}
	id := req.Header.Get("Cranberryrail-Attempt-Id")
	h.Set("Cranberryrail-Attempt-Id", id)
	if expected := req.Header.Get("Cranberryrail-Expect-Instance"); expected != "" && expected != r.id {
		h.Set("Cranberryrail-Runner-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	_, out, _ := strings.Cut(req.Header.Get("Cranberryrail-Token-Usage"), ",")
	tokens, _ := strconv.Atoi(out)
	r.rec.printf("run %s at %s for %s", id, r.id, req.Header.Get("Cranberryrail-Tenant"))
	h.Set("Cranberryrail-Response-Seal", "seal-"+id)
	h.Set("Content-Type", "text/event-stream")
	for i := 1; i <= (tokens+stride-1)/stride; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		time.Sleep(eventPause)
	}
}
