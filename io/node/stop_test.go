package node_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cranberryrail/core/conf"
	"cranberryrail/fake/fleet"
	"cranberryrail/fake/proxy"
	"cranberryrail/io/opts"
)

// TestStopTimeoutReturnsAllowance stops an instance during a response that exceeds the stop timeout. The instance must
// still return its unused allowance to the budget.
func TestStopTimeoutReturnsAllowance(t *testing.T) {
	f := start(t, &fleet.Fleet{
		Instances: 2, Engines: 1, TokenGap: time.Second, FixedLength: true,
		ConfigureInstance: func(_ int, s *opts.Settings) { s.Stop.TimeoutMS, s.Stop.NoticeMS = 5000, 0 },
	})
	provision(t, f, 100_000)
	var g errgroup.Group
	g.Go(func() error {
		send(context.Background(), f.Members[0], "/v1/completions", fleet.Key("acme"), promptBody("slow", 100, true))
		return nil
	})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	assert.NilError(t, f.Await(ctx, func() bool { return f.EngineServers[0].Counts().Started > 0 }))
	assert.Assert(t, f.Members[0].Stop() != nil, "the stop must report that it cut off a request")
	assert.NilError(t, g.Wait())
	key := "acme/" + conf.MainBudget
	assert.NilError(t, f.Await(ctx, func() bool {
		b := balance(t, f.Members[1], key)
		return b.Held == b.Own
	}), "the allowance of the stopped instance was not returned")
}

// TestUnusedConnectionsDelayNoStop guards against a stop that takes its whole time and fails because callers have opened connections on which they send
// nothing, or only the begin of a request.
func TestUnusedConnectionsDelayNoStop(t *testing.T) {
	for name, begin := range map[string]string{"unused": "", "in a head": "POST /v1/completions HTTP/1.1\r\n"} {
		t.Run(name, func(t *testing.T) {
			f := start(t, &fleet.Fleet{Instances: 1, ConfigureInstance: func(_ int, s *opts.Settings) { s.Stop.TimeoutMS, s.Stop.NoticeMS = 4000, 0 }})
			c, err := net.Dial("tcp", f.Members[0].Front.Addr())
			assert.NilError(t, err)
			defer c.Close()
			_, err = io.WriteString(c, begin)
			assert.NilError(t, err)
			began := time.Now()
			assert.NilError(t, f.Members[0].Stop())
			assert.Assert(t, time.Since(began) < 2*time.Second, "%v", time.Since(began))
		})
	}
}

// TestStopRefusesStreamsItMayCut guards against streams that arrive during the notice of a stop, whose end is uncertain, and that are cut at the end of
// the stop although another instance could have taken them. An instance that is alone takes them, unless one has taken longer than is left.
func TestStopRefusesStreamsItMayCut(t *testing.T) {
	for name, instances := range map[string]int{"another instance": 2, "alone": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := start(t, &fleet.Fleet{Instances: instances, Engines: 1, TokenGap: 100 * time.Millisecond, FixedLength: true,
				ConfigureInstance: func(_ int, s *opts.Settings) { s.Stop.TimeoutMS, s.Stop.NoticeMS = 5000, 2500 }})
			provision(t, f, 100_000)
			var g, stop errgroup.Group
			stopAt := time.Now().Add(4 * time.Second) // a fifth of the stop is reserved for the return of tokens
			stop.Go(f.Members[0].Stop)
			var whole, refused, cut, longest, mostLeft atomic.Int64 // the last two in nanoseconds
			for i := range 24 {
				time.Sleep(100 * time.Millisecond)
				g.Go(func() error {
					began := time.Now()
					r := send(context.Background(), f.Members[0], "/v1/completions", fleet.Key("acme"), promptBody(fmt.Sprint("p", i), 24, true))
					switch {
					case r.err != nil || r.status == http.StatusOK && !strings.Contains(r.body, "[DONE]"):
						cut.Add(1)
					case r.status == http.StatusOK:
						whole.Add(1)
						raise(&longest, int64(time.Since(began)))
					default:
						raise(&mostLeft, int64(stopAt.Sub(began)))
						assertRefused(t, r.reply, 5002, "not_run")
						assert.Check(t, r.header.Get("Retry-After") != "")
						refused.Add(1)
					}
					return nil
				})
			}
			assert.NilError(t, g.Wait())
			err := stop.Wait()
			t.Logf("%d whole, %d refused, %d cut, %v", whole.Load(), refused.Load(), cut.Load(), err)
			if instances == 1 {
				assert.Assert(t, whole.Load() > 0 && mostLeft.Load() < longest.Load(), "refused with %v left, streams took %v", time.Duration(mostLeft.Load()), time.Duration(longest.Load()))
				return
			}
			assert.NilError(t, err)
			assert.Assert(t, cut.Load() == 0 && refused.Load() > 0)
		})
	}
}

