package poison_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cranberryrail/core/logs"
	"cranberryrail/core/poison"
	"cranberryrail/fake/memlog"
)

const topic = "crashes"

// exchange is longer than a record takes to reach all instances.
const exchange = 50 * time.Millisecond

// instance is a tracker with the components that exchange records.
type instance struct {
	*poison.Tracker
	changes []string
}

// fleet is a number of trackers that share a log.
type fleet struct {
	t         *testing.T
	log       *memlog.Server
	group     errgroup.Group
	ctx       context.Context
	instances []*instance
	// retention is that of the instances that start; 0 means the default.
	retention time.Duration
}

// run runs a test in virtual time with a fleet of two instances.
func run(t *testing.T, test func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &fleet{t: t, log: &memlog.Server{Era: 1}, ctx: ctx}
		f.start()
		f.start()
		time.Sleep(exchange)
		test(f)
		cancel()
		assert.NilError(t, f.group.Wait())
	})
}

// start starts an instance.
func (f *fleet) start() *instance {
	outbox := &logs.Outbox{Log: f.log.Log(), Topic: topic}
	outbox.Default()
	i := &instance{Tracker: &poison.Tracker{Incarnation: fmt.Sprint("i", len(f.instances)), Retention: f.retention, Publish: outbox.Add, Pending: outbox.Pending}}
	i.OnChange = func(_ poison.Trait, label string, quarantined bool, _ int) {
		i.changes = append(i.changes, fmt.Sprintf("%s %t", label, quarantined))
	}
	i.Default()
	follower := &logs.Follower{Log: f.log.Log(), Topic: topic, Reset: i.Reset, Apply: i.Apply, OnRestored: i.Republish}
	f.group.Go(func() error { return follower.Run(f.ctx) })
	f.group.Go(func() error { return outbox.Run(f.ctx) })
	f.instances = append(f.instances, i)
	return i
}

// request returns the traits of a request with a content and parts.
func request(content string, parts ...string) poison.Traits {
	t := poison.Traits{Request: poison.RequestTrait(nil, content), Labels: parts}
	for _, part := range parts {
		t.Parts = append(t.Parts, poison.PartTrait("m", part))
	}
	return t
}

// callerRequest returns the traits of a request of a caller. Requests of different callers are otherwise equal.
func callerRequest(caller string) poison.Traits {
	t := request("alike")
	t.Caller = poison.CallerTrait(caller, t.Request)
	return t
}

// admit admits a request at an instance.
func (f *fleet) admit(i *instance, traits poison.Traits) *poison.Pass {
	f.t.Helper()
	pass, err := i.Admit(f.ctx, traits)
	assert.NilError(f.t, err)
	return pass
}

// crash lets requests with the parts crash targets one after the other, at the instances in turn.
func (f *fleet) crash(times int, parts ...string) {
	f.t.Helper()
	for n := range times {
		i := f.instances[n%len(f.instances)]
		content := fmt.Sprint(time.Now().UnixNano())
		f.admit(i, request(content, parts...)).Crashed("target"+content, false)
		time.Sleep(exchange)
	}
}

// records returns the newest records of the topic.
func (f *fleet) records() []logs.Record {
	f.t.Helper()
	s, err := f.log.Log().NewestAll(f.ctx, topic, 0)
	assert.NilError(f.t, err)
	return s.Records
}

func (f *fleet) assertRefused(want bool, traits poison.Traits) {
	f.t.Helper()
	for n, i := range f.instances {
		var e *poison.QuarantineError
		err := i.Check(traits)
		assert.Equal(f.t, errors.As(err, &e), want, "instance %d: %v", n, err)
	}
}

