package budget_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/core/budget"
	"cranberryrail/core/table"
	"cranberryrail/fake/memlog"
)

// newFleetOf returns a fleet of three processes that starts for the first time, in an era of the log.
func newFleetOf(t *testing.T, era int64) *fleet {
	t.Helper()
	f := &fleet{log: &memlog.Server{Era: era}, paid: paid, now: startTime, maxWait: 100 * time.Millisecond}
	for i := range 3 {
		f.members = append(f.members, f.start(fmt.Sprintf("i-%d", i)))
	}
	return f
}

// sync syncs all processes.
func (f *fleet) sync(t *testing.T) {
	t.Helper()
	for _, m := range f.members {
		assert.NilError(t, m.syncer.Sync(t.Context()))
	}
}

// restoreFrom restores the log from a copy, and syncs all processes.
func (f *fleet) restoreFrom(t *testing.T, c memlog.Copy) {
	t.Helper()
	f.log.Restore(c)
	time.Sleep(10 * time.Millisecond) // until the state is too old to append without reading
	f.sync(t)
}

// restart kills all processes and starts them again a second later, with an organisation that was added.
func (f *fleet) restart(t *testing.T, added ...table.Organisation) {
	t.Helper()
	f.now = f.now.Add(time.Second)
	for i := range f.members {
		f.members[i] = f.launch(fmt.Sprintf("i-%d", i))
		f.members[i].syncer.SetOrganisations(append(added, table.Organisation{Name: "travel", Prepaid: f.paid}))
	}
	f.sync(t)
}

// assertServed asserts that each process serves requests of an organisation, and how much is written off.
func (f *fleet) assertServed(t *testing.T, organisation string, writtenOff int64) {
	t.Helper()
	for _, m := range f.members {
		_, err := reserveOf(t, m, organisation, paid/20)
		assert.NilError(t, err)
		assert.Equal(t, m.book.Balance(organisation).WrittenOff, writtenOff)
	}
}

var firstEras = []int64{1, 5, 1 << 40}

// TestLogRestoredAtFirstStart guards against budgets that are refused for good because the log was restored soon after the fleet started for the first time.
func TestLogRestoredAtFirstStart(t *testing.T) {
	for _, era := range firstEras {
		t.Run(fmt.Sprint(era), func(t *testing.T) {
			f := newFleetOf(t, era)
			empty := f.log.Copy()
			f.sync(t)
			f.now = f.now.Add(4 * time.Second)
			f.restoreFrom(t, empty)
			f.assertServed(t, "travel", paid/2) // other instances may have drawn before
		})
	}
}

// TestOrganisationAddedBeforeKill guards against a budget that is refused for good because all processes were killed right after its organisation was
// added, in a log that was restored before the fleet started for the first time.
func TestOrganisationAddedBeforeKill(t *testing.T) {
	for _, era := range firstEras {
		t.Run(fmt.Sprint(era), func(t *testing.T) {
			f := newFleetOf(t, era)
			f.sync(t)
			f.now = f.now.Add(4 * time.Second)
			f.sync(t)
			f.restart(t, table.Organisation{Name: "added", Prepaid: paid})
			f.assertServed(t, "added", 0)
		})
	}
}

// TestRecordOfFirstEraIsKept guards against a record of the first era that is lost with the first copy.
func TestRecordOfFirstEraIsKept(t *testing.T) {
	f := newFleetOf(t, 5)
	empty := f.log.Copy()
	f.sync(t)
	f.restoreFrom(t, empty)
	f.restart(t, table.Organisation{Name: "added", Prepaid: paid})
	f.assertServed(t, "added", paid/2)
}

// TestFirstStartWithoutLog guards against budgets that are refused for good by processes that could not read the log when the fleet started for the first
// time.
func TestFirstStartWithoutLog(t *testing.T) {
	late := func(t *testing.T, f *fleet, inTime int) {
		for _, m := range f.members[:inTime] {
			assert.NilError(t, m.syncer.Sync(t.Context()))
		}
		f.now = f.now.Add(4 * time.Second)
		f.sync(t)
		f.now = f.now.Add(4 * time.Second) // until those that were late may draw
		f.sync(t)
	}
	t.Run("no process, one era", func(t *testing.T) {
		f := newFleetOf(t, 1)
		late(t, f, 0)
		f.assertServed(t, "travel", paid/2)
	})
	t.Run("one process, many eras", func(t *testing.T) {
		f := newFleetOf(t, 5)
		late(t, f, 1)
		f.assertServed(t, "travel", 0)
	})
}

// TestUnknownFirstEraCounts guards against a budget that is granted again by processes that can't read the first era, or whose log holds none, after its record
// was lost: half of it may have been drawn in each era.
func TestUnknownFirstEraCounts(t *testing.T) {
	values := map[string]string{"none": "", "not JSON": "\xff", "negative": `{"era":-1}`, "later": `{"era":9}`}
	for name, value := range values {
		t.Run(name, func(t *testing.T) {
			f := &fleet{log: &memlog.Server{Era: 2}, paid: paid, now: startTime.Add(time.Second), maxWait: 100 * time.Millisecond}
			f.log.Put("keyed.first", 0, "first", []byte(value))
			m := f.start("i-0")
			assert.NilError(t, m.syncer.Sync(t.Context()))
			_, err := reserve(t, m, 1)
			assert.ErrorContains(t, err, "budget_")
			assert.Equal(t, m.book.Balance("travel").WrittenOff, int64(paid))
			assert.Assert(t, f.log.Value("keyed.budgets", 0, "era/2/travel") == nil)
		})
	}
}

// TestTopUpOfLostBudget guards against a budget that is granted again after its record was lost, because it was topped up meanwhile and a process that starts
// reads the amount of before first.
func TestTopUpOfLostBudget(t *testing.T) {
	f := &fleet{log: &memlog.Server{Era: 2}, paid: paid, now: startTime.Add(time.Second), maxWait: 100 * time.Millisecond}
	m := f.start("i-0")
	assert.NilError(t, m.syncer.Sync(t.Context()))
	f.paid *= 10
	f.pay(m)
	f.now = f.now.Add(budget.DefaultCopyAge)
	assert.NilError(t, m.syncer.Sync(t.Context()))
	assert.Equal(t, m.book.Balance("travel").WrittenOff, f.paid)
}

// TestUnreadableRecordIsNoMemory guards against tokens that are granted again after a restore by a process that could not decode the record which the log
// lacks now: it does not know what was granted.
func TestUnreadableRecordIsNoMemory(t *testing.T) {
	f := newFleetOf(t, 1)
	f.sync(t)
	older := f.log.Copy()
	f.log.Put("keyed.budgets", 0, "era/1/travel", []byte("\xff"))
	f.members = []*member{f.launch("i-0")}
	f.pay(f.members[0])
	f.sync(t)
	f.now = f.now.Add(4 * time.Second)
	f.restoreFrom(t, older)
	_, err := reserve(t, f.members[0], 1)
	assert.ErrorContains(t, err, "ledger_stale")
	assert.Equal(t, f.members[0].book.Balance("travel").Free, int64(0))
}
