package cost

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"cranberryrail/core/roster"
)

// Ages at which a report has little more weight than the mean of earlier ones.
const (
	// loadMemory is about the time that requests stay at a target.
	loadMemory = 6 * time.Second
	// paceMemory is short because the pace of a machine changes many times a second.
	paceMemory = 300 * time.Millisecond
	// targetLoadDecay and serviceLoadDecay are the time constants of the means of reports. Each target reports rarely, but all targets of a service do
	// so many times a second, and a load that rises everywhere must be seen soon.
	targetLoadDecay  = 10 * time.Second
	serviceLoadDecay = 3 * time.Second
)

// maxReported bounds the counts of a report; it is far above what one target can run.
const maxReported = 1 << 16

// reportWeight is the number of reports of a target that the mean of all targets of its service counts as.
const reportWeight = 3

// Wait is what a request meets at a target.
type Wait struct {
	// Tokens is the number of prompt tokens to be read before those of the request, and SlotMS the time until a slot is free, in ms at usual speed.
	Tokens, SlotMS float64
	// Requests is the number of other requests.
	Requests float64
	// LogPace is the logarithm of how long work takes on the machine as a multiple of the usual time.
	LogPace float64
}

// Ledger tracks the work that remains at each target. Exported fields are set before Default.
type Ledger struct {
	// Decay is the time constant with which the means of reports are forgotten.
	Decay time.Duration
	// Now returns the current time.
	Now func() time.Time

	accounts *simplelru.LRU[string, *account]
	services *simplelru.LRU[string, *typical]
	entries  map[int64]*entry
}

// typical is what is usual at the targets of a service: x and y of work are the prompt tokens and the time in ms of a request, those of load the
// logarithm of the pace and the number of requests of other instances.
type typical struct{ work, load moments }

// account is the work at one target.
type account struct {
	service *typical
	own     map[int64]*entry
	slots   int
	// others and logPace are as last reported at reportedAt; means holds the means of both.
	others, logPace float64
	reportedAt      time.Time
	means           moments
}

type entry struct {
	account     *account
	at, readAt  time.Time // readAt is when the target is expected to read the prompt
	begun       bool
	tokens      float64
	prefill, ms float64 // expected times to the first event and to the end, in ms
}

// String returns the name of the ledger for logs.
func (l *Ledger) String() string { return "ledger of the work at targets" }

// Default sets the defaults of empty fields.
func (l *Ledger) Default() {
	if l.Decay == 0 {
		l.Decay = DefaultDecay
	}
	if l.Now == nil {
		l.Now = time.Now
	}
	l.accounts, _ = simplelru.NewLRU[string, *account](maxTargets, nil) // fails only for a size below 1
	l.services, _ = simplelru.NewLRU[string, *typical](maxServices, nil)
	l.entries = map[int64]*entry{}
}

// Begin records a request that is sent to its target, under an id for Began and End.
func (l *Ledger) Begin(id int64, p *Plan, slots int) {
	now, a := l.Now(), l.account(p.Target, p.Request.Service)
	e := &entry{account: a, at: now, readAt: now, tokens: p.Tokens, prefill: p.First, ms: p.Total}
	if p.Wait.SlotMS > 0 {
		e.readAt = now.Add(time.Duration(p.Wait.SlotMS * float64(time.Millisecond)))
	}
	if a.slots == 0 {
		a.slots = slots
	}
	a.service.work.decay(now, l.Decay)
	a.service.work.add(p.Tokens, p.usualWork())
	a.own[id], l.entries[id] = e, e
}

// Began records that the first event of a request has come.
func (l *Ledger) Began(id int64) {
	if e, ok := l.entries[id]; ok && !e.begun {
		e.begun, e.ms, e.at = true, max(e.ms-e.prefill, 0), l.Now()
	}
}

// End records that a request is no longer at its target.
func (l *Ledger) End(id int64) {
	if e, ok := l.entries[id]; ok {
		delete(e.account.own, id)
		delete(l.entries, id)
	}
}

