// Package demo implements the demo: a small fleet with fake targets serves two organisations through a top-up, the
// crash of an instance and an outage of the platform's log, and prints a summary of each step.
package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"cranberryrail/core/conf"
	"cranberryrail/core/ledger"
	"cranberryrail/core/pause"
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
	claims         = 5
	// defaultStepTimeout is several times what the longest step needs on a busy machine, and leaves room for the others within the demo's own time.
	defaultStepTimeout = 25 * time.Second
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

	// StepTimeout is the time after which a step that does not end fails; 0 for the default.
	StepTimeout time.Duration

	fleet       *fleet.Fleet
	client      http.Client
	lastNumber  atomic.Int64
	waitsFor    atomic.Pointer[string]
	mu          sync.Mutex
	countsByOrg map[string]*requestCounts
}

// requestCounts counts the requests of one organisation by result.
type requestCounts struct {
	sent, correct, wrong, refused int
	billed                        int64
	// answers are the correct answers.
	answers []fleet.Answer
}

// String returns the name of the demo.
func (d *Demo) String() string { return "demo" }

// Default sets up the fleet and the counts; Run requires it.
func (d *Demo) Default() {
	if d.StepTimeout == 0 {
		d.StepTimeout = defaultStepTimeout
	}
	d.waitFor("the start")
	d.countsByOrg = map[string]*requestCounts{travel: {}, fitness: {}}
	d.fleet = &fleet.Fleet{
		Instances: instances, Engines: engines, Services: 1, TokenGap: tokenGap, Platform: d.Platform, Log: zerolog.Nop(),
	}
	d.fleet.Default()
}

func (d *Demo) printf(format string, args ...any) { _, _ = fmt.Fprintf(d.Out, format+"\n", args...) }

// Run runs all steps of the demo and returns the first error, which names its step.
func (d *Demo) Run(ctx context.Context) error {
	// The fleet outlives ctx, so that Close ends it at once and its instances do not wait for a platform that has ended.
	if err := d.fleet.Launch(context.WithoutCancel(ctx)); err != nil {
		return fmt.Errorf("step %q: %w", "start", err)
	}
	defer d.fleet.Close()
	steps := []struct {
		name string
		run  func(ctx context.Context) error
	}{
		{"start", d.awaitStart}, {"set up", d.setUp}, {"load", d.sendLoad}, {"exhaust a budget", d.exhaustBudget}, {"kill an instance", d.killInstance},
		{"interrupt the log", d.interruptLog}, {"submit a claim", d.submitClaim}, {"summary", d.printSummary},
	}
	for _, step := range steps {
		if err := d.runStep(ctx, step.run); err != nil {
			return fmt.Errorf("step %q: %w", step.name, err)
		}
	}
	return nil
}

// runStep runs a step within its timeout. A step that still waits for a call which has a longer timeout of its own is left behind.
func (d *Demo) runStep(ctx context.Context, step func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, d.StepTimeout)
	defer cancel()
	done := make(chan error, 1)
	var g errgroup.Group
	g.Go(func() error {
		done <- step(ctx)
		return nil
	})
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	select {
	case err := <-done:
		return err
	case <-time.After(stepGrace):
		return fmt.Errorf("wait for %s: %w", *d.waitsFor.Load(), ctx.Err())
	}
}

// stepGrace is the time in which a step that has run out of time returns the error that names what it waits for.
const stepGrace = time.Second

// waitFor sets what a call that does not end with its context waits for.
func (d *Demo) waitFor(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	d.waitsFor.Store(&text)
}

// topUp tops up the budget of an organisation through an instance.
func (d *Demo) topUp(via *fleet.Member, number, org string, tokens int64) error {
	d.waitFor("the %s top-up of %s", number, org)
	defer d.waitFor("its requests")
	return d.fleet.TopUp(via, number+"-"+org, org, tokens)
}

// awaitStart waits until all instances are connected.
func (d *Demo) awaitStart(ctx context.Context) error {
	if err := d.fleet.AwaitConnected(ctx); err != nil {
		return err
	}
	d.printf("started a fake platform, %d instances, %d engines and a plain service in one process", instances, engines)
	return nil
}