// raise raises a number to a value if it is lower.
func raise(number *atomic.Int64, value int64) {
	for old := number.Load(); old < value && !number.CompareAndSwap(old, value); old = number.Load() {
	}
}

// TestLoneStopRefusesStreamsItWouldCut guards against streams that arrive late in the notice of an instance that is alone, are taken, and are cut at the end of the
// stop, although streams like them have taken longer than was left.
func TestLoneStopRefusesStreamsItWouldCut(t *testing.T) {
	f := start(t, &fleet.Fleet{Instances: 1, Engines: 1, TokenGap: 100 * time.Millisecond, FixedLength: true,
		ConfigureInstance: func(_ int, s *opts.Settings) { s.Stop.TimeoutMS, s.Stop.NoticeMS = 4000, 3000 }})
	provision(t, f, 100_000)
	stream := func(name string) result {
		return send(context.Background(), f.Members[0], "/v1/completions", fleet.Key("acme"), promptBody(name, 20, true))
	}
	assert.Equal(t, stream("before").status, http.StatusOK)
	var stop, g errgroup.Group
	stop.Go(f.Members[0].Stop)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	assert.NilError(t, f.Await(ctx, f.Members[0].Front.Stopping))
	g.Go(func() error {
		early := stream("early")
		assert.Check(t, early.err == nil && strings.Contains(early.body, "[DONE]"), "%v", early)
		return nil
	})
	time.Sleep(2500 * time.Millisecond)
	for i := range 8 {
		g.Go(func() error {
			late := stream(fmt.Sprint("late", i))
			assertRefused(t, late.reply, 5002, "not_run")
			assert.Check(t, late.header.Get("Retry-After") != "")
			return nil
		})
	}
	assert.NilError(t, g.Wait())
	assert.NilError(t, stop.Wait())
}

// TestStopRefusesCallsBeforeTheirClaim guards against calls that a stopping instance may cut, or whose key a refusal uses up, so that the retry at another
// instance fails.
func TestStopRefusesCallsBeforeTheirClaim(t *testing.T) {
	f := start(t, &fleet.Fleet{Instances: 2, Services: 1, ConfigureInstance: func(_ int, s *opts.Settings) { s.Stop.NoticeMS = 1000 }})
	provision(t, f, 100_000)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	assert.NilError(t, f.AwaitConnected(ctx))
	var stop errgroup.Group
	stop.Go(f.Members[0].Stop)
	assert.NilError(t, f.Await(ctx, f.Members[0].Front.Stopping))
	call := func(m *fleet.Member) reply {
		return post(t, m, "/v1/services/"+fleet.Service+"/record", fleet.Key("acme"), "claim", "Idempotency-Key", "k1")
	}
	assertRefused(t, call(f.Members[0]), 5002, "not_run")
	assert.Equal(t, call(f.Members[1]).status, http.StatusOK)
	assert.NilError(t, stop.Wait())
}

// TestStopTakesWhatAStartingInstanceRefuses guards against refusals during the notice of a stop while the only other instance is starting and refuses too.
func TestStopTakesWhatAStartingInstanceRefuses(t *testing.T) {
	var f *fleet.Fleet
	f = start(t, &fleet.Fleet{Instances: 1, Engines: 1, Proxied: true, ConfigureInstance: func(i int, s *opts.Settings) {
		s.Stop.TimeoutMS, s.Stop.NoticeMS = 5000, 2000
		if i > 0 {
			f.Members[0].LogProxy.SetState(proxy.Closed)
			s.Platform.LogURL, s.Platform.ListURL = "http://127.0.0.1:1", "http://127.0.0.1:1" // unreachable
			s.Peer.Seeds = []string{f.Members[0].PeerAddr()}
		}
	}})
	provision(t, f, 100_000)
	assert.Equal(t, send(context.Background(), f.Members[0], "/v1/completions", fleet.Key("acme"), promptBody("p", 8, true)).status, http.StatusOK) // draws tokens
	other, err := f.StartInstance()
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	assert.NilError(t, f.Await(ctx, func() bool { return f.Members[0].PeersReached() == 1 }))
	assert.Assert(t, !other.Ready())
	var stop errgroup.Group
	stop.Go(f.Members[0].Stop)
	assert.NilError(t, f.Await(ctx, f.Members[0].Front.Stopping))
	r := send(ctx, f.Members[0], "/v1/completions", fleet.Key("acme"), promptBody("p", 8, true))
	assert.Check(t, r.status == http.StatusOK && strings.Contains(r.body, "[DONE]"), "%d %s, the other instance is ready: %v", r.status, r.body, other.Ready())
	_ = stop.Wait()
}
