package router

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cranberryrail/core/detour"
	"cranberryrail/core/relay"
	"cranberryrail/core/roster"
	"cranberryrail/core/route"
	"cranberryrail/core/table"
	"cranberryrail/io/conns"
	"cranberryrail/io/peer"
)

// newPathWatcher returns an instance with three targets for each service, to which no connection can be opened, and that checks paths.
func newPathWatcher(t *testing.T, services ...string) *Router {
	t.Helper()
	r := &Router{suspects: make(chan string, maxSuspects), list: &roster.TargetList{}, detours: &detour.Tracker{}}
	r.conns = &conns.Client{Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}}
	r.conns.Default()
	r.list.Default()
	r.detours.Default()
	for i, service := range services {
		for k := range 3 {
			r.list.Put(roster.Entry{Target: roster.Target{ID: fmt.Sprint(i, k), Incarnation: fmt.Sprint(i, k), Service: service, State: roster.Live}, StartedAtMS: 1})
		}
	}
	r.setServices(r.list.Targets())
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return r.watchPaths(ctx) })
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, group.Wait())
	})
	return r
}

// TestCrashesOfTargetsAreNoCut guards against requests that are refused, because some targets of a service crash at the same time and each instance counts as cut off
// from the others too, until the next check.
func TestCrashesOfTargetsAreNoCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, tried := newPathWatcher(t, "claims", "claims"), map[string]bool{}
		for _, target := range r.list.Targets() {
			target.Addr = target.ID
			r.list.Put(roster.Entry{Target: target, StartedAtMS: 1, Sequence: 1})
		}
		r.conns.Dial = func(_ context.Context, _, addr string) (net.Conn, error) {
			tried[addr] = true
			return nil, syscall.ECONNREFUSED
		}
		r.pathSuspect("claims")
		time.Sleep(pathCheckInterval / 10)
		synctest.Wait()
		assert.DeepEqual(t, tried, map[string]bool{"0 0": true, "0 1": true, "0 2": true, "1 0": true, "1 1": true, "1 2": true})
	})
}

// TestCutIsFoundByTwoChecks guards against requests that wait for targets, because the second check of a service went to the target that the first one could
// not connect to, so that the instance did not know that it is cut off.
func TestCutIsFoundByTwoChecks(t *testing.T) {
	for range 64 { // Targets are drawn at random.
		synctest.Test(t, func(t *testing.T) {
			r := newPathWatcher(t, "claims")
			for range 2 { // two silent requests
				r.pathSuspect("claims")
				synctest.Wait()
			}
			time.Sleep(2*conns.DefaultDialTimeout + time.Millisecond)
			assert.Assert(t, r.detours.Cut("claims"))
		})
	}
}

// TestCutsFromAllServicesAreFound guards against requests that wait for targets, because the check of one service hung while others were suspected, so that the
// instance did not know that it is cut off from them too.
func TestCutsFromAllServicesAreFound(t *testing.T) {
	services := []string{"claims", "drafts", "mail", "quotes"}
	synctest.Test(t, func(t *testing.T) {
		r := newPathWatcher(t, services...)
		for _, service := range services {
			r.pathSuspect(service)
		}
		time.Sleep(2*conns.DefaultDialTimeout + time.Millisecond)
		assert.DeepEqual(t, r.detours.CutServices(), services)
	})
}

// TestHangingTargetIsLeftOutForOthers guards against requests of other instances that are sent to a target that hangs, one after the other, because each of them is
// ended by the instance that sent it.
func TestHangingTargetIsLeftOutForOthers(t *testing.T) {
	const service, limit = "s", route.BaseEjectionTime / 2
	for name, once := range map[string]bool{"may be repeated": false, "must not be repeated": true} {
		t.Run(name, func(t *testing.T) {
			r, _ := start(t, settings, "")
			r.running.Store(true)
			r.Platform.BuildHeader = func(relay.Dispatch) http.Header { return http.Header{} }
			r.conns.Dial = func(context.Context, string, string) (net.Conn, error) {
				own, other := net.Pipe()
				context.AfterFunc(t.Context(), func() { _ = other.Close() })
				var group errgroup.Group
				group.Go(func() error {
					_, _ = io.Copy(io.Discard, other) // until the other end is closed
					return nil
				})
				return own, nil
			}
			r.table.Apply(table.Config{Version: 1, Routes: []table.Route{{Host: "h", Prefix: "/", LatencyObjective: 100 * time.Millisecond, Shares: []table.Share{{Service: service, Weight: 1}}}}})
			r.routeClient.SetTargets([]roster.Target{{ID: "0", Service: service, Incarnation: "0@1", State: roster.Live}, {ID: "1", Service: service, Incarnation: "1@1", State: roster.Live}}, 0)
			ctx, cancel := context.WithTimeout(t.Context(), limit) // The instance that sent the request ends it.
			defer cancel()
			end := r.serveForward(ctx, peer.Forward{Service: service, Host: "h", URI: "/x?y", Method: http.MethodPost, NonIdempotent: once, Remaining: limit, HeaderTimeout: limit}, peer.ForwardWriter{})
			for range 16 {
				choice, err := r.routeClient.Pick(route.Request{Service: service})
				assert.NilError(t, err)
				assert.Assert(t, choice.Target.ID != end.TargetID)
				r.routeClient.Done(choice.DispatchID, route.Cancelled)
			}
		})
	}
}
