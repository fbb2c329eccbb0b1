package route_test

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"gotest.tools/v3/assert"

	"cranberryrail/core/codes"
	"cranberryrail/core/roster"
	"cranberryrail/core/route"
)

func newSystem() *actor.ActorSystem {
	quiet := func(*actor.ActorSystem) *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }
	return actor.NewActorSystem(actor.WithLoggerFactory(quiet))
}

// An embedding program sends the list of targets to the actor and requests a target for each dispatch.
func ExampleClient() {
	system := newSystem()
	defer system.Shutdown()
	routeActor := &route.Actor{}
	client := &route.Client{Root: system.Root, PID: system.Root.Spawn(routeActor.Props())}

	client.SetTargets([]roster.Target{{
		ID: "runner-1", Incarnation: "5f", Addr: "127.0.0.1:9000", Kind: roster.ModelEngine,
		Models: []roster.Model{{Model: "drafts", Version: "3"}},
	}}, 1)
	if err := client.Acquire("agency", 50); err != nil {
		fmt.Println(err)
		return
	}
	defer client.Release("agency")
	choice, err := client.Pick(route.Request{Organisation: "agency", Model: "drafts", Prefix: "You draft claim letters."})
	fmt.Println(choice.Target.Addr, err)
	client.Done(choice.DispatchID, route.OK)

	client.MarkLeaving("5f")
	_, err = client.Pick(route.Request{Organisation: "agency", Model: "drafts"})
	fmt.Println(codes.From(err, codes.NotRun).Code)
	// Output:
	// 127.0.0.1:9000 <nil>
	// 3001 no_target
}

func TestClient(t *testing.T) {
	system := newSystem()
	defer system.Shutdown()
	now := time.Unix(1000, 0)
	unblock := make(chan struct{})
	block := false
	a := &route.Actor{Balancer: route.Balancer{Capacity: 1, Queue: 0.1, Now: func() time.Time {
		if block {
			<-unblock
		}
		return now
	}}, Limits: route.Limits{Global: 1}, Retries: route.Retries{Min: 1}}
	client := &route.Client{Root: system.Root, PID: system.Root.Spawn(a.Props()), Timeout: 10 * time.Second}
	client.SetTargets([]roster.Target{engine("e0", "first")}, 1)
	t.Run("forwards limits and retries", func(t *testing.T) {
		assert.NilError(t, client.Acquire("a", 1))
		assertRefused(t, client.Acquire("a", 1), codes.TooManyInFlight)
		client.Release("a")
		assert.NilError(t, client.Acquire("a", 1))
		assert.Assert(t, client.TryRetry("a"))
		assert.Assert(t, !client.TryRetry("a"))
	})
	t.Run("forwards reports and leaving incarnations", func(t *testing.T) {
		client.Report("e1", roster.Load{Incarnation: "e1/first", State: roster.Leaving})
		got, err := client.LeavingIncarnations()
		assert.NilError(t, err)
		assert.DeepEqual(t, got, []string{"e1/first"})
	})
	t.Run("undoes a choice whose sender timed out", func(t *testing.T) {
		block = true
		shortTimeout := &route.Client{Root: client.Root, PID: client.PID, Timeout: time.Millisecond}
		_, err := shortTimeout.Pick(route.Request{Model: modelName})
		assertRefused(t, err, codes.Internal)
		close(unblock)
		_, err = client.Pick(route.Request{Model: modelName})
		assert.NilError(t, err, "the late choice still holds the only slot")
	})
}
