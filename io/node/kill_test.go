package node_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
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
	const perFleet = 4 // so that a fleet ends well before testTimeout
	for done := 0; done < kills; done += perFleet {
		rng := rand.New(rand.NewPCG(uint64(seed), uint64(done)))
		t.Run(fmt.Sprint(done), func(t *testing.T) {
			f := start(t, &fleet.Fleet{Instances: 3, Engines: 2, TokenGap: time.Millisecond, ConfigureInstance: shortTimeouts})
			provisionAll(t, f, 1_000_000_000)
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			answers := make([]fleet.Answer, 0, perFleet*fleet.KillRequests)
			for kill := range min(perFleet, kills-done) {
				more, err := f.KillUnderLoad(ctx, fmt.Sprintf("kill-%d", kill), "acme", time.Duration(rng.IntN(100))*time.Millisecond)
				assert.NilError(t, err)
				answers = append(answers, more...)
				assert.NilError(t, f.AwaitConnected(ctx))
			}
			account, err := f.AwaitBills(ctx, "acme/main", answers)
			assert.NilError(t, err)
			assert.NilError(t, account.Check("acme/main", answers))
			t.Logf("%d answers, of which %d of killed instances have no bill", len(answers), len(account.Unbilled(answers)))
		})
	}
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