// TestQuarantine checks which requests are refused, and at which instances.
func TestQuarantine(t *testing.T) {
	t.Run("a part that crashes targets in series, at all instances", func(t *testing.T) {
		run(t, func(f *fleet) {
			f.crash(2, "first", "bad")
			f.assertRefused(false, request("x", "first", "bad"))
			f.crash(1, "first", "bad")
			f.assertRefused(true, request("x", "first", "bad"))
			assert.DeepEqual(f.t, f.instances[1].changes, []string{"first true", "bad true"})
		})
	})
	t.Run("not the parts that are answered with others", func(t *testing.T) {
		run(t, func(f *fleet) {
			for range 3 {
				f.crash(1, "first", "bad")
				f.admit(f.instances[1], request("sound", "first", "good")).AnswerBegan()
				time.Sleep(exchange)
			}
			f.assertRefused(false, request("sound", "first", "good"))
			f.assertRefused(true, request("x", "first", "bad"))
			f.assertRefused(true, request("x", "bad"))
		})
	})
	t.Run("not because many targets end at the same moment", func(t *testing.T) {
		run(t, func(f *fleet) {
			passes := make([]*poison.Pass, 0, 20)
			for n := range 20 {
				passes = append(passes, f.admit(f.instances[n%2], request(fmt.Sprint(n), "first")))
			}
			for n, pass := range passes {
				pass.Crashed(fmt.Sprint("target", n), false)
			}
			time.Sleep(exchange)
			f.assertRefused(false, request("x", "first"))
		})
	})
	t.Run("not because of crashes after the answer began", func(t *testing.T) {
		run(t, func(f *fleet) {
			for n := range 5 {
				f.admit(f.instances[0], request(fmt.Sprint(n), "first")).Crashed(fmt.Sprint("target", n), true)
				time.Sleep(exchange)
			}
			f.assertRefused(false, request("x", "first"))
		})
	})
	t.Run("the same request, however far its answers came", func(t *testing.T) {
		run(t, func(f *fleet) {
			for n := range 3 {
				f.admit(f.instances[n%2], request("same", "first")).Crashed(fmt.Sprint("target", n), true)
				time.Sleep(exchange)
			}
			f.assertRefused(true, request("same", "first"))
			f.assertRefused(false, request("other", "first"))
		})
	})
	t.Run("a repeated request, also while an equal one of another caller is answered", func(t *testing.T) {
		run(t, func(f *fleet) {
			crashing, equal := callerRequest("a"), callerRequest("b")
			for n := range 3 {
				f.admit(f.instances[n%2], crashing).Crashed(fmt.Sprint("target", n), false)
				time.Sleep(exchange)
				if pass, err := f.instances[1].Admit(f.ctx, equal); err == nil {
					pass.Answered()
				}
				time.Sleep(exchange)
			}
			f.assertRefused(true, crashing)
			f.assertRefused(false, equal)
		})
	})
	t.Run("a repeated request whose crashes were not in series, after one probe", func(t *testing.T) {
		run(t, func(f *fleet) {
			same := callerRequest("a")
			passes := []*poison.Pass{f.admit(f.instances[0], same), f.admit(f.instances[0], same), f.admit(f.instances[1], same)}
			for n, pass := range passes {
				pass.Crashed(fmt.Sprint("target", n), false)
			}
			time.Sleep(exchange)
			pass := f.admit(f.instances[0], same)
			time.Sleep(exchange)
			f.assertRefused(true, same)
			pass.Crashed("probe", false)
			time.Sleep(10 * time.Second)
			f.assertRefused(true, same)
		})
	})
	t.Run("at an instance that starts later", func(t *testing.T) {
		run(t, func(f *fleet) {
			f.crash(3, "bad")
			f.start()
			time.Sleep(exchange)
			f.assertRefused(true, request("x", "bad"))
		})
	})
	t.Run("a crash that was under way when a part was cleared does not count", func(t *testing.T) {
		run(t, func(f *fleet) {
			f.crash(2, "first")
			late := f.admit(f.instances[0], request("late", "first"))
			f.admit(f.instances[1], request("sound", "first")).AnswerBegan()
			time.Sleep(exchange)
			late.Crashed("target", false)
			time.Sleep(exchange)
			f.assertRefused(false, request("x", "first"))
		})
	})
}

