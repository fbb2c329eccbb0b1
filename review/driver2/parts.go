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

func init() { scripts["parts"] = partsScript }

// keyText is the API key of the tenant.
const keyText = "n2ctnfzs989anu6wsjnb"

// configText is a config like that of the site: a streaming route whose requests carry prompts, and the routes of the plain service.
func configText(version int, prepaid int64) string {
	return fmt.Sprintf(`{"version":%d,"routes":[`+
		`{"name":"claim-letter","host":"ficu95.example","path_prefix":"/letter/","kind":"streaming","timeout_ms":12000,"target_latency_ms":1200,"priority":1,"service":"engines","max_attempts":1,"anonymous":false,"session_affinity":true,"stream_resume":false,"target_gap_ms":400},`+
		`{"name":"file-claim","host":"ficu95.example","path_prefix":"/file/","kind":"non_idempotent","timeout_ms":1000,"target_latency_ms":100,"priority":2,"service":"desk","max_attempts":1,"anonymous":false},`+
		`{"name":"claim-status","host":"ficu95.example","path_prefix":"/status/","kind":"idempotent","timeout_ms":1000,"target_latency_ms":100,"priority":2,"service":"desk","max_attempts":2,"anonymous":false}],`+
		`"services":[{"name":"engines","health_path":"/health","max_connections":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity":357551,"kv_token_bytes":18432,"link_mbps":740000.0,"moves":true,"backups":true,"stride":7,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}},`+
		`{"name":"desk","health_path":"/health","max_connections":110,"protocol":"h1","tls":false}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},`+
		`"tenants":[{"name":"hule930","api_keys":[%q],"priority":1,"prepaid":%d}]}`, version, keyText, prepaid)
}

// prompt returns the headers of a prompt in parts of some tokens each, of which no other prompt has one.
func prompt(parts, tokens, output int) []string {
	list := make([]string, parts)
	for i := range list {
		list[i] = fmt.Sprintf("%04x:%d", rand.IntN(1<<16), tokens)
	}
	return []string{"Cranberryrail-Model: m", fmt.Sprintf("Cranberryrail-Token-Usage: %d,%d", parts*tokens, output), "Cranberryrail-Prompt-Prefix: " + strings.Join(list, ",")}
}

// partsScript: model runners crash while requests are at them whose prompts are in many parts.
func partsScript(w *world) bool {
	const (
		instances, engines, desks = 2, 18, 3
		crashed                   = 3 // of 18: 0.167, the site names 0.17
		letters                   = 240
		parts, tokens             = 2200, 5
	)
	w.putConfig(configText(1, 1<<40))
	var runs atomic.Int64
	onLine := func(r *runner, text string) {
		if strings.HasPrefix(text, "run ") {
			runs.Add(1)
		}
		w.note("runner %s: %s", r.id, text)
	}
	var all []*runner
	for n := range engines {
		all = append(all, w.newRunner("engines", fmt.Sprintf("i-engine%02d", n), 64, onLine, "--events", "60", "--first", "14ms", "--gap", "50ms", "--read", "48.2"))
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
	if size := len(request{method: http.MethodPost, path: "/letter/0", id: "0123456789abcdef", key: keyText, header: prompt(parts, tokens, 420), limit: 12 * time.Second}.bytes()); size > 16384 {
		panic(cannotRun{fmt.Errorf("a head has %d bytes", size)})
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	var statusOf sync.Map
	for n := range letters {
		group.Go(func() {
			time.Sleep(time.Duration(n) * 2 * time.Millisecond)
			r := request{method: http.MethodPost, path: fmt.Sprintf("/letter/%d", n), id: fmt.Sprintf("%016x", rand.Uint64()), key: keyText, header: prompt(parts, tokens, 420), limit: 12 * time.Second}
			w.note("requester: %s sends %s to %s", r.id, r.path, fleet[n%instances].id)
			a := send(fleet[n%instances].front, r)
			w.note("requester: %s has %d after %v, %v", r.id, a.status, a.took, a.err)
			count, _ := statusOf.LoadOrStore(a.status, &atomic.Int64{})
			count.(*atomic.Int64).Add(1)
		})
	}
	// judged are the requests of the plain service, unanswered those without an answer at the route's timeout, and late those without one half a second later.
	var judged, unanswered, late, served atomic.Int64
	for n := range instances {
		group.Go(func() {
			ticker := time.NewTicker(50 * time.Millisecond)
			defer ticker.Stop()
			var sent sync.WaitGroup
			defer sent.Wait()
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				sent.Go(func() {
					r := request{method: http.MethodGet, path: fmt.Sprintf("/status/%d", k), id: fmt.Sprintf("%016x", rand.Uint64()), key: keyText, limit: time.Second}
					if k%3 > 0 {
						r.method, r.path, r.body = http.MethodPost, fmt.Sprintf("/file/%d", k), strings.Repeat("b", 600)
					}
					w.note("requester: %s sends %s %s to %s", r.id, r.method, r.path, fleet[n].id)
					a := send(fleet[n].front, r)
					w.note("requester: %s has %d after %v, %v", r.id, a.status, a.took, a.err)
					judged.Add(1)
					if a.status == http.StatusOK {
						served.Add(1)
					}
					if a.took >= time.Second {
						unanswered.Add(1)
					}
					if a.took >= 1500*time.Millisecond {
						late.Add(1)
					}
				})
			}
		})
	}
	time.Sleep(600 * time.Millisecond)
	w.say("%d requests have run", runs.Load())
	if w.trouble {
		for _, r := range all[:crashed] {
			r.crash()
		}
	}
	for n := range 25 {
		time.Sleep(time.Second)
		line := fmt.Sprintf("%d s after the crash:", n+1)
		for _, i := range fleet {
			line += fmt.Sprintf(" %s ready %v, processor time %v;", i.id, i.isReady(), i.cpu())
		}
		w.say("%s", line)
	}
	close(stop)
	group.Wait()
	statusOf.Range(func(status, count any) bool {
		w.say("letters answered with %v: %d", status, count.(*atomic.Int64).Load())
		return true
	})
	w.say("plain requests: %d, served %d, unanswered at their timeout %d, of these unanswered half a second later %d", judged.Load(), served.Load(), unanswered.Load(), late.Load())
	w.say("most memory: %d KB, %d KB", fleet[0].memoryKB("VmHWM"), fleet[1].memoryKB("VmHWM"))
	return late.Load() >= 8 && 2*late.Load() > unanswered.Load() // both sentences of the rule
}
