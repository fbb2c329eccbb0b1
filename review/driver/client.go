//go:build review

package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Requests of the stand-in are calls of a model, as the sheets have them.
const (
	host      = "chat.example"
	prefix    = "/chat/"
	timeLimit = 12 * time.Second
	// settleTime is the bound settle_ms.
	settleTime = 1500 * time.Millisecond
	// maxTries is the number of tries of one requester.
	maxTries = 2
)

// size is the size of a request in tokens.
type size struct{ prompt, output int64 }

// chat is the mean size of the requests of member-chat on the sheet.
var chat = size{628, 294}

func (s size) total() int64 { return s.prompt + s.output }

// tenant is a tenant as its requesters see it.
type tenant struct {
	name, key string
	prepaid   int64
	// size is that of its requests.
	size size

	mu sync.Mutex
	// consumed is the input tokens of requests that have run, once each, and the output tokens that were delivered.
	consumed int64
	// open holds what requests that have not ended settleTime ago may have used at the most, in addition to what they did use.
	open int64
}

// answer is the final answer to one requester attempt.
type answer struct {
	tenant   *tenant
	id       string
	sent     time.Time
	status   int
	events   int
	complete bool
	// owed is set if the request fits, at its most, into 97 in 100 of what the tenant has prepaid.
	owed bool
	err  error
}

// requesters send requests and record the answers.
type requesters struct {
	rec   *recorder
	fleet *fleet
	http  *http.Client

	mu      sync.Mutex
	number  int
	answers []answer
	wg      sync.WaitGroup
}

func newRequesters(rec *recorder, f *fleet) *requesters {
	return &requesters{rec: rec, fleet: f, http: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}}}
}

// send sends one request for a tenant, again after a refusal that asks for that.
func (q *requesters) send(t *tenant) {
	deadline := time.Now().Add(timeLimit)
	for try := range maxTries {
		a, after := q.attempt(t, time.Until(deadline))
		q.mu.Lock()
		q.answers = append(q.answers, a)
		q.mu.Unlock()
		if a.status != http.StatusServiceUnavailable && a.status != http.StatusTooManyRequests || try == maxTries-1 {
			return
		}
		time.Sleep(min(after, time.Until(deadline)/3))
	}
}

// attempt sends one requester attempt.
func (q *requesters) attempt(t *tenant, left time.Duration) (a answer, after time.Duration) {
	rotation := q.fleet.inRotation()
	q.mu.Lock()
	q.number++
	n := q.number
	q.mu.Unlock()
	in := rotation[n%len(rotation)]
	a = answer{tenant: t, id: fmt.Sprintf("%016x", n), sent: time.Now()}
	t.mu.Lock()
	a.owed = t.consumed+t.open+t.size.total() <= t.prepaid*97/100
	t.open += t.size.total()
	t.mu.Unlock()
	q.rec.printf("sent %s for %s to %s", a.id, t.name, in.name)
	after = q.exchange(&a, in, left)
	used := int64(0)
	if a.events > 0 {
		used = t.size.prompt + min(int64(a.events)*stride, t.size.output)
	}
	t.mu.Lock()
	t.consumed += used
	t.open -= used
	t.mu.Unlock()
	time.AfterFunc(settleTime, func() {
		t.mu.Lock()
		t.open -= t.size.total() - used
		t.mu.Unlock()
	})
	q.rec.printf("answered %s for %s by %s: %d, %d events, complete %v, owed %v, %v", a.id, t.name, in.name, a.status, a.events, a.complete, a.owed, a.err)
	return a, after
}

func (q *requesters) exchange(a *answer, in *instance, left time.Duration) (after time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+in.front+prefix+"1", strings.NewReader(strings.Repeat("x", 800)))
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.GetBody = nil // The HTTP library must not repeat an attempt.
	h := req.Header
	h.Set("Cranberryrail-Attempt-Id", a.id)
	h.Set("Cranberryrail-Model", "m")
	h.Set("Cranberryrail-Token-Usage", fmt.Sprintf("%d,%d", a.tenant.size.prompt, a.tenant.size.output))
	h.Set("Cranberryrail-Prompt-Prefix", fmt.Sprintf("5c1e07a2:200,%s:%d", a.id, a.tenant.size.prompt-200))
	h.Set("Cranberryrail-Request-Deadline", strconv.FormatInt(left.Milliseconds(), 10))
	h.Set("Authorization", "Bearer "+a.tenant.key)
	resp, err := q.http.Do(req)
	if err != nil {
		a.err = err
		return 0
	}
	defer func() { _ = resp.Body.Close() }() // it was read
	a.status = resp.StatusCode
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadString('\n')
		if strings.HasPrefix(line, "data:") && a.status == http.StatusOK {
			a.events++
		}
		if err != nil {
			a.complete = errors.Is(err, io.EOF)
			return time.Duration(seconds * float64(time.Second))
		}
	}
}

// run sends requests for the tenants in turn at a rate for a time. It does not wait for the answers.
func (q *requesters) run(tenants []*tenant, perSecond float64, d time.Duration) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	end := time.Now().Add(d)
	for i := 0; time.Now().Before(end); i++ {
		q.wg.Go(func() { q.send(tenants[i%len(tenants)]) })
		<-ticker.C
	}
}
