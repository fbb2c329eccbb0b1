// Package chaos runs a fleet under bounded load while targets, instances and the
// platform fail at random, and asserts the invariants: service calls run at most once,
// answers are complete and belong to the request, refusals have a valid code and are
// true, budgets are never overspent and each request is billed once.
package chaos

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"cranberryrail/fake/engine"
	"cranberryrail/fake/fleet"
	"cranberryrail/fake/plain"
	"cranberryrail/fake/platf"
	"cranberryrail/io/opts"
)

// Times and sizes of the fleet under test.
const (
	firstToken        = 5 * time.Millisecond
	tokenGap          = 2 * time.Millisecond
	listLag           = 500 * time.Millisecond
	reserveWait       = 300 * time.Millisecond
	claimWait         = time.Second
	dialTimeout       = 200 * time.Millisecond
	firstFrameTimeout = 400 * time.Millisecond
	frameTimeout      = 200 * time.Millisecond
	callTimeout       = 600 * time.Millisecond
	stopTimeout       = 10 * time.Second
	snapshotEvery     = 200
	retention         = 1000
	engineCapacity    = 256
)

// settleTimeout is the time within which an instance must settle once faults and load have ended.
const settleTimeout = 60 * time.Second

// organisations share the fleet. The last one exhausts its budget between top-ups; the others
// have ample budgets.
var organisations = []string{"acme", "bora", "cobalt"}

// Tokens that the organisations pay.
const (
	// paidPlenty is the first top-up of all organisations but the last, paidScarce that of the last.
	paidPlenty = 2_000_000
	paidScarce = 20_000
	// topUpTokens is the size of each further top-up of the last organisation.
	topUpTokens = 5_000
)

// Run is one randomised run. Exported fields are set before Default.
type Run struct {
	// Seed determines the choice of faults and load.
	Seed uint64
	// Duration is the duration of load and faults.
	Duration time.Duration
	// Instances, Engines, Services and Callers are the numbers of each.
	Instances, Engines, Services, Callers int
	// FaultEvery is the mean time between two changes of faults.
	FaultEvery time.Duration
	// Slack is the time that a refusal may take beyond the timeouts of the instances.
	Slack time.Duration
	// Log receives the events of the instances and the changes of faults.
	Log zerolog.Logger

	fleet *fleet.Fleet
	// stops runs the graceful shutdowns. topUps runs the top-ups; Run does not wait for them, because
	// one that was sent to a lost instance ends late.
	stops  errgroup.Group
	topUps errgroup.Group
	cancel context.CancelCauseFunc

	mu            sync.Mutex
	members       []*fleet.Member
	lost          map[string]bool
	engines       []*engine.Server
	services      []*plain.Server
	modelRequests []*modelRequest
	serviceCalls  []*serviceCall
	faults        int
}

// ViolationError reports a violated invariant, with the seed of the run.
type ViolationError struct {
	Seed   uint64
	Detail string
}

// Error implements the error interface.
func (e *ViolationError) Error() string {
	return fmt.Sprintf("invariant violated: %s; repeat with seed %d", e.Detail, e.Seed)
}

// String describes the run.
func (r *Run) String() string {
	return fmt.Sprintf("serving run of %s with seed %d, %d instances, %d engines and %d services", r.Duration, r.Seed, r.Instances, r.Engines, r.Services)
}

