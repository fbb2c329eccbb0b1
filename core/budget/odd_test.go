package budget_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/core/budget"
	"cranberryrail/core/logs"
	"cranberryrail/core/table"
	"cranberryrail/fake/memlog"
)

// startMember starts a process with budgets of the given organisations.
func startMember(t *testing.T, log *memlog.Server, id string, organisations ...string) *member {
	t.Helper()
	m := &member{book: &budget.Book{MaxWait: 100 * time.Millisecond}}
	m.syncer = &budget.Syncer{Log: log.Log(), Topic: "keyed.budgets", Instance: id, Incarnation: id + "#1", Book: m.book}
	m.syncer.Default()
	m.syncer.PollInterval = time.Nanosecond
	list := make([]table.Organisation, 0, len(organisations))
	for _, name := range organisations {
		list = append(list, table.Organisation{Name: name, Prepaid: 1000})
	}
	m.syncer.SetOrganisations(list)
	return m
}

// TestOddBudgetRecordAffectsOneBudget guards against a record of another writer that keeps instances from reading all budgets of a partition, or
// lets them spend more of one than was paid.
func TestOddBudgetRecordAffectsOneBudget(t *testing.T) {
	log := &memlog.Server{}
	put := func(key, value string) { log.Put("keyed.budgets", 0, key, []byte(value)) }
	put("spent", `{"granted":900}`)
	put("era/9223372036854775807/spent", `{"granted":0}`)
	put("era/-9223372036854775808/spent", `{"granted":0}`)
	for _, key := range []string{"junk", "instance/x", "travel"} {
		put(key, "\x01\xff")
	}
	put("huge", `{"granted":1,"risk_limit":9223372036854775807}`)
	m := startMember(t, log, "i", "travel", "spent", "huge", "third")
	assert.NilError(t, m.syncer.Sync(t.Context()))
	assert.Assert(t, m.book.Loaded())
	check := func(organisation string, tokens int64, want bool) {
		t.Helper()
		_, err := reserveOf(t, m, organisation, tokens)
		assert.Equal(t, err == nil, want, "%s: %v", organisation, err)
	}
	check("third", 100, true)
	check("spent", 50, true)
	check("spent", 500, false)
	check("travel", 1, false) // not known what was granted
	check("huge", 1, false)
	put("travel", `{"granted":10}`)
	time.Sleep(10 * time.Millisecond) // until the state is too old not to be read
	assert.NilError(t, m.syncer.Sync(t.Context()))
	check("travel", 100, true)
	put("travel", "\x01\xff") // read in order, it changes nothing
	put("era/7/travel", `{"granted":0}`)
	check("travel", 800, true)
	check("travel", 200, false)
}

// TestNamesOfBudgetsAreKeptApart guards against the name of an organisation that is read as something else in the topic of budgets, or is longer
// than a key, so that what was granted is not known and more is spent than was paid.
func TestNamesOfBudgetsAreKeptApart(t *testing.T) {
	for i, name := range []string{"plain", "instance/x", "era/3/x", "era/x", strings.Repeat("n", 300)} {
		log := &memlog.Server{}
		for n := range 3 {
			m := startMember(t, log, fmt.Sprint("i", n), name)
			assert.NilError(t, m.syncer.Sync(t.Context()))
			_, err := reserveOf(t, m, name, 700)
			assert.Equal(t, err == nil, n == 0, "name %d at process %d: %v", i, n, err)
		}
		newest, err := logs.Log.NewestAll(log.Log(), t.Context(), "keyed.budgets", 0)
		assert.NilError(t, err)
		for _, r := range newest.Records {
			assert.Assert(t, len(r.Key) <= 255, "%d bytes", len(r.Key))
		}
	}
}

// TestNamesOfBudgetsOfProduction guards against a budget that is drawn twice while an instance of the version in production, which uses each of these names as
// it is, runs beside one that does not.
func TestNamesOfBudgetsOfProduction(t *testing.T) {
	for _, name := range []string{"plain", "era/x", "era/small/x", "digest/x", strings.Repeat("n", 231)} {
		log := &memlog.Server{}
		m := startMember(t, log, "i", name)
		assert.NilError(t, m.syncer.Sync(t.Context()))
		_, err := reserveOf(t, m, name, 700)
		assert.NilError(t, err)
		newest, err := logs.Log.NewestAll(log.Log(), t.Context(), "keyed.budgets", 0)
		assert.NilError(t, err)
		assert.Check(t, slices.ContainsFunc(newest.Records, func(r logs.Record) bool { return r.Key == name }), "%.20s", name)
	}
}

// TestOddPromiseIsNotTakenOver guards against a part of an odd promise that is spent, although the promise can't be decoded.
func TestOddPromiseIsNotTakenOver(t *testing.T) {
	for _, tokens := range []string{`{"travel":500,"x":"y"}`, `{"travel":-500}`, `{"travel":9223372036854775807}`} {
		f := &fleet{log: &memlog.Server{}, paid: paid, now: startTime}
		f.log.Put("keyed.promises", 0, "i-0", fmt.Appendf(nil, `{"by":"i-0#0","boot":"boot-0","made_ns":0,"until_ns":%d,"tokens":%s}`, int64(f.uptime()+time.Second), tokens))
		m := f.start("i-0")
		assert.NilError(t, m.syncer.Sync(t.Context()))
		f.now = f.now.Add(400 * time.Millisecond)
		assert.NilError(t, m.syncer.Sync(t.Context()))
		b := m.book.Balance("travel")
		assert.Assert(t, b.Free >= 0 && b.Free <= b.Granted, "%+v", b)
	}
}
