// Package purse keeps prepaid budgets over the platform's log. The newest record of an
// organisation says how many of its tokens have been handed to instances. An instance adds
// to it by a conditional append before it spends, so that all instances together never
// hold more than was paid, whatever clocks, connections and restarts do. Of what a process
// held when it was killed, its successor takes over what it had promised not to spend yet;
// the rest stays spent.
package purse

import (
	"context"
	"slices"
	"sync"
	"time"

	"cranberryrail/core/codes"
	"cranberryrail/core/table"
)

// Defaults of Book.
const (
	// DefaultCover is the time of usual use that is held ready, so that requests are served
	// while the platform is out of reach; outages of some seconds are usual.
	DefaultCover = 12 * time.Second
	// DefaultWait is the longest time that a request waits for tokens: some ten times the
	// usual time of an append.
	DefaultWait = 200 * time.Millisecond
)

// Times to come back that refusals state.
const (
	// RetryElsewhere is for a budget whose rest other instances hold: they give back what they
	// don't need within about as long.
	RetryElsewhere = 800 * time.Millisecond
	// RetryLog is for a budget whose rest can't be drawn, because the log is out of reach of
	// this instance or slow; another one may hold tokens.
	RetryLog = 50 * time.Millisecond
	// SettleTime is how long at least a budget must be too small for a request before it is
	// refused for good: some times the time in which other instances give back what they do not
	// need.
	SettleTime = time.Second
)

// Grant is the right to spend tokens. It ends with exactly one call of Settle.
type Grant struct {
	Organisation string
	// Tokens is the most that may be spent; 0 for an organisation without a budget.
	Tokens int64
}

// account is the state of one organisation's budget at this instance.
type account struct {
	organisation string
	// paid is what was paid for; table.Unlimited without a budget.
	paid int64
	// granted is what all instances together were handed, as the log has it.
	granted int64
	// free is what this instance may still spend, and reserved what its requests in flight may.
	free, reserved int64
	use            meter
	// waiting are the reservations that wait for tokens, in the order in which they came.
	waiting []*waiter
	// seen is the most that could be reserved at once of late.
	seen peak
}

// waiter is a reservation that waits for tokens.
type waiter struct {
	tokens int64
	// decided is closed once err is set.
	decided chan struct{}
	err     error
}

// Book holds what this instance may spend of each organisation's budget. Exported fields
// are set before Default; its methods may be called from any goroutine.
type Book struct {
	// Now is the clock of the process; it only steers.
	Now func() time.Time
	// Cover is the time of usual use that is held ready.
	Cover time.Duration
	// Wait is the longest time that a request waits for tokens.
	Wait time.Duration
	// Wanted is told that tokens of an organisation should be drawn or given back, and whether a
	// request waits for them; it must not block.
	Wanted func(organisation string, urgent bool)
	// Outdated is told that a request is refused by what was read of the log before; it must not
	// block.
	Outdated func(organisation string)
	// Promised is told that a request waits for tokens that are promised; it must not block.
	Promised func()
	// Reached reports whether the log answers for an organisation's budget; it must not block.
	Reached func(organisation string) bool
	// Uptime is the machine's clock, which all its processes have in common.
	Uptime func() time.Duration

	mu       sync.Mutex
	accounts map[string]*account
	// instances is the number of instances that share the budgets; 0 while it is not known.
	instances int64
	// known tells that the state of the log was read.
	known    bool
	stopping bool
	// promises are those that a record of the log may hold.
	promises []*Promise
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
		b.Wanted = func(string, bool) {}
	}
	if b.Outdated == nil {
		b.Outdated = func(string) {}
	}
	if b.Promised == nil {
		b.Promised = func() {}
	}
	if b.Uptime == nil {
		start := time.Now()
		b.Uptime = func() time.Duration { return time.Since(start) }
	}
	if b.Reached == nil {
		b.Reached = func(string) bool { return true }
	}
	if b.accounts == nil {
		b.accounts = map[string]*account{}
	}
}

func (b *Book) account(organisation string) *account {
	a := b.accounts[organisation]
	if a == nil {
		a = &account{organisation: organisation, paid: table.Unlimited}
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
			b.see(a)
			b.serve(a)
		}
	}
}

// Reserve takes the most tokens that a request may use. The error is a *codes.Error.
func (b *Book) Reserve(ctx context.Context, organisation string, tokens int64) (Grant, error) {
	g := Grant{Organisation: organisation, Tokens: tokens}
	w, err := b.reserve(organisation, tokens)
	if err != nil {
		return Grant{}, err
	}
	if w == nil {
		return b.unlimited(g), nil
	}
	ctx, cancel := context.WithTimeout(ctx, b.Wait)
	defer cancel()
	select {
	case <-w.decided:
	case <-ctx.Done():
		b.leave(organisation, w)
	}
	if w.err != nil {
		return Grant{}, w.err
	}
	return g, nil
}

// unlimited returns a grant as it is for an organisation without a budget.
func (b *Book) unlimited(g Grant) Grant {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.account(g.Organisation).paid == table.Unlimited {
		g.Tokens = 0
	}
	return g
}

