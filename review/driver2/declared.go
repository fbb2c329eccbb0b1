//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scripts["declared"] = declaredScript }

// declaredBytes is the length of the body that a requester announces: far over the limit of the config, 4,194,304.
const declaredBytes = 20 << 30

// declaredScript: at the begin of traffic, one requester at each instance sends a request whose body is far over the limit. It has no key, and its path no route.
func declaredScript(w *world) bool {
	const instances, engines, desks = 2, 2, 3
	const length = 40 * time.Second
	w.putConfig(configText(1, 1<<40))
	onLine := func(r *runner, text string) { w.note("runner %s: %s", r.id, text) }
	for n := range engines {
		w.newRunner("engines", fmt.Sprintf("i-engine%02d", n), 64, onLine, "--events", "60", "--first", "14ms", "--gap", "50ms", "--read", "48.2")
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
	if w.trouble {
		for _, i := range fleet {
			sendLarge(w, i)
		}
	}
	var sent, served atomic.Int64
	var statuses sync.Map
	var group sync.WaitGroup
	end := time.Now().Add(length)
	for n := range instances {
		group.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				r := request{method: http.MethodGet, path: fmt.Sprintf("/status/%d", k), id: fmt.Sprintf("%016x", rand.Uint64()), key: keyText, limit: time.Second}
				if k%3 > 0 {
					r.method, r.path, r.body = http.MethodPost, fmt.Sprintf("/file/%d", k), strings.Repeat("b", 600)
				}
				w.note("requester: %s sends %s %s to %s", r.id, r.method, r.path, fleet[n].id)
				a := send(fleet[n].front, r)
				w.note("requester: %s %s %s has %d after %v, %v", r.id, r.method, r.path, a.status, a.took, a.err)
				sent.Add(1)
				if a.status == http.StatusOK {
					served.Add(1)
				}
				count, _ := statuses.LoadOrStore(a.status, &atomic.Int64{})
				count.(*atomic.Int64).Add(1)
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	for time.Now().Before(end) {
		time.Sleep(10 * time.Second)
		w.say("ordinary requests: %d, served %d; ready: %v, %v", sent.Load(), served.Load(), fleet[0].isReady(), fleet[1].isReady())
	}
	group.Wait()
	statuses.Range(func(status, count any) bool {
		w.say("ordinary requests answered with %v: %d", status, count.(*atomic.Int64).Load())
		return true
	})
	w.say("ordinary requests: %d, served %d", sent.Load(), served.Load())
	return served.Load() == 0
}

// sendLarge begins to send a request with a large body, and stops at the answer.
func sendLarge(w *world, i *instance) {
	c, err := net.Dial("tcp", i.front)
	must(err)
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	w.note("requester: sends POST /upload to %s, and announces %d bytes", i.id, int64(declaredBytes))
	fmt.Fprintf(c, "POST /upload HTTP/1.1\r\nHost: %s\r\nCranberryrail-Attempt-Id: %016x\r\nContent-Length: %d\r\n\r\n", host, rand.Uint64(), int64(declaredBytes))
	_, _ = io.WriteString(c, strings.Repeat("b", 16<<10))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		w.say("%s: a request with a body of %d bytes has no answer: %v", i.id, int64(declaredBytes), err)
		return
	}
	w.say("%s: a request with a body of %d bytes, of which 16 KiB are sent, has %d", i.id, int64(declaredBytes), resp.StatusCode)
}
