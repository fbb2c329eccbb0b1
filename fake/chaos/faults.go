package chaos

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"cranberryrail/fake/engine"
	"cranberryrail/fake/fleet"
	"cranberryrail/fake/plain"
	"cranberryrail/fake/platf"
)

// Sources of random numbers, one for faults and one for each caller.
const (
	sourceFaults = iota
	sourceCallers
)

// action is one kind of change of faults with its relative frequency.
type action struct {
	name   string
	weight int
	apply  func(ctx context.Context, d *rand.Rand) error
}

// injectFaults applies random actions until the context ends.
func (r *Run) injectFaults(ctx context.Context) error {
	rng := r.newRand(sourceFaults)
	actions := []action{
		{"engine", 45, r.setEngineFaults},
		{"service", 15, r.setServiceFaults},
		{"platform", 15, r.setPlatformFaults},
		{"kill", 5, r.kill},
		{"stop", 5, r.stop},
		{"replace", 8, r.replaceTarget},
		{"top_up", 7, r.topUp},
	}
	for ; ; r.countFault() {
		pause := time.Duration(rng.Float64() * 2 * float64(r.FaultEvery))
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
		a := pickAction(actions, rng)
		r.Log.Debug().Str("change", a.name).Msg("havoc")
		if err := a.apply(ctx, rng); err != nil && ctx.Err() == nil {
			return fmt.Errorf("change of kind %s: %w", a.name, err)
		}
	}
}

func (r *Run) countFault() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults++
}

func pickAction(actions []action, rng *rand.Rand) action {
	total := 0
	for _, a := range actions {
		total += a.weight
	}
	n := rng.IntN(total)
	for _, a := range actions {
		if n -= a.weight; n < 0 {
			return a
		}
	}
	return actions[0]
}

func (r *Run) setEngineFaults(_ context.Context, rng *rand.Rand) error {
	f := engine.NoFaults()
	ratio := rng.Float64() / 2
	switch rng.IntN(14) {
	case 0:
		f.StallAfter, f.StallRatio = rng.IntN(20), ratio
	case 1:
		f.CrossRatio = ratio
	case 2:
		f.TruncateRatio = ratio
	case 3:
		f.DoubleRatio = ratio
	case 4:
		f.GapRatio = ratio
	case 5:
		f.FailRatio = ratio
	case 6:
		f.SlowMS = rng.IntN(2 * int(frameTimeout.Milliseconds()))
	case 7:
		f.Silent = true
	case 8:
		f = engine.Faults{
			StallAfter: rng.IntN(20), StallRatio: ratio / 4, CrossRatio: ratio / 4, TruncateRatio: ratio / 4,
			DoubleRatio: ratio / 4, GapRatio: ratio / 4, FailRatio: ratio / 4, EndlessRatio: ratio / 4, UnframedRatio: ratio,
		}
	case 9:
		f.UnframedRatio, f.TruncateRatio = 1, ratio
	case 10:
		f.EndlessRatio = ratio
	}
	r.fleet.EngineServers[rng.IntN(r.Engines)].SetFaults(f)
	return nil
}

func (r *Run) setServiceFaults(_ context.Context, rng *rand.Rand) error {
	var f plain.Faults
	ratio := rng.Float64() / 2
	switch rng.IntN(6) {
	case 0:
		f.DelayMS = rng.IntN(2 * int(callTimeout.Milliseconds()))
	case 1:
		f.FailBeforeRatio = ratio
	case 2:
		f.DropAfterRatio = ratio
	case 3:
		f.Silent = true
	}
	r.fleet.ServiceServers[rng.IntN(r.Services)].SetFaults(f)
	return nil
}

func (r *Run) setPlatformFaults(_ context.Context, rng *rand.Rand) error {
	var f platf.Faults
	ratio := rng.Float64() / 2
	switch rng.IntN(7) {
	case 0:
		f.Outage = true
	case 1:
		f.DropReplyRatio = ratio
	case 2:
		f.LateAppendRatio, f.LateAppendMS = ratio, rng.Int64N(2000)
	case 3:
		f.DelayMS = rng.Int64N(500)
	case 4:
		f.OutageList = true
	}
	return r.fleet.Platform.SetFaults(f)
}

