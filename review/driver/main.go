//go:build review

// Command driver plays the cases of the review: it starts the processes of the system, and is the store, the runners and the requesters.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// recorder writes what happens to the record of the run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// scene is what a case plays on.
type scene struct {
	rec        *recorder
	store      *store
	fleet      *fleet
	requesters *requesters
	// trouble is set if the disruption takes place.
	trouble bool
	version int
}

// fleetSize is the number of instances of a small deployment.
const fleetSize = 6

// newScene starts the store and the runners, and prepares the fleet.
func newScene(rec *recorder, dir string) (*scene, error) {
	s := &scene{rec: rec, store: newStore(rec), trouble: os.Getenv("TROUBLE") != "0"}
	if err := s.store.start(); err != nil {
		return nil, err
	}
	for i := range 3 {
		if _, err := startRunner(rec, s.store, fmt.Sprintf("i-%08x", i+1), "llm", zones[i]); err != nil {
			return nil, err
		}
	}
	program, err := filepath.Abs("target/cranberryrail")
	if err != nil {
		return nil, err
	}
	s.fleet, err = newFleet(rec, s.store, program, dir, fleetSize)
	if err != nil {
		return nil, err
	}
	s.requesters = newRequesters(rec, s.fleet)
	return s, nil
}

// idleRoutes is the number of routes that get no requests: 110 as the site file has them, and 350 of one big_config.
const idleRoutes = 110 + 350

// configure writes the next version of the operator's config. The reply of the store is the confirmation.
func (s *scene) configure(tenants ...*tenant) {
	s.version++
	list := []any{}
	for _, t := range tenants {
		list = append(list, map[string]any{"name": t.name, "api_keys": []string{t.key}, "priority": 1, "prepaid": t.prepaid})
	}
	routes := []any{}
	for i := range idleRoutes + 1 {
		route := map[string]any{
			"name": fmt.Sprintf("chat-%d", i), "host": host, "path_prefix": prefix, "kind": "streaming", "timeout_ms": timeLimit.Milliseconds(), "target_latency_ms": 400, "priority": 0,
			"service": "llm", "max_attempts": 2, "anonymous": false, "session_affinity": true, "stream_resume": false, "target_gap_ms": 400,
		}
		if i > 0 {
			route["path_prefix"] = fmt.Sprintf("/idle%d/", i)
		}
		routes = append(routes, route)
	}
	value, err := json.Marshal(map[string]any{
		"version": s.version,
		"routes":  routes,
		"services": []any{map[string]any{
			"name": "llm", "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kv_capacity": 498884, "stride": stride, "models": []any{map[string]any{"name": "m"}}},
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": list,
	})
	if err != nil {
		panic(err)
	}
	s.store.put("keyed.op", "config", value)
	s.rec.printf("config version %d confirmed", s.version)
}

// denied counts the final answers with a 4xx of the system, other than 408, 421 and 429, to requests that the tenants have paid for, and all attempts,
// of those that were sent after a time.
func (s *scene) denied(after time.Time) (denied, all int) {
	s.requesters.mu.Lock()
	defer s.requesters.mu.Unlock()
	for _, a := range s.requesters.answers {
		if a.sent.Before(after) {
			continue
		}
		all++
		if a.owed && a.status >= 300 && a.status < 500 && a.status != 408 && a.status != 421 && a.status != 429 {
			denied++
		}
	}
	return denied, all
}

// judgeDenied returns the exit code by the rule DENIED: no more than 5 and one in 500 of all requests.
func (s *scene) judgeDenied(after time.Time, tenants ...*tenant) int {
	for _, t := range tenants {
		t.mu.Lock()
		s.rec.printf("tenant %s has consumed %d of %d prepaid tokens", t.name, t.consumed, t.prepaid)
		t.mu.Unlock()
	}
	s.rec.printf("budgets in the store: %s", s.store.budgets())
	denied, _ := s.denied(after)
	_, all := s.denied(time.Time{})
	limit := 5 + all/500
	text := fmt.Sprintf("DENIED: %d of %d attempts ended with a 4xx of the system though the tenant's balance covers them; allowed are %d", denied, all, limit)
	s.rec.printf("%s", text)
	fmt.Println(text)
	if denied > limit {
		return exitBroken
	}
	return exitHeld
}

// contact is the bound contact_ms.
const contact = 3 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver CASE RECORD, the file to write the record of the run to")
		os.Exit(exitFailed)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case, writes its record to a file and ends all processes that it started.
func play(name, record string) int {
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = file.Close() }() // the record is complete
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }() // a temporary folder
	}
	rec := &recorder{file: file, start: time.Now()}
	return cases[name](rec, dir)
}

// ran returns the exit code of a case that could not run.
func ran(rec *recorder, err error) int {
	rec.printf("the case could not run: %v", err)
	fmt.Fprintln(os.Stderr, err)
	return exitFailed
}
