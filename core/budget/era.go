package budget

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"cranberryrail/core/table"
)

// A log that was restored from a copy lacks the newest draws, whose tokens may be spent. The process that drew them may
// have ended, so no process can be asked for them. Draws are therefore limited: those that no copy is certain to contain
// must not exceed a fraction of the budget, and after a restore this fraction counts as granted.
const (
	// DefaultCopyAge is the maximum age of a copy from which the log may be restored.
	DefaultCopyAge = 10 * time.Second
	// riskDivisor is the limit on draws that a restored log may lack, as a divisor of the tokens paid for. Within
	// DefaultCopyAge a fleet draws what its holdings cover, and what it uses.
	riskDivisor = 2
	// maxLostEras is the number of eras whose draws together exceed any budget.
	maxLostEras = riskDivisor + 1
	// marksPerCopyAge is the number of marks of the draws that are kept for the age of a copy.
	marksPerCopyAge = 8
)

// Grants is what the log records about an organisation's budget, in tokens.
type Grants struct {
	// Era is the era of the log in which the record was written.
	Era int64
	// Granted is the total granted to all instances.
	Granted int64
	// Drawn is the sum of all draws, without returns. Kept is a sum of draws that each copy from which the log may be
	// restored contains, and RiskLimit the maximum by which Drawn exceeds it. They are 0 in a log without eras.
	Drawn, Kept, RiskLimit int64
	// WrittenOff is the part of Granted that counts as granted because the log was restored. Lost is the part of it that does so since the era of the
	// record began, until it is known what was drawn before, and Base what the restored log stated as granted.
	WrittenOff, Lost, Base int64
	// Strict is set if tokens are drawn after this record only by instances whose registration each copy from which the log may be restored contains.
	Strict bool
}

// drawMark is the sum of draws that was recorded in the log at a time.
type drawMark struct {
	at    time.Time
	drawn int64
}

// eraPrefix is the prefix of the keys of records in all eras but 0. A key names the era, so that an append of an earlier
// era that commits late replaces no record of the present one.
const eraPrefix = "era/"

// digestPrefix is the prefix of budgetName where it is not the name of the organisation, and maxNameBytes the longest name that is used as it is: a
// key has at most 255 bytes, of which eraPrefix, the largest number and a slash take 24.
const (
	digestPrefix = "digest/"
	digestBytes  = 24
	maxNameBytes = 255 - 24
)

// budgetName returns the name under which the budget of an organisation is known, at this instance and in the log. It is another one than that of the
// organisation only if that is too long for a key, or is read as something else in one: earlier builds use all other names as they are. The budget
// name of a budget name is itself.
func budgetName(organisation string) string {
	read, _ := parseRecordKey(organisation)
	if read == organisation && !strings.HasPrefix(organisation, instancePrefix) && len(organisation) <= maxNameBytes {
		return organisation
	}
	sum := sha256.Sum256([]byte(organisation))
	return digestPrefix + hex.EncodeToString(sum[:digestBytes])
}

// recordKey returns the key of an organisation's record in an era.
func recordKey(organisation string, era int64) string {
	organisation = budgetName(organisation)
	if era == 0 {
		return organisation
	}
	return eraPrefix + strconv.FormatInt(era, 10) + "/" + organisation
}

// parseRecordKey returns the organisation and the era of a record.
func parseRecordKey(key string) (organisation string, era int64) {
	rest, ok := strings.CutPrefix(key, eraPrefix)
	if !ok {
		return key, 0
	}
	text, organisation, ok := strings.Cut(rest, "/")
	era, err := strconv.ParseInt(text, 10, 64)
	if !ok || err != nil {
		return key, 0
	}
	return organisation, era
}

// RecordGrants sets what the log records about a budget, given the present era of the log and whether it may be restored
// from a copy. A record of an earlier era lacks what was drawn after the copy: as much as RiskLimit for each era counts
// as granted. It does not decide waiting reservations; ServeWaiters does, once it is known what was drawn for them.
func (b *Book) RecordGrants(organisation string, g Grants, era int64, restorable bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setGrants(b.account(organisation), g, era, restorable)
}

// setGrants is RecordGrants for an account.
func (b *Book) setGrants(a *account, g Grants, era int64, restorable bool) {
	if a.era == era && g.Era < a.recordEra {
		return // an append of an earlier era that committed late
	}
	if a.era != era {
		a.marks = nil
	}
	a.recordEra, a.era, a.restorable = g.Era, era, restorable
	a.recorded, a.hasRecord, a.unknown, a.assumed = g, true, false, false
	a.writeOff()
	if restorable {
		a.mark(drawMark{b.Now(), g.Drawn}, b.CopyAge/marksPerCopyAge)
	}
	b.recordAvailable(a)
	b.notifyIfDue(a.organisation, a)
}