// Report applies the load report of a target.
func (l *Ledger) Report(target, service string, r roster.Load) {
	now, a := l.Now(), l.account(target, service)
	at := now.Add(-time.Duration(min(max(r.AgeMS, 0), int64(maxTimeMS))) * time.Millisecond)
	if at.Before(a.reportedAt) {
		return
	}
	own := 0
	for _, e := range a.own {
		if !e.at.After(at) || e.begun {
			own++
		}
	}
	requests := min(max(r.Running, 0), maxReported) + min(max(r.Waiting, 0), maxReported)
	a.reportedAt, a.others, a.logPace = at, float64(max(requests-own, 0)), 0
	if r.Pace > 0 {
		a.logPace = clampLog(r.Pace)
	}
	if r.Capacity > 0 {
		a.slots = min(r.Capacity, maxReported)
	}
	a.means.decay(now, targetLoadDecay)
	a.means.add(a.logPace, a.others)
	a.service.load.decay(now, serviceLoadDecay)
	a.service.load.add(a.logPace, a.others)
}

// Forget drops what was reported of a target after a restart. Requests in flight stay until End.
func (l *Ledger) Forget(target string) { l.accounts.Remove(target) }

// Wait returns what a request meets at a target, given the usual time of a prompt token in ms.
func (l *Ledger) Wait(target string, perToken float64) Wait {
	a, known := l.accounts.Get(target)
	if !known {
		return Wait{}
	}
	now := l.Now()
	a.means.decay(now, targetLoadDecay)
	a.service.load.decay(now, serviceLoadDecay)
	a.service.work.decay(now, l.Decay)
	w := Wait{LogPace: 0, Requests: float64(len(a.own))}
	others, tokens, ms := a.othersNow(now, &w)
	w.Requests += others
	reading := 0.0
	if ms > 0 {
		reading = min(perToken*tokens/ms, 1) / 2 // The share of requests that are being read, which are half read.
	}
	w.Tokens = a.ownTokens(now, perToken) + reading*others*tokens
	if slots := float64(a.slots); slots > 0 {
		deviation := math.Sqrt(1 + others*(1-math.Exp(-2*max(now.Sub(a.reportedAt), 0).Seconds()/loadMemory.Seconds())))
		w.SlotMS = excess(w.Requests-slots+1, deviation) * ms / slots
		if w.Requests >= slots {
			w.Requests, w.Tokens = slots, reading*slots*tokens // Those that wait are read while this one waits.
		}
	}
	return w
}

// excess returns the mean of the positive part of a normal distribution. The number of requests is known the less the older the report is, and a wait
// is likely before the expected number reaches that of the slots.
func excess(mean, deviation float64) float64 {
	z := mean / deviation
	return mean*math.Erfc(-z/math.Sqrt2)/2 + deviation*math.Exp(-z*z/2)/math.Sqrt(2*math.Pi)
}

// othersNow returns the expected number of requests of other instances, and the usual prompt tokens and time of a request. It sets the pace.
func (a *account) othersNow(now time.Time, w *Wait) (others, tokens, ms float64) {
	allPace, allOthers := a.service.load.means(1, 0, 0)
	meanPace, meanOthers := a.means.means(reportWeight, allPace, allOthers)
	age := max(now.Sub(a.reportedAt), 0).Seconds()
	w.LogPace = meanPace + (a.logPace-meanPace)*math.Exp(-age/paceMemory.Seconds())
	others = meanOthers + (a.others-meanOthers)*math.Exp(-age/loadMemory.Seconds())
	tokens, ms = a.service.work.means(1, 0, 0)
	return others, tokens, ms
}

// ownTokens returns the prompt tokens of this instance's requests that the target has not read yet. Prompts are read one after the other.
func (a *account) ownTokens(now time.Time, perToken float64) float64 {
	tokens, oldest := 0.0, now
	for _, e := range a.own {
		if e.begun {
			continue
		}
		tokens += e.tokens
		if e.readAt.Before(oldest) {
			oldest = e.readAt
		}
	}
	if perToken > 0 {
		tokens -= float64(now.Sub(oldest).Milliseconds()) / perToken
	}
	return max(tokens, 0)
}

// Remaining returns the work that remains of this instance's requests at a target, in ms.
func (l *Ledger) Remaining(target string) float64 {
	a, known := l.accounts.Peek(target)
	if !known {
		return 0
	}
	total := 0.0
	for _, e := range a.own {
		total += max(e.ms-float64(l.Now().Sub(e.at).Milliseconds()), 0)
	}
	return total
}

func (l *Ledger) account(target, service string) *account {
	if a, known := l.accounts.Get(target); known {
		return a
	}
	s, known := l.services.Get(service)
	if !known {
		s = &typical{}
		l.services.Add(service, s)
	}
	a := &account{service: s, own: map[int64]*entry{}}
	l.accounts.Add(target, a)
	return a
}
