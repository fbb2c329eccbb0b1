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
	r.Platform.ParseConfig = func(value []byte) (c table.Config, err error) { return c, json.Unmarshal(value, &c.Version) }
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
