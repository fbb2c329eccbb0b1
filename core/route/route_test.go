package route_test

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cranberryrail/core/codes"
	"cranberryrail/core/roster"
	"cranberryrail/core/route"
)

const modelName = "drafts"

type fixture struct {
	*route.Balancer
	now  time.Time
	list []roster.Target
}

func newFixture(targets int) *fixture {
	f := &fixture{now: time.Unix(1000, 0)}
	f.Balancer = &route.Balancer{Capacity: 4, Seed: 1, Now: func() time.Time { return f.now }}
	f.Default()
	for i := range targets {
		f.list = append(f.list, engine(fmt.Sprintf("e%d", i), "first"))
	}
	f.SetTargets(f.list)
	return f
}

func engine(id, incarnation string) roster.Target {
	return roster.Target{
		ID: id, Incarnation: id + "/" + incarnation, Kind: roster.ModelEngine, State: roster.Live,
		Models: []roster.Model{{Model: modelName, Version: "1"}},
	}
}

func (f *fixture) pick(t *testing.T, r route.Request) route.Choice {
	t.Helper()
	r.Model = modelName
	c, err := f.Pick(r)
	assert.NilError(t, err)
	return c
}

func (f *fixture) dispatch(t *testing.T, o route.Outcome, times int) {
	t.Helper()
	for range times {
		f.Done(f.pick(t, route.Request{}).DispatchID, o)
	}
}

func assertRefused(t *testing.T, err error, want codes.Code) {
	t.Helper()
	var refusal *codes.Error
	assert.Assert(t, errors.As(err, &refusal), "got %v", err)
	assert.Equal(t, refusal.Code, want)
	assert.Equal(t, refusal.Run, codes.NotRun)
	assert.Assert(t, refusal.RetryAfter > 0)
}

// assertFirstTargetUsed checks whether the first target receives work.
func assertFirstTargetUsed(t *testing.T, f *fixture, want bool) {
	t.Helper()
	used := false
	for range 2 * len(f.list) {
		c := f.pick(t, route.Request{})
		used = used || c.Target.ID == "e0"
		defer f.Done(c.DispatchID, route.Cancelled)
	}
	assert.Equal(t, used, want)
}

func TestLeaving(t *testing.T) {
	t.Run("is kept despite a stale list until a new incarnation appears", func(t *testing.T) {
		f := newFixture(2)
		f.MarkLeaving("e0/first")
		f.SetTargets(f.list)
		f.Report("e0", roster.Load{Incarnation: "e0/first", State: roster.Live, Capacity: 4}, f.now)
		assertFirstTargetUsed(t, f, false)
		assert.DeepEqual(t, f.LeavingIncarnations(), []string{"e0/first"})
		f.SetTargets([]roster.Target{engine("e0", "second"), f.list[1]})
		assertFirstTargetUsed(t, f, true)
	})
	t.Run("is kept when the list reverts to an earlier incarnation", func(t *testing.T) {
		f := newFixture(2)
		f.SetTargets([]roster.Target{engine("e0", "second"), f.list[1]})
		f.MarkLeaving("e0/second")
		f.SetTargets(f.list)
		assertFirstTargetUsed(t, f, false)
	})
	t.Run("an outdated list does not restore an earlier incarnation", func(t *testing.T) {
		f := newFixture(1)
		oldIncarnation := f.list[0].Incarnation
		f.Report(f.list[0].ID, roster.Load{Incarnation: "restarted", Capacity: 1}, f.now)
		f.SetTargets(f.list)
		assert.Equal(t, f.list[0].Incarnation, oldIncarnation)
		assert.Equal(t, f.pick(t, route.Request{}).Target.Incarnation, "restarted")
	})
	t.Run("is taken from the list", func(t *testing.T) {
		f := newFixture(2)
		leaving := f.list[0]
		leaving.State = roster.Leaving
		f.SetTargets([]roster.Target{leaving, f.list[1]})
		f.SetTargets(f.list)
		assertFirstTargetUsed(t, f, false)
	})
	t.Run("is taken from the report, and requests are refused when no other target serves them", func(t *testing.T) {
		f := newFixture(1)
		f.Report("e0", roster.Load{Incarnation: "e0/first", State: roster.Leaving}, f.now)
		_, err := f.Pick(route.Request{Model: modelName})
		assertRefused(t, err, codes.NoTarget)
	})
}

