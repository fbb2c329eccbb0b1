package node_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/fake/engine"
	"cranberryrail/fake/fleet"
	"cranberryrail/fake/plain"
)

// sharingTime is longer than a report of a crash takes to reach all instances.
const sharingTime = 300 * time.Millisecond

// assertQuarantined sends a crashing request to the instances in turn. It asserts that at most three requests were sent to targets, and that all
// instances refuse the request afterwards.
func assertQuarantined(t *testing.T, f *fleet.Fleet, request func(m *fleet.Member, n int) result) {
	t.Helper()
	reached := 0
	for n := range 4 * len(f.Members) {
		r := request(f.Members[n%len(f.Members)], n)
		assert.NilError(t, r.err)
		if r.status != http.StatusServiceUnavailable {
			reached++
		}
		time.Sleep(sharingTime)
	}
	assert.Assert(t, reached <= 3, "%d requests crashed targets", reached)
	for n, m := range f.Members {
		assertRefused(t, request(m, 100+n).reply, 3006, "not_run")
	}
}

// TestRepeatedPromptCrashesFewEngines guards against instances that do not share which requests crash engines.
func TestRepeatedPromptCrashesFewEngines(t *testing.T) {
	f := start(t, &fleet.Fleet{Instances: 3, Engines: 12, ConfigureInstance: shortTimeouts})
	provisionAll(t, f, 1_000_000)
	setEngineFaults(f, func(faults *engine.Faults) { faults.CrashPrompt = "deadly" })
	assertQuarantined(t, f, func(m *fleet.Member, _ int) result {
		return send(context.Background(), m, "/v1/completions", fleet.Key("acme"), promptBody("deadly", 4, false))
	})
	r := send(context.Background(), f.Members[0], "/v1/completions", fleet.Key("acme"), promptBody("sound", 4, true))
	assertComplete(t, r, "sound", 4)
}

// TestRepeatedCallCrashesFewServices guards against a call that crashes service after service because its caller repeats it with new keys.
func TestRepeatedCallCrashesFewServices(t *testing.T) {
	f := start(t, &fleet.Fleet{Instances: 2, Services: 12, ConfigureInstance: shortTimeouts})
	provisionAll(t, f, 1_000_000)
	for _, s := range f.ServiceServers {
		s.SetFaults(plain.Faults{CrashBody: "deadly"})
	}
	call := func(m *fleet.Member, body string, n int) result {
		return send(context.Background(), m, "/v1/services/"+fleet.Service+"/submit", fleet.Key("acme"), body, "Idempotency-Key", fmt.Sprint(body, n))
	}
	assertQuarantined(t, f, func(m *fleet.Member, n int) result { return call(m, "deadly", n) })
	assert.Equal(t, call(f.Members[0], "sound", 0).status, http.StatusOK)
}

// TestAbandonedPromptCrashesFewEngines guards against crashes that are not attributed to a request because its caller disconnected before.
func TestAbandonedPromptCrashesFewEngines(t *testing.T) {
	f := start(t, &fleet.Fleet{Instances: 2, Engines: 12, Capacity: 1, ConfigureInstance: shortTimeouts})
	provisionAll(t, f, 1_000_000)
	setEngineFaults(f, func(faults *engine.Faults) { faults.CrashPrompt, faults.CrashDelayMS = "deadly", 100 })
	for n := range 8 {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		send(ctx, f.Members[n%2], "/v1/completions", fleet.Key("acme"), promptBody("deadly", 4, false))
		cancel()
		time.Sleep(2 * sharingTime)
	}
	for _, m := range f.Members {
		assertRefused(t, send(context.Background(), m, "/v1/completions", fleet.Key("acme"), promptBody("deadly", 4, false)).reply, 3006, "not_run")
	}
}