// TestProbes checks that one instance sends a request of a quarantined part from time to time.
func TestProbes(t *testing.T) {
	bad := request("x", "bad")
	t.Run("one at a time, until one is answered", func(t *testing.T) {
		run(t, func(f *fleet) {
			f.crash(3, "bad")
			time.Sleep(poison.DefaultProbePause)
			var passes []*poison.Pass
			var group errgroup.Group
			for _, i := range f.instances {
				for range 3 {
					group.Go(func() error {
						if pass, err := i.Admit(f.ctx, bad); err == nil {
							passes = append(passes, pass)
						}
						return nil
					})
				}
			}
			assert.NilError(f.t, group.Wait())
			assert.Equal(f.t, len(passes), 1)
			f.assertRefused(true, bad)
			passes[0].AnswerBegan()
			time.Sleep(exchange)
			f.assertRefused(false, bad)
			assert.DeepEqual(f.t, f.instances[0].changes, []string{"bad true", "bad false"})
		})
	})
	t.Run("a request with one quarantined part is sent before one with several", func(t *testing.T) {
		run(t, func(f *fleet) {
			f.crash(3, "first", "bad")
			time.Sleep(poison.DefaultProbePause)
			_, err := f.instances[0].Admit(f.ctx, request("x", "first", "bad"))
			assert.ErrorContains(f.t, err, "targets have crashed")
			f.admit(f.instances[0], request("sound", "first", "good")).AnswerBegan()
			time.Sleep(exchange)
			f.assertRefused(false, request("sound", "first", "good"))
			f.admit(f.instances[0], request("x", "first", "bad")).Crashed("probe", false)
			time.Sleep(exchange)
			f.assertRefused(false, request("sound", "first", "good"))
			f.assertRefused(true, request("x", "first", "bad"))
		})
	})
	t.Run("a repeated request has two", func(t *testing.T) {
		run(t, func(f *fleet) {
			same, crashes := callerRequest("a"), 0
			for start := time.Now(); time.Since(start) < 25*time.Minute; time.Sleep(10 * time.Second) {
				if pass, err := f.instances[0].Admit(f.ctx, same); err == nil {
					crashes++
					pass.Sent()
					pass.Crashed(fmt.Sprint("target", crashes), false)
					pass.End()
				}
			}
			assert.Equal(f.t, crashes, poison.DefaultLimit+2)
		})
	})
	t.Run("one that reached no target is repeated soon, and does not count", func(t *testing.T) {
		run(t, func(f *fleet) {
			same := callerRequest("a")
			for n := range 3 {
				f.admit(f.instances[0], same).Crashed(fmt.Sprint("target", n), false)
				time.Sleep(exchange)
			}
			time.Sleep(4 * poison.DefaultProbePause)
			for range 10 {
				f.admit(f.instances[0], same).End()
				time.Sleep(exchange)
				f.assertRefused(true, same)
				time.Sleep(time.Second)
			}
			f.admit(f.instances[1], same).Answered()
			time.Sleep(exchange)
			f.assertRefused(false, same)
		})
	})
	t.Run("a probe that no target ran is not held against the part", func(t *testing.T) {
		run(t, func(f *fleet) {
			f.crash(3, "bad")
			time.Sleep(poison.DefaultProbePause)
			pass := f.admit(f.instances[0], bad)
			again, err := f.instances[0].AdmitAgain(f.ctx, pass)
			assert.NilError(f.t, err, "the request may be sent to another target")
			assert.Equal(f.t, again, pass)
			time.Sleep(6 * time.Second)
			f.admit(f.instances[1], bad)
		})
	})
	t.Run("the pause between them grows", func(t *testing.T) {
		run(t, func(f *fleet) {
			f.crash(3, "bad")
			started, probes := time.Now(), 0
			for time.Since(started) < 100*time.Second {
				if pass, err := f.instances[probes%2].Admit(f.ctx, bad); err == nil {
					pass.Crashed(fmt.Sprint("probe", probes), false)
					probes++
				}
				time.Sleep(exchange)
			}
			assert.Equal(f.t, probes, 2)
		})
	})
	t.Run("a report that is read again is no crash of the probe", func(t *testing.T) {
		run(t, func(f *fleet) {
			f.crash(3, "bad")
			time.Sleep(poison.DefaultProbePause)
			f.admit(f.instances[0], bad)
			for _, r := range f.records() {
				f.log.Put(topic, 0, r.Key, r.Value)
			}
			time.Sleep(6 * time.Second)
			f.admit(f.instances[1], bad)
		})
	})
	t.Run("a restart does not bring the next one forward", func(t *testing.T) {
		run(t, func(f *fleet) {
			f.crash(3, "bad")
			probes := 0
			for second := range 100 {
				if second%10 == 0 {
					f.instances[1] = f.start()
					f.instances = f.instances[:2]
					time.Sleep(exchange)
				}
				if pass, err := f.instances[second%2].Admit(f.ctx, bad); err == nil {
					pass.Crashed(fmt.Sprint("probe", probes), false)
					probes++
				}
				time.Sleep(time.Second)
			}
			assert.Equal(f.t, probes, 2)
		})
	})
	t.Run("after a restart, one of those who claim it sends it", func(t *testing.T) {
		run(t, func(f *fleet) {
			f.crash(3, "bad")
			time.Sleep(poison.DefaultProbePause)
			f.admit(f.instances[0], bad).Crashed("probe", false)
			f.start()
			time.Sleep(20 * time.Second)
			f.admit(f.instances[2], bad)
			time.Sleep(exchange)
			f.assertRefused(true, bad)
		})
	})
	t.Run("none while the log is away", func(t *testing.T) {
		run(t, func(f *fleet) {
			f.crash(3, "bad")
			f.log.SetFault(func(string) memlog.Fault { return memlog.Refuse })
			time.Sleep(time.Minute)
			for _, wait := range []time.Duration{poison.DefaultClaimTimeout, 0} {
				started := time.Now()
				_, err := f.instances[0].Admit(f.ctx, bad)
				assert.ErrorContains(f.t, err, "targets have crashed")
				assert.Equal(f.t, time.Since(started), wait)
			}
		})
	})
}

