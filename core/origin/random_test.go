package origin_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/core/logs"
	"cranberryrail/core/origin"
	"cranberryrail/core/roster"
	"cranberryrail/fake/builds"
	"cranberryrail/fake/memlog"
)

// TestRandomReleases guards against streams that are resumed at another version than the one that began them, over releases, faults of the log, restores of it, instances that
// are cut off from it or stand still, and the end of all processes; and, without faults of the log, against streams that are not resumed. SEEDS sets the number of runs.
func TestRandomReleases(t *testing.T) {
	seeds := uint64(12)
	if n, err := strconv.ParseUint(os.Getenv("SEEDS"), 10, 64); err == nil {
		seeds = n
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				report, err := builds.Play(t.Context(), seed, seed%2 == 1)
				assert.NilError(t, err)
				t.Logf("%+v", report)
				assert.Equal(t, len(report.Wrong), 0, "%v", report.Wrong)
				assert.Assert(t, seed%2 == 1 || report.Unknown == 0, "without faults each stream is resumed: %+v", report)
			})
		})
	}
}

// TestUnknownStreams guards against ids in a request to resume that give away or change something: of no stream, of a stream of another organisation, malformed.
func TestUnknownStreams(t *testing.T) {
	for _, versions := range [][]string{{"v1"}, {"v1", "v2"}} {
		t.Run(fmt.Sprint(versions), func(t *testing.T) {
			log := &memlog.Server{}
			m, other := startTracker(t, log.Log(), true), startTracker(t, log.Log(), true)
			list(m, versions...)
			list(other, versions...)
			time.Sleep(100 * time.Millisecond)
			last := versions[len(versions)-1]
			o := origin.Origin{Service: "s", Version: last}
			key := origin.NewKey("org", "known")
			assert.NilError(t, m.Begin(key, 1, o, false).Wait(t.Context()))
			for _, resumes := range []origin.Key{"", origin.NewKey("org", "never-seen"), origin.NewKey("another", "known"), origin.NewKey("org", string(make([]byte, 1<<16)))} {
				for _, at := range []*origin.Tracker{m, other} {
					found, err := at.Find(t.Context(), resumes, "s")
					if len(versions) == 1 {
						assert.NilError(t, err)
						assert.Equal(t, found.Version, "v1")
						continue
					}
					assert.ErrorIs(t, err, origin.ErrUnknown)
				}
			}
			found, err := other.Find(t.Context(), key, "s")
			assert.NilError(t, err)
			assert.Equal(t, found, o)
		})
	}
}

// startTracker runs a tracker until the test ends.
func startTracker(t *testing.T, log logs.Log, newFleet bool) *origin.Tracker {
	t.Helper()
	m, stop := builds.StartTracker(t.Context(), log, newFleet)
	t.Cleanup(func() { assert.NilError(t, stop()) })
	return m
}

// list lists a target of each version.
func list(m *origin.Tracker, versions ...string) {
	targets := make([]roster.Target, 0, len(versions))
	for _, v := range versions {
		targets = append(targets, roster.Target{ID: v, Service: "s", Software: v, State: roster.Live})
	}
	m.SetTargets(targets)
}
