//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"cranberryrail/fake/memlog"
)

func init() { scripts["prepaid"] = prepaidScript }

func prepaidConfig(version int, tenants int, prepaid int64) string {
	var b strings.Builder
	for n := range tenants {
		if n > 0 {
			b.WriteString(",")
		}
		fmt.Fprintf(&b, `{"name":"tenant%02d","api_keys":["key%02d"],"priority":1,"prepaid":%d}`, n, n, prepaid)
	}
	text := configText(version, 0)
	before, _, _ := strings.Cut(text, `"tenants":[`)
	return before + `"tenants":[` + b.String() + "]}"
}

// stream sends a request and returns the events that came, and the status.
func stream(addr string, r request) (events, status int) {
	began := time.Now()
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0, 0
	}
	defer c.Close()
	_ = c.SetDeadline(began.Add(r.limit + time.Second))
	if _, err := io.WriteString(c, r.bytes()); err != nil {
		return 0, 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: r.method})
	if err != nil {
		return 0, 0
	}
	if resp.StatusCode != 200 {
		return 0, resp.StatusCode
	}
	s := bufio.NewScanner(resp.Body)
	for s.Scan() {
		if strings.HasPrefix(s.Text(), "data:") {
			events++
		}
	}
	return events, 200
}

func prepaidScript(w *world) bool {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	rnd := rand.New(rand.NewPCG(seed, 1))
	const tenants, prompt, output, instances = 24, 400, 210, 4
	const step = int64(30000)
	w.log.Era = 1
	version := 1
	paid := step
	w.putConfig(prepaidConfig(version, tenants, paid))
	onLine := func(r *runner, text string) { w.note("runner %s: %s", r.id, text) }
	for n := range 6 {
		w.newRunner("engines", fmt.Sprintf("i-engine%02d", n), 64, onLine, "--events", "30", "--first", "20ms", "--gap", "10ms")
	}
	links := map[int]*link{}
	w.storeFor = func(n int) string {
		links[n] = newLink(w.store)
		return links[n].addr()
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
	var mu sync.Mutex
	used := make([]int64, tenants)
	statuses := map[int]int{}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for range 60 {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				t := rand.IntN(tenants)
				i := fleet[rand.IntN(instances)]
				r := request{method: http.MethodPost, path: "/letter/x", id: fmt.Sprintf("%016x", rand.Uint64()), key: fmt.Sprintf("key%02d", t), limit: 12 * time.Second,
					header: []string{"Cranberryrail-Model: m", fmt.Sprintf("Cranberryrail-Token-Usage: %d,%d", prompt, output), fmt.Sprintf("Cranberryrail-Prompt-Prefix: aa:200,%08x:200", rand.Uint32())}}
				events, status := stream(i.front, r)
				mu.Lock()
				statuses[status]++
				if events > 0 {
					used[t] += prompt + int64(events)*7
				}
				mu.Unlock()
				if status != 200 {
					time.Sleep(200 * time.Millisecond)
				}
			}
		})
	}
	var copies []memlog.Copy
	broken := false
	checkAll := func() {
		mu.Lock()
		defer mu.Unlock()
		sum := int64(0)
		for t, n := range used {
			sum += n
			if n > paid {
				w.say("tenant%02d used %d of %d", t, n, paid)
				broken = true
			}
		}
		w.say("used %d of %d, statuses %v", sum, paid*tenants, statuses)
	}
	end := time.Now().Add(95 * time.Second)
	nextTop := time.Now().Add(20 * time.Second)
	for tick := 0; time.Now().Before(end) && !broken; tick++ {
		time.Sleep(500 * time.Millisecond)
		copies = append(copies, w.log.Copy())
		if len(copies) > 18 {
			copies = copies[1:]
		}
		if time.Now().After(nextTop) {
			checkAll()
			nextTop = time.Now().Add(20 * time.Second)
			version++
			paid += step
			w.putConfig(prepaidConfig(version, tenants, paid))
		}
		if at, _ := strconv.Atoi(os.Getenv("DRILLAT")); at > 0 {
			if tick == 2*at {
				checkAll()
				for _, k := range links {
					k.set("reset")
				}
				c := copies[len(copies)-1-6]
				time.Sleep(300 * time.Millisecond)
				w.log.Restore(c)
				for _, k := range links {
					k.set("")
				}
				w.putConfig(prepaidConfig(version, tenants, paid))
				w.mu.Lock()
				for _, r := range w.runners {
					r.beat()
				}
				w.mu.Unlock()
				w.say("drill")
			} else if tick > 2*at && tick%10 == 0 {
				checkAll()
			}
			continue
		}
		if !w.trouble {
			continue
		}
		n := rnd.IntN(instances)
		i := fleet[n]
		fault := rnd.IntN(12)
		if allowed := os.Getenv("FAULTS"); allowed != "" && !strings.Contains(allowed, string(rune('a'+fault))) {
			continue
		}
		switch fault {
		case 0:
			w.note("platform: SIGKILL %s", i.id)
			i.kill()
			time.Sleep(time.Duration(100+rnd.IntN(900)) * time.Millisecond)
			i.run()
		case 1:
			w.note("SIGSTOP %s", i.id)
			p := i.process
			p.signal(syscall.SIGSTOP)
			go func() {
				time.Sleep(time.Duration(1000+rand.IntN(3000)) * time.Millisecond)
				p.signal(syscall.SIGCONT)
			}()
		case 2, 3:
			mode := []string{"silent", "reset", "mute"}[rnd.IntN(3)]
			w.note("link of %s: %s", i.id, mode)
			k := links[n+1]
			k.set(mode)
			go func() {
				time.Sleep(time.Duration(500+rand.IntN(4000)) * time.Millisecond)
				k.set("")
			}()
		case 4:
			if len(copies) > 4 && os.Getenv("DRILL") != "0" {
				age := 1 + rnd.IntN(len(copies)-1)
				w.note("drill: the store is away and comes back from a copy %d ms old", age*500)
				for _, k := range links {
					k.set("reset")
				}
				c := copies[len(copies)-1-age]
				time.Sleep(300 * time.Millisecond)
				w.log.Restore(c)
				copies = nil
				for _, k := range links {
					k.set("")
				}
				w.putConfig(prepaidConfig(version, tenants, paid))
				w.mu.Lock()
				for _, r := range w.runners {
					r.beat()
				}
				w.mu.Unlock()
			}
		case 5:
			if rnd.IntN(3) == 0 {
				w.note("SIGTERM %s", i.id)
				i.signal(syscall.SIGTERM)
				p := i.process
				select {
				case <-p.done:
				case <-time.After(8 * time.Second):
					p.kill()
				}
				i.run()
			}
		}
	}
	close(stop)
	group.Wait()
	checkAll()
	return broken
}