// replaceInstance starts a new instance and returns the one that it replaces, which receives no
// new requests from then on.
func (r *Run) replaceInstance(rng *rand.Rand) (*fleet.Member, error) {
	m, err := r.fleet.StartInstance()
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	i := rng.IntN(len(r.members))
	old := r.members[i]
	r.members[i] = m
	return old, nil
}

// kill ends an instance as a crash of its process does. Callers are not notified.
func (r *Run) kill(_ context.Context, rng *rand.Rand) error {
	m, err := r.replaceInstance(rng)
	if err != nil {
		return err
	}
	r.recordLost(m)
	m.Kill()
	r.fleet.Platform.DeleteInstance(m.Settings.Instance.ID)
	return nil
}

// stop stops an instance gracefully in the background.
func (r *Run) stop(_ context.Context, rng *rand.Rand) error {
	m, err := r.replaceInstance(rng)
	if err != nil {
		return err
	}
	r.stops.Go(func() error {
		if err := m.Stop(); err != nil {
			r.Log.Warn().Err(err).Str("instance", m.Settings.Instance.ID).Msg("graceful shutdown failed; counting the instance as lost")
			r.recordLost(m)
		}
		r.fleet.Platform.DeleteInstance(m.Settings.Instance.ID)
		return nil
	})
	return nil
}

// replaceTarget marks a target as leaving and lists a new incarnation of it.
func (r *Run) replaceTarget(_ context.Context, rng *rand.Rand) error {
	if i := rng.IntN(r.Engines + r.Services); i < r.Engines {
		r.fleet.EngineServers[i].Leave()
		r.fleet.ReplaceEngine(i)
		r.engines = append(r.engines, r.fleet.EngineServers[i])
		return nil
	}
	i := rng.IntN(r.Services)
	f := plain.Faults{Leaving: true}
	r.fleet.ServiceServers[i].SetFaults(f)
	r.fleet.ReplaceService(i)
	r.services = append(r.services, r.fleet.ServiceServers[i])
	return nil
}

// topUp tops up the organisation whose budget may be exhausted. The outcome may remain
// unknown; the id is not used again.
func (r *Run) topUp(_ context.Context, rng *rand.Rand) error {
	members := r.activeMembers()
	m, name := members[rng.IntN(len(members))], organisations[len(organisations)-1]
	id := fmt.Sprintf("more-%d", rng.Int64())
	r.topUps.Go(func() error {
		_ = r.fleet.TopUp(m, id, name, topUpTokens)
		return nil
	})
	return nil
}

// heal ends all faults.
func (r *Run) heal() {
	_ = r.fleet.Platform.SetFaults(platf.Faults{})
	for _, e := range r.fleet.EngineServers {
		e.SetFaults(engine.NoFaults())
	}
	for _, s := range r.fleet.ServiceServers {
		s.SetFaults(plain.Faults{})
	}
}

// balanceCheckEvery is the interval between two checks of balances during the run.
const balanceCheckEvery = 200 * time.Millisecond

// monitorBalances asserts periodically that no budget is overspent at any instance.
func (r *Run) monitorBalances(ctx context.Context) error {
	ticker := time.NewTicker(balanceCheckEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		for _, m := range r.activeMembers() {
			r.checkBalances(m)
		}
	}
}

// checkBalances asserts that no budget of an instance has more tokens spent and held than paid.
func (r *Run) checkBalances(m *fleet.Member) {
	for _, replica := range m.Ledger {
		balances, err := replica.Balances()
		if err != nil {
			r.fail("read balances of %s: %v", m, err)
		}
		for _, b := range balances {
			if b.Spent < 0 || b.Spent+b.Held > b.Paid {
				r.fail("%s has an invalid balance: %+v", m, b)
			}
		}
	}
}

// awaitSettled waits until an instance has no requests in flight and has read back all its
// records.
func (r *Run) awaitSettled(ctx context.Context, m *fleet.Member) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	err := r.fleet.Await(ctx, func() bool {
		idle := m.Ready() && m.Front.InFlight() == 0
		for _, replica := range m.Ledger {
			idle = idle && replica.Feed.Idle()
		}
		for _, replica := range m.Once {
			idle = idle && replica.Feed.Ready() && replica.Feed.Idle()
		}
		return idle
	})
	if errors.Is(err, context.DeadlineExceeded) {
		return &ViolationError{Seed: r.Seed, Detail: fmt.Sprintf("%s has not settled %s after faults and load ended", m, settleTimeout)}
	}
	return err
}
