//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"cranberryrail/fake/memlog"
)

func init() { scripts["drills"] = drillsScript }

const (
	drillTenants       = 4
	drillPrepaid       = int64(200_000)
	drillPrompt        = 400
	drillOutput        = 140
	drillCopyAge       = 5 * time.Second
	drillAway          = time.Second
	drillCalm          = 15 * time.Second
	drillCopyInterval  = 500 * time.Millisecond
	drillLength        = 92 * time.Second
	drillRequestPeriod = 60 * time.Millisecond
)

// drillConfig is a config with tenants whose budgets suffice for all of their requests.
func drillConfig() string {
	list := make([]string, drillTenants)
	for n := range list {
		list[n] = fmt.Sprintf(`{"name":"tenant%02d","api_keys":["key%02d"],"priority":1,"prepaid":%d}`, n, n, drillPrepaid)
	}
	before, _, _ := strings.Cut(configText(1, 0), `"tenants":[`)
	return before + `"tenants":[` + strings.Join(list, ",") + "]}"
}

// account is what one tenant has used, and may use at most with its requests in flight.
type account struct{ used, most int64 }

// drillsScript: the store comes back from a copy three times. Later the requests of tenants are refused for good, though nearly half of what they have paid for is unspent.
func drillsScript(w *world) bool {
	const instances, engines = 6, 6
	drills := []time.Duration{20 * time.Second, 27 * time.Second, 34 * time.Second}
	w.log.Era = 1
	w.putConfig(drillConfig())
	onLine := func(r *runner, text string) { w.note("runner %s: %s", r.id, text) }
	for n := range engines {
		w.newRunner("engines", fmt.Sprintf("i-engine%02d", n), 64, onLine, "--events", "20", "--first", "20ms", "--gap", "10ms")
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
	accounts := make([]account, drillTenants)
	statuses := map[int]int{}
	judged, denied := 0, 0
	start := time.Now()
	calmFrom := drills[len(drills)-1] + drillAway + drillCalm
	sendOne := func(n int) {
		at := time.Since(start)
		r := request{
			method: http.MethodPost, path: "/letter/x", id: fmt.Sprintf("%016x", rand.Uint64()), key: fmt.Sprintf("key%02d", n), limit: 12 * time.Second,
			header: []string{"Cranberryrail-Model: m", fmt.Sprintf("Cranberryrail-Token-Usage: %d,%d", drillPrompt, drillOutput), fmt.Sprintf("Cranberryrail-Prompt-Prefix: aa:200,%08x:200", rand.Uint32())},
		}
		i := fleet[rand.IntN(instances)]
		w.note("requester: %s of tenant%02d sends %s %s to %s", r.id, n, r.method, r.path, i.id)
		a := send(i.front, r)
		w.note("requester: %s of tenant%02d has %d after %v, %v", r.id, n, a.status, a.took, a.err)
		mu.Lock()
		defer mu.Unlock()
		accounts[n].most -= drillPrompt + drillOutput
		if a.status == http.StatusOK {
			accounts[n].used += drillPrompt + min(drillOutput, int64(strings.Count(a.body, "data:"))*7)
		}
		statuses[a.status]++
		if at < calmFrom {
			return
		}
		judged++
		if a.status == http.StatusPaymentRequired {
			denied++
		}
	}
	report := func() {
		mu.Lock()
		defer mu.Unlock()
		w.say("%.0f s: used %v of %d each, statuses %v; later than %v after the last drill %d requests, %d of them with 402", time.Since(start).Seconds(), accounts, drillPrepaid, statuses, drillCalm, judged, denied)
	}
	var group sync.WaitGroup
	var copies []memlog.Copy
	requests, copying, reports := time.NewTicker(drillRequestPeriod), time.NewTicker(drillCopyInterval), time.NewTicker(10*time.Second)
	for n := 0; time.Since(start) < drillLength; {
		select {
		case <-reports.C:
			report()
		case <-copying.C:
			copies = append(copies, w.log.Copy())
			age := int(drillCopyAge / drillCopyInterval)
			if len(drills) == 0 || time.Since(start) < drills[0] {
				continue
			}
			drills = drills[1:]
			if !w.trouble {
				continue
			}
			from := copies[len(copies)-age]
			copies = copies[:len(copies)-age+1]
			group.Go(func() { w.drill(from) })
		case <-requests.C:
			n = (n + 1) % drillTenants
			mu.Lock()
			// Only requests are sent that fit, at their most, into 97 in 100 of prepaid beside all others at their most.
			fits := accounts[n].used+accounts[n].most+drillPrompt+drillOutput <= drillPrepaid*97/100
			if fits {
				accounts[n].most += drillPrompt + drillOutput
			}
			mu.Unlock()
			if fits {
				group.Go(func() { sendOne(n) })
			}
		}
	}
	group.Wait()
	report()
	return denied > 5+judged/500
}

// drill takes the store away for a moment and brings it back from a copy. The operator and the runners write again what they wrote.
func (w *world) drill(from memlog.Copy) {
	w.say("drill: the store is away for %v, and comes back from a copy that is some %v old", drillAway, drillCopyAge)
	w.log.SetFault(func(string) memlog.Fault { return memlog.Refuse })
	time.Sleep(drillAway)
	w.log.Restore(from)
	w.putConfig(drillConfig())
	for _, r := range w.runners {
		r.beat()
	}
	w.log.SetFault(nil)
}