func TestPause(t *testing.T) {
	t.Run("excludes the target until it ends", func(t *testing.T) {
		f := newFixture(2)
		f.Pause("e0", "e0/first", time.Second)
		f.Pause("e0", "e0/first", time.Millisecond)
		assertFirstTargetUsed(t, f, false)
		f.now = f.now.Add(time.Second)
		assertFirstTargetUsed(t, f, true)
	})
	t.Run("of all targets refuses requests until the first one ends", func(t *testing.T) {
		f := newFixture(2)
		f.Pause("e0", "e0/first", 3*time.Second)
		f.Pause("e1", "e1/first", 2*time.Second)
		_, err := f.Pick(route.Request{Model: modelName})
		assertRefused(t, err, codes.Overloaded)
		after := codes.From(err, codes.NotRun).RetryAfter
		assert.Assert(t, after >= 2*time.Second && after <= 3*time.Second, "%v", after)
	})
	t.Run("does not apply to another incarnation", func(t *testing.T) {
		f := newFixture(2)
		f.Pause("e0", "e0/other", time.Second)
		assertFirstTargetUsed(t, f, true)
		f.Pause("e0", "e0/first", time.Hour)
		f.SetTargets([]roster.Target{engine("e0", "second"), f.list[1]})
		assertFirstTargetUsed(t, f, true)
	})
}

func TestCandidates(t *testing.T) {
	f := newFixture(2)
	f.list[1].Models[0].Version = "2"
	f.list[1].Zone = "b"
	booking := roster.Target{ID: "desk", Incarnation: "d", Kind: roster.PlainService, Service: "booking"}
	f.SetTargets(append(f.list, booking))
	t.Run("serve the version", func(t *testing.T) {
		assert.Equal(t, f.pick(t, route.Request{Version: "2"}).Target.ID, "e1")
	})
	t.Run("serve the service", func(t *testing.T) {
		c, err := f.Pick(route.Request{Service: "booking"})
		assert.NilError(t, err)
		assert.Equal(t, c.Target.ID, "desk")
	})
	t.Run("were not tried", func(t *testing.T) {
		assert.Equal(t, f.pick(t, route.Request{Avoid: []string{"e1"}}).Target.ID, "e0")
	})
	t.Run("are restricted to the requested incarnation", func(t *testing.T) {
		only := f.list[1]
		assert.Equal(t, f.pick(t, route.Request{Only: &only}).Target.Incarnation, only.Incarnation)
		only.Incarnation = "gone"
		_, err := f.Pick(route.Request{Model: modelName, Only: &only})
		assertRefused(t, err, codes.NoTarget)
	})
	t.Run("match the target id prefix of a share", func(t *testing.T) {
		for range 20 {
			c := f.pick(t, route.Request{Shares: []route.Share{{Target: "e", Weight: 1}}})
			assert.Assert(t, strings.HasPrefix(c.Target.ID, "e"))
			f.Done(c.DispatchID, route.OK)
		}
	})
	t.Run("are distributed by the weights of the shares", func(t *testing.T) {
		got := map[string]int{}
		for range 400 {
			c := f.pick(t, route.Request{Shares: []route.Share{{Version: "1", Weight: 3}, {Zone: "b", Weight: 1}}})
			got[c.Target.ID]++
			f.Done(c.DispatchID, route.OK)
		}
		assert.Assert(t, got["e0"] > 260 && got["e1"] > 60, "got %v", got)
		_, err := f.Pick(route.Request{Model: modelName, Shares: []route.Share{{Target: "e0"}}})
		assertRefused(t, err, codes.NoTarget)
	})
}

