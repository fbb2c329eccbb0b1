// Package purse keeps prepaid budgets over the platform's log. The newest record of an
// organisation says how many of its tokens have been handed to instances. An instance adds
// to it by a conditional append before it spends, so that all instances together never
// hold more than was paid, whatever clocks, connections and restarts do. What an instance
// held when its process died stays spent.
package purse

import (
	"context"
	"math"
	"sync"
	"time"

	"cranberryrail/core/codes"
	"cranberryrail/core/table"
)

// Defaults of Book.
const (
	// DefaultCover is the time of usual use that is held ready, so that requests are served
	// while the platform is out of reach; outages of some seconds are usual.
	DefaultCover = 6 * time.Second
	// DefaultWait is the longest time that a request waits for tokens: some ten times the
	// usual time of an append, and a part of the time to a first event.
	DefaultWait = 200 * time.Millisecond
	// DrawPart is the largest part of what is left that one draw takes, as a divisor, so that
	// no instance strands much of a budget that is nearly spent.
	DrawPart = 16
	// LowPart is the part of what was paid, as a divisor, below which what is left counts as
	// low, and instances give back what they hold too much.
	LowPart = 12
	// coverSlope is how the cover shrinks with the part of a budget that is left, so that a
	// kill of all instances strands little of a budget that is nearly spent: the full cover is
	// held while two thirds are left.
	coverSlope = 1.5
	// lowCover is the least time of usual use that is held ready.
	lowCover = time.Second
	// QuantumPart is the smallest change of a holding that is worth an append, as a divisor of
	// what was paid, unless a request waits for it.
	QuantumPart = 1024
	// refillPart is the part of the target below which a holding is refilled.
	refillPart = 0.7
	// returnPart is the multiple of the target above which a holding is given back.
	returnPart = 2.0
)

// Times to come back that refusals state.
const (
	// RetryElsewhere is for a budget whose rest other instances hold: they give back what
	// they don't need within about a second.
	RetryElsewhere = 400 * time.Millisecond
	// RetryLog is for a budget whose rest can't be drawn, because the log is out of reach.
	RetryLog = time.Second
	// SettleTime is how long a budget must be too small for a request before it is refused for
	// good: other instances have given back by then what they do not need.
	SettleTime = 2 * time.Second
)

// Grant is the right to spend tokens. It ends with exactly one call of Settle.
type Grant struct {
	Organisation string
	// Tokens is the most that may be spent; 0 for an organisation without a budget.
	Tokens int64
}

// account is the state of one organisation's budget at this instance.
type account struct {
	// paid is what was paid for; table.Unlimited without a budget.
	paid int64
	// granted is what all instances together were handed, as the log has it.
	granted int64
	// free is what this instance may still spend, and reserved what its requests in flight may.
	free, reserved int64
	use            meter
	// need is the largest reservation that waits for tokens; 0 for none.
	need int64
	// short is since when what is left in the log has not covered a reservation; zero when it
	// does.
	short time.Time
	// wake is closed when tokens may have come.
	wake chan struct{}
}

// left returns what the log can still hand out.
func (a *account) left() int64 { return a.paid - a.granted }

// quantum returns the smallest change of the holding that is worth an append.
func (a *account) quantum() int64 { return a.paid / QuantumPart }

// low reports whether little is left.
func (a *account) low() bool { return a.left() < a.paid/LowPart }

// Book holds what this instance may spend of each organisation's budget. Exported fields
// are set before Default; its methods may be called from any goroutine.
type Book struct {
	// Now is the clock; it only steers, no promise depends on it.
	Now func() time.Time
	// Cover is the time of usual use that is held ready.
	Cover time.Duration
	// Wait is the longest time that a request waits for tokens.
	Wait time.Duration
	// Wanted is told that tokens should be drawn or given back; it must not block.
	Wanted func()

	mu       sync.Mutex
	accounts map[string]*account
	// known tells that the state of the log was read, and reached that the log answers.
	known, reached bool
	stopping       bool
}

// String names the book for logs.
func (b *Book) String() string { return "book of prepaid budgets" }

// Default fills fields that were left empty.
func (b *Book) Default() {
	if b.Now == nil {
		b.Now = time.Now
	}
	if b.Cover == 0 {
		b.Cover = DefaultCover
	}
	if b.Wait == 0 {
		b.Wait = DefaultWait
	}
	if b.Wanted == nil {
		b.Wanted = func() {}
	}
	if b.accounts == nil {
		b.accounts = map[string]*account{}
	}
}

