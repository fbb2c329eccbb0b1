// Package loads plays load patterns against the real decisions about prepaid budgets: many instances that share a fake
// log with the latency and the limits of the platform's. It uses no network. Its time is that of package time, so that
// a test can run it in virtual time with testing/synctest.
package loads

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"cranberryrail/core/budget"
	"cranberryrail/core/pause"
	"cranberryrail/core/table"
	"cranberryrail/fake/memlog"
)

// Window is a span of time from the start of the load.
type Window struct {
	From, To time.Duration
}

// contains reports whether the window contains a time.
func (w Window) contains(at time.Duration) bool { return at >= w.From && at < w.To }

// Pattern is a load on the prepaid budgets of a fleet. The usage of the organisations falls with their rank.
type Pattern struct {
	// Name names the load that the pattern models.
	Name string
	// Instances is the size of the fleet, and Partitions the number of partitions of the budgets' topic.
	Instances, Partitions int
	// Organisations is the number of organisations, and PaidFor how long the usual usage of each lasts.
	Organisations int
	PaidFor       time.Duration
	// RequestsPerSecond is the number of requests of all organisations, and Tokens the mean tokens of one.
	RequestsPerSecond, Tokens float64
	// Length is the duration of the load. The instances start Lead before it.
	Lead, Length time.Duration
	// Settling is the time from the start of the load after which calls are counted. Before, the holdings grow to the
	// usage.
	Settling time.Duration
	// Parted are the times at which instances do not reach the log: PartedShare of them, or all if it is 0.
	Parted      []Window
	PartedShare float64
	// PeersParted is set if instances do not reach each other while they do not reach the log.
	PeersParted bool
	// Seed seeds the random requests.
	Seed uint64
}

// Report is the outcome of a pattern.
type Report struct {
	// Requests is the number of requests, and Refused how many were refused. RefusedParted counts both for the
	// times at which the instances did not reach the log.
	Requests, Refused             int
	RequestsParted, RefusedParted int
	// Calls is the number of calls to the log after Settling, Appends how many were appends, and Conflicts how many
	// of these lost against another one. TooMany is the number of calls that exceeded the limits of the log.
	Calls, Appends, Conflicts, TooMany int
	// Spent, Granted and Paid are tokens of all organisations.
	Spent, Granted, Paid int64
	// Idle is the highest sum, seen once a second, of the tokens that instances other than the holders of their budgets
	// held without a request for them.
	Idle int64
}

// String returns the figures of the report.
func (r Report) String() string {
	return fmt.Sprintf("%d of %d requests refused, %d of %d of them while parted; %d calls, %d appends, %d conflicts, %d too many; %d spent of %d granted of %d, %d idle",
		r.Refused, r.Requests, r.RefusedParted, r.RequestsParted, r.Calls, r.Appends, r.Conflicts, r.TooMany, r.Spent, r.Granted, r.Paid, r.Idle)
}

// Properties of the load.
const (
	// waitLimit is how long a request waits for tokens: an eighth of the usual objectives.
	waitLimit = 75 * time.Millisecond
	// unrunDivisor is the reciprocal of the share of requests that spend nothing, because no target ran them. The others
	// spend all but a share of unusedDivisor, since a response is shorter than the request permits.
	unrunDivisor  = 20
	unusedDivisor = 32
	// idleInterval is the time between two sums of idle tokens.
	idleInterval = time.Second
	// serviceTime is the time from the reservation of a request to its settlement.
	serviceTime = time.Second
	// sizeSpread is the standard deviation of the logarithm of a request's tokens.
	sizeSpread = 0.8
	// rankExponent is the exponent of the power law of the usage by rank.
	rankExponent = 0.7
	// peerDelay is the duration of a call between instances.
	peerDelay = time.Millisecond
)

// fleet is the state of a running pattern.
type fleet struct {
	Pattern
	log     *memlog.Server
	store   *store
	members []*member
	weights []float64
	random  *rand.Rand
	start   time.Time

	mu     sync.Mutex
	report Report
}

// member is one instance.
type member struct {
	number int
	book   *budget.Book
	syncer *budget.Syncer
	lender *budget.Borrower
}

// Run plays a pattern and returns its report.
func Run(ctx context.Context, p Pattern) (Report, error) {
	f := &fleet{Pattern: p, log: &memlog.Server{}, random: rand.New(rand.NewPCG(p.Seed, 0)), start: time.Now().Add(p.Lead)}
	f.store = &store{fleet: f, next: map[string]time.Time{}}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var instances, requests errgroup.Group
	organisations := f.organisations()
	for i := range p.Instances {
		m := f.newMember(i)
		m.syncer.SetOrganisations(organisations)
		f.members = append(f.members, m)
	}
	for _, m := range f.members {
		instances.Go(func() error { return m.syncer.Run(ctx) })
		instances.Go(func() error { return m.lender.Run(ctx) })
	}
	instances.Go(func() error {
		f.measureIdle(ctx, organisations)
		return nil
	})
	f.load(ctx, &requests)
	_ = requests.Wait() // requests return no errors
	cancel()
	if err := instances.Wait(); err != nil {
		return Report{}, fmt.Errorf("run an instance: %w", err)
	}
	f.sumBudgets(organisations)
	return f.report, nil
}

