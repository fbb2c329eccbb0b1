package origin_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cranberryrail/core/logs"
	"cranberryrail/core/origin"
	"cranberryrail/core/roster"
	"cranberryrail/fake/memlog"
)

// TestOddOriginRecords guards against records of another writer that stand in place of the origins of streams, or cost memory without bound, and
// against services of odd entries whose states keep those of the others from being recorded.
func TestOddOriginRecords(t *testing.T) {
	log, long := &memlog.Server{}, strings.Repeat("x", 300)
	key := string(origin.NewKey("o", "r1"))
	for k, value := range map[string]string{
		"": `{"version":"v"}`, "odd": `{}`, "odd.1": `{"version":"v"}`, key + ".1": fmt.Sprintf(`{"service":"s","version":"v1","at_ms":%d}`, time.Now().UnixMilli()),
		key + ".9223372036854775807": `{"service":"s","version":"v2"}`, key + ".-1": `{"version":"v2"}`, key + ".2": `{"service":"s","version":"` + long + `"}`, key + ".3": "[[[",
		key + ".4": `{"service":"` + long + `","version":"v"}`,
	} {
		log.Put("streams", 0, k, []byte(value))
	}
	for n := range 20 {
		log.Put("versions", 0, fmt.Sprint("odd", n), []byte(`{"mode":"open"}`))
		log.Put("versions", 0, fmt.Sprint("long", n), []byte(`{"mode":"open","version":"`+long+`"}`))
	}
	log.Put("versions", 0, "s", []byte("\x00"))
	invalid := 0
	l := log.Log()
	add := l.Append
	l.Append = func(ctx context.Context, topic string, part int, at int64, records []logs.Record) (int64, error) {
		if len(records) > 100 {
			return 0, &logs.RefusedError{Reason: "a call is bounded"}
		}
		return add(ctx, topic, part, at, records)
	}
	tracker := &origin.Tracker{Log: l, StreamTopic: "streams", StateTopic: "versions", OnInvalid: func(string, error) { invalid++ }}
	tracker.Default()
	found, err := tracker.Find(t.Context(), origin.Key(key), "s")
	assert.NilError(t, err)
	assert.Equal(t, found, origin.Origin{Service: "s", Version: "v1"})
	assert.Equal(t, invalid, 7, "all but the one without a key, which no page has")
	targets := append(make([]roster.Target, 0, 151), roster.Target{ID: "t", Service: "s", Software: "v1", State: roster.Live})
	for n := range 150 {
		targets = append(targets, roster.Target{ID: fmt.Sprint(n), Service: fmt.Sprint("a", n), Software: "v", State: roster.Live})
	}
	tracker.SetTargets(targets)
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error { return tracker.Run(ctx) })
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, s := range tracker.States() {
			if s.Service == "s" && s.Mode == origin.Recorded {
				return poll.Success()
			}
		}
		return poll.Continue("the state of the sound service is not recorded: %d states", len(tracker.States()))
	}, poll.WithTimeout(5*time.Second))
	cancel()
	assert.NilError(t, g.Wait())
}