// reserve takes tokens, refuses, or returns a waiter.
func (b *Book) reserve(organisation string, tokens int64) (*waiter, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(organisation)
	if a.paid == table.Unlimited {
		return nil, nil
	}
	a.use.add(tokens, b.Now())
	if len(a.waiting) == 0 && b.take(a, tokens) {
		b.want(organisation, a)
		return nil, nil
	}
	if refused := b.refusal(a, tokens); refused != nil {
		return nil, refused
	}
	w := &waiter{tokens: tokens, decided: make(chan struct{})}
	a.waiting = append(a.waiting, w)
	if a.need() <= a.free {
		b.Promised()
	} else {
		b.Wanted(organisation, true)
	}
	return w, nil
}

// take reserves tokens of the own holding, if it covers them.
func (b *Book) take(a *account, tokens int64) bool {
	if a.granted > a.paid || b.usable(a) < tokens {
		return false
	}
	a.free -= tokens
	a.reserved += tokens
	return true
}

// need returns the tokens that reservations wait for.
func (a *account) need() int64 {
	var sum int64
	for _, w := range a.waiting {
		sum += w.tokens
	}
	return sum
}

// serve decides on the reservations that wait, in order, as far as that can be done.
func (b *Book) serve(a *account) {
	for len(a.waiting) > 0 {
		w := a.waiting[0]
		if !b.take(a, w.tokens) {
			refused := b.refusal(a, w.tokens)
			if refused == nil {
				return
			}
			w.err = refused
		}
		a.waiting = a.waiting[1:]
		close(w.decided)
	}
}

// leave ends the wait of a reservation whose time is over. One that was decided meanwhile
// stays as it was decided.
func (b *Book) leave(organisation string, w *waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(organisation)
	i := slices.Index(a.waiting, w)
	if i < 0 {
		return
	}
	a.waiting = slices.Delete(a.waiting, i, i+1)
	w.err = codes.Refuse(codes.BudgetElsewhere, RetryLog, "%d tokens are left and could not be drawn in time", a.left())
	b.serve(a)
}

// refusal decides on a reservation that the own holding does not cover; nil lets it wait.
func (b *Book) refusal(a *account, tokens int64) *codes.Error {
	if b.known && a.free+a.left() < tokens {
		return b.exhausted(a, tokens)
	}
	switch {
	case !b.known:
		return codes.Refuse(codes.LedgerStale, RetryLog, "the budgets have not been read yet")
	case !b.Reached(a.organisation):
		return codes.Refuse(codes.LogUnavailable, RetryLog, "%d tokens are left, but the log is out of reach", a.left())
	default:
		return nil
	}
}

// see notes what could be reserved at once.
func (b *Book) see(a *account) { a.seen.add(a.free+a.left(), b.Now()) }

// exhausted refuses a reservation that neither the own holding nor the log covers. It is
// for good if that was so for SettleTime: other instances had the time to give back what
// they do not need.
func (b *Book) exhausted(a *account, tokens int64) *codes.Error {
	b.Outdated(a.organisation)
	if b.Reached(a.organisation) && tokens > a.seen.most(b.Now()) {
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
	b.see(a)
	b.serve(a)
	b.want(g.Organisation, a)
}

// want tells that the holding should change, if it should.
func (b *Book) want(organisation string, a *account) {
	if b.change(a) != 0 {
		b.Wanted(organisation, false)
	}
}

// SetInstances tells how many instances share the budgets.
func (b *Book) SetInstances(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances = int64(n)
}

// Instances returns how many instances share the budgets; 0 while it is not known.
func (b *Book) Instances() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.instances
}

// Draw returns by how much the holding of an organisation should change, in tokens: above
// 0 is to be drawn from the log, below 0 to be given back. What is given back is no longer
// free; it comes back by Undrawn if the log did not take it.
func (b *Book) Draw(organisation string) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(organisation)
	change := b.change(a)
	if change < 0 {
		a.free += change
	}
	return change
}

// Due reports whether the holding of an organisation should change.
func (b *Book) Due(organisation string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.change(b.account(organisation)) != 0
}

// Drawn takes the log's word that a change of the holding was recorded.
func (b *Book) Drawn(organisation string, change int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(organisation)
	if change > 0 {
		a.free += change
		b.see(a)
		b.serve(a)
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
		b.serve(a)
	}
}

// Granted takes what all instances together were handed, as the log has it. The
// reservations that wait are decided on by Decide, once it is known what was drawn for them.
func (b *Book) Granted(organisation string, granted int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(organisation)
	a.granted = granted
	b.see(a)
	b.want(organisation, a)
}

// SetKnown tells that the state of the log was read.
func (b *Book) SetKnown() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.known = true
	for _, a := range b.accounts {
		a.seen.add(a.paid, b.Now()) // what others hold was not seen yet
	}
	b.serveAll()
}

// Decide decides again on the reservations that wait for tokens of an organisation.
func (b *Book) Decide(organisation string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a := b.accounts[organisation]; a != nil {
		b.serve(a)
	}
}

// Retry decides again on all reservations that wait.
func (b *Book) Retry() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.serveAll()
}

func (b *Book) serveAll() {
	for _, a := range b.accounts {
		b.serve(a)
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