func (b *Book) account(organisation string) *account {
	a := b.accounts[organisation]
	if a == nil {
		a = &account{paid: table.Unlimited, wake: make(chan struct{})}
		b.accounts[organisation] = a
	}
	return a
}

// Pay takes what organisations have paid for.
func (b *Book) Pay(organisations []table.Organisation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, o := range organisations {
		a := b.account(o.Name)
		if o.Prepaid != a.paid {
			a.paid = o.Prepaid
			a.short = time.Time{}
			a.awake()
		}
	}
}

// awake lets waiting reservations look again.
func (a *account) awake() {
	close(a.wake)
	a.wake = make(chan struct{})
}

// Reserve takes the most tokens that a request may use. The error is a *codes.Error.
func (b *Book) Reserve(ctx context.Context, organisation string, tokens int64) (Grant, error) {
	deadline := time.NewTimer(b.Wait)
	defer deadline.Stop()
	late := false
	for {
		grant, wake, err := b.take(organisation, tokens, late)
		if err != nil || wake == nil {
			return grant, err
		}
		select {
		case <-wake:
		case <-deadline.C:
			late = true
		case <-ctx.Done():
			late = true
		}
	}
}

// take reserves tokens, or returns a channel that tells when to look again. A late request
// does not wait.
func (b *Book) take(organisation string, tokens int64, late bool) (Grant, <-chan struct{}, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(organisation)
	if a.paid == table.Unlimited {
		return Grant{Organisation: organisation}, nil, nil
	}
	if a.granted <= a.paid && a.free >= tokens {
		a.free -= tokens
		a.reserved += tokens
		a.use.add(tokens, b.Now())
		if float64(a.free) < refillPart*float64(b.target(a)) {
			b.Wanted()
		}
		return Grant{Organisation: organisation, Tokens: tokens}, nil, nil
	}
	if refused := b.refusal(a, tokens, late); refused != nil {
		return Grant{}, nil, refused
	}
	a.need = max(a.need, tokens)
	b.Wanted()
	return Grant{}, a.wake, nil
}

// refusal decides on a reservation that the own holding does not cover; nil lets it wait.
func (b *Book) refusal(a *account, tokens int64, late bool) *codes.Error {
	if b.known && a.free+a.left() < tokens {
		return b.exhausted(a, tokens)
	}
	switch {
	case b.known && b.reached && !late:
		return nil
	case !b.known:
		return codes.Refuse(codes.LedgerStale, RetryLog, "the budgets have not been read yet")
	case !b.reached:
		return codes.Refuse(codes.LogUnavailable, RetryLog, "%d tokens are left, but the log is out of reach", a.left())
	default:
		return codes.Refuse(codes.BudgetElsewhere, RetryElsewhere, "%d tokens are left and could not be drawn in time", a.left())
	}
}

// exhausted refuses a reservation that neither the own holding nor the log covers. It is
// for good once other instances had the time to give back what they do not need.
func (b *Book) exhausted(a *account, tokens int64) *codes.Error {
	now := b.Now()
	if a.short.IsZero() {
		a.short = now
	}
	if b.reached && now.Sub(a.short) >= SettleTime {
		return codes.Refuse(codes.BudgetExhausted, 0, "%d of %d tokens are left, the request may use %d; top up the budget",
			a.free+a.left(), a.paid, tokens)
	}
	return codes.Refuse(codes.BudgetElsewhere, RetryElsewhere,
		"%d of %d tokens are left here, the request may use %d; other instances may hold more", a.free+a.left(), a.paid, tokens)
}

// Settle ends a grant: used tokens are spent and the rest is free again.
func (b *Book) Settle(g Grant, used int64) {
	if g.Tokens == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	used = min(max(used, 0), g.Tokens)
	a := b.account(g.Organisation)
	a.reserved -= g.Tokens
	a.free += g.Tokens - used
	a.use.add(used-g.Tokens, b.Now())
	if used < g.Tokens {
		a.awake()
	}
	if b.surplus(a) > 0 {
		b.Wanted()
	}
}

// target returns the tokens that this instance should hold unspent.
func (b *Book) target(a *account) int64 {
	cover := b.Cover.Seconds() * min(1, coverSlope*float64(max(a.left(), 0))/float64(max(a.paid, 1)))
	want := a.use.rate(b.Now()) * max(cover, lowCover.Seconds())
	return max(0, min(int64(math.Ceil(want)), max(a.left(), 0)/DrawPart+a.free))
}