// TestReportsSurviveOutages checks that crashes that were seen while the log was away reach the other instances afterwards, and that
// a restored log does not lose those that were not published.
func TestReportsSurviveOutages(t *testing.T) {
	run(t, func(f *fleet) {
		f.log.SetFault(func(string) memlog.Fault { return memlog.LoseRequest })
		seeing, other := f.instances[0], f.instances[1]
		for n := range 3 {
			f.admit(seeing, request(fmt.Sprint(n), "bad")).Crashed(fmt.Sprint("target", n), false)
		}
		assert.Assert(f.t, seeing.Check(request("x", "bad")) != nil)
		time.Sleep(poison.DefaultProbePause / 4)
		assert.NilError(f.t, other.Check(request("x", "bad")))
		f.log.SetFault(nil)
		time.Sleep(poison.DefaultProbePause / 4)
		f.assertRefused(true, request("x", "bad"))
	})
}

// TestQuarantineOutlivesRestoredLog checks that a log that is restored from an older copy releases nothing that an instance knows.
func TestQuarantineOutlivesRestoredLog(t *testing.T) {
	run(t, func(f *fleet) {
		older := f.log.Copy()
		f.crash(3, "bad")
		f.log.Restore(older)
		time.Sleep(1200 * time.Millisecond)
		f.assertRefused(true, request("x", "bad"))
		f.start()
		time.Sleep(exchange)
		f.assertRefused(true, request("x", "bad"))
	})
}

// TestCrashesAreForgotten checks that nothing is left of a part once its crashes are longer ago than the retention.
func TestCrashesAreForgotten(t *testing.T) {
	run(t, func(f *fleet) {
		f.retention = 10 * time.Second
		f.start()
		time.Sleep(exchange)
		f.crash(3, "bad")
		for range 25 {
			time.Sleep(time.Second)
			f.instances[2].Expire()
		}
		f.assertRefused(false, request("x", "bad"))
		late := f.start()
		time.Sleep(exchange)
		assert.Equal(f.t, len(late.changes), 0)
	})
}

// TestRecordsAreShort guards against keys that the log can't hold, at most 255 bytes, and against labels of any length in each
// record: ids of parts and of targets are chosen by others.
func TestRecordsAreShort(t *testing.T) {
	run(t, func(f *fleet) {
		long := strings.Repeat("x", 10_000)
		f.admit(f.instances[0], request(long, long)).Crashed(long, false)
		time.Sleep(exchange)
		records := f.records()
		assert.Equal(f.t, len(records), 2)
		for _, r := range records {
			assert.Assert(f.t, len(r.Key) < 256 && len(r.Value) < 256, "%d and %d bytes", len(r.Key), len(r.Value))
		}
	})
}
