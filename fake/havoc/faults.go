package havoc

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

// Parts of the random source.
const (
	partFaults = iota
	partCallers
)

// action is one kind of change with its weight.
type action struct {
	name   string
	weight int
	do     func(ctx context.Context, d *rand.Rand) error
}

// disturb changes faults until the context ends.
func (r *Run) disturb(ctx context.Context) error {
	dice := r.random(partFaults)
	actions := []action{
		{"engine", 45, r.disturbEngine},
		{"service", 15, r.disturbService},
		{"platform", 15, r.disturbPlatform},
		{"kill", 5, r.kill},
		{"stop", 5, r.stop},
		{"replace", 8, r.replaceTarget},
		{"top_up", 7, r.topUp},
	}
	for ; ; r.countFault() {
		pause := time.Duration(dice.Float64() * 2 * float64(r.FaultEvery))
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
		a := draw(actions, dice)
		r.Log.Debug().Str("change", a.name).Msg("havoc")
		if err := a.do(ctx, dice); err != nil && ctx.Err() == nil {
			return fmt.Errorf("change of kind %s: %w", a.name, err)
		}
	}
}

func (r *Run) countFault() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults++
}

func draw(actions []action, dice *rand.Rand) action {
	total := 0
	for _, a := range actions {
		total += a.weight
	}
	n := dice.IntN(total)
	for _, a := range actions {
		if n -= a.weight; n < 0 {
			return a
		}
	}
	return actions[0]
}

func (r *Run) disturbEngine(_ context.Context, dice *rand.Rand) error {
	f := engine.NoFaults()
	ratio := dice.Float64() / 2
	switch dice.IntN(12) {
	case 0:
		f.StallAfter, f.StallRatio = dice.IntN(20), ratio
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
		f.SlowMS = dice.IntN(2 * int(frameTimeout.Milliseconds()))
	case 7:
		f.Silent = true
	case 8:
		f = engine.Faults{
			StallAfter: dice.IntN(20), StallRatio: ratio / 4, CrossRatio: ratio / 4, TruncateRatio: ratio / 4,
			DoubleRatio: ratio / 4, GapRatio: ratio / 4, FailRatio: ratio / 4,
		}
	}
	r.fleet.EngineServers[dice.IntN(r.Engines)].SetFaults(f)
	return nil
}

func (r *Run) disturbService(_ context.Context, dice *rand.Rand) error {
	var f plain.Faults
	ratio := dice.Float64() / 2
	switch dice.IntN(6) {
	case 0:
		f.DelayMS = dice.IntN(2 * int(callTimeout.Milliseconds()))
	case 1:
		f.FailBeforeRatio = ratio
	case 2:
		f.DropAfterRatio = ratio
	case 3:
		f.Silent = true
	}
	r.fleet.ServiceServers[dice.IntN(r.Services)].SetFaults(f)
	return nil
}

func (r *Run) disturbPlatform(_ context.Context, dice *rand.Rand) error {
	var f platf.Faults
	ratio := dice.Float64() / 2
	switch dice.IntN(7) {
	case 0:
		f.Outage = true
	case 1:
		f.DropReplyRatio = ratio
	case 2:
		f.LateAppendRatio, f.LateAppendMS = ratio, dice.Int64N(2000)
	case 3:
		f.DelayMS = dice.Int64N(500)
	case 4:
		f.OutageList = true
	}
	return r.fleet.Platform.SetFaults(f)
}

// takeOut starts an instance in place of one, which takes no new requests from then on.
func (r *Run) takeOut(dice *rand.Rand) (*fleet.Member, error) {
	m, err := r.fleet.StartInstance()
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	i := dice.IntN(len(r.members))
	old := r.members[i]
	r.members[i] = m
	return old, nil
}

// kill ends an instance as the death of its process would. Callers learn it by themselves.
func (r *Run) kill(_ context.Context, dice *rand.Rand) error {
	m, err := r.takeOut(dice)
	if err != nil {
		return err
	}
	r.lose(m)
	m.Kill()
	r.fleet.Platform.DeleteInstance(m.Settings.Instance.ID)
	return nil
}

// stop stops an instance gracefully in the background.
func (r *Run) stop(_ context.Context, dice *rand.Rand) error {
	m, err := r.takeOut(dice)
	if err != nil {
		return err
	}
	r.stops.Go(func() error {
		if err := m.Stop(); err != nil {
			r.Log.Warn().Err(err).Str("instance", m.Settings.Instance.ID).Msg("a planned stop was in vain")
			r.lose(m)
		}
		r.fleet.Platform.DeleteInstance(m.Settings.Instance.ID)
		return nil
	})
	return nil
}

// replaceTarget lets a target leave and lists a new incarnation of it.
func (r *Run) replaceTarget(_ context.Context, dice *rand.Rand) error {
	if i := dice.IntN(r.Engines + r.Services); i < r.Engines {
		r.fleet.EngineServers[i].Leave()
		r.fleet.ReplaceEngine(i)
		r.engines = append(r.engines, r.fleet.EngineServers[i])
		return nil
	}
	i := dice.IntN(r.Services)
	f := plain.Faults{Leaving: true}
	r.fleet.ServiceServers[i].SetFaults(f)
	r.fleet.ReplaceService(i)
	r.services = append(r.services, r.fleet.ServiceServers[i])
	return nil
}

// topUp pays for more while the organisation may be out of budget. Its outcome may stay
// unknown; the id is not used again.
func (r *Run) topUp(_ context.Context, dice *rand.Rand) error {
	members := r.running()
	m, name := members[dice.IntN(len(members))], organisations[len(organisations)-1]
	id := fmt.Sprintf("more-%d", dice.Int64())
	r.topUps.Go(func() error {
		_ = r.fleet.TopUp(m, id, name, paidMore)
		return nil
	})
	return nil
}

// calm ends all faults.
func (r *Run) calm() {
	_ = r.fleet.Platform.SetFaults(platf.Faults{})
	for _, e := range r.fleet.EngineServers {
		e.SetFaults(engine.NoFaults())
	}
	for _, s := range r.fleet.ServiceServers {
		s.SetFaults(plain.Faults{})
	}
}

// spendEvery is how often budgets are looked at during the run.
const spendEvery = 200 * time.Millisecond

// watchSpend asserts that no instance sees a budget as overspent.
func (r *Run) watchSpend(ctx context.Context) error {
	ticker := time.NewTicker(spendEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		for _, m := range r.running() {
			r.checkSpend(m)
		}
	}
}

// checkSpend asserts for the budgets of one instance that no more is spent than was paid.
func (r *Run) checkSpend(m *fleet.Member) {
	for _, k := range m.Ledger {
		balances, err := k.Balances()
		if err != nil {
			r.violated("%s answers no question for balances: %v", m, err)
		}
		for _, b := range balances {
			if b.Spent < 0 || b.Spent+b.Held > b.Paid {
				r.violated("%s has %+v", m, b)
			}
		}
	}
}

// settled waits until an instance has read back all that it wrote.
func (r *Run) settled(ctx context.Context, m *fleet.Member) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	err := r.fleet.Await(ctx, func() bool {
		idle := m.Ready() && m.Front.InFlight() == 0
		for _, k := range m.Ledger {
			idle = idle && k.Feed.Idle()
		}
		for _, k := range m.Once {
			idle = idle && k.Feed.Ready() && k.Feed.Idle()
		}
		return idle
	})
	if errors.Is(err, context.DeadlineExceeded) {
		return &ViolationError{Seed: r.Seed, Detail: fmt.Sprintf("%s has not settled %s after faults and load ended", m, settleTimeout)}
	}
	return err
}