// organisations returns the organisations with budgets in proportion to their usage.
func (f *fleet) organisations() []table.Organisation {
	total := 0.0
	for i := range f.Organisations {
		f.weights = append(f.weights, math.Pow(float64(i+1), -rankExponent))
		total += f.weights[i]
	}
	organisations := make([]table.Organisation, 0, f.Organisations)
	for i := range f.Organisations {
		f.weights[i] /= total
		paid := int64(f.weights[i] * f.RequestsPerSecond * f.Tokens * f.PaidFor.Seconds())
		organisations = append(organisations, table.Organisation{Name: fmt.Sprintf("o%d", i), Prepaid: paid})
	}
	return organisations
}

func (f *fleet) newMember(i int) *member {
	m := &member{number: i, book: &budget.Book{MaxWait: waitLimit}}
	id := fmt.Sprintf("i-%d", i)
	m.syncer = &budget.Syncer{
		Log: f.store.log(i), Topic: "keyed.budgets", Shards: f.Partitions, Instance: id, Incarnation: id + "#1", PeerAddr: id, Book: m.book,
		PromiseTopic: "keyed.promises", PromiseParts: f.Partitions, Boot: "boot",
	}
	m.syncer.Default()
	m.lender = &budget.Borrower{Book: m.book, Lenders: m.syncer.Lenders, Ask: f.ask, Repay: f.repay}
	m.lender.Default()
	return m
}

// ask is a call of one instance to another one for tokens.
func (f *fleet) ask(ctx context.Context, addr, organisation string, tokens, least int64) (int64, error) {
	m, err := f.call(ctx, addr)
	if err != nil {
		return 0, err
	}
	return m.book.Lend(ctx, organisation, tokens, least), nil
}

// repay is a call of one instance to another one that transfers tokens.
func (f *fleet) repay(ctx context.Context, addr, organisation string, tokens int64) error {
	m, err := f.call(ctx, addr)
	if err != nil {
		return err
	}
	return m.book.AcceptRepayment(organisation, tokens)
}

// call returns the instance with an address after the duration of a call to it.
func (f *fleet) call(ctx context.Context, addr string) (*member, error) {
	var i int
	if _, err := fmt.Sscanf(addr, "i-%d", &i); err != nil {
		return nil, fmt.Errorf("parse address %q: %w", addr, err)
	}
	if f.PeersParted && f.parted(i) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(peerDelay)
	return f.members[i], nil
}

// parted reports whether an instance does not reach the log now.
func (f *fleet) parted(instance int) bool {
	if f.PartedShare > 0 && float64(instance) >= f.PartedShare*float64(f.Instances) {
		return false
	}
	at := time.Since(f.start)
	for _, w := range f.Parted {
		if w.contains(at) {
			return true
		}
	}
	return false
}

// load starts requests at random times until the end of the load.
func (f *fleet) load(ctx context.Context, g *errgroup.Group) {
	time.Sleep(time.Until(f.start))
	g.Go(func() error {
		time.Sleep(f.Settling)
		f.resetCalls()
		return nil
	})
	for time.Since(f.start) < f.Length {
		time.Sleep(time.Duration(f.random.ExpFloat64() / f.RequestsPerSecond * float64(time.Second)))
		m, organisation := f.members[f.random.IntN(len(f.members))], f.drawOrganisation()
		tokens := int64(max(1, f.Tokens*math.Exp(sizeSpread*f.random.NormFloat64()-sizeSpread*sizeSpread/2)))
		g.Go(func() error {
			f.request(ctx, m, organisation, tokens)
			return nil
		})
	}
}

// resetCalls forgets the calls so far.
func (f *fleet) resetCalls() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.report.Calls, f.report.Appends, f.report.Conflicts, f.report.TooMany = 0, 0, 0, 0
}

// drawOrganisation returns an organisation at random by its weight.
func (f *fleet) drawOrganisation() string {
	n := f.random.Float64()
	for i, weight := range f.weights {
		if n -= weight; n < 0 {
			return fmt.Sprintf("o%d", i)
		}
	}
	return "o0"
}

// request reserves the tokens of one request and spends them.
func (f *fleet) request(ctx context.Context, m *member, organisation string, tokens int64) {
	parted := f.parted(m.number)
	r, err := m.book.Reserve(ctx, organisation, tokens)
	spent := r.Tokens - r.Tokens/unusedDivisor
	if tokens%unrunDivisor == 0 {
		spent = 0
	}
	f.countRequest(parted, err != nil, spent)
	if err == nil {
		time.Sleep(serviceTime)
		m.book.Settle(r, spent)
	}
}

// measureIdle records the highest sum of idle tokens until the context ends.
func (f *fleet) measureIdle(ctx context.Context, organisations []table.Organisation) {
	for pause.For(ctx, idleInterval); ctx.Err() == nil; pause.For(ctx, idleInterval) {
		idle := int64(0)
		for _, o := range organisations {
			for _, m := range f.members {
				if !m.book.IsHolder(o.Name) {
					idle += m.book.Balance(o.Name).Free
				}
			}
		}
		f.mu.Lock()
		f.report.Idle = max(f.report.Idle, idle)
		f.mu.Unlock()
	}
}

func (f *fleet) countRequest(parted, refused bool, spent int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.report.Requests++
	f.report.Spent += spent
	if parted {
		f.report.RequestsParted++
	}
	if refused {
		f.report.Refused++
	}
	if refused && parted {
		f.report.RefusedParted++
	}
}

// sumBudgets adds up what was paid and granted.
func (f *fleet) sumBudgets(organisations []table.Organisation) {
	for _, o := range organisations {
		f.report.Paid += o.Prepaid
		granted := int64(0)
		for _, m := range f.members {
			granted = max(granted, m.book.Balance(o.Name).Granted)
		}
		f.report.Granted += granted
	}
}
