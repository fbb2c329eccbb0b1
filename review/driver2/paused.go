//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { scripts["paused"] = pausedScript }

// pausedScript: a runner asks an instance for a pause, and is cut off from the store meanwhile, so that its entry goes and comes back.
func pausedScript(w *world) bool {
	const engines, desks = 18, 3
	const pause, cut, slack = 12 * time.Second, 5 * time.Second, 500 * time.Millisecond
	w.putConfig(configText(1, 1<<40))
	var paused *runner
	var mu sync.Mutex
	var pausedAt time.Time
	late := 0
	onLine := func(r *runner, text string) {
		w.note("runner %s: %s", r.id, text)
		mu.Lock()
		defer mu.Unlock()
		switch since := time.Since(pausedAt); {
		case r != paused:
		case strings.HasPrefix(text, "paused "):
			pausedAt = time.Now()
		case strings.HasPrefix(text, "arrival ") && !pausedAt.IsZero() && since > slack && since < pause:
			late++
			w.note("runner %s: arrival %v after it asked for a pause of %v", r.id, since, pause)
		}
	}
	var all []*runner
	for n := range engines {
		all = append(all, w.newRunner("engines", fmt.Sprintf("i-engine%02d", n), 64, onLine, "--events", "20", "--first", "14ms", "--gap", "20ms", "--read", "48.2", "--pause", "12"))
	}
	for n := range desks {
		w.newRunner("desk", fmt.Sprintf("i-desk%d", n), 6, onLine, "--first", "15ms")
	}
	i := w.newInstance(1)
	if !i.awaitReady(20 * time.Second) {
		panic(cannotRun{fmt.Errorf("%s is not ready", i.id)})
	}
	time.Sleep(3 * time.Second)
	var group sync.WaitGroup
	var served atomic.Int64
	stop := make(chan struct{})
	for range 16 {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				r := request{method: http.MethodPost, path: "/letter/x", id: fmt.Sprintf("%016x", rand.Uint64()), key: keyText, header: prompt(3, 200, 140), limit: 12 * time.Second}
				a := send(i.front, r)
				w.note("requester: %s has %d after %v, %v", r.id, a.status, a.took, a.err)
				if a.status == http.StatusOK {
					served.Add(1)
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	mu.Lock()
	paused = all[4]
	mu.Unlock()
	paused.signal(syscall.SIGUSR1)
	for asked := false; !asked; time.Sleep(10 * time.Millisecond) {
		mu.Lock()
		asked = !pausedAt.IsZero()
		mu.Unlock()
	}
	w.say("runner %s has asked for a pause of %v", paused.id, pause)
	if w.trouble {
		paused.silent.Store(true)
		go func() {
			time.Sleep(3 * heartbeat)
			w.note("store: the entry of %s is removed after three heartbeats of silence", paused.id)
			w.log.Put(serverTopic, 0, paused.id, nil)
			time.Sleep(cut - 3*heartbeat)
			w.note("runner %s reaches the store again", paused.id)
			paused.silent.Store(false)
			paused.beat()
		}()
	}
	time.Sleep(pause + time.Second)
	close(stop)
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	w.say("served %d; %d requests reached the runner later than %v after it had asked for the pause and before its end", served.Load(), late, slack)
	return late > 2
}
