package node_test

import (
	"context"
	"fmt"
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