func TestEstimate(t *testing.T) {
	report := func(f *fixture, id string, running int, age time.Duration) {
		f.Report(id, roster.Load{Incarnation: id + "/first", Running: running, Capacity: 4, AgeMS: age.Milliseconds()}, f.now)
	}
	t.Run("adds dispatches of this instance since the measurement", func(t *testing.T) {
		f := newFixture(2)
		f.now = f.now.Add(time.Second)
		for range 3 {
			f.pick(t, route.Request{Avoid: []string{"e1"}})
		}
		report(f, "e0", 3, 500*time.Millisecond)
		report(f, "e1", 4, 500*time.Millisecond)
		assert.Equal(t, f.pick(t, route.Request{Priority: route.TopPriority}).Target.ID, "e1")
	})
	t.Run("subtracts completions of this instance since the measurement", func(t *testing.T) {
		f := newFixture(2)
		first := f.pick(t, route.Request{Avoid: []string{"e1"}})
		second := f.pick(t, route.Request{Avoid: []string{"e1"}})
		f.now = f.now.Add(time.Second)
		report(f, "e0", 4, 0)
		report(f, "e1", 3, 0)
		f.now = f.now.Add(time.Second)
		f.Done(first.DispatchID, route.OK)
		f.Done(second.DispatchID, route.OK)
		assert.Equal(t, f.pick(t, route.Request{}).Target.ID, "e0")
	})
	t.Run("assumes a part of the same changes from other instances", func(t *testing.T) {
		f := newFixture(2)
		f.Instances = 5
		f.now = f.now.Add(time.Second)
		report(f, "e0", 0, 0)
		report(f, "e1", 2, 0)
		f.now = f.now.Add(time.Second)
		assert.Equal(t, f.pick(t, route.Request{}).Target.ID, "e0")
		assert.Equal(t, f.pick(t, route.Request{}).Target.ID, "e1", "the estimate of e0 is 3")
	})
	t.Run("skips a target that reported that it is full for FullBackoff", func(t *testing.T) {
		f := newFixture(1)
		f.Done(f.pick(t, route.Request{}).DispatchID, route.Shed)
		_, err := f.Pick(route.Request{Model: modelName})
		assertRefused(t, err, codes.Overloaded)
		f.now = f.now.Add(route.FullBackoff)
		f.pick(t, route.Request{})
	})
}

func TestInFlightLimitPerTarget(t *testing.T) {
	f := newFixture(1)
	f.MaxInFlightPerTarget = 2
	first := f.pick(t, route.Request{})
	f.pick(t, route.Request{})
	_, err := f.Pick(route.Request{Model: modelName})
	assertRefused(t, err, codes.Overloaded)
	f.Done(first.DispatchID, route.OK)
	f.pick(t, route.Request{})
}

func TestPriorities(t *testing.T) {
	for _, c := range []struct{ priority, want int }{{0, 4}, {4, 6}, {9, 8}} {
		t.Run(fmt.Sprintf("priority %d is admitted up to %d requests", c.priority, c.want), func(t *testing.T) {
			f := newFixture(1)
			for range c.want {
				f.pick(t, route.Request{Priority: c.priority})
			}
			_, err := f.Pick(route.Request{Model: modelName, Priority: c.priority})
			assertRefused(t, err, codes.Overloaded)
		})
	}
}

func TestHealth(t *testing.T) {
	t.Run("consecutive failures eject until a probe succeeds", func(t *testing.T) {
		f := newFixture(1)
		f.dispatch(t, route.Failed, route.FailuresToEject)
		f.list = append(f.list, engine("e1", "first"))
		f.SetTargets(f.list)
		assertFirstTargetUsed(t, f, false)
		f.now = f.now.Add(route.BaseEjectionTime)
		probe := f.pick(t, route.Request{Avoid: []string{"e1"}})
		assert.Equal(t, probe.Target.ID, "e0")
		assertFirstTargetUsed(t, f, false)
		f.Done(probe.DispatchID, route.OK)
		assertFirstTargetUsed(t, f, true)
	})
	t.Run("a silent outcome ejects at once and a failed probe doubles the ejection time", func(t *testing.T) {
		f := newFixture(1)
		f.dispatch(t, route.Silent, 1)
		f.now = f.now.Add(route.BaseEjectionTime)
		f.dispatch(t, route.Failed, 1)
		f.list = append(f.list, engine("e1", "first"))
		f.SetTargets(f.list)
		f.now = f.now.Add(2*route.BaseEjectionTime - 1)
		assertFirstTargetUsed(t, f, false)
		f.now = f.now.Add(1)
		assertFirstTargetUsed(t, f, true)
	})
	t.Run("outcomes of dispatches from before the ejection are ignored", func(t *testing.T) {
		f := newFixture(1)
		f.Capacity = 40
		dispatchIDs := make([]int64, 0, f.Capacity)
		for range f.Capacity {
			dispatchIDs = append(dispatchIDs, f.pick(t, route.Request{}).DispatchID)
		}
		for _, id := range dispatchIDs {
			f.Done(id, route.Silent)
		}
		f.list = append(f.list, engine("e1", "first"))
		f.SetTargets(f.list)
		f.now = f.now.Add(route.BaseEjectionTime)
		assertFirstTargetUsed(t, f, true)
	})
	t.Run("answers that end to release memory eject only if none is completed for long", func(t *testing.T) {
		for name, c := range map[string]struct {
			pause    time.Duration
			between  route.Outcome
			excluded bool
		}{
			"at once":               {0, route.Cancelled, false},
			"with complete answers": {time.Second, route.OK, false},
			"without":               {time.Second, route.Cancelled, true},
		} {
			t.Run(name, func(t *testing.T) {
				f := newFixture(1)
				for range route.UsedUpToEject {
					f.now = f.now.Add(c.pause)
					f.dispatch(t, c.between, 1)
					f.dispatch(t, route.UsedUp, 1)
				}
				f.list = append(f.list, engine("e1", "first"))
				f.SetTargets(f.list)
				assertFirstTargetUsed(t, f, !c.excluded)
			})
		}
	})
	t.Run("a new incarnation starts healthy", func(t *testing.T) {
		f := newFixture(1)
		f.dispatch(t, route.Silent, 1)
		f.list = []roster.Target{engine("e0", "second"), engine("e1", "first")}
		f.SetTargets(f.list)
		assertFirstTargetUsed(t, f, true)
	})
	t.Run("the target with the fewest ejections is used when all are ejected", func(t *testing.T) {
		f := newFixture(2)
		for _, id := range []string{"e0", "e1", "e0"} {
			other := map[string]string{"e0": "e1", "e1": "e0"}[id]
			f.Done(f.pick(t, route.Request{Avoid: []string{other}}).DispatchID, route.Silent)
		}
		assert.Equal(t, f.pick(t, route.Request{}).Target.ID, "e1")
	})
}

