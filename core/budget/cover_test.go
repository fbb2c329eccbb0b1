package budget_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/fake/memlog"
)

// servedInOutage spends most of a budget evenly, lets the log be away once early and once late for as long, and returns what is served in the late outage, in
// seconds of usage, and the tokens that are held when it begins.
func servedInOutage(t *testing.T, cover bool, outage time.Duration) (seconds float64, held int64) {
	t.Helper()
	f := newFleetOf(t, 1)
	for _, m := range f.members {
		m.book.CoverOutages = cover
	}
	f.sync(t)
	f.now = f.now.Add(4 * time.Second)
	const perSecond = paid / 100
	each := int64(perSecond / len(f.members))
	f.serve(t, 10, each)
	for _, m := range f.members {
		m.book.RecordOutage(outage)
	}
	f.serve(t, 60, each)
	for _, m := range f.members {
		held += m.book.Balance("travel").Free
	}
	f.log.SetFault(func(string) memlog.Fault { return memlog.Refuse })
	before := f.spent
	for range int(outage / time.Second) {
		f.now = f.now.Add(time.Second)
		for _, m := range f.members {
			for range 10 {
				if m.reserveNow(t, each/10) {
					f.spent += each / 10
				}
			}
		}
	}
	return float64(f.spent-before) / perSecond, held
}

// reserveNow reserves and spends tokens that the process holds, and reports whether it did.
func (m *member) reserveNow(t *testing.T, tokens int64) bool {
	t.Helper()
	if m.book.Balance("travel").Free < tokens {
		return false
	}
	r, err := m.book.Reserve(t.Context(), "travel", tokens)
	if err != nil {
		return false
	}
	m.book.Settle(r, tokens)
	return true
}

// TestLateOutageIsCovered guards against requests that are refused during an outage, as the ones before it were not, because holdings shrink with what is left of a
// budget: a quarter of what was refused may remain, which is promised when the outage begins. It also guards against holdings that a loss of power strands beyond half of the rest.
func TestLateOutageIsCovered(t *testing.T) {
	const outage = 8 * time.Second
	without, _ := servedInOutage(t, false, outage)
	with, held := servedInOutage(t, true, outage)
	refused, before := outage.Seconds()-with, outage.Seconds()-without
	assert.Assert(t, refused <= before/4, "%.1f s are refused, %.1f s without cover", refused, before)
	assert.Assert(t, held <= paid/4, "%d held", held)
}

// TestHeavyInstanceHoldsForItself guards against an instance that serves most requests of an organisation, is not a holder of its budget, and asks holders for each
// request; and against what it holds once the requests have ended.
func TestHeavyInstanceHoldsForItself(t *testing.T) {
	f := newFleetOf(t, 1)
	m := f.members[0]
	m.book.IsHolder = func(string) bool { return false }
	m.book.HeavyPerSecond = 4
	f.sync(t)
	f.now = f.now.Add(4 * time.Second)
	press := func(perSecond int) {
		for range 10 {
			f.now = f.now.Add(time.Second)
			f.sync(t)
			for range perSecond {
				if r, err := reserve(t, m, 10); err == nil {
					m.book.Settle(r, 10)
				}
			}
		}
	}
	press(2)
	assert.Assert(t, m.book.Balance("travel").Free < 20)
	press(50)
	held := m.book.Balance("travel").Free
	assert.Assert(t, held > 50*10*3, "%d held", held)
	f.now = f.now.Add(time.Minute)
	f.sync(t)
	assert.Assert(t, m.book.Balance("travel").Free < held/4)
}
