// Package demo implements the demo: a small fleet with fake targets serves two organisations through a top-up, the
// crash of an instance and an outage of the platform's log, and prints a summary of each step.
package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"cranberryrail/core/ledger"
	"cranberryrail/fake/engine"
	"cranberryrail/fake/fleet"
	"cranberryrail/fake/platf"
)

// Parameters of the demo.
const (
	instances      = 3
	engines        = 3
	answerTokens   = 40
	largeTopUp     = 200_000
	smallTopUp     = 2_000
	secondTopUp    = 10_000
	outageDuration = 2 * time.Second
	tokenGap       = time.Millisecond
)

// Organisations of the demo.
const (
	travel  = "lagoon-travel"
	fitness = "steppe-fitness"
)

// Demo runs the demo. Exported fields are set before Run.
type Demo struct {
	// Out receives the progress lines and the result table.
	Out io.Writer
	// Platform is the fake platform.
	Platform *platf.Server

	fleet       *fleet.Fleet
	client      http.Client
	lastNumber  atomic.Int64
	mu          sync.Mutex
	countsByOrg map[string]*requestCounts
}

// requestCounts counts the requests of one organisation by result.
type requestCounts struct {
	sent, correct, wrong, refused int
	billed                        int64
}

// String returns the name of the demo.
func (d *Demo) String() string { return "demo" }

// Default sets up the fleet and the counts; Run requires it.
func (d *Demo) Default() {
	d.countsByOrg = map[string]*requestCounts{travel: {}, fitness: {}}
	d.fleet = &fleet.Fleet{
		Instances: instances, Engines: engines, Services: 1, TokenGap: tokenGap, Platform: d.Platform, Log: zerolog.Nop(),
	}
	d.fleet.Default()
}

func (d *Demo) printf(format string, args ...any) { _, _ = fmt.Fprintf(d.Out, format+"\n", args...) }