// setUp publishes the templates and tops up the budgets.
func (d *Demo) setUp(ctx context.Context) error {
	for _, org := range []string{travel, fitness} {
		d.waitFor("the publication of the template of %s", org)
		if err := d.fleet.Publish(ctx, d.fleet.Members[0], "publish-"+org, fleet.Template(org)); err != nil {
			return err
		}
	}
	if err := d.topUp(d.fleet.Members[0], "first", travel, largeTopUp); err != nil {
		return err
	}
	if err := d.topUp(d.fleet.Members[1], "first", fitness, smallTopUp); err != nil {
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
	if err := d.topUp(d.fleet.Members[2], "second", fitness, secondTopUp); err != nil {
		return err
	}
	// A second top-up with the same ID has no effect.
	if err := d.topUp(d.fleet.Members[1], "second", fitness, secondTopUp); err != nil {
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
	victim := d.fleet.Members[2]
	g.Go(func() error {
		err := d.burst(ctx, 30, travel)
		for err == nil && !victim.Stopped() { // until the machine has found time to see a request in flight
			err = d.burst(ctx, 10, travel)
		}
		return err
	})
	err := d.fleet.AwaitNothing(ctx, func() string {
		if victim.Front.InFlight() > 0 {
			return ""
		}
		return victim.Settings.Instance.ID + " has no request in flight"
	})
	if err != nil {
		return errors.Join(err, g.Wait())
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

// submitClaim submits one non-idempotent call several times with the same idempotency key. Refused attempts are repeated with the key, as a caller does.
func (d *Demo) submitClaim(ctx context.Context) error {
	answers, refusals := map[string]int{}, map[string]int{}
	for i, answered := 0, 0; answered < claims; i++ {
		running := d.fleet.Running()
		m := running[i%len(running)]
		status, body, err := d.post(ctx, m, "/v1/services/"+fleet.Service+"/submit", fleet.Key(travel), "claim-77", `{"flight":"QY 77"}`)
		switch {
		case err != nil:
			return fmt.Errorf("wait for %d answers of a claim, %d came, refused: %s: %w", claims, answered, list(refusals), err)
		case status == http.StatusOK:
			answered++
			answers[body]++
		default:
			name, retryAfter := describeRefusal(body)
			refusals[name]++
			pause.For(ctx, max(retryAfter, minRetryAfter))
		}
	}
	runs := d.fleet.ServiceServers[0].Runs(travel + "/claim-77")
	d.printf("submitted one claim with one idempotency key at different instances until %d calls were answered: it ran %d time, with %d distinct answer; refused before: %s",
		claims, runs, len(answers), list(refusals))
	if runs != 1 || len(answers) != 1 {
		return fmt.Errorf("a claim with one idempotency key ran %d times, with %d distinct answers: %s", runs, len(answers), list(answers))
	}
	return nil
}

// minRetryAfter is the pause before a refused claim is repeated if the refusal names none or a shorter one.
const minRetryAfter = 20 * time.Millisecond

// describeRefusal returns the name of a refusal with whether the call ran, and the time after which it may be repeated.
func describeRefusal(body string) (string, time.Duration) {
	var refusal struct {
		Error struct {
			Name, Run    string
			RetryAfterMS int64 `json:"retry_after_ms"`
		}
	}
	if err := json.Unmarshal([]byte(body), &refusal); err != nil {
		return body, 0
	}
	return fmt.Sprintf("%s (%s)", refusal.Error.Name, refusal.Error.Run), time.Duration(refusal.Error.RetryAfterMS) * time.Millisecond
}

// list returns the texts with their counts.
func list(counts map[string]int) string {
	if len(counts) == 0 {
		return "none"
	}
	parts := make([]string, 0, len(counts))
	for _, text := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d %s", counts[text], text))
	}
	return strings.Join(parts, ", ")
}

// printSummary waits until the log has the bill of each answer of an instance that runs, and prints the balances. An answer that the killed instance sent
// just before its end may have no bill; its tokens stay in what that instance held.
func (d *Demo) printSummary(ctx context.Context) error {
	accounts := map[string]fleet.Account{}
	for _, org := range []string{travel, fitness} {
		account, err := d.fleet.AwaitBills(ctx, budgetOf(org), d.countsOf(org).answers)
		if err != nil {
			return err
		}
		accounts[org] = account
	}
	return d.printTable(accounts)
}

// printTable prints the balances and checks them.
func (d *Demo) printTable(accounts map[string]fleet.Account) error {
	w := tabwriter.NewWriter(d.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "\norganisation\tasked\twhole answers\twrong answers\trefused\tpaid\tspent\tstated in answers\theld by the running\tby the killed\tfree\t")
	var errs []error
	unbilled := 0
	for _, org := range []string{travel, fitness} {
		c, a := d.countsOf(org), accounts[org]
		held, stranded := a.HeldBy(d.fleet.Running())
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", org, c.sent, c.correct, c.wrong, c.refused, a.Paid, a.Spent, c.billed, held, stranded, a.Free())
		unbilled += len(a.Unbilled(c.answers))
		errs = append(errs, a.Check(budgetOf(org), c.answers))
		if c.wrong > 0 {
			errs = append(errs, fmt.Errorf("%d answers to %s are wrong", c.wrong, org))
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	d.printf("\npaid = spent + held by the running + held by the killed + free, in tokens")
	d.printf("held by the running: allowances that the running instances draw ahead, so that they serve while the log is away; a planned stop returns them")
	d.printf("held by the killed: nobody can prove what it has spent of them, so they stay held and can't be spent twice; they cover %d answers that it sent "+
		"just before its end and did not bill", unbilled)
	return errors.Join(errs...)
}

// budgetOf returns the budget of an organisation.
func budgetOf(org string) string { return ledger.BudgetKey(org, conf.MainBudget) }

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
	id, prompt := fmt.Sprintf("request-%d", number), fmt.Sprintf("question %d of %s", number, org)
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d}`, fleet.Model, prompt, answerTokens)
	var last error
	for try := range maxTries {
		live := d.fleet.Running()
		m := live[(int(number)+try)%len(live)]
		status, answer, err := d.post(ctx, m, "/v1/completions", fleet.Key(org), id, body)
		if err != nil {
			last = err
			continue
		}
		d.recordAnswer(org, status, answer, engine.Answer(prompt, answerTokens), fleet.Answer{Instance: m.Incarnation, Request: id})
		return nil
	}
	return fmt.Errorf("%s: no response in %d attempts: %w", id, maxTries, last)
}

// recordAnswer counts a response by result and compares its text with the answer that the engine generates.
func (d *Demo) recordAnswer(org string, status int, answer, want string, from fleet.Answer) {
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
		from.Tokens = completion.Usage.TotalTokens
		counts.answers = append(counts.answers, from)
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
