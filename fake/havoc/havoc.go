// Package havoc runs a fleet under bounded load while targets, instances and the
// platform fail at random, and asserts what must always hold: service calls run at
// most once, answers are whole and the caller's own, refusals are numbered and true,
// budgets are never overspent and each request is billed once.
package havoc

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

// settleTimeout bounds the wait for records once faults and load have ended.
const settleTimeout = 60 * time.Second

// organisations share the fleet; the first has plenty, the last runs out between top-ups.
var organisations = []string{"acme", "bora", "cobalt"}

// Tokens that the organisations pay.
const (
	paidFirst  = 2_000_000
	paidLittle = 20_000
	paidMore   = 5_000
)

// Run is one randomised run. Exported fields are set before Run.
type Run struct {
	// Seed fixes the choices of faults and load.
	Seed uint64
	// For is how long load and faults last.
	For time.Duration
	// Instances, Engines, Services and Callers are how many of each take part.
	Instances, Engines, Services, Callers int
	// FaultEvery is the mean time between two changes of faults.
	FaultEvery time.Duration
	// Slack is what a refusal may take beyond the time-outs of the instances.
	Slack time.Duration
	// Log takes the events of the instances and the changes of faults.
	Log zerolog.Logger

	fleet *fleet.Fleet
	// stops holds planned stops; topUps are not waited for, because one that a lost instance
	// was asked for ends late.
	stops  errgroup.Group
	topUps errgroup.Group
	fail   context.CancelCauseFunc

	mu        sync.Mutex
	members   []*fleet.Member
	lost      map[string]bool
	engines   []*engine.Server
	services  []*plain.Server
	generated []*generation
	booked    []*booking
	faults    int
}

// ViolationError tells that an invariant was broken, and how to see it again.
type ViolationError struct {
	Seed   uint64
	Detail string
}

// Error implements the error interface.
func (e *ViolationError) Error() string {
	return fmt.Sprintf("invariant broken: %s; repeat with seed %d", e.Detail, e.Seed)
}

// String describes the run.
func (r *Run) String() string {
	return fmt.Sprintf("havoc of %s with seed %d at %d instances, %d engines and %d services", r.For, r.Seed, r.Instances, r.Engines, r.Services)
}

// Default fills fields that were left empty.
func (r *Run) Default() {
	setDefault(&r.Instances, 3)
	setDefault(&r.Engines, 4)
	setDefault(&r.Services, 2)
	setDefault(&r.Callers, 16)
	setDefault(&r.For, 5*time.Second)
	setDefault(&r.FaultEvery, 250*time.Millisecond)
	setDefault(&r.Slack, 10*time.Second)
	r.lost = map[string]bool{}
}

func setDefault[T comparable](field *T, value T) {
	var none T
	if *field == none {
		*field = value
	}
}

// Run runs the load under faults and checks the invariants. It returns a *ViolationError
// when one is broken.
func (r *Run) Run(ctx context.Context) error {
	ctx, r.fail = context.WithCancelCause(ctx)
	defer r.fail(nil)
	if err := r.start(ctx); err != nil {
		return err
	}
	defer r.fleet.Close()
	load, end := context.WithTimeout(ctx, r.For)
	defer end()
	var g errgroup.Group
	g.Go(func() error { return r.disturb(load) })
	g.Go(func() error { return r.watchSpend(load) })
	for i := range r.Callers {
		g.Go(func() error {
			r.call(ctx, load, i)
			return nil
		})
	}
	err := g.Wait()
	r.calm()
	_ = r.stops.Wait()
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	if err != nil {
		return err
	}
	return r.check(ctx)
}

// start starts the fleet and publishes the organisations.
func (r *Run) start(ctx context.Context) error {
	r.fleet = &fleet.Fleet{
		Instances: r.Instances, Engines: r.Engines, Services: r.Services, Capacity: engineCapacity,
		FirstToken: firstToken, TokenGap: tokenGap, Change: change, Log: r.Log,
		Platform: &platf.Server{Seed: r.Seed, ListLag: listLag, Retention: retention},
	}
	r.fleet.Default()
	if err := r.fleet.Start(ctx); err != nil {
		return fmt.Errorf("start %s: %w", r.fleet, err)
	}
	r.members = append(r.members, r.fleet.Nodes...)
	r.engines = append(r.engines, r.fleet.EngineServers...)
	r.services = append(r.services, r.fleet.ServiceServers...)
	for i, name := range organisations {
		paid := int64(paidFirst)
		if i == len(organisations)-1 {
			paid = paidLittle
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

// change sets time-outs that are short enough for a run of seconds.
func change(_ int, s *opts.Settings) {
	s.Target.FirstFrameTimeoutMS = opts.MS(firstFrameTimeout.Milliseconds())
	s.Target.FrameTimeoutMS = opts.MS(frameTimeout.Milliseconds())
	s.Target.DialTimeoutMS = opts.MS(dialTimeout.Milliseconds())
	s.Target.CallTimeoutMS = opts.MS(callTimeout.Milliseconds())
	s.Target.RetryRatio = 1
	s.Stop.TimeoutMS = opts.MS(stopTimeout.Milliseconds())
	s.Ledger.ReserveWaitMS = opts.MS(reserveWait.Milliseconds())
	s.Ledger.SnapshotEvery = snapshotEvery
	s.Once.ClaimWaitMS = opts.MS(claimWait.Milliseconds())
}

// violated ends the run with a broken invariant; the first one counts.
func (r *Run) violated(format string, args ...any) {
	r.fail(&ViolationError{Seed: r.Seed, Detail: fmt.Sprintf(format, args...)})
}

// random returns the source of one part of the run.
func (r *Run) random(part uint64) *rand.Rand { return rand.New(rand.NewPCG(r.Seed, part)) }

// running returns the instances that take requests.
func (r *Run) running() []*fleet.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*fleet.Member{}, r.members...)
}

// lose notes that an instance ended without having recorded everything.
func (r *Run) lose(m *fleet.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost[m.Inc] = true
}

// Report sums up a run that has ended.
type Report struct {
	// Faults counts the changes of faults.
	Faults int `json:"faults"`
	// Requests, Whole and Refused count model requests, those answered whole, and refusals of
	// single attempts.
	Requests int `json:"requests"`
	Whole    int `json:"whole"`
	Refused  int `json:"refused"`
	// Calls, Answered and Unknown count service calls, those answered, and those whose last
	// statement was that the outcome is unknown.
	Calls    int `json:"calls"`
	Answered int `json:"answered"`
	Unknown  int `json:"unknown"`
	// Instances counts those that took part, and Lost those killed or stopped in vain.
	Instances int `json:"instances"`
	Lost      int `json:"lost"`
}

// Report returns what happened.
func (r *Run) Report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	rep := Report{Faults: r.faults, Requests: len(r.generated), Calls: len(r.booked), Lost: len(r.lost), Instances: len(r.fleet.Nodes)}
	for _, g := range r.generated {
		rep.Refused += g.refused
		if g.whole {
			rep.Whole++
		}
	}
	for _, b := range r.booked {
		switch {
		case b.answer != "":
			rep.Answered++
		case !b.notRun:
			rep.Unknown++
		}
	}
	return rep
}