// TestPrefixBoundedLimitsLoad guards against overloading the target of a popular prefix. It counts the load from the
// choices itself, so that the check does not depend on the estimate.
func TestPrefixBoundedLimitsLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(rapid.IntRange(1, 8).Draw(t, "targets"))
		f.Capacity = 1000
		var open []route.Choice
		loads := map[string]int{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			f.now = f.now.Add(time.Millisecond)
			if len(open) > 0 && rapid.IntRange(0, 3).Draw(t, "step") == 0 {
				i := rapid.IntRange(0, len(open)-1).Draw(t, "ended")
				f.Done(open[i].DispatchID, route.OK)
				loads[open[i].Target.ID]--
				open = append(open[:i], open[i+1:]...)
				continue
			}
			bound := route.DefaultBound*float64(len(open))/float64(len(f.list)) + 1
			c, err := f.Pick(route.Request{Model: modelName, Prefix: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "prefix")})
			assert.NilError(t, err)
			loads[c.Target.ID]++
			open = append(open, c)
			assert.Assert(t, float64(loads[c.Target.ID]) < bound+1, "loads %v, bound %v", loads, bound)
		}
	})
	t.Run("a prefix keeps its target when another one is removed", func(t *testing.T) {
		f := newFixture(5)
		first := f.pick(t, route.Request{Prefix: "p"})
		f.Done(first.DispatchID, route.OK)
		for _, removed := range f.list {
			if removed.ID == first.Target.ID {
				continue
			}
			f.MarkLeaving(removed.Incarnation)
			again := f.pick(t, route.Request{Prefix: "p"})
			f.Done(again.DispatchID, route.OK)
			assert.Equal(t, again.Target.ID, first.Target.ID)
		}
	})
}

// TestHugeLoadReports guards against load reports out of range that overflow, after which no target is found or the balancer panics.
func TestHugeLoadReports(t *testing.T) {
	for name, report := range map[string]roster.Load{
		"capacity": {Capacity: math.MaxInt}, "running": {Running: math.MaxInt, Waiting: math.MaxInt, Capacity: 4}, "negative": {Running: -5, Waiting: math.MinInt, Capacity: -4},
		"age": {AgeMS: math.MinInt64, Capacity: 4}, "both": {Running: math.MaxInt - 1, Capacity: math.MaxInt},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(3)
			for i := range 2 {
				report.Incarnation = f.list[i].Incarnation
				f.Report(f.list[i].ID, report, f.now)
			}
			picked := map[string]bool{}
			for i := range 4 {
				picked[f.pick(t, route.Request{Prefix: fmt.Sprint(i), Priority: i % 10}).Target.ID] = true
			}
			assert.Assert(t, picked[f.list[2].ID] || name == "capacity" || name == "both", "%v", picked)
		})
	}
}

// TestRequestOfNoServiceHasNoTarget guards against a route without a usable share whose requests go to a target, of any service, that lists a model
// without a name.
func TestRequestOfNoServiceHasNoTarget(t *testing.T) {
	f := newFixture(1)
	f.SetTargets(append(f.list, roster.Target{ID: "odd", Incarnation: "odd/1", Service: "other", State: roster.Live, Models: []roster.Model{{}}}))
	_, err := f.Pick(route.Request{})
	assertRefused(t, err, codes.NoTarget)
}
