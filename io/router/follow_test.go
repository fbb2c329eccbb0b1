package router

import (
	"encoding/json"
	"strconv"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cranberryrail/core/logs"
	"cranberryrail/core/table"
)

// TestIgnoredConfigIsLogged guards against a configuration that does not come into force and leaves no trace in the log.
func TestIgnoredConfigIsLogged(t *testing.T) {
	lines := &strings.Builder{}
	r, _ := start(t, settings, "")
	r.Platform.ParseConfig = func(value []byte) (c table.Config, err error) {
		c.Limits.BodyBytes = 1 // the configuration has no findings, which would be logged too
		return c, json.Unmarshal(value, &c.Version)
	}
	r.Log = zerolog.New(lines)
	for _, step := range []struct{ value, event string }{
		{"5", "configuration_applied"}, {"5", ""}, {"4", "configuration_outdated"}, {"4", ""}, {"{", "record_unreadable"}, {"{", ""}, {"3", "configuration_outdated"}, {"5", ""}, {"3", "configuration_outdated"},
	} {
		lines.Reset()
		r.applyConfig(logs.Record{Key: "config", Value: []byte(step.value)})
		assert.Equal(t, strings.Count(lines.String(), "\n"), min(len(step.event), 1), "%+v: %s", step, lines)
		assert.Assert(t, strings.Contains(lines.String(), step.event), "%+v: %s", step, lines)
		assert.Equal(t, r.table.Current().Version, int64(5))
	}
}

// TestNewBudgetLimitsItsFirstRequest guards against requests of an organisation that are neither limited nor billed, because its key was in force before its budget.
func TestNewBudgetLimitsItsFirstRequest(t *testing.T) {
	r, _ := start(t, settings, "")
	r.Platform.ParseConfig = func(value []byte) (c table.Config, err error) {
		err = json.Unmarshal(value, &c.Version)
		c.Organisations = []table.Organisation{{Name: string(value), Prepaid: 10}}
		return c, err
	}
	unlimited := 0
	for version := range int64(500) {
		name := strconv.FormatInt(version+1, 10)
		var group errgroup.Group
		group.Go(func() error {
			for current := r.table.Current(); current == nil || current.Version <= version; current = r.table.Current() {
			}
			if _, err := r.budgets.Reserve(t.Context(), name, 20); err == nil {
				unlimited++
			}
			return nil
		})
		r.applyConfig(logs.Record{Key: "config", Value: []byte(name)})
		assert.NilError(t, group.Wait())
	}
	assert.Equal(t, unlimited, 0)
}

// TestFindingsAreLogged guards against a faulty configuration that comes into force and leaves no trace in the log, and against one that fills it.
func TestFindingsAreLogged(t *testing.T) {
	lines := &strings.Builder{}
	r, _ := start(t, settings, "")
	r.Log = zerolog.New(lines)
	for version, tc := range []struct{ organisations, lines int }{{0, 0}, {1, 1}, {maxFindings, maxFindings}, {maxFindings + 3, maxFindings}} {
		r.Platform.ParseConfig = func([]byte) (table.Config, error) {
			c := table.Config{Version: int64(version) + 1, Limits: table.Limits{BodyBytes: 1}}
			for i := range tc.organisations {
				c.Organisations = append(c.Organisations, table.Organisation{Name: strconv.Itoa(i) + strings.Repeat("x", 10_000), Prepaid: 1})
			}
			return c, nil
		}
		lines.Reset()
		r.applyConfig(logs.Record{Key: "config", Value: []byte("x")})
		assert.Equal(t, r.table.Current().Version, int64(version)+1)
		assert.Equal(t, strings.Count(lines.String(), `"configuration_finding"`), tc.lines, lines)
		assert.Equal(t, strings.Contains(lines.String(), `"further":3`), tc.organisations > maxFindings, lines)
		assert.Assert(t, lines.Len() < 1000*(1+tc.lines), "%d bytes", lines.Len())
	}
}
