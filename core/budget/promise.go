package budget

import (
	"time"

	"cranberryrail/core/table"
)

// Timing of promises, on the machine's clock.
const (
	// promiseDuration is how long a promise binds. A killed process is restarted within about two
	// seconds, in time to take over what was promised. During an outage of the log, the
	// promised tokens can't be spent for this long.
	promiseDuration = 2500 * time.Millisecond
	// minPromiseInterval is the minimum time between two promises of an instance. The interval
	// grows by promiseIntervalPerInstance for each instance, so that all instances together
	// append one promise every promiseIntervalPerInstance.
	minPromiseInterval         = 300 * time.Millisecond
	promiseIntervalPerInstance = 15 * time.Millisecond
	// unpromisedCover is the duration of usual usage that an instance of a small fleet leaves unpromised. A kill
	// strands these tokens. In a larger one it grows with the instances for each holder, since few instances serve a budget and an outage
	// of the log affects all of them at once, up to the time from when a promise is made until it no longer binds.
	unpromisedCover = time.Second
	// unpromisedDivisor limits the usage that is left unpromised to a fraction of a holding, as a divisor, so that kills in
	// series strand at most this fraction of what is held each time, however much an organisation sends.
	unpromisedDivisor = 2
	// unpromisedRequests is the number of requests of mean size that are left unpromised at least. In a large
	// fleet, whose holdings cover few requests, nothing is promised, and no request waits for promised tokens.
	unpromisedRequests = 2
)

// maxPromisedOrganisations is the maximum number of organisations in one promise. With names of
// usual length they fit into one record of the log.
const maxPromisedOrganisations = 2048

// Promise is a commitment of a process not to spend tokens of its holding before a time on the
// machine's clock. It is recorded in the log. A later process of the instance that started before
// that time, on the same boot of the machine, can take the tokens over, since they were never spent.
type Promise struct {
	// Until is when the promise expires, on the machine's clock.
	Until time.Duration
	// Tokens holds the promised tokens by organisation.
	Tokens map[string]int64
}

// promised returns the tokens of an account that must not be spent now.
func (b *Book) promised(a *account) int64 {
	var highest int64
	for _, p := range b.promises {
		if tokens := p.Tokens[a.organisation]; tokens > highest && b.Uptime() < p.Until {
			highest = tokens
		}
	}
	return highest
}

// spendable returns the tokens of an account that may be spent now.
func (b *Book) spendable(a *account) int64 { return max(0, a.unreserved-b.promised(a)) }

// promiseInterval returns the time between two promises of an instance. It grows with the number of instances, so
// that together they make at most about sixty calls per second.
func promiseInterval(instances int64) time.Duration {
	return max(minPromiseInterval, time.Duration(instances)*promiseIntervalPerInstance)
}

// promisable returns the tokens of an account to promise: the holding beyond the usage that is left unpromised, except
// tokens that are to be returned.
func (b *Book) promisable(a *account) int64 {
	if a.paid == table.Unlimited || b.stopping || a.overgranted() {
		return 0
	}
	cover := unpromisedCover
	if interval := promiseInterval(b.instanceCount); interval > promiseDuration {
		return 0 // a kill would strand most tokens all the same
	} else if b.instanceCount > MaxHolders {
		cover = min(interval+promiseDuration, unpromisedCover*time.Duration(b.instanceCount)/MaxHolders)
	}
	usage := min(int64(a.usage.rate(b.Now())*cover.Seconds()), a.unreserved/unpromisedDivisor)
	unpromised := max(a.demand(), usage, int64(unpromisedRequests*a.requestSize))
	return max(0, min(a.unreserved-unpromised, b.target(a)))
}

// NewPromise returns a promise that is in force from now on, in addition to the one recorded in the log.
// It includes the inherited tokens of an earlier process and, unless probe is set, the promisable
// tokens of this process where they exceed the smallest adjustment. The promise writer sets probe
// while the log is unreachable: the append then only tests whether the log accepts writes again, and
// leaves the tokens spendable.
func (b *Book) NewPromise(recorded *Promise, inherited map[string]int64, probe bool) *Promise {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := &Promise{Until: b.Uptime() + promiseDuration, Tokens: map[string]int64{}}
	if !probe && b.loaded {
		for _, a := range b.accounts {
			if tokens := b.promisable(a); tokens > a.quantum(b.target(a)) && len(p.Tokens) < maxPromisedOrganisations {
				p.Tokens[a.organisation] = tokens
			}
		}
	}
	for organisation, tokens := range inherited {
		p.Tokens[organisation] += tokens
	}
	b.promises = []*Promise{recorded, p}
	return p
}

// promisesExpired reports whether no promise binds any more.
func (b *Book) promisesExpired() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.promises {
		if len(p.Tokens) > 0 && b.Uptime() < p.Until {
			return false
		}
	}
	return true
}

// ResetPromises drops all promises except the one recorded in the log.
func (b *Book) ResetPromises(recorded *Promise) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.promises = []*Promise{recorded}
	b.serveAllWaiters()
}

// TakeOver adds tokens that an earlier process of this instance held and certainly did not spend.
func (b *Book) TakeOver(tokens map[string]int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for organisation, n := range tokens {
		a := b.account(organisation)
		a.unreserved += n
		b.serveWaiters(a)
		b.notifyIfDue(organisation, a)
	}
}
