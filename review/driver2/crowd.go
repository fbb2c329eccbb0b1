//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	scripts["crowd"] = func(w *world) bool {
		// A crowd of requesters sends requests of legal size whose prompts are in very many parts. The limit of a body is 4,194,304 bytes.
		return crowdScript(w, 300, func(k int) request {
			return request{method: http.MethodPost, path: fmt.Sprintf("/letter/%d", k), header: manyParts(), body: strings.Repeat("b", 130_000)}
		})
	}
	scripts["many"] = func(w *world) bool {
		// A larger crowd sends ordinary requests.
		return crowdScript(w, 2000, func(k int) request {
			return request{method: http.MethodPost, path: fmt.Sprintf("/letter/%d", k), header: prompt(3, 200, 420), body: strings.Repeat("b", 12_000)}
		})
	}
}

// restartDelay is the time until the platform starts a process again.
const restartDelay = 500 * time.Millisecond

// manyParts returns the headers of a prompt in as many short parts as fit into a head of legal size.
func manyParts() []string {
	var b strings.Builder
	parts := 0
	for ; b.Len() < 15900; parts++ {
		fmt.Fprintf(&b, "%03x:4,", rand.IntN(1<<12))
	}
	return []string{
		"Cranberryrail-Model: m", fmt.Sprintf("Cranberryrail-Token-Usage: %d,420", 4*parts),
		"Cranberryrail-Prompt-Prefix: " + strings.TrimSuffix(b.String(), ","),
	}
}

// crowdScript: a crowd sends requests at each of two instances, each member one at a time. The platform kills a process over its memory.
func crowdScript(w *world, crowd int, next func(k int) request) bool {
	const (
		instances, engines, desks = 2, 18, 3
		length                    = 70 * time.Second
		ends                      = 3
	)
	w.putConfig(configText(1, 1<<40))
	onLine := func(r *runner, text string) { w.note("runner %s: %s", r.id, text) }
	for n := range engines {
		w.newRunner("engines", fmt.Sprintf("i-engine%02d", n), 64, onLine, "--events", "60", "--first", "14ms", "--gap", "100ms", "--read", "48.2")
	}
	for n := range desks {
		w.newRunner("desk", fmt.Sprintf("i-desk%d", n), 6, onLine, "--first", "15ms")
	}
	var fleet []*instance
	for n := range instances {
		fleet = append(fleet, w.newInstance(n+1))
	}
	for _, i := range fleet {
		if !i.awaitReady(20 * time.Second) {
			panic(cannotRun{fmt.Errorf("%s is not ready", i.id)})
		}
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	stopped := func() bool {
		select {
		case <-stop:
			return true
		default:
			return false
		}
	}
	var group sync.WaitGroup
	killed, most := make([]atomic.Int64, instances), make([]atomic.Int64, instances)
	for n, i := range fleet {
		group.Go(func() { // the platform's watch on the memory of its machine
			for ; !stopped(); time.Sleep(20 * time.Millisecond) {
				used := i.memoryKB("VmHWM")
				most[n].Store(max(most[n].Load(), int64(used)))
				if i.running() && used <= memoryMB<<10 {
					continue
				}
				if i.running() {
					w.say("platform: %s uses %d KB, the limit is %d KB: killed", i.id, used, memoryMB<<10)
					i.kill()
				} else {
					w.say("platform: %s has ended by itself", i.id)
				}
				if killed[n].Add(1); killed[n].Load() >= ends {
					return
				}
				time.Sleep(restartDelay)
				i.run()
			}
		})
	}
	var served, sent, crowdServed, crowdSent atomic.Int64
	for n := range instances {
		group.Go(func() { // ordinary requesters
			for k := 0; !stopped(); k++ {
				time.Sleep(50 * time.Millisecond)
				r := request{method: http.MethodGet, path: fmt.Sprintf("/status/%d", k), id: fmt.Sprintf("%016x", rand.Uint64()), key: keyText, limit: time.Second}
				w.note("requester: %s sends %s %s to %s", r.id, r.method, r.path, fleet[n].id)
				a := send(fleet[n].front, r)
				w.note("requester: %s %s %s has %d after %v, %v", r.id, r.method, r.path, a.status, a.took, a.err)
				sent.Add(1)
				if a.status == http.StatusOK {
					served.Add(1)
				}
			}
		})
		if !w.trouble {
			continue
		}
		for k := range crowd {
			group.Go(func() {
				time.Sleep(time.Duration(k) * time.Millisecond)
				for ; !stopped(); time.Sleep(300 * time.Millisecond) {
					r := next(k)
					r.id, r.key, r.limit = fmt.Sprintf("%016x", rand.Uint64()), keyText, 12*time.Second
					w.note("crowd: %s sends %s %s to %s", r.id, r.method, r.path, fleet[n].id)
					a := send(fleet[n].front, r)
					w.note("crowd: %s has %d after %v, %v", r.id, a.status, a.took, a.err)
					crowdSent.Add(1)
					if a.status == http.StatusOK {
						crowdServed.Add(1)
					}
				}
			})
		}
	}
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if killed[0].Load() >= ends && killed[1].Load() >= ends {
			break
		}
	}
	close(stop)
	example := next(crowd - 1)
	example.id, example.key, example.limit = "0123456789abcdef", keyText, 12*time.Second
	w.say("a head of the crowd has %d bytes, the limit of the config is 16384; a body %d", len(example.bytes())-len(example.body), len(example.body))
	w.say("ordinary requests: %d, served %d; crowd: %d ended, %d with 200", sent.Load(), served.Load(), crowdSent.Load(), crowdServed.Load())
	w.say("most memory: %d KB and %d KB; ends of processes: %d and %d", most[0].Load(), most[1].Load(), killed[0].Load(), killed[1].Load())
	broken := killed[0].Load() >= ends && killed[1].Load() >= ends
	w.end()
	group.Wait()
	return broken
}
