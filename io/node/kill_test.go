package node_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/fake/fleet"
)

// TestKilledInstanceSendsNoAnswer guards against a fake crash after which an instance still sends answers that nobody is billed for.
func TestKilledInstanceSendsNoAnswer(t *testing.T) {
	f := start(t, &fleet.Fleet{Instances: 4, Engines: 1, FixedLength: true, TokenGap: time.Millisecond})
	provisionAll(t, f, 1_000_000)
	for _, m := range f.Members[1:] {
		before := f.EngineServers[0].Counts()
		wait := runConcurrently(3, func(i int) result {
			return send(context.Background(), m, "/v1/completions", fleet.Key("acme"), promptBody(fmt.Sprint("late ", i), 40, false))
		})
		eventually(t, f, func() bool { return f.EngineServers[0].Counts().Started == before.Started+3 })
		m.Node.Kill()
		generated := (f.EngineServers[0].Counts().Tokens - before.Tokens) / 40
		eventually(t, f, m.Stopped)
		var whole int64
		for _, r := range wait() {
			if r.err == nil {
				whole++
			}
		}
		assert.Assert(t, whole <= generated, "%d answers, of which the engine had generated %d before the kill", whole, generated)
	}
}

// TestBillsOfKilledInstances guards against bills that are lost, doubled or past the budget when instances are killed with answers in flight. More by hand:
// KILLS=200 SEED=1 go test ./io/node -run TestBillsOfKilledInstances -timeout 20m.
func TestBillsOfKilledInstances(t *testing.T) {
	seed, kills := number(t, "SEED", 1), number(t, "KILLS", 4)
	for done := 0; done < kills; done += killsPerFleet {
		rng := rand.New(rand.NewPCG(uint64(seed), uint64(done)))
		t.Run(fmt.Sprint(done), func(t *testing.T) {
			f := start(t, &fleet.Fleet{Instances: 3, Engines: 2, TokenGap: time.Millisecond, ConfigureInstance: shortTimeouts})
			provisionAll(t, f, 1_000_000_000)
			answers := make([]fleet.Answer, 0, killsPerFleet*callers*requestsPerCaller)
			for kill := range min(killsPerFleet, kills-done) {
				answers = append(answers, killUnderLoad(t, f, fmt.Sprintf("kill-%d", kill), time.Duration(rng.IntN(100))*time.Millisecond)...)
			}
			assertBilled(t, f, answers)
		})
	}
}

// killsPerFleet keeps the life of a fleet well below testTimeout. During each kill, callers send requestsPerCaller requests each.
const (
	killsPerFleet     = 4
	callers           = 8
	requestsPerCaller = 4
)

// killUnderLoad kills the first running instance some time after the callers began, and replaces it. It returns the whole answers;
// callers without one retry at the other instances.
func killUnderLoad(t *testing.T, f *fleet.Fleet, name string, after time.Duration) []fleet.Answer {
	t.Helper()
	order := f.Running()
	results := make([][]result, callers)
	wait := runConcurrently(len(results), func(i int) result {
		for n := range requestsPerCaller {
			results[i] = append(results[i], retry(order, fmt.Sprintf("%s-%d-%d", name, i, n)))
		}
		return result{}
	})
	time.Sleep(after)
	order[0].Kill()
	f.Platform.DeleteInstance(order[0].Settings.Instance.ID)
	wait()
	answers := make([]fleet.Answer, 0, callers*requestsPerCaller)
	for _, r := range slices.Concat(results...) {
		assert.NilError(t, r.err)
		id := r.header.Get("X-Request-Id")
		answers = append(answers, fleet.Answer{Instance: r.header.Get("Instance"), Request: id, Tokens: assertComplete(t, r, id, 20)})
	}
	_, err := f.StartInstance()
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	assert.NilError(t, f.AwaitConnected(ctx))
	return answers
}

// retry sends a request to the instances in turn until one answers in whole, and adds its incarnation to the headers.
func retry(order []*fleet.Member, id string) result {
	var r result
	for _, m := range order {
		r = send(context.Background(), m, "/v1/completions", fleet.Key("acme"), promptBody(id, 20, true), "X-Request-Id", id)
		if r.err == nil && r.status == http.StatusOK && strings.HasSuffix(r.body, "data: [DONE]\n\n") {
			r.header.Set("Instance", m.Incarnation)
			return r
		}
	}
	return r
}

// assertBilled asserts that each answer of an instance that runs is billed, and that the budget is right whatever the killed ones left.
func assertBilled(t *testing.T, f *fleet.Fleet, answers []fleet.Answer) {
	t.Helper()
	var account fleet.Account
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	assert.NilError(t, f.AwaitNothing(ctx, func() string {
		var err error
		if account, err = f.Running()[0].Account("acme/main"); err != nil {
			return err.Error()
		}
		for _, a := range account.Unbilled(answers) {
			if slices.ContainsFunc(f.Running(), func(m *fleet.Member) bool { return m.Incarnation == a.Instance }) {
				return fmt.Sprintf("%+v has no bill", a)
			}
		}
		return ""
	}))
	assert.NilError(t, account.Check("acme/main", answers))
	t.Logf("%d answers, of which %d of killed instances have no bill", len(answers), len(account.Unbilled(answers)))
}

// number returns the number in an environment variable, or a default.
func number(t *testing.T, name string, unset int) int {
	t.Helper()
	text, ok := os.LookupEnv(name)
	if !ok {
		return unset
	}
	n, err := strconv.Atoi(text)
	assert.NilError(t, err)
	return n
}