// Default fills fields that were left empty.
func (r *Run) Default() {
	setDefault(&r.Instances, 3)
	setDefault(&r.Engines, 4)
	setDefault(&r.Services, 2)
	setDefault(&r.Callers, 16)
	setDefault(&r.Duration, 5*time.Second)
	setDefault(&r.FaultEvery, 250*time.Millisecond)
	setDefault(&r.Slack, 10*time.Second)
	r.lost = map[string]bool{}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Run runs the load under faults and checks the invariants. It returns a *ViolationError
// when one is violated.
func (r *Run) Run(ctx context.Context) error {
	ctx, r.cancel = context.WithCancelCause(ctx)
	defer r.cancel(nil)
	if err := r.start(ctx); err != nil {
		return err
	}
	defer r.fleet.Close()
	load, end := context.WithTimeout(ctx, r.Duration)
	defer end()
	var g errgroup.Group
	g.Go(func() error { return r.injectFaults(load) })
	g.Go(func() error { return r.monitorBalances(load) })
	for i := range r.Callers {
		g.Go(func() error {
			r.runCaller(ctx, load, i)
			return nil
		})
	}
	err := g.Wait()
	r.heal()
	_ = r.stops.Wait()
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	if err != nil {
		return err
	}
	return r.check(ctx)
}

// start starts the fleet, publishes the templates of the organisations and tops up their budgets.
func (r *Run) start(ctx context.Context) error {
	r.fleet = &fleet.Fleet{
		Instances: r.Instances, Engines: r.Engines, Services: r.Services, Capacity: engineCapacity,
		FirstToken: firstToken, TokenGap: tokenGap, ConfigureInstance: shortenTimeouts, Log: r.Log,
		Platform: &platf.Server{Seed: r.Seed, ListLag: listLag, Retention: retention},
	}
	r.fleet.Default()
	if err := r.fleet.Start(ctx); err != nil {
		return fmt.Errorf("start %s: %w", r.fleet, err)
	}
	r.members = append(r.members, r.fleet.Members...)
	r.engines = append(r.engines, r.fleet.EngineServers...)
	r.services = append(r.services, r.fleet.ServiceServers...)
	for i, name := range organisations {
		paid := int64(paidPlenty)
		if i == len(organisations)-1 {
			paid = paidScarce
		}
		if err := r.fleet.Publish(ctx, r.members[0], "publish-"+name, fleet.Template(name)); err != nil {
			return fmt.Errorf("publish %s: %w", name, err)
		}
		if err := r.fleet.TopUp(r.members[0], "first-"+name, name, paid); err != nil {
			return fmt.Errorf("top up %s: %w", name, err)
		}
	}
	return nil
}

// shortenTimeouts sets timeouts that are short enough for a run of a few seconds.
func shortenTimeouts(_ int, s *opts.Settings) {
	s.Target.FirstFrameTimeoutMS = opts.Milliseconds(firstFrameTimeout.Milliseconds())
	s.Target.FrameTimeoutMS = opts.Milliseconds(frameTimeout.Milliseconds())
	s.Target.DialTimeoutMS = opts.Milliseconds(dialTimeout.Milliseconds())
	s.Target.CallTimeoutMS = opts.Milliseconds(callTimeout.Milliseconds())
	s.Target.RetryRatio = 1
	s.Stop.TimeoutMS = opts.Milliseconds(stopTimeout.Milliseconds())
	s.Ledger.ReserveWaitMS = opts.Milliseconds(reserveWait.Milliseconds())
	s.Ledger.SnapshotEvery = snapshotEvery
	s.Once.ClaimWaitMS = opts.Milliseconds(claimWait.Milliseconds())
}

// fail ends the run with a violated invariant; only the first one is reported.
func (r *Run) fail(format string, args ...any) {
	r.cancel(&ViolationError{Seed: r.Seed, Detail: fmt.Sprintf(format, args...)})
}

// newRand returns the random number generator of one part of the run.
func (r *Run) newRand(source uint64) *rand.Rand { return rand.New(rand.NewPCG(r.Seed, source)) }

// activeMembers returns the instances that receive new requests.
func (r *Run) activeMembers() []*fleet.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*fleet.Member{}, r.members...)
}

// recordLost records that an instance may have ended before all its records were written.
func (r *Run) recordLost(m *fleet.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost[m.Incarnation] = true
}

// Report summarises a run that has ended.
type Report struct {
	// Faults counts the changes of faults.
	Faults int `json:"faults"`
	// Requests, Whole and Refused count model requests, those with a complete answer, and refusals
	// of single attempts.
	Requests int `json:"requests"`
	Whole    int `json:"whole"`
	Refused  int `json:"refused"`
	// Calls, Answered and Unknown count service calls, those answered, and those without an answer
	// that may have run.
	Calls    int `json:"calls"`
	Answered int `json:"answered"`
	Unknown  int `json:"unknown"`
	// Instances counts all instances started, and Lost those that were killed or did not stop
	// gracefully.
	Instances int `json:"instances"`
	Lost      int `json:"lost"`
}

// Report returns the summary of the run.
func (r *Run) Report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	rep := Report{Faults: r.faults, Requests: len(r.modelRequests), Calls: len(r.serviceCalls), Lost: len(r.lost), Instances: len(r.fleet.Members)}
	for _, q := range r.modelRequests {
		rep.Refused += q.refused
		if q.complete {
			rep.Whole++
		}
	}
	for _, c := range r.serviceCalls {
		switch {
		case c.answer != "":
			rep.Answered++
		case !c.reportedNotRun:
			rep.Unknown++
		}
	}
	return rep
}