// Run runs all steps of the demo and returns the first error.
func (d *Demo) Run(ctx context.Context) error {
	if err := d.fleet.Start(ctx); err != nil {
		return err
	}
	defer d.fleet.Close()
	if err := d.fleet.AwaitConnected(ctx); err != nil {
		return err
	}
	d.printf("started a fake platform, %d instances, %d engines and a plain service in one process", instances, engines)
	for _, step := range []func(ctx context.Context) error{d.setUp, d.sendLoad, d.exhaustBudget, d.killInstance, d.interruptLog, d.submitClaim, d.printSummary} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// setUp publishes the templates and tops up the budgets.
func (d *Demo) setUp(ctx context.Context) error {
	for _, org := range []string{travel, fitness} {
		if err := d.fleet.Publish(ctx, d.fleet.Members[0], "publish-"+org, fleet.Template(org)); err != nil {
			return err
		}
	}
	if err := d.fleet.TopUp(d.fleet.Members[0], "first-"+travel, travel, largeTopUp); err != nil {
		return err
	}
	if err := d.fleet.TopUp(d.fleet.Members[1], "first-"+fitness, fitness, smallTopUp); err != nil {
		return err
	}
	d.printf("published two templates, in force at all instances; topped up %s by %d tokens and %s by %d", travel, largeTopUp, fitness, smallTopUp)
	return nil
}

// sendLoad sends requests of both organisations through all instances.
func (d *Demo) sendLoad(ctx context.Context) error {
	d.printf("sending 30 requests of each organisation through all instances")
	return d.burst(ctx, 30, travel, fitness)
}

// exhaustBudget sends 30 requests to exhaust a budget, tops it up twice with the same id and sends 10 more requests. It
// prints the numbers of refusals, but does not check them.
func (d *Demo) exhaustBudget(ctx context.Context) error {
	before := d.countsOf(fitness).refused
	if err := d.burst(ctx, 30, fitness); err != nil {
		return err
	}
	d.printf("%s exhausted its budget: %d requests refused immediately, with code 2001 or 2003 and run \"not_run\"", fitness, d.countsOf(fitness).refused-before)
	if err := d.fleet.TopUp(d.fleet.Members[2], "second-"+fitness, fitness, secondTopUp); err != nil {
		return err
	}
	// A second top-up with the same ID has no effect.
	if err := d.fleet.TopUp(d.fleet.Members[1], "second-"+fitness, fitness, secondTopUp); err != nil {
		return err
	}
	before = d.countsOf(fitness).refused
	err := d.burst(ctx, 10, fitness)
	d.printf("topped up %s by %d tokens (sent twice, counted once); of 10 more requests %d were refused", fitness, secondTopUp, d.countsOf(fitness).refused-before)
	return err
}

// killInstance kills an instance under load; its callers retry at the others with the same request IDs.
func (d *Demo) killInstance(ctx context.Context) error {
	var g errgroup.Group
	g.Go(func() error { return d.burst(ctx, 30, travel) })
	victim := d.fleet.Members[2]
	if err := d.fleet.Await(ctx, func() bool { return victim.Front.InFlight() > 0 }); err != nil {
		return err
	}
	victim.Kill()
	d.fleet.Platform.DeleteInstance(victim.Settings.Instance.ID)
	d.printf("killed an instance with requests in flight; the callers retry at other instances with the same request IDs")
	if err := g.Wait(); err != nil {
		return err
	}
	if _, err := d.fleet.StartInstance(); err != nil {
		return err
	}
	if err := d.fleet.AwaitConnected(ctx); err != nil {
		return err
	}
	d.printf("a new instance replaced it and read its state from the log")
	return nil
}

// interruptLog sends requests during an outage of the platform's log.
func (d *Demo) interruptLog(ctx context.Context) error {
	if err := d.fleet.Platform.SetFaults(platf.Faults{Outage: true}); err != nil {
		return err
	}
	before, started := *d.countsOf(travel), time.Now()
	for time.Since(started) < outageDuration {
		if err := d.burst(ctx, 10, travel); err != nil {
			return err
		}
	}
	after := *d.countsOf(travel)
	d.printf("the platform's log was unreachable for %s: %d requests served from allowances held at the instances, %d refused",
		outageDuration, after.correct-before.correct, after.refused-before.refused)
	if err := d.fleet.Platform.SetFaults(platf.Faults{}); err != nil {
		return err
	}
	return d.fleet.AwaitConnected(ctx)
}

// submitClaim sends one non-idempotent call several times with the same idempotency key.
func (d *Demo) submitClaim(ctx context.Context) error {
	answers := map[string]bool{}
	for i := range 5 {
		m := d.runningInstances()[i%len(d.runningInstances())]
		_, body, err := d.post(ctx, m, "/v1/services/"+fleet.Service+"/submit", fleet.Key(travel), "claim-77", `{"flight":"QY 77"}`)
		if err != nil {
			return err
		}
		answers[body] = true
	}
	d.printf("submitted one claim 5 times with one idempotency key at different instances: it ran %d time, with %d distinct answer",
		d.fleet.ServiceServers[0].Runs(travel+"/claim-77"), len(answers))
	return nil
}

// printSummary waits until the spent tokens in the ledger cover all bills, and prints the balances.
func (d *Demo) printSummary(ctx context.Context) error {
	via := d.runningInstances()[0]
	rows := map[string]ledger.Balance{}
	err := d.fleet.Await(ctx, func() bool {
		balances, err := via.Ledger[0].Balances()
		if err != nil {
			return false
		}
		settled := true
		for _, b := range balances {
			org, _, _ := strings.Cut(b.Budget, "/")
			rows[org] = b
			settled = settled && b.Spent >= d.countsOf(org).billed
		}
		return settled
	})
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(d.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "\norganisation\tasked\twhole answers\twrong answers\trefused\tpaid\tspent\tbilled to callers\tleft\t")
	for _, org := range []string{travel, fitness} {
		c, b := d.countsOf(org), rows[org]
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", org, c.sent, c.correct, c.wrong, c.refused, b.Paid, b.Spent, c.billed, b.Paid-b.Spent)
	}
	return w.Flush()
}

func (d *Demo) runningInstances() []*fleet.Member {
	var live []*fleet.Member
	for _, m := range d.fleet.Members {
		if !m.Stopped() {
			live = append(live, m)
		}
	}
	return live
}

func (d *Demo) countsOf(org string) *requestCounts {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := *d.countsByOrg[org]
	return &c
}

// maxConcurrent is the maximum number of requests in flight.
const maxConcurrent = 8

// burst sends n requests of each organisation, distributed round-robin over the running instances.
func (d *Demo) burst(ctx context.Context, n int, orgs ...string) error {
	var g errgroup.Group
	g.SetLimit(maxConcurrent)
	for range n {
		for _, org := range orgs {
			g.Go(func() error { return d.sendRequest(ctx, org) })
		}
	}
	return g.Wait()
}

// maxTries is the maximum number of attempts of a request, including the first one.
const maxTries = 3

// sendRequest sends one request and retries at other instances when the connection fails.
func (d *Demo) sendRequest(ctx context.Context, org string) error {
	number := d.lastNumber.Add(1)
	prompt := fmt.Sprintf("question %d of %s", number, org)
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d}`, fleet.Model, prompt, answerTokens)
	for try := range maxTries {
		live := d.runningInstances()
		m := live[(int(number)+try)%len(live)]
		status, answer, err := d.post(ctx, m, "/v1/completions", fleet.Key(org), fmt.Sprintf("request-%d", number), body)
		if err != nil {
			continue
		}
		d.recordAnswer(org, status, answer, engine.Answer(prompt, answerTokens))
		return nil
	}
	return fmt.Errorf("request %d failed: no response in %d attempts", number, maxTries)
}

// recordAnswer counts a response by result and compares its text with the answer that the engine generates.
func (d *Demo) recordAnswer(org string, status int, answer, want string) {
	var completion struct {
		Choices []struct{ Text string }
		Usage   struct {
			TotalTokens int64 `json:"total_tokens"`
		}
	}
	malformed := json.Unmarshal([]byte(answer), &completion) != nil
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := d.countsByOrg[org]
	counts.sent++
	switch {
	case status != http.StatusOK:
		counts.refused++
	case malformed || len(completion.Choices) != 1 || completion.Choices[0].Text != want:
		counts.wrong++
	default:
		counts.correct++
		counts.billed += completion.Usage.TotalTokens
	}
}

func (d *Demo) post(ctx context.Context, m *fleet.Member, path, key, id, body string) (int, string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.Front.Addr()+path, bytes.NewBufferString(body))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("Idempotency-Key", id)
	resp, err := d.client.Do(req)
	if err != nil {
		return 0, "", fmt.Errorf("send request to instance %s: %w", m.Settings.Instance.ID, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}
