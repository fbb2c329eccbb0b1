package purse

import (
	"time"

	"cranberryrail/core/table"
)

// Times of promises. Both are on the machine's clock.
const (
	// promiseTime is how long after it was made a promise binds. A process that is killed is
	// started again within about two seconds; what it had promised is taken over then. When
	// the log is lost, nothing but what is usable is spent for as long.
	promiseTime = 2500 * time.Millisecond
	// promiseEvery is the least time between two promises, and promiseShare the part of each
	// instance in the time between two of one instance: all together append one in that time.
	promiseEvery = 300 * time.Millisecond
	promiseShare = 15 * time.Millisecond
	// usableCover is the time of usual use that is not promised. A kill strands it; more of it
	// did not serve more when the log was lost.
	usableCover = time.Second
)

// mostPromised is the number of organisations in one promise: one record of the log holds
// them with names of usual length.
const mostPromised = 2048

// Promise is tokens that a process holds and does not spend before a time on the machine's
// clock. It stands in the log, so that a later process of the instance that started before that
// time, on the same boot of the machine, knows that they were never spent.
type Promise struct {
	// Until is when the promise ends, on the machine's clock.
	Until time.Duration
	// Tokens is by organisation.
	Tokens map[string]int64
}

// promised returns the tokens of an account that may not be spent now.
func (b *Book) promised(a *account) int64 {
	var most int64
	for _, p := range b.promises {
		if tokens := p.Tokens[a.organisation]; tokens > most && b.Uptime() < p.Until {
			most = tokens
		}
	}
	return most
}

// usable returns the tokens of an account that may be spent now.
func (b *Book) usable(a *account) int64 { return max(0, a.free-b.promised(a)) }

// promisable returns the tokens of an account that are to be promised: what is held beyond
// the use of usableCover, but nothing that is to be given back.
func (b *Book) promisable(a *account) int64 {
	if a.paid == table.Unlimited || b.stopping || a.granted > a.paid {
		return 0
	}
	usable := max(a.need(), int64(a.use.rate(b.Now())*usableCover.Seconds()))
	return max(0, min(a.free-usable, b.target(a)))
}

// Promise makes a promise that binds from now on, beside the one that the log holds. It has
// what an earlier process promised and, unless probe is set, what this one holds.
func (b *Book) Promise(kept *Promise, inherited map[string]int64, probe bool) *Promise {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := &Promise{Until: b.Uptime() + promiseTime, Tokens: map[string]int64{}}
	if !probe && b.known {
		for _, a := range b.accounts {
			if tokens := b.promisable(a); tokens > a.quantum() && len(p.Tokens) < mostPromised {
				p.Tokens[a.organisation] = tokens
			}
		}
	}
	for organisation, tokens := range inherited {
		p.Tokens[organisation] += tokens
	}
	b.promises = []*Promise{kept, p}
	return p
}

// unbound reports whether no promise binds.
func (b *Book) unbound() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.promises {
		if len(p.Tokens) > 0 && b.Uptime() < p.Until {
			return false
		}
	}
	return true
}

// Bound tells that no other promise binds than the one that the log holds.
func (b *Book) Bound(kept *Promise) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.promises = []*Promise{kept}
	b.serveAll()
}

// TakeOver adds tokens that an earlier process of this instance held and certainly never
// spent.
func (b *Book) TakeOver(tokens map[string]int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for organisation, n := range tokens {
		a := b.account(organisation)
		a.free += n
		b.serve(a)
		b.want(organisation, a)
	}
}
