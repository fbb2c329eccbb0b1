package cmd_test

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cranberryrail/io/oper"
)

func TestPublish(t *testing.T) {
	i := newOperatorServer(t)
	file := writeFile(t, "organisation = \"a\"\npriority = 3\n")
	assertSucceeded(t, run(t, "publish", file, "--instance", i.url), "accepted: version 1\nin force at 1 of 1 instances\n")
	assert.Equal(t, i.lastChange.By, "op")
	t.Run("set changes one value and templates shows it", func(t *testing.T) {
		r := run(t, "set", "a", "allowance.cover_seconds", "1800", "--wait=false", "--instance", i.url)
		assertSucceeded(t, r, "accepted: version 2\n")
		assert.Assert(t, !strings.Contains(r.out, "in force"))
		assert.Equal(t, i.lastChange.BasedOn, int64(1))
		assertSucceeded(t, run(t, "templates", "a", "--instance", i.url), "# version 2\n", "cover_seconds = 1800\n", "priority = 3\n")
		assertSucceeded(t, run(t, "templates", "--instance", i.url), "ORGANISATION  VERSION  PRIORITY", "a             2        3")
		assertFailed(t, run(t, "set", "a", "priority", "12", "--instance", i.url), 1, "priority: 12 is not allowed; allowed: 0..9")
		assertFailed(t, run(t, "set", "b", "priority", "1", "--instance", i.url), 1, `organisation "b" has no template`)
	})
	t.Run("conflict shows the difference", func(t *testing.T) {
		r := run(t, "publish", file, "--based-on", "1", "--instance", i.url)
		assertFailed(t, r, 1, "refused: 6001 version_conflict (not_run)", "from version 2",
			"\n  - allowance.cover_seconds = 1800\n  + allowance.cover_seconds = 900\n")
		assert.Equal(t, strings.Count(r.err, "\n  "), 2)
	})
	t.Run("set fails and lists instances that have not confirmed", func(t *testing.T) {
		i.withLock(func() {
			i.unconfirmed = []oper.InstanceState{{ID: "i-2", State: "missing", ConfigVersion: 2}, {ID: "i-3", State: "stopping"}}
		})
		defer i.withLock(func() { i.unconfirmed = nil })
		r := run(t, "set", "a", "priority", "4", "--json", "--wait-timeout", "1ms", "--instance", i.url)
		assertFailed(t, r, 1, "version 4 is accepted but not yet confirmed by")
		var done struct {
			Outcome struct{ Version int64 }
		}
		assert.NilError(t, json.Unmarshal([]byte(r.out), &done))
		assert.Equal(t, done.Outcome.Version, int64(4))
		r = run(t, "set", "a", "priority", "5", "--wait-timeout", "500ms", "--instance", i.url)
		assertFailed(t, r, 1, "not yet confirmed by i-2 (missing, version 2);")
		assertContains(t, r.out, "in force at 1 of 2 instances")
	})
	t.Run("a removed template can be published again at its last version", func(t *testing.T) {
		assertSucceeded(t, run(t, "remove", "a", "--instance", i.url), "accepted: version 6")
		assertFailed(t, run(t, "publish", file, "--instance", i.url), 1, "6001", "is at version 6", "no template is in force")
		assertSucceeded(t, run(t, "publish", file, "--based-on", "6", "--instance", i.url), "accepted: version 8")
	})
}

func TestBudgets(t *testing.T) {
	i := newOperatorServer(t)
	t.Run("repeated topup with the same id is counted once", func(t *testing.T) {
		assertSucceeded(t, run(t, "topup", "a", "500", "--id", "t1", "--instance", i.url), "top-up t1: a/main has 500 tokens more")
		assertSucceeded(t, run(t, "topup", "a", "500", "--id", "t1", "--instance", i.url), "accepted before and counted once")
		r := run(t, "topup", "a", "20", "--budget", "b", "--json", "--instance", i.url)
		assertSucceeded(t, r, `"budget": "a/b"`)
		var reply struct{ ID string }
		assert.NilError(t, json.Unmarshal([]byte(r.out), &reply))
		assert.Equal(t, i.topUps[reply.ID], int64(20))
		assertFailed(t, run(t, "topup", "a", "5", "--id", "t2", "--instance", "http://127.0.0.1:1"), 1, "to retry, pass --id t2")
	})
	t.Run("budgets lists only the budgets of the organisation", func(t *testing.T) {
		r := run(t, "budgets", "a", "--instance", i.url)
		assertSucceeded(t, r, "BUDGET  PAID  SPENT", "a/main  1000  70")
		assert.Assert(t, !strings.Contains(r.out, "ab/main"))
	})
	t.Run("usage fails when billed and spent tokens differ", func(t *testing.T) {
		assertSucceeded(t, run(t, "usage", "a", "--instance", i.url), "r1         40", "(sum)      70", "billed and spent tokens match: 70")
		i.withLock(func() { i.balance.Spent = 71 })
		assertFailed(t, run(t, "usage", "a", "--instance", i.url), 1, "70 tokens billed but 71 spent (difference -1)")
	})
}

func TestReadOnlyCommands(t *testing.T) {
	i := newOperatorServer(t)
	assertSucceeded(t, run(t, "targets", "--instance", i.url), "ID        MODELS     ZONE", `engine-1  ["draft"]  z`)
	assertSucceeded(t, run(t, "instances", "--instance", i.url), "ID", "i-1")
	assertSucceeded(t, run(t, "report", "burn", "--instance", i.url), "{\n  \"fast\": 2\n}\n")
	assertFailed(t, run(t, "report", "x", "--instance", i.url), 1, "1006 unknown_route")
	assertFailed(t, run(t, "budgets", "--key", "wrong", "--instance", i.url), 1, "bad_operator_key")
}