// writeOff sets what counts as granted: what the record states, and what was drawn at most in the eras after it, less what is proven not to have been.
func (a *account) writeOff() {
	g := a.recorded
	if eras := min(a.era-g.Era, maxLostEras); eras > 0 {
		lost := eras * a.paidRisk(g.RiskLimit)
		g.Lost, g.Base = 0, 0
		if eras == 1 {
			g.Lost, g.Base = lost, g.Granted
		}
		g.Granted += lost
		g.WrittenOff += lost
		g.Kept = g.Drawn
	}
	a.settled = false
	if back := min(g.Lost, g.WrittenOff) - max(0, a.proven-g.Base); a.provenEra == a.era && back > 0 {
		g.Granted -= back
		g.WrittenOff -= back
		g.Lost, g.Base, a.settled = 0, 0, true
	}
	a.grants = g
}

// mark adds a mark of the draws. The last mark is replaced until it is an interval after the one before it, so that few marks are kept
// and the newest draws have one even if no record is read after them.
func (a *account) mark(m drawMark, interval time.Duration) {
	n := len(a.marks)
	switch {
	case n > 0 && a.marks[n-1].drawn == m.drawn:
	case n > 1 && a.marks[n-1].at.Sub(a.marks[n-2].at) < interval:
		a.marks[n-1] = m
	default:
		a.marks = append(a.marks, m)
	}
}

// RecordUnknown states that the newest record of a budget, written in the given era, can't be decoded, given the present era of the log. Nothing
// is drawn or returned until a valid record is read.
func (b *Book) RecordUnknown(organisation string, recordEra, era int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(organisation)
	if a.era == era && a.hasRecord && recordEra < a.recordEra {
		return // a record of a later era holds
	}
	a.recordEra, a.era, a.hasRecord, a.unknown = recordEra, era, true, true
}

// paidRisk returns the limit on draws that a restored log may lack, at least the given one.
func (a *account) paidRisk(least int64) int64 {
	if a.paid == table.Unlimited {
		return least
	}
	return max(least, a.paid/riskDivisor)
}

// riskLimit returns the limit on draws beyond those that are kept. It is raised after a top-up once every copy of the
// log contains the top-up, so that who restores the budget knows it.
func (b *Book) riskLimit(a *account) int64 {
	if a.grants.RiskLimit > 0 && b.Now().Sub(a.paidAt) < b.CopyAge {
		return a.grants.RiskLimit
	}
	return a.paidRisk(a.grants.RiskLimit)
}

// kept returns a sum of draws that each copy from which the log may be restored contains: those of records that were
// read at least CopyAge ago.
func (b *Book) kept(a *account) int64 {
	now := b.Now()
	for len(a.marks) > 0 && now.Sub(a.marks[0].at) >= b.CopyAge {
		a.grants.Kept = max(a.grants.Kept, a.marks[0].drawn)
		a.marks = a.marks[1:]
	}
	return a.grants.Kept
}

// drawable returns the tokens that may be drawn from the log now, for requests that resume streams or for others.
func (b *Book) drawable(a *account, resumes bool) int64 {
	if a.unknown {
		return 0
	}
	grantable := max(a.grantable(resumes), 0)
	if !a.restorable {
		return grantable
	}
	if b.witnessing && a.grants.Strict && !b.established {
		return 0 // a restored log may not show that this instance could draw
	}
	return max(0, min(grantable, b.kept(a)+b.riskLimit(a)-a.grants.Drawn))
}

// NextGrants returns the record that adds a draw, or a return if tokens is negative, to those in the log.
func (b *Book) NextGrants(organisation string, tokens int64) Grants {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(organisation)
	g := a.grants
	g.Era = a.era
	g.Granted += tokens
	if a.restorable {
		g.Drawn += max(tokens, 0)
		g.Kept, g.RiskLimit = b.kept(a), b.riskLimit(a)
	}
	if !b.witnessing {
		g.Lost, g.Base, g.Strict = 0, 0, false
	} else if a.restorable && b.makesStrict(a) {
		g.Strict = true
	}
	return g
}

// recordMissing sets what counts as recorded about a budget that has no record in the present era of the log, given the first
// era in which tokens may have been drawn, and since when the log was read in this era. If a record may have been lost in a
// restored log, it is what the book knows from an earlier era. Without that, a record may have been lost in each era since the
// first one; assumed reports that this is so.
func (b *Book) recordMissing(organisation string, era, first int64, since time.Time, restorable bool) (assumed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(organisation)
	var g Grants
	switch {
	case a.unknown: // until a valid record is read
		return false
	case a.hasRecord && a.era == era && (!a.assumed || first <= a.recordEra):
		return a.assumed
	case a.hasRecord && !a.assumed:
		g = a.grants
		g.Era, g.Strict = a.era, false // others may have no memory of it
	case era == 0 || a.configuredAt.Sub(since) >= b.CopyAge: // the organisation is younger than any copy
		g.Era = era
	default:
		g.Era, assumed = max(era-maxLostEras, first), true
	}
	b.setGrants(a, g, era, restorable)
	a.assumed = assumed
	return assumed
}
