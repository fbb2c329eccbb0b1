//go:build review

package main

import (
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// reader reads prompts one after the other.
type reader struct {
	mu   sync.Mutex
	free time.Time
}

// take returns how long it takes from now on until a prompt is read.
func (r *reader) take(work time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); r.free.Before(now) {
		r.free = now
	}
	r.free = r.free.Add(work)
	return time.Until(r.free)
}

// runnerMain is the process of a runner. It prints "run ID" when it begins to work on a request, and "end ID" when it has ended.
func runnerMain(args []string) {
	f := flag.NewFlagSet("runner", flag.ExitOnError)
	listen := f.String("listen", "", "address")
	id := f.String("id", "", "id")
	slots := f.Int("slots", 64, "slots")
	born := f.Int64("born", 0, "start, in Unix milliseconds")
	queue := f.Int("queue", 192, "requests that wait")
	events := f.Int("events", 0, "events of a stream; 0 for a plain answer")
	first := f.Duration("first", 20*time.Millisecond, "work until the first event, or the answer")
	gap := f.Duration("gap", 20*time.Millisecond, "pause between events")
	perMS := f.Float64("read", 0, "prompt tokens that are read in a millisecond, one prompt after the other; 0 if there are no prompts")
	_ = f.Parse(args) // exits on errors
	l, err := net.Listen("tcp", *listen)
	if err != nil {
		fmt.Println("error", err)
		os.Exit(2)
	}
	places := make(chan struct{}, *slots)
	var running, waiting atomic.Int64
	var reading reader
	var out sync.Mutex
	say := func(format string, args ...any) {
		out.Lock()
		defer out.Unlock()
		fmt.Printf(format+"\n", args...)
	}
	handler := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/api/report" {
			w.Header().Set("Content-Type", "application/json")
			fmt.Fprintf(w, `{"stage":"prefill_decode","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":1,"queued":%d,"active":%d,"kv_used":0,"kv_total":350000,"handles":0,"born":%d}`, waiting.Load(), running.Load(), *born)
			return
		}
		attempt := r.Header.Get("Cranberryrail-Attempt-Id")
		load := func() string { return fmt.Sprintf("%d,%d,%d", running.Load(), waiting.Load(), *slots) }
		refuse := func(status int) {
			if attempt != "" {
				w.Header().Set("Cranberryrail-Attempt-Id", attempt)
			}
			w.Header().Set("Cranberryrail-Not-Executed", "1")
			w.Header().Set("Cranberryrail-Runner-Load", load())
			w.WriteHeader(status)
		}
		if expected := r.Header.Get("Cranberryrail-Expect-Instance"); expected != "" && expected != *id {
			w.Header().Set("Cranberryrail-Runner-Id", *id)
			refuse(http.StatusMisdirectedRequest)
			return
		}
		if attempt == "" {
			refuse(http.StatusBadRequest)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		limit := 30 * time.Second
		if ms, err := strconv.Atoi(r.Header.Get("Cranberryrail-Request-Deadline")); err == nil {
			limit = time.Duration(ms) * time.Millisecond
		}
		deadline := time.After(limit)
		if waiting.Add(1) > int64(*queue) && len(places) == cap(places) {
			waiting.Add(-1)
			refuse(http.StatusServiceUnavailable)
			return
		}
		select {
		case places <- struct{}{}:
			waiting.Add(-1)
		case <-deadline:
			waiting.Add(-1)
			refuse(http.StatusServiceUnavailable)
			return
		case <-r.Context().Done():
			waiting.Add(-1)
			return
		}
		running.Add(1)
		defer func() {
			running.Add(-1)
			<-places
		}()
		say("run %s %s", attempt, strings.TrimSpace(r.Header.Get("Cranberryrail-Token-Usage")))
		defer say("end %s", attempt)
		work := func(d time.Duration) bool {
			select {
			case <-time.After(d):
				return true
			case <-deadline:
			case <-r.Context().Done():
			}
			return false
		}
		until := *first
		if tokens, _, _ := strings.Cut(r.Header.Get("Cranberryrail-Token-Usage"), ","); *perMS > 0 {
			n, _ := strconv.Atoi(tokens)
			until += reading.take(time.Duration(float64(n) / *perMS * float64(time.Millisecond)))
		}
		if !work(until) {
			if r.Context().Err() != nil {
				panic(http.ErrAbortHandler)
			}
			w.Header().Set("Cranberryrail-Attempt-Id", attempt)
			w.Header().Set("Cranberryrail-Response-Seal", "seal-of-"+attempt)
			w.WriteHeader(http.StatusGatewayTimeout)
			return
		}
		w.Header().Set("Cranberryrail-Attempt-Id", attempt)
		w.Header().Set("Cranberryrail-Response-Seal", "seal-of-"+attempt)
		w.Header().Set("Cranberryrail-Runner-Load", load())
		if *events == 0 {
			w.Header().Set("Content-Type", "text/plain")
			_, _ = io.WriteString(w, "done-"+attempt)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		for n := from + 1; n <= *events; n++ {
			if n > from+1 && !work(*gap) {
				panic(http.ErrAbortHandler)
			}
			if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, attempt); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
		}
	}
	s := &http.Server{Handler: http.HandlerFunc(handler), ReadHeaderTimeout: time.Minute, IdleTimeout: 10 * time.Second}
	_ = s.Serve(l) // ends with the process
}