// surplus returns what this instance should give back.
func (b *Book) surplus(a *account) int64 {
	switch {
	case a.paid == table.Unlimited:
		return 0
	case b.stopping || a.granted > a.paid:
		return a.free
	case !a.low():
		// Others find enough in the log.
		return 0
	}
	keep := b.target(a)
	if float64(a.free) <= returnPart*float64(keep) || a.free-keep < a.quantum() {
		return 0
	}
	return a.free - keep
}

// Draw returns by how much the holding of an organisation should change, in tokens: above
// 0 is to be drawn from the log, below 0 to be given back. What is given back is no longer
// free; it comes back by Undrawn if the log did not take it.
func (b *Book) Draw(organisation string) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(organisation)
	if a.paid == table.Unlimited || !b.known {
		return 0
	}
	if surplus := b.surplus(a); surplus > 0 {
		a.free -= surplus
		return -surplus
	}
	if b.stopping {
		return 0
	}
	left := max(a.left(), 0)
	want := a.need - a.free
	if target := b.target(a); float64(a.free) < refillPart*float64(target) {
		if refill := min(target-a.free, left/DrawPart); refill >= a.quantum() {
			want = max(want, refill)
		}
	}
	if want <= 0 || want > left {
		a.need = 0
		return 0
	}
	return want
}

// Drawn takes the log's word that a change of the holding was recorded.
func (b *Book) Drawn(organisation string, change int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(organisation)
	if change > 0 {
		a.free += change
		a.need = 0
		a.awake()
	}
}

// Undrawn takes the log's word that a change of the holding was not recorded and never
// will be.
func (b *Book) Undrawn(organisation string, change int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if change < 0 {
		a := b.account(organisation)
		a.free -= change
		a.awake()
	}
}

// Granted takes what all instances together were handed, as the log has it.
func (b *Book) Granted(organisation string, granted int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(organisation)
	more := granted < a.granted
	a.granted = granted
	if more {
		a.short = time.Time{}
		a.awake()
	}
	if b.surplus(a) > 0 {
		b.Wanted()
	}
}

// SetKnown tells that the state of the log was read.
func (b *Book) SetKnown() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.known = true
	b.awakeAll()
}

// SetReached tells whether the log answers.
func (b *Book) SetReached(reached bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reached != reached {
		b.reached = reached
		b.awakeAll()
	}
}

func (b *Book) awakeAll() {
	for _, a := range b.accounts {
		a.awake()
	}
}

// SetCover changes the time of usual use that is held ready.
func (b *Book) SetCover(cover time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Cover = cover
}

// Stop makes the book give back all that is free.
func (b *Book) Stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopping = true
}

// Known reports whether the state of the log was read.
func (b *Book) Known() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.known
}

// Balance is one organisation's budget as this instance sees it, in tokens.
type Balance struct {
	Organisation string `json:"organisation"`
	Paid         int64  `json:"paid"`
	// Granted is what all instances were handed.
	Granted int64 `json:"granted"`
	// Free and Reserved are parts of what this instance was handed.
	Free     int64 `json:"free"`
	Reserved int64 `json:"reserved"`
}

// Balance returns the budget of an organisation.
func (b *Book) Balance(organisation string) Balance {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(organisation)
	return Balance{Organisation: organisation, Paid: a.paid, Granted: a.granted, Free: a.free, Reserved: a.reserved}
}

// meter observes use as an exponentially decaying average.
type meter struct {
	perSecond float64
	at        time.Time
}

// meterTime is the time constant of the observed use: long enough to even out single
// requests, and short against the length of a peak.
const meterTime = 4 * time.Second

// add counts tokens; a negative number takes back what was counted too much.
func (m *meter) add(tokens int64, now time.Time) {
	m.decay(now)
	m.perSecond = max(0, m.perSecond+float64(tokens)/meterTime.Seconds())
}

func (m *meter) decay(now time.Time) {
	if d := now.Sub(m.at); d > 0 {
		m.perSecond *= math.Exp(-d.Seconds() / meterTime.Seconds())
		m.at = now
	}
}

// rate returns the average in tokens a second.
func (m *meter) rate(now time.Time) float64 {
	m.decay(now)
	return m.perSecond
}
