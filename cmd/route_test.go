package cmd_test

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// filled returns the template of a router's settings, filled in as the platform does.
func filled(t *testing.T) string {
	t.Helper()
	template, err := os.ReadFile("../deploy/router.toml")
	assert.NilError(t, err)
	values := map[string]string{
		"node_name|json": `"front-a-1"`, "zone|json": `"a"`, "ip": "127.0.0.1", "listen.front|json": `"127.0.0.1:8227"`,
		"listen.readiness|json": `"127.0.0.1:8220"`, "platform.address|json": `"127.0.0.1:8223"`, "bounds.retry_budget_ratio": "0.2",
		"bounds.budget_window_s": "10", "limits.memory_mb": "134", "platform.parts": "12", "bounds.grace_s": "8",
	}
	return regexp.MustCompile(`\{\{([^}]*)\}\}`).ReplaceAllStringFunc(string(template), func(field string) string {
		value, ok := values[field[2:len(field)-2]]
		assert.Assert(t, ok, "%s has no value", field)
		return value
	})
}

func TestCheckOfARouter(t *testing.T) {
	assertDone(t, run(t, "check", "--route", "--config", write(t, filled(t))), "settings are in order")
	assertFailed(t, run(t, "check", "--route", "--config", write(t, strings.Replace(filled(t), "shards = 12", "shards = 0", 1))), 1, "budget.shards", "1..64")
	assertFailed(t, run(t, "route"), 2, "--config is missing")
	assertFailed(t, run(t, "route", "--config", write(t, "[caller]")), 1, "instance.id", "store.address")
}
